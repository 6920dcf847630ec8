package entry

import "time"

const (
	// _balancerNotice is how long the balancer may take to send no new
	// connections: it asks once a second and believes the second miss.
	_balancerNotice = 2500 * time.Millisecond
	// _stopMargin is kept free of the time that a process has after SIGTERM.
	_stopMargin = 500 * time.Millisecond
	_stopPoll   = 20 * time.Millisecond
)

// stop ends a process without cutting off a request: not ready at once, each
// answer the last one of its connection, and out once nothing runs.
func (h *Host) stop() {
	began := time.Now()
	h.stopping.Store(true)
	h.front.Close()
	h.log.Info("Stopping as planned.", "Running", h.front.Running())
	last := began.Add(h.settings.Bounds.StopGrace - _stopMargin)
	for now := began; now.Before(last); now = time.Now() {
		if h.front.Running() == 0 && now.Sub(began) >= _balancerNotice {
			break
		}
		time.Sleep(_stopPoll)
	}
	if running := h.front.Running(); running > 0 {
		h.log.Info("Requests are cut off: the time to stop is over.", "Running", running)
	}
}
