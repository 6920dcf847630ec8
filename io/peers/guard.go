package peers

import (
	"context"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// guard refuses the messages of old incarnations before they reach the peer.
type guard struct {
	next  wire.Peer
	check Check
}

// Guard wraps a peer so that each message's sender passes the check first.
func Guard(next wire.Peer, check Check) wire.Peer { return &guard{next: next, check: check} }

func guarded[Q interface{ GetFrom() *wire.Host }, A any](
	ctx context.Context, check Check, request Q, serve func(context.Context, Q) (*A, error),
) (*A, error) {
	if err := check(wire.ToHostID(request.GetFrom())); err != nil {
		return nil, refusal(err)
	}
	return serve(ctx, request)
}

// Heartbeat passes unchecked: the answer is where an old incarnation learns of
// the newer one. The fleet takes nothing from such a message.
func (g *guard) Heartbeat(ctx context.Context, q *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	return g.next.Heartbeat(ctx, q)
}

func (g *guard) FetchRevision(ctx context.Context, q *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	return guarded(ctx, g.check, q, g.next.FetchRevision)
}

func (g *guard) Borrow(ctx context.Context, q *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return guarded(ctx, g.check, q, g.next.Borrow)
}

// Return lets every incarnation give back what it borrowed: the lease itself
// names the borrower.
func (g *guard) Return(ctx context.Context, q *wire.ReturnRequest) (*wire.ReturnReply, error) {
	return g.next.Return(ctx, q)
}

func (g *guard) ForwardOrder(ctx context.Context, q *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	return guarded(ctx, g.check, q, g.next.ForwardOrder)
}

// HandOver is taken from an old incarnation too: a host that was replaced
// while it stops still owns its ledger and has to hand it over.
func (g *guard) HandOver(ctx context.Context, q *wire.HandOverRequest) (*wire.HandOverReply, error) {
	return g.next.HandOver(ctx, q)
}

func (g *guard) Adopt(ctx context.Context, q *wire.AdoptRequest) (*wire.AdoptReply, error) {
	return guarded(ctx, g.check, q, g.next.Adopt)
}

func (g *guard) Snapshot(ctx context.Context, q *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	return guarded(ctx, g.check, q, g.next.Snapshot)
}

var _ wire.Peer = (*guard)(nil)

// Anyone is the check that takes every sender that names itself.
func Anyone(from core.HostID) error {
	if from.Host == "" {
		return errNoSender
	}
	return nil
}
