package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"apricotproxy/core"
)

// _progressInterval is the time between two progress lines.
const _progressInterval = time.Second

// Run sends the load and returns the result. When ctx ends, it stops sending and
// cancels the requests in flight, which the result counts as Abandoned. progress is
// called about once per second and may be nil.
func Run(ctx context.Context, settings Settings, dialer core.Dialer, progress func(Progress)) (Result, error) {
	if err := settings.Check(); err != nil {
		return Result{}, fmt.Errorf("checking the load: %w", err)
	}
	r := &runner{
		settings:  settings,
		recorder:  newRecorder(),
		started:   time.Now(),
		semaphore: make(chan struct{}, settings.MaxOpen),
		client:    newClient(settings, dialer),
	}
	defer r.client.CloseIdleConnections()
	stop := r.reportProgress(progress)
	r.sendAll(ctx)
	r.inFlight.Wait()
	stop()
	return r.recorder.result(time.Since(r.started)), nil
}

// newClient returns a client that keeps every idle connection: with a new dial for
// each request, the load would measure the dials.
func newClient(settings Settings, dialer core.Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     settings.TLS,
		MaxIdleConns:        settings.MaxOpen,
		MaxIdleConnsPerHost: settings.MaxOpen,
		DisableCompression:  true,
	}}
}

type runner struct {
	settings  Settings
	recorder  *recorder
	started   time.Time
	client    *http.Client
	semaphore chan struct{} // holds one item for each request in flight
	inFlight  sync.WaitGroup
}

func (r *runner) sendAll(ctx context.Context) {
	plan := newPlan(r.settings)
	for {
		next, more := plan.next()
		if !more || !sleepUntil(ctx, r.started.Add(next.Offset)) {
			return
		}
		r.recorder.recordSent(next.Kind)
		select {
		case r.semaphore <- struct{}{}:
		default:
			r.recorder.recordAnswer(next.Serial, next.Kind, answer{Outcome: Skipped})
			continue
		}
		r.inFlight.Add(1)
		go r.send(ctx, next)
	}
}

// sleepUntil waits until a time and returns false if ctx ends before it.
func sleepUntil(ctx context.Context, when time.Time) bool {
	timer := time.NewTimer(time.Until(when))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send runs one request and records its answer.
func (r *runner) send(ctx context.Context, a arrival) {
	defer r.inFlight.Done()
	defer func() { <-r.semaphore }()
	due := r.started.Add(a.Offset)
	bounded, cancel := context.WithDeadline(ctx, due.Add(r.settings.AnswerTimeout))
	defer cancel()
	request := &exchange{client: r.client, settings: r.settings, arrival: a, due: due}
	result := request.run(bounded)
	if ctx.Err() != nil && result.Outcome != Done {
		result.Outcome = Abandoned
	}
	r.recorder.recordAnswer(a.Serial, a.Kind, result)
}

// reportProgress starts the progress reports and returns a function that stops them.
func (r *runner) reportProgress(progress func(Progress)) (stop func()) {
	if progress == nil {
		return func() {}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(_progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				progress(r.recorder.progress(time.Since(r.started), len(r.semaphore)))
			case <-quit:
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}
