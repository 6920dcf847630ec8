package runs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/reqst/relay"
)

const (
	_minBackoff    = 50 * time.Millisecond
	_maxBackoff    = 2 * time.Second
	_progressEvery = 16 // tokens between two reports to the decision core
	// _resumeSilenceTimeouts is how long a generation without a new token is
	// resumed after its connection broke, as a multiple of the silence timeout.
	_resumeSilenceTimeouts = 3
)

var (
	errFirstTokenLate = errors.New("the first token did not come before the request's deadline")
	errAbandoned      = errors.New("the caller disconnected and did not reconnect")
	errTooManyTokens  = errors.New("the engine sent more tokens than OutputTokensAtMost allows")
	errNotConfigured  = errors.New("the endpoint is not in the configuration any more")
)

// run relays one generation to one caller.
type run struct {
	runner     *Runner
	caller     context.Context
	sink       Sink
	completion *Completion
	placement  core.Placement
	endpoint   core.Endpoint
	generation core.GenerationID
	// owned is true on the host that started the generation, which accounts for
	// its slot and cancels it.
	owned bool
	relay relay.Relay
	// sent is the index of the next token for the caller. It is counted
	// separately from the relay, so that each checks the other.
	sent int
	// unflushed is true while the sink holds buffered tokens.
	unflushed bool

	// Settings at the start of the generation.
	resumeTimeout time.Duration
	grace         time.Duration
	maxTokens     int // 0 for no bound

	// runCtx is the context of the generation. It is cancelled, with the reason as its
	// cause, when this host stops relaying the generation for good; it may outlive the
	// caller's connection.
	runCtx    context.Context
	cancelRun context.CancelCauseFunc

	mu sync.Mutex
	// disconnected is true once the caller's connection has ended.
	disconnected bool
	// abandonAt is when a generation without a caller is abandoned.
	abandonAt time.Time
	// started is true once the first token has arrived. In a resumption it is true
	// from the beginning.
	started      bool
	abandonTimer *time.Timer
}

// tryResult is how a try ended.
type tryResult struct {
	err error
	// retry is true when the request needs another placement; result is then the
	// result of this try.
	retry  bool
	result core.Result
}

func (r *Runner) newRun(ctx context.Context, c *Completion, placement core.Placement, sink Sink) (*run, error) {
	endpoint, ok := r.config.Dispatcher.Endpoint(placement.Endpoint)
	if !ok {
		return nil, errNotConfigured
	}
	origin, err := newOrigin(r.config.Random, placement.Endpoint, r.config.Self)
	if err != nil {
		return nil, err
	}
	if c.Request.Delivery == core.DeliveryWhole {
		sink = &collector{sink: sink}
	}
	g := &run{
		runner:     r,
		caller:     ctx,
		sink:       sink,
		completion: c,
		placement:  placement,
		endpoint:   endpoint,
		generation: origin.id(c.Request.Workspace),
		owned:      true,
	}
	g.relay = relay.New(g.generation, 0)
	g.setLimits(r.config.Dispatcher.Config().Limits)
	return g, nil
}

// setLimits copies the limits that the generation needs, so that its hot path
// does not read the configuration.
func (g *run) setLimits(limits core.Limits) {
	g.resumeTimeout = _resumeSilenceTimeouts * limits.SilenceTimeout
	g.grace = limits.AbandonGrace
	g.maxTokens = limits.OutputTokensAtMost
}

// execute runs the generation until its answer is complete, it is lost, or its
// caller is gone for good.
func (g *run) execute() tryResult {
	g.runCtx, g.cancelRun = context.WithCancelCause(context.WithoutCancel(g.caller))
	defer g.cancelRun(nil)
	stop := context.AfterFunc(g.caller, g.callerDisconnected)
	defer stop()
	g.register()
	defer g.unregister()
	deadline := time.AfterFunc(time.Until(g.completion.Request.Deadline), g.checkFirstToken)
	defer deadline.Stop()
	stream, err := g.start()
	if err != nil {
		failed, result := tryFailure(err)
		if provesNotRun(result) {
			return g.endNotStarted(failed, result)
		}
	}
	return g.end(g.relayAll(stream, err))
}

func (g *run) start() (core.EngineStream, error) {
	return g.runner.config.Client.Start(g.runCtx, g.endpoint, core.EngineRequest{
		Generation: g.generation,
		Workspace:  g.completion.Request.Workspace,
		Model:      g.completion.Model,
		Adapter:    g.completion.Adapter,
		Priority:   g.placement.Priority,
		MaxTokens:  g.completion.Request.MaxTokens,
		Body:       g.completion.Body,
		Confirm:    func() bool { return g.runner.config.Dispatcher.Confirm(g.placement) },
	})
}

// endNotStarted ends a try that certainly ran nothing.
func (g *run) endNotStarted(failed *core.EndpointError, result core.Result) tryResult {
	if result == core.ResultRefused {
		if refusal, final := endpointRefusal(failed); final {
			g.finish(core.ResultRefused)
			return tryResult{err: refusal}
		}
	}
	g.runner.logger.V(1).Info("A try did not start.", "Endpoint", g.endpoint.Name, "Cause", failed.Error())
	return tryResult{retry: true, result: result}
}

