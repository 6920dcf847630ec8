package peers

import (
	"context"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// guard refuses the messages whose sender fails the check.
type guard struct {
	next  wire.Peer
	check Check
}

// Guard wraps a peer so that the sender of each message must pass the check. The
// methods Heartbeat, Return and HandOver are not checked.
func Guard(next wire.Peer, check Check) wire.Peer { return &guard{next: next, check: check} }

func checkThenServe[Q interface{ GetFrom() *wire.Host }, A any](
	ctx context.Context, check Check, request Q, serve func(context.Context, Q) (*A, error),
) (*A, error) {
	if err := check(wire.ToHostID(request.GetFrom())); err != nil {
		return nil, refusalError(err)
	}
	return serve(ctx, request)
}

// Heartbeat is not checked: the answer informs an old incarnation of the newer
// one. The fleet ignores the content of such a message.
func (g *guard) Heartbeat(ctx context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	return g.next.Heartbeat(ctx, request)
}

func (g *guard) FetchRevision(ctx context.Context, request *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	return checkThenServe(ctx, g.check, request, g.next.FetchRevision)
}

func (g *guard) Borrow(ctx context.Context, request *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return checkThenServe(ctx, g.check, request, g.next.Borrow)
}

// Return is not checked: every incarnation may return what it borrowed, and the
// lease itself names the borrower.
func (g *guard) Return(ctx context.Context, request *wire.ReturnRequest) (*wire.ReturnReply, error) {
	return g.next.Return(ctx, request)
}

func (g *guard) ForwardOrder(ctx context.Context, request *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	return checkThenServe(ctx, g.check, request, g.next.ForwardOrder)
}

// HandOver is not checked: a host that was replaced while it stops still owns its
// ledger and must hand it over.
func (g *guard) HandOver(ctx context.Context, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	return g.next.HandOver(ctx, request)
}

func (g *guard) Adopt(ctx context.Context, request *wire.AdoptRequest) (*wire.AdoptReply, error) {
	return checkThenServe(ctx, g.check, request, g.next.Adopt)
}

func (g *guard) Snapshot(ctx context.Context, request *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	return checkThenServe(ctx, g.check, request, g.next.Snapshot)
}

var _ wire.Peer = (*guard)(nil)

// RequireSender is a Check that accepts every message that names its sender.
func RequireSender(from core.HostID) error {
	if from.Host == "" {
		return errNoSender
	}
	return nil
}
