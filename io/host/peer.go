package host

import (
	"context"
	"fmt"

	"github.com/twitchtv/twirp"

	"apricotproxy/io/wire"
)

// peerService handles the calls of other entry hosts by passing each one on to the
// component that it concerns.
type peerService struct {
	host *Host
}

var _ wire.Peer = (*peerService)(nil)

// Heartbeat implements wire.Peer.
func (p *peerService) Heartbeat(ctx context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	return p.host.fleet.Heartbeat(ctx, request)
}

// FetchRevision implements wire.Peer.
func (p *peerService) FetchRevision(ctx context.Context, request *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	return p.host.fleet.FetchRevision(ctx, request)
}

// Borrow implements wire.Peer.
func (p *peerService) Borrow(ctx context.Context, request *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return p.host.shell.Borrow(ctx, request)
}

// Return implements wire.Peer.
func (p *peerService) Return(ctx context.Context, request *wire.ReturnRequest) (*wire.ReturnReply, error) {
	return p.host.shell.Return(ctx, request)
}

// ForwardOrder implements wire.Peer.
func (p *peerService) ForwardOrder(ctx context.Context, request *wire.ForwardOrderRequest) (*wire.ForwardOrderReply, error) {
	return p.host.orders.ForwardOrder(ctx, request)
}

// HandOver implements wire.Peer. A host that is leaving accepts no new copy of a
// ledger, but must still answer the commit of a copy that it already has.
func (p *peerService) HandOver(ctx context.Context, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	if !request.GetCommit() {
		if err := p.host.fleet.AcceptsLedger(request); err != nil {
			return nil, twirp.WrapError(twirp.Unavailable.Error("no ledger is taken here"), err)
		}
	}
	reply, err := p.host.orders.HandOver(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("take a ledger: %w", err)
	}
	return reply, nil
}

// Adopt implements wire.Peer.
func (p *peerService) Adopt(ctx context.Context, request *wire.AdoptRequest) (*wire.AdoptReply, error) {
	return p.host.runner.Adopt(ctx, request)
}

// Snapshot implements wire.Peer.
func (p *peerService) Snapshot(context.Context, *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	snapshot, err := p.host.shell.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("take a snapshot: %w", err)
	}
	return &wire.SnapshotReply{Revision: uint64(p.host.shell.Config().Revision), Decider: snapshot}, nil
}
