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
	_firstPause    = 50 * time.Millisecond
	_longestPause  = 2 * time.Second
	_progressEvery = 16 // tokens between two reports to the decision core
	// _resumeSilences bounds the time without a new token in which a cut
	// generation is resumed, in silence timeouts.
	_resumeSilences = 3
)

var (
	errTooLate       = errors.New("the first token did not come before the request's deadline")
	errExpired       = errors.New("the caller went away and did not come back")
	errTooLong       = errors.New("the engine sent more tokens than OutputTokensAtMost allows")
	errNotConfigured = errors.New("the endpoint is not in the configuration any more")
)

// run is one generation on its way to one caller.
type run struct {
	runner     *Runner
	caller     context.Context
	sink       Sink
	completion *Completion
	placement  core.Placement
	endpoint   core.Endpoint
	generation core.GenerationID
	// owned is true on the host that started the generation, which keeps its
	// slot counted and cancels it.
	owned bool
	relay relay.Relay
	// sent is the index that the caller is to get next, counted apart from the
	// relay so that the one checks the other.
	sent int
	// unflushed tells that tokens are held back in the sink.
	unflushed bool

	// Settings at the start of the generation.
	resumeTerm   time.Duration
	grace        time.Duration
	tokensAtMost int // 0 for no bound

	// life ends when the generation is given up for good.
	life    context.Context
	endLife context.CancelCauseFunc

	mu sync.Mutex
	// gone is true when nobody takes the tokens any more.
	gone bool
	// keepUntil is when a generation without a caller is given up.
	keepUntil time.Time
	started   bool
	keeper    *time.Timer
}

// ending tells how a try ended.
type ending struct {
	err error
	// again asks for another placement, after a try with this result.
	again  bool
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
	g.set(r.config.Dispatcher.Config().Limits)
	return g, nil
}

// set takes what the generation needs of the settings, so that its hot path does
// not ask for the configuration.
func (g *run) set(limits core.Limits) {
	g.resumeTerm = _resumeSilences * limits.SilenceTimeout
	g.grace = limits.AbandonGrace
	g.tokensAtMost = limits.OutputTokensAtMost
}

// carry runs the generation until its answer is whole, it is lost, or its
// caller is gone for good.
func (g *run) carry() ending {
	g.life, g.endLife = context.WithCancelCause(context.WithoutCancel(g.caller))
	defer g.endLife(nil)
	stop := context.AfterFunc(g.caller, g.callerLeft)
	defer stop()
	g.register()
	defer g.unregister()
	late := time.AfterFunc(time.Until(g.completion.Request.Deadline), g.firstTokenLate)
	defer late.Stop()
	stream, err := g.start()
	if err != nil {
		failed, result := resultOf(err)
		if provesNotRun(result) {
			return g.notStarted(failed, result)
		}
	}
	return g.end(g.relayAll(stream, err))
}

