package runs

import (
	"context"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

const (
	// _cancelTerm bounds the retries of a cancel. The slot stays counted until
	// the engine has answered one, or the term is over.
	_cancelTerm = 2 * time.Minute
	// _cancelTry bounds one attempt.
	_cancelTry = 2 * time.Second
	// _sleepAtLeast is how late a timer fires in a process that has slept.
	_sleepAtLeast = time.Second
	// _peerTry bounds one call to another entry host.
	_peerTry = 2 * time.Second
)

func (g *run) register() {
	if !g.owned {
		return
	}
	r := g.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[g.generation] = g
}

func (g *run) unregister() {
	r := g.runner
	r.mu.Lock()
	if g.owned {
		delete(r.running, g.generation)
	}
	r.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.keeper != nil {
		g.keeper.Stop()
	}
}

func (g *run) isGone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gone
}

func (g *run) markStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = true
}

// firstTokenLate gives the generation up when nothing came before the request's
// deadline.
func (g *run) firstTokenLate() {
	g.mu.Lock()
	started := g.started
	g.mu.Unlock()
	if !started {
		g.endLife(errTooLate)
	}
}

// callerLeft is called when the caller's connection has ended. A caller that has
// an event id may come back, to any host; until the grace is over the generation
// goes on without it. One that has none cannot.
func (g *run) callerLeft() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gone {
		return
	}
	g.gone = true
	if !g.started || g.completion.Request.Delivery == core.DeliveryWhole || !g.owned {
		g.endLife(errExpired)
		return
	}
	if until := time.Now().Add(g.grace); until.After(g.keepUntil) {
		g.keepUntil = until
	}
	g.keeper = time.AfterFunc(time.Until(g.keepUntil), g.expire)
}

// expire gives up a generation whose caller did not come back.
func (g *run) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := time.Until(g.keepUntil)
	if left < -_sleepAtLeast {
		// The process slept, and could not hear of an adoption meanwhile.
		left = g.grace
		g.keepUntil = time.Now().Add(left)
	}
	if left > 0 {
		g.keeper.Reset(left)
		return
	}
	g.endLife(errExpired)
}

// awaitCaller waits while the generation is kept for a caller that left or has
// come back at another host. This host has lost the stream, but the other one's
// link to the engine may work: a cancel would cut off what the caller reads there.
func (g *run) awaitCaller(lost error) {
	if holdsNoMore(lost) || !g.owned {
		return
	}
	for {
		g.mu.Lock()
		left := time.Until(g.keepUntil)
		g.mu.Unlock()
		if left <= 0 || !pause(g.life, left) {
			return
		}
	}
}

// keep lets a generation go on until at least the deadline: its caller has come
// back elsewhere.
func (g *run) keep(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.keepUntil) {
		g.keepUntil = until
	}
}

// Adopt is asked by a host to which the caller of one of this host's generations
// has come back. This host keeps the slot counted and does not cancel; the term
// is to be renewed before it is over.
func (r *Runner) Adopt(_ context.Context, request *wire.AdoptRequest) (*wire.AdoptReply, error) {
	known, term := r.adopt(core.GenerationID(request.GetGeneration()))
	return &wire.AdoptReply{Known: known, TermMillis: uint64(term.Milliseconds())}, nil
}

func (r *Runner) adopt(generation core.GenerationID) (known bool, term time.Duration) {
	term = r.config.Dispatcher.Config().Limits.AbandonGrace
	r.mu.Lock()
	g, known := r.running[generation]
	r.mu.Unlock()
	if known {
		g.keep(time.Now().Add(term))
	}
	return known, term
}

// cancelOnce makes one attempt to cancel before the request is placed again, and
// leaves further ones to the background.
func (g *run) cancelOnce() {
	if g.tryCancel() {
		return
	}
	g.runner.inBackground(func() { g.cancelUntil(time.Now().Add(_cancelTerm)) })
}

// cancelThenFinish cancels in the background and ends the try when the engine
// has answered, or the term is over: until then the engine may still be at work,
// and the slot counts.
func (g *run) cancelThenFinish(result core.Result) {
	if !g.owned {
		return
	}
	until := time.Now().Add(_cancelTerm)
	g.runner.inBackground(func() {
		g.cancelUntil(until)
		g.finish(result)
	})
}

func (g *run) cancelUntil(until time.Time) {
	for wait := _firstPause; !g.tryCancel(); wait = min(2*wait, _longestPause) {
		if time.Now().Add(wait).After(until) {
			g.runner.logger.Info("A generation could not be cancelled.", "Endpoint", g.endpoint.Name)
			return
		}
		time.Sleep(wait)
	}
}

func (g *run) tryCancel() bool {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(_cancelTry))
	defer cancel()
	err := g.runner.config.Client.Cancel(ctx, g.endpoint, g.generation)
	return err == nil || holdsNoMore(err)
}