// relayAll relays tokens, and resumes the generation on a new connection whenever
// the current one breaks or goes silent. It returns nil when the answer is
// complete. The first stream may be nil; err is then the error of its start.
func (g *run) relayAll(stream core.EngineStream, err error) error {
	resumeBy := g.resumeDeadline()
	for {
		before := g.relay.Next()
		if stream != nil {
			err = g.relayStream(stream)
			if closeErr := stream.Close(); closeErr != nil {
				g.runner.logger.V(1).Info("Closing a stream failed.", "Cause", closeErr.Error())
			}
		}
		if err == nil {
			return nil
		}
		if g.runCtx.Err() != nil {
			return context.Cause(g.runCtx)
		}
		// Only new tokens extend the deadline, so an engine that accepts each
		// resumption and sends nothing counts as lost eventually.
		if g.relay.Next() > before {
			resumeBy = g.resumeDeadline()
		}
		stream, err = g.resume(resumeBy, err)
		if err != nil {
			return err
		}
	}
}

func (g *run) resumeDeadline() time.Time {
	return time.Now().Add(g.resumeTimeout)
}

// relayStream relays the tokens of one connection. It returns nil when the answer
// is complete.
func (g *run) relayStream(stream core.EngineStream) error {
	buffered := asBufferedStream(stream)
	if buffered != nil {
		buffered.OnPing(g.ping)
	}
	for {
		token, err := stream.Next()
		if err != nil {
			g.flush()
			return err
		}
		done, err := g.handleToken(token)
		if done || err != nil {
			g.flush()
			return err
		}
		if buffered == nil || !buffered.Buffered() {
			g.flush()
		}
	}
}

// handleToken delivers or drops one token. done is true when the answer is
// complete.
func (g *run) handleToken(token core.Token) (done bool, err error) {
	next, verdict := g.relay.Accept(token)
	if g.runner.config.Switches.NoResumeFilter && !token.Final {
		verdict = relay.Deliver
	}
	switch verdict {
	case relay.Duplicate:
		return false, nil
	case relay.Deliver:
		if g.maxTokens > 0 && token.Index >= g.maxTokens {
			g.cancelRun(errTooManyTokens)
			return false, errTooManyTokens
		}
		g.relay = next
		g.deliver(token)
		return false, nil
	case relay.Complete:
		g.relay = next
		g.deliver(token)
		return true, nil
	default:
		return false, fmt.Errorf("the engine sent event %d of %s: %s; the next index is %d", token.Index, truncate(string(token.Generation)), verdict, g.relay.Next())
	}
}

func (g *run) deliver(token core.Token) {
	if g.relay.Delivered() <= 1 {
		g.markStarted()
	}
	if g.owned && (token.Index+1)%_progressEvery == 0 {
		g.runner.config.Dispatcher.Progress(g.completion.Request.ID, g.relay.Next())
	}
	if g.isDisconnected() {
		return
	}
	invar.Check(invar.AnswerToOwnRequest, token.Generation == g.generation,
		"generation %s: the caller gets an event of %s", g.generation, token.Generation)
	invar.Check(invar.TokensOnceInOrder, token.Index == g.sent,
		"generation %s: the caller gets event %d in place of %d", g.generation, token.Index, g.sent)
	if !token.Final {
		g.sent = token.Index + 1
	}
	if err := g.sink.Token(token); err != nil {
		g.callerDisconnected()
		return
	}
	g.unflushed = true
}

func (g *run) flush() {
	if !g.unflushed || g.isDisconnected() {
		return
	}
	g.unflushed = false
	if err := g.sink.Flush(); err != nil {
		g.callerDisconnected()
	}
}

func (g *run) ping() {
	if g.isDisconnected() {
		return
	}
	if err := g.sink.Ping(); err != nil {
		g.callerDisconnected()
	}
}

// end finishes the try and returns its result, given the error of relayAll.
func (g *run) end(err error) tryResult {
	switch {
	case err == nil:
		g.finish(core.ResultCompleted)
		if g.isDisconnected() {
			return tryResult{err: callerGoneError(g.sent)}
		}
		return tryResult{}
	case errors.Is(err, errAbandoned), g.caller.Err() != nil && !g.owned:
		_abandoned.Add(1)
		g.cancelThenFinish(core.ResultCancelled)
		return tryResult{err: callerGoneError(g.sent)}
	case errors.Is(err, errFirstTokenLate):
		g.cancelThenFinish(core.ResultLost)
		return tryResult{err: unknownError(core.CauseDeadline, err.Error(), nil)}
	case g.callerHasTokens():
		g.awaitCaller(err)
		g.cancelThenFinish(core.ResultCut)
		return tryResult{err: interruptedError(g.sent, "the generation is lost after it had begun; ask again for a new one", err)}
	case errors.Is(err, errTooManyTokens):
		g.cancelThenFinish(core.ResultCut)
		return tryResult{err: unknownError(core.CauseEndpointLost, err.Error()+"; it was cancelled", nil)}
	case !g.owned:
		return tryResult{err: unknownError(core.CauseEndpointLost, "the generation is lost", err)}
	case !g.completion.Request.Repeatable:
		g.cancelThenFinish(core.ResultLost)
		return tryResult{err: unknownError(core.CauseEndpointLost, "the endpoint was lost; the request may have run", err)}
	}
	g.cancelOnce()
	return tryResult{retry: true, result: core.ResultLost}
}

func callerGoneError(delivered int) error {
	return &core.OutcomeError{
		Outcome:   core.OutcomeUnknown,
		Cause:     core.CauseCallerGone,
		Detail:    "the caller went away",
		Delivered: delivered,
	}
}

// callerHasTokens reports whether the caller has received tokens, so that a second
// generation would be appended to part of the first.
func (g *run) callerHasTokens() bool {
	return g.completion.Request.Delivery == core.DeliveryStream && g.sent > 0
}

// finish reports the end of the try to the decision core.
func (g *run) finish(result core.Result) {
	if g.owned {
		g.runner.config.Dispatcher.Finish(g.placement, result, g.relay.Next())
	}
}
