package runs

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/reqst/relay"
	"apricotproxy/io/wire"
)

// Resumption asks for the rest of a generation that any entry host started.
type Resumption struct {
	Workspace  core.WorkspaceName
	Generation core.GenerationID
	// Next is the index of the first token that the caller lacks.
	Next int
}

// Resume continues a generation from the engine's own memory. It returns nil
// when the answer is whole; otherwise an *core.OutcomeError.
func (r *Runner) Resume(ctx context.Context, resumption Resumption, sink Sink) error {
	defer r.Hold()()
	origin, err := ParseGeneration(resumption.Generation, resumption.Workspace)
	if err != nil {
		return core.NotRun(core.CauseBadRequest, err.Error(), time.Time{})
	}
	endpoint, ok := r.config.Dispatcher.Endpoint(origin.Endpoint)
	if !ok {
		return interrupted(resumption.Next, "the generation's endpoint has left the configuration", nil)
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
	g.set(r.config.Dispatcher.Config().Limits)
	g.life, g.endLife = context.WithCancelCause(ctx)
	defer g.endLife(nil)
	go r.keepAdopted(g.life, origin.Host, resumption.Generation)
	stream, err := r.config.Client.Resume(g.life, endpoint, resumption.Generation, resumption.Next)
	if err != nil {
		if holdsNoMore(err) {
			return g.end(fmt.Errorf("the engine does not hold the generation any more: %w", err)).err
		}
	}
	return g.end(g.relayAll(stream, err)).err
}

// keepAdopted keeps a generation on its first host until ctx ends. Without that
// host the generation goes on too: it ends at the latest with the engine's bound
// on output. It is not cancelled from here, since its caller may have come back
// at a third host, which this one cannot know.
func (r *Runner) keepAdopted(ctx context.Context, host core.HostID, generation core.GenerationID) {
	for wait := _firstPause; ; {
		known, term, err := r.askAdoption(ctx, host, generation)
		next := max(term/_renewals, _firstPause)
		switch {
		case err != nil:
			// A link that stalls for a moment says nothing of the host.
			r.logger.V(1).Info("An adoption was not answered.", "Host", host.Host, "Cause", err.Error())
			next, wait = wait, min(2*wait, _longestPause)
		case !known:
			return
		default:
			wait = _firstPause
		}
		if !pause(ctx, next) {
			return
		}
	}
}

// _renewals is how often an adoption is renewed in its term.
const _renewals = 3

func (r *Runner) askAdoption(ctx context.Context, host core.HostID, generation core.GenerationID) (known bool, term time.Duration, err error) {
	if host == r.config.Self {
		known, term = r.adopt(generation)
		return known, term, nil
	}
	peer := r.peer(host.Host)
	if peer == nil {
		return false, 0, fmt.Errorf("no address of host %s is known", host.Host)
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_peerTry))
	defer cancel()
	reply, err := peer.Adopt(ctx, &wire.AdoptRequest{From: wire.FromHostID(r.config.Self), Generation: string(generation)})
	if err != nil {
		return false, 0, fmt.Errorf("ask %s to keep a generation: %w", host.Host, err)
	}
	return reply.GetKnown(), time.Duration(reply.GetTermMillis()) * time.Millisecond, nil
}

func (r *Runner) peer(host core.HostName) wire.Peer {
	if r.config.Peer == nil {
		return nil
	}
	return r.config.Peer(host)
}