func (g *run) start() (core.EngineStream, error) {
	return g.runner.config.Client.Start(g.life, g.endpoint, core.EngineRequest{
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

// notStarted ends a try that certainly ran nothing.
func (g *run) notStarted(failed *core.EndpointError, result core.Result) ending {
	if result == core.ResultRefused {
		if refusal, final := endpointRefusal(failed); final {
			g.finish(core.ResultRefused)
			return ending{err: refusal}
		}
	}
	g.runner.logger.V(1).Info("A try did not start.", "Endpoint", g.endpoint.Name, "Cause", failed.Error())
	return ending{again: true, result: result}
}

// relayAll passes tokens on, and resumes the generation on a fresh connection
// whenever the present one breaks or goes silent. It returns nil when the answer
// is whole. The first stream may be nil, with the error of its start.
func (g *run) relayAll(stream core.EngineStream, err error) error {
	resumeBy := g.resumeDeadline()
	for {
		before := g.relay.Next()
		if stream != nil {
			err = g.pump(stream)
			if closeErr := stream.Close(); closeErr != nil {
				g.runner.logger.V(1).Info("Closing a stream failed.", "Cause", closeErr.Error())
			}
		}
		if err == nil {
			return nil
		}
		if g.life.Err() != nil {
			return context.Cause(g.life)
		}
		// Only tokens extend the time: an engine that accepts each resumption
		// and sends nothing is lost in the end.
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
	return time.Now().Add(g.resumeTerm)
}

// pump passes on the tokens of one connection. It returns nil when the answer is
// whole.
func (g *run) pump(stream core.EngineStream) error {
	buffer := batchedOf(stream)
	if buffer != nil {
		buffer.OnPing(g.ping)
	}
	for {
		token, err := stream.Next()
		if err != nil {
			g.flush()
			return err
		}
		done, err := g.take(token)
		if done || err != nil {
			g.flush()
			return err
		}
		if buffer == nil || !buffer.Buffered() {
			g.flush()
		}
	}
}

// take judges one token; done tells that the answer is whole.
func (g *run) take(token core.Token) (done bool, err error) {
	next, verdict := g.relay.Accept(token)
	if g.runner.config.Switches.NoResumeFilter && !token.Final {
		verdict = relay.Deliver
	}
	switch verdict {
	case relay.Duplicate:
		return false, nil
	case relay.Deliver:
		if g.tokensAtMost > 0 && token.Index >= g.tokensAtMost {
			g.endLife(errTooLong)
			return false, errTooLong
		}
		g.relay = next
		g.deliver(token)
		return false, nil
	case relay.Complete:
		g.relay = next
		g.deliver(token)
		return true, nil
	default:
		return false, fmt.Errorf("the engine sent event %d of %s, judged %s at %d", token.Index, clip(string(token.Generation)), verdict, g.relay.Next())
	}
}

func (g *run) deliver(token core.Token) {
	if g.relay.Delivered() <= 1 {
		g.markStarted()
	}
	if g.owned && (token.Index+1)%_progressEvery == 0 {
		g.runner.config.Dispatcher.Progress(g.completion.Request.ID, g.relay.Next())
	}
	if g.isGone() {
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
		g.callerLeft()
		return
	}
	g.unflushed = true
}

func (g *run) flush() {
	if !g.unflushed || g.isGone() {
		return
	}
	g.unflushed = false
	if err := g.sink.Flush(); err != nil {
		g.callerLeft()
	}
}

func (g *run) ping() {
	if g.isGone() {
		return
	}
	if err := g.sink.Ping(); err != nil {
		g.callerLeft()
	}
}

// end tells how the generation ended, given what relayAll returned.
func (g *run) end(err error) ending {
	switch {
	case err == nil:
		g.finish(core.ResultCompleted)
		if g.isGone() {
			return ending{err: callerGone(g.sent)}
		}
		return ending{}
	case errors.Is(err, errExpired), g.caller.Err() != nil && !g.owned:
		_abandoned.Add(1)
		g.cancelThenFinish(core.ResultCancelled)
		return ending{err: callerGone(g.sent)}
	case errors.Is(err, errTooLate):
		g.cancelThenFinish(core.ResultLost)
		return ending{err: unknown(core.CauseDeadline, err.Error(), nil)}
	case g.callerHasTokens():
		g.awaitCaller(err)
		g.cancelThenFinish(core.ResultCut)
		return ending{err: interrupted(g.sent, "the generation is lost after it had begun; ask again for a new one", err)}
	case errors.Is(err, errTooLong):
		g.cancelThenFinish(core.ResultCut)
		return ending{err: unknown(core.CauseEndpointLost, err.Error()+"; it was cancelled", nil)}
	case !g.owned:
		return ending{err: unknown(core.CauseEndpointLost, "the generation is lost", err)}
	case !g.completion.Request.Repeatable:
		g.cancelThenFinish(core.ResultLost)
		return ending{err: unknown(core.CauseEndpointLost, "the endpoint was lost; the request may have run", err)}
	}
	g.cancelOnce()
	return ending{again: true, result: core.ResultLost}
}

func callerGone(delivered int) error {
	return &core.OutcomeError{
		Outcome:   core.OutcomeUnknown,
		Cause:     core.CauseCallerGone,
		Detail:    "the caller went away",
		Delivered: delivered,
	}
}

// callerHasTokens tells whether a second generation would be spliced on what the
// caller has.
func (g *run) callerHasTokens() bool {
	return g.completion.Request.Delivery == core.DeliveryStream && g.sent > 0
}

// finish ends the try with the decision core.
func (g *run) finish(result core.Result) {
	if g.owned {
		g.runner.config.Dispatcher.Finish(g.placement, result, g.relay.Next())
	}
}
