package shell

import (
	"context"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// startBorrow queues a job that requests a slot from its owner. The caller holds
// the lock.
func (s *Shell) startBorrow(slotRequest core.SlotRequest) {
	job := func(ctx context.Context) { s.borrow(ctx, slotRequest) }
	select {
	case s.jobs <- job:
	default:
		// The core must receive the refusal, but not during its own decision.
		time.AfterFunc(0, func() { s.borrowed(slotRequest, core.Lease{}, false) })
	}
}

// borrow requests a slot from its owner and passes the result to the core.
func (s *Shell) borrow(ctx context.Context, slotRequest core.SlotRequest) {
	peer := s.settings.Peer(slotRequest.Owner)
	if peer == nil {
		s.borrowed(slotRequest, core.Lease{}, false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _peerTimeout)
	defer cancel()
	reply, err := peer.Borrow(ctx, &wire.BorrowRequest{
		From:     wire.FromHostID(s.settings.Self),
		Endpoint: string(slotRequest.Endpoint),
		Revision: uint64(slotRequest.BorrowerRevision),
		To:       &wire.Host{Name: string(slotRequest.Owner)},
		Received: slotRequest.HeldLeases.Received,
		Held:     slotRequest.HeldLeases.Held,
	})
	if err != nil {
		s.log.V(1).Info("Borrowing failed.", "Owner", slotRequest.Owner, "Endpoint", slotRequest.Endpoint, "Cause", err.Error())
		s.borrowed(slotRequest, core.Lease{}, false)
		return
	}
	s.borrowed(slotRequest, s.leaseOf(slotRequest, reply), reply.GetGranted())
}

// leaseOf returns the borrower's view of a lease. The borrower counts the term
// from its request, which is before the owner's answer. So the borrower's deadline
// always comes first, whatever the clock offset and the delay.
func (s *Shell) leaseOf(slotRequest core.SlotRequest, reply *wire.BorrowReply) core.Lease {
	term := time.Duration(reply.GetTermMillis()) * time.Millisecond
	return core.Lease{
		Slot:     core.SlotID{Endpoint: slotRequest.Endpoint, Position: int(reply.GetPosition())},
		Owner:    wire.ToHostID(reply.GetOwner()),
		Borrower: s.settings.Self,
		Revision: core.Revision(reply.GetRevision()),
		Serial:   reply.GetSerial(),
		Deadline: slotRequest.AskedAt.Add(term),
	}
}

func (s *Shell) borrowed(slotRequest core.SlotRequest, lease core.Lease, granted bool) {
	s.decide(func(now time.Time) core.Actions {
		return s.decider.Borrowed(now, slotRequest, lease, granted)
	})
}

// startReturn queues a job that returns a lease. If it cannot be queued or the
// message is lost, the owner only loses the slot for the rest of the term. The
// caller holds the lock.
func (s *Shell) startReturn(lease core.Lease) {
	job := func(ctx context.Context) { s.returnLease(ctx, lease) }
	select {
	case s.jobs <- job:
	default:
	}
}

// returnLease returns a lease to its owner.
func (s *Shell) returnLease(ctx context.Context, lease core.Lease) {
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

// Borrow processes a peer's request for a slot.
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

// Return processes the return of a lease that this host granted.
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
