package front

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"apricotproxy/core/procs/finish"
)

// _lastAnswers is the time before the end of a stop in which requests without an answer get one
// that says so, so that it reaches their callers before the process ends.
const _lastAnswers = 250 * time.Millisecond

// errStopping means that the host ends before the request's answer began.
var errStopping = errors.New("this host is stopping")

// planned holds what a front needs for a planned stop. It is safe for concurrent use.
type planned struct {
	// stop is nil before a stop.
	stop atomic.Pointer[stopTimes]
	// ended is done _lastAnswers before the end of a stop.
	ended  context.Context
	finish context.CancelFunc
	// running holds the exchanges that are not done.
	running sync.Map

	mu        sync.Mutex
	durations finish.Durations
}

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// noticeEnd is when callers are no longer directed to this host, end when the host cuts off what
	// still runs.
	noticeEnd, end time.Time
}

func newPlanned() *planned {
	p := &planned{}
	p.ended, p.finish = context.WithCancel(context.Background())
	return p
}

// Stop has the front refuse what it may not finish until end, when the host cuts off what still
// runs, and close each caller's connection after its next answer. noticeEnd is when callers are no
// longer directed to this host.
func (f *Front) Stop(noticeEnd, end time.Time) {
	f.planned.stop.Store(&stopTimes{noticeEnd: noticeEnd, end: end})
	f.keepAlivesDisabled.Store(true)
	time.AfterFunc(time.Until(end.Add(-_lastAnswers)), f.planned.finish)
}

// LogRunning logs each request that is cut off when the host ends now.
func (f *Front) LogRunning() {
	f.planned.running.Range(func(key, _ any) bool {
		if e, ok := key.(*exchange); ok {
			e.log("A request is cut off by the end of a stop.", "Begun", e.hasBegun.Load(), "Chunked", len(e.incoming.TransferEncoding) > 0,
				"Arrived", time.Since(e.request.Arrived).Milliseconds(), "BodyRead", time.Since(e.bodyReadAt).Milliseconds())
		}
		return true
	})
}

func (p *planned) record(route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.durations.Record(route, took)
}

func (p *planned) longest(route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.durations.Longest(route)
}

// endsIn returns the time until the host cuts off what still runs; 0 before a stop.
func (p *planned) endsIn(now time.Time) time.Duration {
	stop := p.stop.Load()
	if stop == nil {
		return 0
	}
	return stop.end.Sub(now)
}

// oldestBeside returns the age of the oldest other exchange of an exchange's route that is not done.
func (p *planned) oldestBeside(e *exchange, now time.Time) time.Duration {
	oldest := time.Duration(0)
	p.running.Range(func(key, _ any) bool {
		if other, ok := key.(*exchange); ok && other != e && other.request.Route.Name == e.request.Route.Name {
			oldest = max(oldest, now.Sub(other.request.Arrived))
		}
		return true
	})
	return oldest
}

// track registers an exchange until the returned function is called. The returned context ends when
// the host is about to end and the exchange's answer has not begun.
func (p *planned) track(ctx context.Context, e *exchange) (tracked context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.cancel = cancel
	p.running.Store(e, struct{}{})
	stop := context.AfterFunc(p.ended, func() {
		if !e.hasBegun.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		stop()
		p.running.Delete(e)
		e.setServed()
	}
}

// checkStopping answers a request that has not been sent with a refusal if the host stops and
// may not finish it. It returns true if it did.
func (e *exchange) checkStopping() bool {
	stop := e.front.planned.stop.Load()
	if stop == nil || e.tries.MayHaveRun() || e.delivered {
		return false
	}
	route, now := e.request.Route, time.Now()
	s := finish.Situation{
		Now: now, NoticeEnd: stop.noticeEnd, End: stop.end.Add(-_lastAnswers), Deadline: e.request.Deadline, Kind: route.Kind,
		Goal: route.Goal, Longest: e.front.planned.longest(route.Name), Running: e.front.planned.oldestBeside(e, now),
	}
	if s.Takes() {
		return false
	}
	e.log("A stopping host refuses a request that it may not finish.", "NoticeEndsIn", s.NoticeEnd.Sub(now).Milliseconds(), "EndsIn", s.End.Sub(now).Milliseconds(),
		"TimeLeft", s.Deadline.Sub(now).Milliseconds(), "Longest", s.Longest.Milliseconds(), "Running", s.Running.Milliseconds())
	e.answerError(http.StatusServiceUnavailable, errStopping.Error(), _retryAfter)
	return true
}

// recordAnswered records that the answer was complete.
func (e *exchange) recordAnswered() {
	took := time.Since(e.request.Arrived)
	e.front.counters.answerTime.record(took)
	e.front.planned.record(e.request.Route.Name, took)
}
