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

// Run sends the load and gives the result. When ctx ends it sends no more and
// gives up the requests in flight, which the result counts as Abandoned.
// Progress is called about once a second and may be nil.
func Run(ctx context.Context, settings Settings, dialer core.Dialer, progress func(Progress)) (Result, error) {
	if err := settings.Check(); err != nil {
		return Result{}, fmt.Errorf("checking the load: %w", err)
	}
	r := &runner{
		settings: settings,
		recorder: newRecorder(),
		started:  time.Now(),
		slots:    make(chan struct{}, settings.MaxOpen),
		client:   newClient(settings, dialer),
	}
	defer r.client.CloseIdleConnections()
	stop := r.reportProgress(progress)
	r.sendAll(ctx)
	r.open.Wait()
	stop()
	return r.recorder.result(time.Since(r.started)), nil
}

// newClient makes a client that never gives up a connection for want of idle
// places: a fresh dial for each request would measure the dials.
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
	settings Settings
	recorder *recorder
	started  time.Time
	client   *http.Client
	slots    chan struct{} // one taken for each request in flight
	open     sync.WaitGroup
}

func (r *runner) sendAll(ctx context.Context) {
	plan := newPlan(r.settings)
	for {
		next, more := plan.next()
		if !more || !sleepUntil(ctx, r.started.Add(next.Offset)) {
			return
		}
		r.recorder.sent(next.Kind)
		select {
		case r.slots <- struct{}{}:
		default:
			r.recorder.finish(next.Serial, next.Kind, answer{Outcome: Skipped})
			continue
		}
		r.open.Add(1)
		go r.send(ctx, next)
	}
}

// sleepUntil reports whether the time came before ctx ended.
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

// send runs one request to its end.
func (r *runner) send(ctx context.Context, a arrival) {
	defer r.open.Done()
	defer func() { <-r.slots }()
	due := r.started.Add(a.Offset)
	bounded, cancel := context.WithDeadline(ctx, due.Add(r.settings.AnswerTimeout))
	defer cancel()
	request := &exchange{client: r.client, settings: r.settings, arrival: a, due: due}
	result := request.run(bounded)
	if ctx.Err() != nil && result.Outcome != Done {
		result.Outcome = Abandoned
	}
	r.recorder.finish(a.Serial, a.Kind, result)
}

// reportProgress starts the progress lines and gives the function that ends them.
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
				progress(r.recorder.progress(time.Since(r.started), len(r.slots)))
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
