package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/drain"
	"apricotproxy/io/wire"
)

const (
	// Time between two checks of a planned stop's progress.
	_drainPollInterval = 100 * time.Millisecond
	// How long the host tries to hand over its order ledger. After that, callers get the
	// outcome Unknown for its orders.
	_handOverTimeout = 30 * time.Second
	// Number of peers that must know the ledger's new holder before the host exits.
	_minInformedPeers = 3
)

// Stopper is the part of a planned stop that the rest of the host carries out.
type Stopper interface {
	// Refuse makes the host refuse new and waiting requests as NotRun from now on. It
	// is called once.
	Refuse(ctx context.Context)
	// HandOver moves the order ledger to another host. It returns the new holder, or
	// the zero value if there was nothing to move.
	HandOver(ctx context.Context) (core.HostID, error)
	// ReturnLeases returns unused leases to their owners.
	ReturnLeases(ctx context.Context)
	// Running returns the number of accepted requests without an outcome, including
	// streams.
	Running() int
}

// Drain carries out a planned stop and returns when no request runs any more. Run must
// keep running meanwhile. Drain returns an error if ctx ends while requests still run.
func (f *Fleet) Drain(ctx context.Context, host Stopper) error {
	if f.settings.Switches.SkipDrain {
		running := host.Running()
		invar.Check(invar.GracefulStop, running == 0, "%d requests run at the exit", running)
		return nil
	}
	f.announceStop()
	s := &plannedStop{fleet: f, host: host}
	return s.run(ctx)
}

// announceStop makes the host report that it is stopping, to the balancer and to peers.
func (f *Fleet) announceStop() {
	mutex.Do(&f.mu, func() {
		f.draining = true
		f.member.SetSelf(f.applied.Revision, true)
	})
	f.log.Info("This host is stopping. It accepts requests until the platform's host list has caught up.")
	f.auditNow(core.AuditDrain, drain.StepNotice.String(), drain.StepNotice.Cause())
	notify(f.heartbeatNow)
}

// plannedStop is the state of a planned stop in progress.
type plannedStop struct {
	fleet *Fleet
	host  Stopper
	state drain.Drain

	refused      bool             // whether Refuse was called
	handOverDone chan core.HostID // receives the ledger's new holder; nil before the refusal
	progress     drain.Progress
	ledgerMoved  bool
	informed     map[core.HostName]bool // peers that know the ledger's new holder
}

func (s *plannedStop) run(ctx context.Context) error {
	s.informed = make(map[core.HostName]bool)
	s.state.Begin(time.Now(), s.fleet.Config().Limits.DrainNotice)
	previous := drain.StepNotice
	for {
		s.updateProgress()
		step, wakeAt := s.state.Advance(time.Now(), s.progress)
		if step != previous {
			s.fleet.auditNow(core.AuditDrain, step.String(), step.Cause())
			previous = step
		}
		if step == drain.StepExit {
			return nil
		}
		s.carryOut(ctx, step)
		next := time.Now().Add(_drainPollInterval)
		if !wakeAt.IsZero() && wakeAt.Before(next) {
			next = wakeAt
		}
		if !waitUntil(ctx, next, nil) {
			return fmt.Errorf("stop with %d requests running: %w", s.host.Running(), ctx.Err())
		}
	}
}

// updateProgress sets the progress. Running is read before LedgerSettled is set, which
// happens after the refusal. The host exits only once both allow it, so a request that
// was accepted right before the refusal is counted.
func (s *plannedStop) updateProgress() {
	s.progress.Running = s.host.Running()
	if s.handOverDone == nil {
		return
	}
	select {
	case holder := <-s.handOverDone:
		s.progress.LedgerSettled = true
		s.ledgerMoved = holder.Incarnation != 0
		s.progress.PeersInformed = !s.ledgerMoved
	default:
	}
}

// carryOut does the work of a step. It is called repeatedly while the step lasts.
func (s *plannedStop) carryOut(ctx context.Context, step drain.Step) {
	switch step {
	case drain.StepRefuse:
		if !s.refused {
			s.refused = true
			s.refuse(ctx)
		}
	case drain.StepFinish:
		s.host.ReturnLeases(ctx)
		s.informPeers(ctx)
	default:
	}
}

func (s *plannedStop) refuse(ctx context.Context) {
	s.host.Refuse(ctx)
	s.host.ReturnLeases(ctx)
	s.handOverDone = make(chan core.HostID, 1)
	s.fleet.goroutines.Go(func() { s.handOverDone <- s.handOver(ctx) })
}

// handOver returns the new holder of the order ledger, or the zero value if the ledger
// did not move.
func (s *plannedStop) handOver(ctx context.Context) core.HostID {
	ctx, cancel := context.WithTimeout(ctx, _handOverTimeout)
	defer cancel()
	f := s.fleet
	holder, err := s.host.HandOver(ctx)
	if err != nil {
		f.log.Info("No host took over the order ledger. The outcome of its orders is Unknown from now on.", "Cause", err.Error())
		f.auditNow(core.AuditLedgerMoved, "none", err.Error())
		return core.HostID{}
	}
	if holder.Incarnation == 0 {
		return holder
	}
	f.LedgerMoved(f.settings.Self, holder)
	return holder
}

// LedgerMoved records that a host's order ledger was handed over to holder.
func (f *Fleet) LedgerMoved(of, holder core.HostID) {
	now := time.Now()
	mutex.Do(&f.mu, func() { f.member.LedgerMoved(now, of, holder, now) })
	f.auditNow(core.AuditLedgerMoved, of.String(), "to "+holder.String())
}

// informPeers sends heartbeats until enough peers know the ledger's new holder.
func (s *plannedStop) informPeers(ctx context.Context) {
	if s.progress.PeersInformed {
		return
	}
	for _, host := range s.fleet.PeersToAsk(2 * _minInformedPeers) {
		if !s.informed[host] && s.fleet.exchangeHeartbeat(ctx, host) {
			s.informed[host] = true
		}
		if len(s.informed) >= _minInformedPeers {
			break
		}
	}
	s.progress.PeersInformed = len(s.informed) >= _minInformedPeers
}

// ErrStopping is the answer to a host that offers its ledger while this host is stopping
// or has not started.
var ErrStopping = errors.New("this host is stopping; hand the ledger to another")

// AcceptsLedger returns ErrStopping if this host cannot take over the ledger of a
// stopping host.
func (f *Fleet) AcceptsLedger(*wire.HandOverRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining || !f.ready {
		return ErrStopping
	}
	return nil
}
