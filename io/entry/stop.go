package entry

import (
	"context"
	"time"
)

const (
	// _balancerNotice is how long the balancer may take to send no new
	// connections: it asks once a second and believes the second miss.
	_balancerNotice = 2500 * time.Millisecond
	// _stopMargin is kept free of the time that a process has after SIGTERM.
	_stopMargin = 500 * time.Millisecond
)

// stop ends a process without cutting off a request: not ready at once, each
// answer the last one of its connection, no new request once the balancer knows,
// and out when nothing runs. What comes later finds no listener and goes to
// another host unread.
func (h *Host) stop() {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(h.settings.Bounds.StopGrace-_stopMargin))
	defer cancel()
	h.stopping.Store(true)
	h.front.Close()
	h.log.Info("Stopping as planned.", "Running", h.front.Running())
	sleep(ctx, _balancerNotice)
	if err := h.servers[0].Shutdown(ctx); err != nil {
		h.log.Info("Requests are cut off: the time to stop is over.", "Running", h.front.Running())
	}
}
