// Package runs executes requests: it has each request placed by the decision
// core, starts it on the endpoint, relays the answer, resumes generations after
// a connection broke, and reports the outcome.
//
// A Runner lives as long as its process. A run exists for one try of a request
// or for one resumption and is used by the goroutine of its caller; the fields
// that timers and other goroutines access are guarded by run.mu.
//
// Lock order: Runner.mu before run.mu. Orders.mu is never held together with
// either. No lock is held during a call to an endpoint, a peer or a caller,
// except for the check right before the first byte of a request.
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

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Self       core.HostID
	Dispatcher core.Dispatcher
	Client     core.EndpointClient
	// Peer returns the client of another entry host, or nil when the host is
	// unknown.
	Peer    func(core.HostName) wire.Peer
	Auditor core.Auditor
	Logger  logr.Logger
	// Random is the source of nonces; nil means crypto/rand.
	Random   io.Reader
	Switches Switches
}

// Switches disable safeguards, so that tests can show that the invariant checks
// detect the resulting faults. Only tests set them.
type Switches struct {
	// NoResumeFilter relays repeated, missing and foreign tokens unfiltered.
	NoResumeFilter bool
	// ForgetEarlierTries reports NotRun although an earlier try may have run.
	ForgetEarlierTries bool
}

// Runner executes the requests of one host. It is safe for concurrent use.
type Runner struct {
	config Config
	logger logr.Logger

	mu sync.Mutex
	// running holds the unfinished generations that this host started, so that
	// other hosts can adopt them.
	running map[core.GenerationID]*run
	// requests is the number of the last request of this host.
	requests atomic.Uint64
	// tasks and taskCount count the work in progress: Wait needs the former,
	// Running the latter.
	tasks     sync.WaitGroup
	taskCount atomic.Int64
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

// Running returns the number of requests, generations without a caller and
// cancellations in progress.
func (r *Runner) Running() int { return int(r.taskCount.Load()) }

// Track counts a task as in progress until release is called. A request handler
// calls release once the last byte of the answer was sent to the caller.
func (r *Runner) Track() (release func()) {
	r.tasks.Add(1)
	r.taskCount.Add(1)
	return func() {
		r.taskCount.Add(-1)
		r.tasks.Done()
	}
}

// runInBackground runs f on its own goroutine, which counts as a task in
// progress.
func (r *Runner) runInBackground(f func()) {
	release := r.Track()
	go func() {
		defer release()
		f()
	}()
}

// Wait blocks until no task is in progress. New requests must have been stopped
// before.
func (r *Runner) Wait() { r.tasks.Wait() }

// Sink receives the answer of one request. Its methods are called by one
// goroutine. An error means that the caller has disconnected.
type Sink interface {
	// Token receives a token and may buffer it until Flush.
	Token(token core.Token) error
	// Flush sends the buffered tokens.
	Flush() error
	// Ping reports that the engine is alive but has no token yet.
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
// when the answer is complete, and an *core.OutcomeError otherwise.
func (r *Runner) Complete(ctx context.Context, c *Completion, sink Sink) error {
	defer r.Track()()
	return countOutcome(r.complete(ctx, c, sink))
}

func (r *Runner) complete(ctx context.Context, c *Completion, sink Sink) error {
	placement, err := r.config.Dispatcher.Place(ctx, c.Request)
	mayHaveRun := false
	for err == nil {
		tried := r.try(ctx, c, placement, sink)
		if !tried.retry {
			return r.conclude(tried.err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !provesNotRun(tried.result)
		_replaced.Add(1)
		placement, err = r.config.Dispatcher.Replace(ctx, placement, tried.result)
	}
	return r.conclude(err, mayHaveRun)
}

// try runs a completion once, on the endpoint of the placement.
func (r *Runner) try(ctx context.Context, c *Completion, placement core.Placement, sink Sink) tryResult {
	g, err := r.newRun(ctx, c, placement, sink)
	if err != nil {
		r.logger.Error(err, "Preparing a try failed.", "Endpoint", placement.Endpoint)
		return tryResult{retry: true, result: core.ResultDialFailed}
	}
	return g.execute()
}

// Call runs one repeatable call of a plain service.
func (r *Runner) Call(ctx context.Context, request core.Request, body []byte) ([]byte, error) {
	defer r.Track()()
	u := unary{runner: r, request: request, body: body}
	answer, err := u.run(ctx)
	return answer, countOutcome(err)
}

// provesNotRun reports whether a result proves that the endpoint ran nothing.
func provesNotRun(result core.Result) bool {
	return result == core.ResultDialFailed || result == core.ResultRefused
}

// conclude changes the outcome NotRun to Unknown when an earlier try may have
// run: the dispatcher refuses a request without knowing what its tries did.
func (r *Runner) conclude(err error, mayHaveRun bool) error {
	if err == nil {
		return nil
	}
	var outcome *core.OutcomeError
	if !errors.As(err, &outcome) {
		return internalError(err)
	}
	if outcome.Outcome == core.OutcomeNotRun && mayHaveRun && !r.config.Switches.ForgetEarlierTries {
		changed := *outcome
		changed.Outcome = core.OutcomeUnknown
		changed.Detail = "an earlier try may have run; then: " + outcome.Detail
		outcome = &changed
	}
	invar.Check(invar.NotRunMeansNotRun, outcome.Outcome != core.OutcomeNotRun || !mayHaveRun,
		"a request is reported as NotRun although a try may have run: %v", outcome)
	return outcome
}

func internalError(err error) error {
	return &core.OutcomeError{
		Outcome: core.OutcomeUnknown,
		Cause:   core.CauseInternal,
		Detail:  "the entry host failed",
		Err:     err,
	}
}

func interruptedError(delivered int, detail string, err error) error {
	return &core.OutcomeError{
		Outcome:   core.OutcomeInterrupted,
		Cause:     core.CauseEndpointLost,
		Detail:    detail,
		Delivered: delivered,
		Err:       err,
	}
}

func unknownError(cause core.Cause, detail string, err error) error {
	return &core.OutcomeError{Outcome: core.OutcomeUnknown, Cause: cause, Detail: detail, Err: err}
}

// endpointRefusal classifies a definite refusal. Statuses 429 and 503 mean that
// the endpoint is overloaded, so another one may accept the request. All other
// statuses concern the request itself, which no other endpoint would accept
// either, so the refusal is final.
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

// tryFailure returns the details and the result of a failed try. An error of any
// other type counts as the loss of the endpoint.
func tryFailure(err error) (*core.EndpointError, core.Result) {
	var failed *core.EndpointError
	if errors.As(err, &failed) {
		return failed, failed.Result
	}
	return &core.EndpointError{Result: core.ResultLost, Err: err}, core.ResultLost
}

// sleep waits for the given time. It returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
