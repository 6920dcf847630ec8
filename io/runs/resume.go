package runs

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/reqst/relay"
	"apricotproxy/io/wire"
)

// Resumption is a request for the rest of a generation, whichever entry host
// started it.
type Resumption struct {
	Workspace  core.WorkspaceName
	Generation core.GenerationID
	// Next is the index of the first token that the caller lacks.
	Next int
}

// Resume relays the rest of a generation that its engine still holds. It returns
// nil when the answer is complete, and an *core.OutcomeError otherwise.
func (r *Runner) Resume(ctx context.Context, resumption Resumption, sink Sink) error {
	defer r.Track()()
	origin, err := ParseGeneration(resumption.Generation, resumption.Workspace)
	if err != nil {
		return core.NotRun(core.CauseBadRequest, err.Error(), time.Time{})
	}
	endpoint, ok := r.config.Dispatcher.Endpoint(origin.Endpoint)
	if !ok {
		return interruptedError(resumption.Next, "the generation's endpoint has left the configuration", nil)
	}
	g := &run{
		runner:     r,
		caller:     ctx,
		sink:       sink,
		endpoint:   endpoint,
		generation: resumption.Generation,
		relay:      relay.New(resumption.Generation, resumption.Next),
		sent:       resumption.Next,
		started:    true,
		completion: &Completion{},
	}
	g.setLimits(r.config.Dispatcher.Config().Limits)
	g.runCtx, g.cancelRun = context.WithCancelCause(ctx)
	defer g.cancelRun(nil)
	go r.renewAdoption(g.runCtx, origin.Host, resumption.Generation)
	stream, err := r.config.Client.Resume(g.runCtx, endpoint, resumption.Generation, resumption.Next)
	if err != nil {
		if provesNotHeld(err) {
			return g.end(fmt.Errorf("the engine does not hold the generation any more: %w", err)).err
		}
	}
	return g.end(g.relayAll(stream, err)).err
}

// renewAdoption asks the host that started a generation, until ctx ends, not to
// cancel it. If that host is gone, the generation continues all the same: the
// engine's output limit ends it at the latest. This host does not cancel it, since
// the caller may have reconnected to a third host without this host's knowledge.
func (r *Runner) renewAdoption(ctx context.Context, host core.HostID, generation core.GenerationID) {
	for wait := _minBackoff; ; {
		known, term, err := r.requestAdoption(ctx, host, generation)
		next := max(term/_renewalsPerTerm, _minBackoff)
		switch {
		case err != nil:
			// One failed call does not mean that the host is gone.
			r.logger.V(1).Info("Renewing an adoption failed.", "Host", host.Host, "Cause", err.Error())
			next, wait = wait, min(2*wait, _maxBackoff)
		case !known:
			return
		default:
			wait = _minBackoff
		}
		if !sleep(ctx, next) {
			return
		}
	}
}

// _renewalsPerTerm is how often an adoption is renewed within its term.
const _renewalsPerTerm = 3

// requestAdoption makes one Adopt call to the host that started a generation, which
// then does not cancel it until term is over. known is false if that host does not
// run the generation.
func (r *Runner) requestAdoption(ctx context.Context, host core.HostID, generation core.GenerationID) (known bool, term time.Duration, err error) {
	if host == r.config.Self {
		known, term = r.adopt(generation)
		return known, term, nil
	}
	peer := r.peer(host.Host)
	if peer == nil {
		return false, 0, fmt.Errorf("no address of host %s is known", host.Host)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_adoptTimeout))
	defer cancel()
	reply, err := peer.Adopt(ctx, &wire.AdoptRequest{From: wire.FromHostID(r.config.Self), Generation: string(generation)})
	if err != nil {
		return false, 0, fmt.Errorf("send the adoption of a generation to %s: %w", host.Host, err)
	}
	return reply.GetKnown(), time.Duration(reply.GetTermMillis()) * time.Millisecond, nil
}

func (r *Runner) peer(host core.HostName) wire.Peer {
	if r.config.Peer == nil {
		return nil
	}
	return r.config.Peer(host)
}
