// Package place is a fake dispatcher: it places requests on the endpoints of
// their service in turn, without limits, and records how tries ended.
package place

import (
	"context"
	"sync"
	"time"

	"apricotproxy/core"
)

// FinishedTry is one finished try.
type FinishedTry struct {
	Request  core.RequestID
	Endpoint core.EndpointName
	Result   core.Result
	Tokens   int
}

// Dispatcher is a core.Dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	// MaxTries is the most tries that one request gets.
	MaxTries int
	// OnConfirm decides the result of Confirm; if it is nil, every placement is
	// valid.
	OnConfirm func(core.Placement) bool

	mu       sync.Mutex
	config   core.Config
	next     int
	requests map[core.RequestID]core.Request
	finished []FinishedTry
	refusal  *core.OutcomeError
}

var _ core.Dispatcher = (*Dispatcher)(nil)

// New returns a dispatcher for a configuration.
func New(config core.Config) *Dispatcher {
	const tries = 3
	return &Dispatcher{MaxTries: tries, config: config, requests: map[core.RequestID]core.Request{}}
}

// Refuse makes Place return the refusal from now on; nil ends that.
func (d *Dispatcher) Refuse(refusal *core.OutcomeError) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusal = refusal
}

// FinishedTries returns the finished tries so far.
func (d *Dispatcher) FinishedTries() []FinishedTry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]FinishedTry(nil), d.finished...)
}

// InUse returns the number of requests that are placed and not finished.
func (d *Dispatcher) InUse() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}

// Place implements core.Dispatcher.
func (d *Dispatcher) Place(ctx context.Context, request core.Request) (core.Placement, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusal != nil {
		return core.Placement{}, d.refusal
	}
	if ctx.Err() != nil {
		return core.Placement{}, core.NotRun(core.CauseCallerGone, "the caller went away", time.Time{})
	}
	d.requests[request.ID] = request
	return d.place(request, 1)
}

// place picks the next endpoint of the service. The caller holds the lock.
func (d *Dispatcher) place(request core.Request, try int) (core.Placement, error) {
	for range d.config.Endpoints {
		endpoint := d.config.Endpoints[d.next%len(d.config.Endpoints)]
		d.next++
		if endpoint.Service == request.Service {
			return core.Placement{Request: request.ID, Endpoint: endpoint.Name, Try: try, Priority: request.Priority}, nil
		}
	}
	delete(d.requests, request.ID)
	return core.Placement{}, core.NotRun(core.CauseNoEndpoint, "no endpoint serves the service", time.Time{})
}

// Confirm implements core.Dispatcher.
func (d *Dispatcher) Confirm(placement core.Placement) bool {
	return d.OnConfirm == nil || d.OnConfirm(placement)
}

// Progress implements core.Dispatcher.
func (d *Dispatcher) Progress(core.RequestID, int) {}

// Finish implements core.Dispatcher.
func (d *Dispatcher) Finish(placement core.Placement, result core.Result, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTry(placement, result, tokens)
	delete(d.requests, placement.Request)
}

func (d *Dispatcher) recordTry(placement core.Placement, result core.Result, tokens int) {
	d.finished = append(d.finished, FinishedTry{
		Request:  placement.Request,
		Endpoint: placement.Endpoint,
		Result:   result,
		Tokens:   tokens,
	})
}

// Replace implements core.Dispatcher.
func (d *Dispatcher) Replace(ctx context.Context, failed core.Placement, result core.Result) (core.Placement, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTry(failed, result, 0)
	request := d.requests[failed.Request]
	if failed.Try >= d.MaxTries || ctx.Err() != nil {
		delete(d.requests, failed.Request)
		return core.Placement{}, core.NotRun(core.CauseRetryBudget, "the tries are spent", time.Now().Add(time.Second))
	}
	return d.place(request, failed.Try+1)
}

// Endpoint implements core.Dispatcher.
func (d *Dispatcher) Endpoint(name core.EndpointName) (core.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.config.Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return core.Endpoint{}, false
}

// Config implements core.Dispatcher.
func (d *Dispatcher) Config() core.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

// SetConfig puts another configuration in force.
func (d *Dispatcher) SetConfig(config core.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = config
}
