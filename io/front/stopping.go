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
	// end is when the host cuts off what still runs; nil before a stop.
	end atomic.Pointer[time.Time]
	// ended is done _lastAnswers before that.
	ended  context.Context
	finish context.CancelFunc
	// running holds the exchanges that are not done.
	running sync.Map

	mu        sync.Mutex
	durations finish.Durations
}

func newPlanned() *planned {
	p := &planned{}
	p.ended, p.finish = context.WithCancel(context.Background())
	return p
}

// Stop has the front refuse what it cannot finish until end, when the host cuts off what still
// runs, and close each caller's connection after its next answer.
func (f *Front) Stop(end time.Time) {
	f.planned.end.Store(&end)
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

// track registers an exchange until the returned function is called. The returned context ends when
// the host is about to end and the exchange's answer has not begun.
func (p *planned) track(ctx context.Context, e *exchange) (tracked context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	p.running.Store(e, struct{}{})
	stop := context.AfterFunc(p.ended, func() {
		if !e.hasBegun.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
		p.running.Delete(e)
	}
}

// checkStopping answers a request that has not been sent with a refusal if the host stops and
// may not finish it. It returns true if it did.
func (e *exchange) checkStopping() bool {
	end := e.front.planned.end.Load()
	if end == nil || e.tries.MayHaveRun() || e.delivered {
		return false
	}
	route := e.request.Route
	s := finish.Situation{
		Now: time.Now(), End: end.Add(-_lastAnswers), Deadline: e.request.Deadline, Kind: route.Kind,
		Goal: route.Goal, Longest: e.front.planned.longest(route.Name),
	}
	if s.Takes() {
		return false
	}
	e.log("A stopping host refuses a request that it may not finish.", "EndsIn", s.End.Sub(s.Now).Milliseconds(),
		"TimeLeft", s.Deadline.Sub(s.Now).Milliseconds(), "Longest", s.Longest.Milliseconds())
	e.answerError(http.StatusServiceUnavailable, errStopping.Error(), _retryAfter)
	return true
}

// recordAnswered records that the answer was complete.
func (e *exchange) recordAnswered() {
	took := time.Since(e.request.Arrived)
	e.front.counters.answerTime.record(took)
	e.front.planned.record(e.request.Route.Name, took)
}
