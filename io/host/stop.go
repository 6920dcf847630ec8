package host

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/io/fleet"
)

// stopper is the host as a planned stop sees it.
type stopper struct {
	host *Host
}

var _ fleet.Stopper = stopper{}

// Refuse refuses new and waiting requests from now on. Orders that come from
// now on wait for the ledger's next holder.
func (s stopper) Refuse(context.Context) {
	s.host.refusing.Store(true)
	s.host.orders.Seal()
	s.host.shell.Drain()
}

// HandOver moves the order ledger to another host.
func (s stopper) HandOver(ctx context.Context) (core.HostID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.giveUpAlone(ctx, cancel)
	if err := s.host.orders.Leave(ctx); err != nil {
		return core.HostID{}, fmt.Errorf("hand the ledger over: %w", err)
	}
	holder, _ := s.host.orders.Holder()
	return holder, nil
}

const (
	// _aloneTimeout is how long a leaving host waits once every other host has
	// told that it leaves too: the whole site is stopping.
	_aloneTimeout = 2 * time.Second
	_aloneStep    = 100 * time.Millisecond
)

// giveUpAlone cancels a handover once every other host has been leaving for a
// while. A host that does not answer may be behind a partition: it counts as
// staying.
func (s stopper) giveUpAlone(ctx context.Context, cancel context.CancelFunc) {
	deadline := time.Now().Add(_aloneTimeout)
	ticker := time.NewTicker(_aloneStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if s.host.anyStays() {
			deadline = now.Add(_aloneTimeout)
		}
		if !now.Before(deadline) {
			cancel()
			return
		}
	}
}

// ReturnLeases gives back the leases that nothing uses.
func (s stopper) ReturnLeases(context.Context) { s.host.shell.Drain() }

// Running counts what the stop has to wait for.
func (s stopper) Running() int { return s.host.runner.Running() }

// anyStays tells whether some other host has not said that it leaves.
func (h *Host) anyStays() bool {
	for _, other := range h.fleet.Status() {
		if !other.Draining {
			return true
		}
	}
	return false
}

// stop carries a planned stop out.
func (h *Host) stop(ctx context.Context) error {
	h.stopping.Store(true)
	if err := h.fleet.Drain(ctx, stopper{host: h}); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	// A caller whose connection was accepted at the last moment is still
	// answered, by a refusal.
	for _, s := range h.servers {
		if err := s.http.Shutdown(ctx); err != nil {
			return fmt.Errorf("close the listener for %s: %w", s.name, err)
		}
	}
	h.runner.Wait()
	running := h.runner.Running()
	invar.Check(invar.GracefulStop, running == 0, "host %s stops with %d requests running", h.settings.Self, running)
	return nil
}
