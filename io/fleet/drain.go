package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/drain"
	"apricotproxy/io/wire"
)

const (
	// While a host stops it looks this often at what still runs.
	_drainStep = 100 * time.Millisecond
	// The ledger is offered for this long; after it the orders of this host
	// are Unknown to their callers.
	_handOverTimeout = 30 * time.Second
	// Peers that have to know of the move before the host exits.
	_toldPeers = 3
)

// Stopper is the rest of the host, as a planned stop needs it.
type Stopper interface {
	// Refuse refuses new and waiting requests as NotRun from now on. It is
	// called once.
	Refuse(ctx context.Context)
	// HandOver moves the order ledger to another host. It returns the holder,
	// or the zero value when there was nothing to move.
	HandOver(ctx context.Context) (core.HostID, error)
	// ReturnLeases gives back the leases that nothing uses.
	ReturnLeases(ctx context.Context)
	// Running counts accepted requests without an outcome, streams included.
	Running() int
}

// Drain leads the host through a planned stop and returns when nothing runs
// any more. Run has to go on meanwhile. An error tells that ctx ended with
// work still running.
func (f *Fleet) Drain(ctx context.Context, host Stopper) error {
	if f.settings.Switches.SkipDrain {
		running := host.Running()
		invar.Check(invar.GracefulStop, running == 0, "%d requests run at the exit", running)
		return nil
	}
	f.announceStop()
	s := &stopping{fleet: f, host: host}
	return s.run(ctx)
}

func (f *Fleet) announceStop() {
	f.mu.Lock()
	f.draining = true
	f.member.SetSelf(f.applied.Revision, true)
	f.mu.Unlock()
	f.log.Info("This host is stopping. It accepts until the list has caught up.")
	f.auditNow(core.AuditDrain, drain.StepNotice.String(), drain.StepNotice.Cause())
	poke(f.kick)
}

// stopping is one planned stop.
type stopping struct {
	fleet   *Fleet
	host    Stopper
	machine drain.Drain

	refused  bool
	settled  chan core.HostID
	progress drain.Progress
	moved    bool
	told     map[core.HostName]bool
}

func (s *stopping) run(ctx context.Context) error {
	s.told = make(map[core.HostName]bool)
	s.machine.Begin(time.Now(), s.fleet.Config().Limits.DrainNotice)
	before := drain.StepNotice
	for {
		s.observe()
		step, wakeAt := s.machine.Advance(time.Now(), s.progress)
		if step != before {
			s.fleet.auditNow(core.AuditDrain, step.String(), step.Cause())
			before = step
		}
		if step == drain.StepExit {
			return nil
		}
		s.act(ctx, step)
		next := time.Now().Add(_drainStep)
		if !wakeAt.IsZero() && wakeAt.Before(next) {
			next = wakeAt
		}
		if !sleep(ctx, next, nil) {
			return fmt.Errorf("stop with %d requests running: %w", s.host.Running(), ctx.Err())
		}
	}
}

// observe gathers the progress. Running is read after the refusal only, so
// that a request accepted a moment before is counted.
func (s *stopping) observe() {
	s.progress.Running = s.host.Running()
	if s.settled == nil {
		return
	}
	select {
	case holder := <-s.settled:
		s.progress.LedgerSettled = true
		s.moved = holder.Incarnation != 0
		s.progress.PeersInformed = !s.moved
	default:
	}
}

func (s *stopping) act(ctx context.Context, step drain.Step) {
	switch step {
	case drain.StepRefuse:
		if !s.refused {
			s.refused = true
			s.refuse(ctx)
		}
	case drain.StepFinish:
		s.host.ReturnLeases(ctx)
		s.tell(ctx)
	default:
	}
}

func (s *stopping) refuse(ctx context.Context) {
	s.host.Refuse(ctx)
	s.host.ReturnLeases(ctx)
	s.settled = make(chan core.HostID, 1)
	s.fleet.work.Go(func() { s.settled <- s.handOver(ctx) })
}

func (s *stopping) handOver(ctx context.Context) core.HostID {
	ctx, cancel := context.WithTimeout(ctx, _handOverTimeout)
	defer cancel()
	f := s.fleet
	holder, err := s.host.HandOver(ctx)
	if err != nil {
		f.log.Info("No host took the order ledger. Its orders are Unknown from now on.", "Cause", err.Error())
		f.auditNow(core.AuditLedgerMoved, "none", err.Error())
		return core.HostID{}
	}
	if holder.Incarnation == 0 {
		return holder
	}
	f.LedgerMoved(f.settings.Self, holder)
	return holder
}

// LedgerMoved tells the fleet who holds a host's order ledger from now on.
func (f *Fleet) LedgerMoved(of, holder core.HostID) {
	now := time.Now()
	f.mu.Lock()
	f.member.LedgerMoved(now, of, holder, now)
	f.mu.Unlock()
	f.auditNow(core.AuditLedgerMoved, of.String(), "to "+holder.String())
}

// tell exchanges heartbeats until enough peers know where the ledger is.
func (s *stopping) tell(ctx context.Context) {
	if s.progress.PeersInformed {
		return
	}
	for _, host := range s.fleet.Ask(2 * _toldPeers) {
		if !s.told[host] && s.fleet.beat(ctx, host) {
			s.told[host] = true
		}
		if len(s.told) >= _toldPeers {
			break
		}
	}
	s.progress.PeersInformed = len(s.told) >= _toldPeers
}

// ErrStopping tells a leaving host that this one is leaving too.
var ErrStopping = errors.New("this host is stopping; hand the ledger to another")

// AcceptsLedger refuses the ledger of a leaving host while this one is
// stopping or has not started.
func (f *Fleet) AcceptsLedger(*wire.HandOverRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining || !f.ready {
		return ErrStopping
	}
	return nil
}
