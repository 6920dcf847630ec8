package entry

import (
	"context"
	"time"
)

const (
	// _balancerNotice is how long the balancer may take until it sends no new
	// connections: it checks each host once a second and removes one after two failed
	// checks.
	_balancerNotice = 2500 * time.Millisecond
	// _stopMargin is the part of StopGrace that a stop leaves unused; 1/_marginDivisor of
	// StopGrace if that is less. By the platform's documentation requests may be cut off
	// only in the last sixth of it.
	_stopMargin    = 500 * time.Millisecond
	_marginDivisor = 12
)

// stop ends the service without cutting off requests. The host reports at once that it
// is not ready, refuses requests that it may not finish in time, and closes each
// connection after its next answer. Once the balancer sends no new connections, the host
// accepts none and waits until no request runs. Later requests find no listener and
// reach another host without having been read.
func (h *Host) stop() {
	now := time.Now()
	grace := h.bounds.Load().StopGrace
	end := now.Add(grace - min(_stopMargin, grace/_marginDivisor))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	h.stopping.Store(true)
	h.front.Stop(now.Add(_balancerNotice), end)
	h.log.Info("This host is stopping.", "Running", h.front.Running())
	sleep(ctx, _balancerNotice)
	if err := h.listeners[0].Close(); err != nil {
		h.log.Error(err, "The listener for callers could not be closed.")
	}
	drained := h.idle.drain(ctx)
	for h.front.Relayed() > 0 && ctx.Err() == nil {
		sleep(ctx, _drainInterval)
	}
	if !drained || h.front.Relayed() > 0 {
		h.log.Info("The time to stop is over; running requests are cut off.", "Running", h.front.Running())
		h.front.LogRunning()
	}
	endCtx, cancelEnd := context.WithTimeout(context.Background(), min(_stopMargin, grace/_marginDivisor)/2)
	defer cancelEnd()
	h.front.EndRuns(endCtx)
}
