package runs

import (
	"context"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/io/wire"
)

const (
	// _cancelTimeout limits the retries of a cancellation. The slot counts as in
	// use until the engine has answered an attempt, or the time is over.
	_cancelTimeout = 2 * time.Minute
	// _cancelTryTimeout limits one attempt.
	_cancelTryTimeout = 2 * time.Second
	// _minSuspension is how late a timer must fire for the process to count as
	// having been suspended.
	_minSuspension = time.Second
	// _adoptTimeout limits one call of Adopt on another entry host.
	_adoptTimeout = 2 * time.Second
)

// register makes the generation available for adoption.
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
	mutex.Do(&r.mu, func() {
		if g.owned {
			delete(r.running, g.generation)
		}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abandonTimer != nil {
		g.abandonTimer.Stop()
	}
}

func (g *run) isDisconnected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disconnected
}

func (g *run) markStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = true
}

// checkFirstToken ends the generation if no token has arrived. It is called at
// the request's deadline.
func (g *run) checkFirstToken() {
	if !mutex.Get(&g.mu, func() bool { return g.started }) {
		g.cancelRun(errFirstTokenLate)
	}
}

// callerDisconnected is called when the caller's connection has ended. A caller
// that has received an event id can reconnect to any host, so the generation
// continues until the grace period is over. Without an event id it cannot resume,
// and the generation ends at once. On a host that did not start the generation,
// only the relaying ends.
func (g *run) callerDisconnected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disconnected {
		return
	}
	g.disconnected = true
	if !g.started || g.completion.Request.Delivery == core.DeliveryWhole || !g.owned {
		g.cancelRun(errAbandoned)
		return
	}
	if until := time.Now().Add(g.grace); until.After(g.abandonAt) {
		g.abandonAt = until
	}
	g.abandonTimer = time.AfterFunc(time.Until(g.abandonAt), g.abandonIfDue)
}

// abandonIfDue ends a generation whose caller did not reconnect within the grace
// period.
func (g *run) abandonIfDue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := time.Until(g.abandonAt)
	if left < -_minSuspension {
		// The process was suspended and could not receive an adoption meanwhile.
		left = g.grace
		g.abandonAt = time.Now().Add(left)
	}
	if left > 0 {
		g.abandonTimer.Reset(left)
		return
	}
	g.cancelRun(errAbandoned)
}

// awaitCaller waits until the time of abandonment. This host has lost the stream,
// but the caller may have reconnected to another host whose connection to the
// engine works: a cancellation would cut off what the caller reads there.
func (g *run) awaitCaller(lost error) {
	if provesNotHeld(lost) || !g.owned {
		return
	}
	for {
		left := mutex.Get(&g.mu, func() time.Duration { return time.Until(g.abandonAt) })
		if left <= 0 || !sleep(g.runCtx, left) {
			return
		}
	}
}

// postponeAbandon lets a generation continue until at least the given time,
// because its caller has reconnected to another host.
func (g *run) postponeAbandon(until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.abandonAt) {
		g.abandonAt = until
	}
}

// Adopt is called by a host to which the caller of one of this host's generations
// has reconnected. Until the term is over, this host neither cancels the
// generation nor frees its slot; the other host renews the adoption before then.
func (r *Runner) Adopt(_ context.Context, request *wire.AdoptRequest) (*wire.AdoptReply, error) {
	known, term := r.adopt(core.GenerationID(request.GetGeneration()))
	return &wire.AdoptReply{Known: known, TermMillis: uint64(term.Milliseconds())}, nil
}

func (r *Runner) adopt(generation core.GenerationID) (known bool, term time.Duration) {
	term = r.config.Dispatcher.Config().Limits.AbandonGrace
	g := mutex.Get(&r.mu, func() *run { return r.running[generation] })
	known = g != nil
	if known {
		g.postponeAbandon(time.Now().Add(term))
	}
	return known, term
}

// cancelOnce makes one attempt to cancel the generation before the request is
// placed again. If it fails, further attempts are made in the background.
func (g *run) cancelOnce() {
	if g.tryCancel() {
		return
	}
	g.runner.runInBackground(func() { g.cancelWithRetries(time.Now().Add(_cancelTimeout)) })
}

// cancelThenFinish cancels the generation in the background and ends the try when
// the engine has answered or the time is over: until then the engine may still be
// running it, and the slot counts as in use.
func (g *run) cancelThenFinish(result core.Result) {
	if !g.owned {
		return
	}
	until := time.Now().Add(_cancelTimeout)
	g.runner.runInBackground(func() {
		g.cancelWithRetries(until)
		g.finish(result)
	})
}

// cancelWithRetries returns when the engine has answered a cancellation, or until
// would pass before the next attempt.
func (g *run) cancelWithRetries(until time.Time) {
	for wait := _minBackoff; !g.tryCancel(); wait = min(2*wait, _maxBackoff) {
		if time.Now().Add(wait).After(until) {
			g.runner.logger.Info("Cancelling a generation failed.", "Endpoint", g.endpoint.Name)
			return
		}
		time.Sleep(wait)
	}
}

// tryCancel makes one attempt and reports whether the engine has answered it.
func (g *run) tryCancel() bool {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(_cancelTryTimeout))
	defer cancel()
	err := g.runner.config.Client.Cancel(ctx, g.endpoint, g.generation)
	return err == nil || provesNotHeld(err)
}
