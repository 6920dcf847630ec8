package shell

import (
	"context"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// startBorrowing asks an owner for a slot. The caller holds the lock.
func (s *Shell) startBorrowing(borrowing core.SlotRequest) {
	job := func(ctx context.Context) { s.borrow(ctx, borrowing) }
	select {
	case s.jobs <- job:
	default:
		// The core must hear of the refusal, but not within its own decision.
		time.AfterFunc(0, func() { s.borrowed(borrowing, core.Lease{}, false) })
	}
}

// borrow carries one borrowing out.
func (s *Shell) borrow(ctx context.Context, borrowing core.SlotRequest) {
	peer := s.settings.Peer(borrowing.Owner)
	if peer == nil {
		s.borrowed(borrowing, core.Lease{}, false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _peerTimeout)
	defer cancel()
	reply, err := peer.Borrow(ctx, &wire.BorrowRequest{
		From:     wire.FromHostID(s.settings.Self),
		Endpoint: string(borrowing.Endpoint),
		Revision: uint64(borrowing.BorrowerRevision),
		To:       &wire.Host{Name: string(borrowing.Owner)},
		Received: borrowing.HeldLeases.Received,
		Held:     borrowing.HeldLeases.Held,
	})
	if err != nil {
		s.log.V(1).Info("Borrowing failed.", "Owner", borrowing.Owner, "Endpoint", borrowing.Endpoint, "Cause", err.Error())
		s.borrowed(borrowing, core.Lease{}, false)
		return
	}
	s.borrowed(borrowing, s.leaseOf(borrowing, reply), reply.GetGranted())
}

// leaseOf builds the borrower's view of a lease. The term counts from when the
// borrower asked, which is before the owner's answer: the borrower's deadline
// comes first whatever the clocks and the delay.
func (s *Shell) leaseOf(borrowing core.SlotRequest, reply *wire.BorrowReply) core.Lease {
	term := time.Duration(reply.GetTermMillis()) * time.Millisecond
	return core.Lease{
		Slot:     core.SlotID{Endpoint: borrowing.Endpoint, Position: int(reply.GetPosition())},
		Owner:    wire.ToHostID(reply.GetOwner()),
		Borrower: s.settings.Self,
		Revision: core.Revision(reply.GetRevision()),
		Serial:   reply.GetSerial(),
		Deadline: borrowing.AskedAt.Add(term),
	}
}

func (s *Shell) borrowed(borrowing core.SlotRequest, lease core.Lease, granted bool) {
	s.decide(func(now time.Time) core.Actions {
		return s.decider.Borrowed(now, borrowing, lease, granted)
	})
}

// startReturning gives a lease back. A return that cannot be queued or is lost
// costs the owner the rest of the term, no more. The caller holds the lock.
func (s *Shell) startReturning(lease core.Lease) {
	job := func(ctx context.Context) { s.giveBack(ctx, lease) }
	select {
	case s.jobs <- job:
	default:
	}
}

// giveBack carries one return out.
func (s *Shell) giveBack(ctx context.Context, lease core.Lease) {
	peer := s.settings.Peer(lease.Owner.Host)
	if peer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _peerTimeout)
	defer cancel()
	_, err := peer.Return(ctx, &wire.ReturnRequest{
		From:     wire.FromHostID(s.settings.Self),
		Owner:    wire.FromHostID(lease.Owner),
		Endpoint: string(lease.Slot.Endpoint),
		Position: uint32(lease.Slot.Position),
		Serial:   lease.Serial,
	})
	if err != nil {
		s.log.V(1).Info("Returning a lease failed.", "Owner", lease.Owner.Host, "Cause", err.Error())
	}
}

// Borrow answers a peer that asks for a slot.
func (s *Shell) Borrow(_ context.Context, request *wire.BorrowRequest) (*wire.BorrowReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if to := request.GetTo().GetIncarnation(); to != 0 && to != uint64(s.settings.Self.Incarnation) {
		return &wire.BorrowReply{}, nil
	}
	borrower := wire.ToHostID(request.GetFrom())
	endpoint := core.EndpointName(request.GetEndpoint())
	if request.GetReceived() > 0 {
		s.decider.Reconcile(now, borrower, core.HeldLeases{Endpoint: endpoint, Received: request.GetReceived(), Held: request.GetHeld()})
	}
	lease, granted := s.decider.Lend(now, borrower, endpoint, core.Revision(request.GetRevision()))
	if !granted {
		return &wire.BorrowReply{}, nil
	}
	return &wire.BorrowReply{
		Granted:    true,
		Owner:      wire.FromHostID(s.settings.Self),
		Endpoint:   request.GetEndpoint(),
		Position:   uint32(lease.Slot.Position),
		Serial:     lease.Serial,
		TermMillis: uint64(lease.Deadline.Sub(now) / time.Millisecond),
		Revision:   uint64(lease.Revision),
	}, nil
}

// Return takes back a lease that this host had lent.
func (s *Shell) Return(_ context.Context, request *wire.ReturnRequest) (*wire.ReturnReply, error) {
	owner := wire.ToHostID(request.GetOwner())
	if owner != s.settings.Self {
		return &wire.ReturnReply{}, nil
	}
	lease := core.Lease{
		Slot:     core.SlotID{Endpoint: core.EndpointName(request.GetEndpoint()), Position: int(request.GetPosition())},
		Owner:    owner,
		Borrower: wire.ToHostID(request.GetFrom()),
		Serial:   request.GetSerial(),
	}
	s.decide(func(now time.Time) core.Actions { return s.decider.Returned(now, lease) })
	return &wire.ReturnReply{}, nil
}
