package host

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/io/fleet"
)

// stopper gives a planned stop access to the host.
type stopper struct {
	host *Host
}

var _ fleet.Stopper = stopper{}

// Refuse refuses new and waiting requests from now on. Orders that arrive later wait
// until another host holds the ledger.
func (s stopper) Refuse(context.Context) {
	s.host.refusing.Store(true)
	s.host.orders.Seal()
	s.host.shell.Drain()
}

// HandOver moves the order ledger to another host.
func (s stopper) HandOver(ctx context.Context) (core.HostID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.cancelWhenAllLeave(ctx, cancel)
	if err := s.host.orders.Leave(ctx); err != nil {
		return core.HostID{}, fmt.Errorf("hand the ledger over: %w", err)
	}
	holder, _ := s.host.orders.Holder()
	return holder, nil
}

const (
	// _allLeavingTimeout is how long a leaving host keeps trying to hand its ledger
	// over after all other hosts have reported that they are leaving too, as when the
	// whole site stops.
	_allLeavingTimeout       = 2 * time.Second
	_allLeavingCheckInterval = 100 * time.Millisecond
)

// cancelWhenAllLeave cancels a handover once all other hosts have been leaving for
// _allLeavingTimeout. A host that does not answer may be behind a network partition
// and counts as staying.
func (s stopper) cancelWhenAllLeave(ctx context.Context, cancel context.CancelFunc) {
	deadline := time.Now().Add(_allLeavingTimeout)
	ticker := time.NewTicker(_allLeavingCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if s.host.anyHostStays() {
			deadline = now.Add(_allLeavingTimeout)
		}
		if !now.Before(deadline) {
			cancel()
			return
		}
	}
}

// ReturnLeases returns the leases that no request uses.
func (s stopper) ReturnLeases(context.Context) { s.host.shell.Drain() }

// Running returns the number of requests that the stop has to wait for.
func (s stopper) Running() int { return s.host.runner.Running() }

// anyHostStays reports whether at least one other host is not known to be leaving.
func (h *Host) anyHostStays() bool {
	for _, other := range h.fleet.Status() {
		if !other.Draining {
			return true
		}
	}
	return false
}

// stop performs a planned stop.
func (h *Host) stop(ctx context.Context) error {
	h.stopping.Store(true)
	if err := h.fleet.Drain(ctx, stopper{host: h}); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	// Shutdown still answers callers whose connections were accepted at the last
	// moment, with a refusal.
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
