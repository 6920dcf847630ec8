// Package runs carries requests: it has each placed by the decision core,
// starts it on the endpoint, relays the answer, resumes what a broken
// connection cut, and says how it ended.
//
// A Runner lives as long as its process. One run lives for one request and is
// used by the goroutine of its caller; what timers and other goroutines touch is
// guarded by run.mu.
//
// Lock order: Runner.mu before run.mu. Orders.mu is taken alone. No lock is held
// over a call to an endpoint, a peer or a caller, but for the check right before
// the first byte of a request.
package runs

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/io/wire"
)

// Config is what a Runner is built from.
type Config struct {
	Self       core.HostID
	Dispatcher core.Dispatcher
	Client     core.EndpointClient
	// Peer finds the client of another entry host; nil when it is unknown.
	Peer    func(core.HostName) wire.Peer
	Auditor core.Auditor
	Logger  logr.Logger
	// Random is the source of nonces; nil for the system's.
	Random   io.Reader
	Switches Switches
}

// Switches turn mechanisms off, so that a test can show that the checks
// notice. Only tests set it.
type Switches struct {
	// NoResumeFilter passes on whatever an engine sends.
	NoResumeFilter bool
	// NoTryMemory forgets that an earlier try may have run.
	NoTryMemory bool
}

// Runner carries the requests of one host. It is safe for concurrent use.
type Runner struct {
	config Config
	logger logr.Logger

	mu sync.Mutex
	// running holds the generations that this host started and has not ended,
	// so that other hosts can ask to keep them.
	running map[core.GenerationID]*run
	// requests numbers the requests of this host.
	requests atomic.Uint64
	// work and held count what is in hand.
	work sync.WaitGroup
	held atomic.Int64
}

// New builds a Runner.
func New(config Config) *Runner {
	if config.Random == nil {
		config.Random = rand.Reader
	}
	return &Runner{
		config:  config,
		logger:  config.Logger.WithName("runs"),
		running: map[core.GenerationID]*run{},
	}
}

// Running gives the number of requests, generations without a caller and cancels
// that are in hand.
func (r *Runner) Running() int { return int(r.held.Load()) }

// Hold counts one more piece of work until release is called. Who carries a
// request holds it until the caller has the last byte.
func (r *Runner) Hold() (release func()) {
	r.work.Add(1)
	r.held.Add(1)
	return func() {
		r.held.Add(-1)
		r.work.Done()
	}
}

// inBackground runs f on a goroutine of its own that counts as work in hand.
func (r *Runner) inBackground(f func()) {
	release := r.Hold()
	go func() {
		defer release()
		f()
	}()
}

// Wait returns when nothing is in hand any more. New requests must have been
// stopped before.
func (r *Runner) Wait() { r.work.Wait() }

// Sink takes the answer of one request. Its methods are called by one goroutine.
// An error means that the caller is gone.
type Sink interface {
	// Token takes a token; it may hold it back until Flush.
	Token(token core.Token) error
	// Flush sends what was held back.
	Flush() error
	// Ping tells that the engine is alive and has no token.
	Ping() error
}

// Completion is a request to a model engine.
type Completion struct {
	Request core.Request
	Model   core.ModelName
	Adapter core.AdapterName
	Body    []byte
}

// Complete runs a completion and passes its answer to the sink. It returns nil
// when the answer is whole; otherwise an *core.OutcomeError.
func (r *Runner) Complete(ctx context.Context, c *Completion, sink Sink) error {
	defer r.Hold()()
	return counted(r.complete(ctx, c, sink))
}

func (r *Runner) complete(ctx context.Context, c *Completion, sink Sink) error {
	placement, err := r.config.Dispatcher.Place(ctx, c.Request)
	mayHaveRun := false
	for err == nil {
		end := r.try(ctx, c, placement, sink)
		if !end.again {
			return r.conclude(end.err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !provesNotRun(end.result)
		_replaced.Add(1)
		placement, err = r.config.Dispatcher.Replace(ctx, placement, end.result)
	}
	return r.conclude(err, mayHaveRun)
}

// try runs a completion once.
func (r *Runner) try(ctx context.Context, c *Completion, placement core.Placement, sink Sink) ending {
	g, err := r.newRun(ctx, c, placement, sink)
	if err != nil {
		r.logger.Error(err, "A try was not built.", "Endpoint", placement.Endpoint)
		return ending{again: true, result: core.ResultDialFailed}
	}
	return g.carry()
}

// Call runs one repeatable call of a plain service.
func (r *Runner) Call(ctx context.Context, request core.Request, body []byte) ([]byte, error) {
	defer r.Hold()()
	o := unary{runner: r, request: request, body: body}
	answer, err := o.run(ctx)
	return answer, counted(err)
}

// provesNotRun tells whether a result proves that the endpoint ran nothing.
func provesNotRun(result core.Result) bool {
	return result == core.ResultDialFailed || result == core.ResultRefused
}

// conclude turns a NotRun into Unknown when an earlier try may have run. The
// dispatcher refuses a request without knowing what its tries did.
func (r *Runner) conclude(err error, mayHaveRun bool) error {
	if err == nil {
		return nil
	}
	var outcome *core.OutcomeError
	if !errors.As(err, &outcome) {
		return internal(err)
	}
	if outcome.Outcome == core.OutcomeNotRun && mayHaveRun && !r.config.Switches.NoTryMemory {
		changed := *outcome
		changed.Outcome = core.OutcomeUnknown
		changed.Detail = "an earlier try may have run; then: " + outcome.Detail
		outcome = &changed
	}
	invar.Check(invar.NotRunMeansNotRun, outcome.Outcome != core.OutcomeNotRun || !mayHaveRun,
		"a request is called NotRun though a try may have run: %v", outcome)
	return outcome
}

func internal(err error) error {
	return &core.OutcomeError{
		Outcome: core.OutcomeUnknown,
		Cause:   core.CauseInternal,
		Detail:  "the entry host failed",
		Err:     err,
	}
}

func interrupted(delivered int, detail string, err error) error {
	return &core.OutcomeError{
		Outcome:   core.OutcomeInterrupted,
		Cause:     core.CauseEndpointLost,
		Detail:    detail,
		Delivered: delivered,
		Err:       err,
	}
}

func unknown(cause core.Cause, detail string, err error) error {
	return &core.OutcomeError{Outcome: core.OutcomeUnknown, Cause: cause, Detail: detail, Err: err}
}

// endpointRefusal judges a definite refusal. 429 and 503 are the endpoint's
// load, and another may take the request; other statuses are about the request
// itself, which no other would take either.
func endpointRefusal(err *core.EndpointError) (refusal *core.OutcomeError, final bool) {
	const tooMany, unavailable = 429, 503
	if err.Status == tooMany || err.Status == unavailable {
		return nil, false
	}
	return &core.OutcomeError{
		Outcome: core.OutcomeNotRun,
		Cause:   core.CauseEndpointDenied,
		Detail:  "the endpoint refused the request as it is",
		Err:     err,
	}, true
}

// resultOf gives the result of a failed try.
func resultOf(err error) (*core.EndpointError, core.Result) {
	var failed *core.EndpointError
	if errors.As(err, &failed) {
		return failed, failed.Result
	}
	return &core.EndpointError{Result: core.ResultLost, Err: err}, core.ResultLost
}

// pause waits before another attempt; false when ctx has ended.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
