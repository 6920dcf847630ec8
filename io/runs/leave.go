package runs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/io/wire"
)

// _handOverTimeout limits one step of a handover.
const _handOverTimeout = 3 * time.Second

// _lateHandOverTimeout limits a handover when its own deadline passed while orders
// were still running.
const _lateHandOverTimeout = 10 * time.Second

var errNoSuccessor = errors.New("no other host took the order ledger; its orders are Unknown from now on")

// Seal stops starting orders and issuing tickets at a planned stop. Orders that
// arrive after it wait for the handover. If the ledger were not sealed before
// admission stops, orders that arrive before Leave would be refused and their
// tickets used up.
func (o *Orders) Seal() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Seal()
}

// Leave hands the ledger over to another host at a planned stop. It waits until no
// order is running, and tries hosts until one has accepted the ledger or ctx ends.
// Orders that arrive meanwhile wait; then the successor answers them, or they are
// refused if there is none. The stop waits for their callers.
func (o *Orders) Leave(ctx context.Context) error {
	o.Seal()
	o.awaitIdle()
	if ctx.Err() != nil {
		// The stop waits for running orders anyway, and the handover still needs
		// time of its own afterwards.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(_lateHandOverTimeout))
		defer cancel()
	}
	err := o.handOver(ctx)
	if err != nil {
		o.abandonHandover()
	}
	return err
}

// abandonHandover ends a failed handover and wakes the orders that wait for it.
func (o *Orders) abandonHandover() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.AbandonHandover()
	o.notifyWaiters()
}

// handOver tries hosts until one has accepted the ledger or ctx ends.
func (o *Orders) handOver(ctx context.Context) error {
	if o.Held() == 0 {
		return nil
	}
	for wait := _minBackoff; ; wait = min(2*wait, _maxBackoff) {
		names := successors(o.config.Runner.config.Dispatcher.Config().Hosts, o.config.Self.Host)
		for _, name := range names {
			moved, err := o.handOverTo(ctx, name)
			if moved || err != nil {
				return err
			}
		}
		if len(names) == 0 || !sleep(ctx, wait) {
			return errNoSuccessor
		}
	}
}

// awaitIdle waits until no order is running. Each order ends by its deadline.
func (o *Orders) awaitIdle() {
	for {
		var running int
		var changed chan struct{}
		mutex.Do(&o.mu, func() { running, changed = o.ledger.Running(), o.changed })
		if running == 0 {
			return
		}
		<-changed
	}
}

// handOverTo makes one attempt with one host. It returns an error only when no
// other host can take the ledger any more, because a commit was sent and the
// incarnation that has the copy did not answer it.
func (o *Orders) handOverTo(ctx context.Context, name core.HostName) (moved bool, err error) {
	peer := o.config.Runner.peer(name)
	if peer == nil {
		return false, nil
	}
	var data []byte
	var attempt uint64
	mutex.Do(&o.mu, func() { data, attempt, err = o.ledger.Prepare(time.Now()) })
	if err != nil {
		return false, err
	}
	reply, err := o.sendHandOver(ctx, peer, &wire.HandOverRequest{Serial: attempt, Ledger: data})
	if err != nil || !reply.GetAccepted() {
		o.logger.Info("A host did not accept the order ledger.", "Host", name)
		return false, nil
	}
	return o.commit(ctx, peer, wire.ToHostID(reply.GetHolder()), attempt)
}

// commit transfers the right to decide on orders to the successor, and notifies it
// with retries until it answers or ctx ends.
func (o *Orders) commit(ctx context.Context, peer wire.Peer, successor core.HostID, attempt uint64) (moved bool, err error) {
	err = mutex.Get(&o.mu, func() error { return o.ledger.Commit(successor, attempt) })
	if err != nil {
		return false, err
	}
	for wait := _minBackoff; ; wait = min(2*wait, _maxBackoff) {
		reply, err := o.sendHandOver(ctx, peer, &wire.HandOverRequest{
			Serial: attempt,
			Commit: true,
			To:     wire.FromHostID(successor),
		})
		// A reply of a later incarnation proves nothing about the incarnation
		// that had the copy: that one may have decided on orders before it died.
		if err == nil && wire.ToHostID(reply.GetHolder()) == successor {
			return o.committed(successor, attempt, reply.GetAccepted()), nil
		}
		if err == nil {
			return false, fmt.Errorf("the order ledger went to %s, which is gone", successor)
		}
		if !sleep(ctx, wait) {
			return false, fmt.Errorf("the order ledger went to %s, which did not confirm it: %w", successor, err)
		}
	}
}

// committed processes the successor's reply to a commit. It reports whether the
// successor has the ledger.
func (o *Orders) committed(successor core.HostID, attempt uint64, accepted bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.HandleCommitReply(successor, attempt, accepted)
	o.recordMove(fmt.Sprintf("own ledger to %s", successor), accepted)
	o.notifyWaiters()
	return accepted
}

func (o *Orders) sendHandOver(ctx context.Context, peer wire.Peer, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	request.From = wire.FromHostID(o.config.Self)
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_handOverTimeout))
	defer cancel()
	reply, err := peer.HandOver(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("hand over the order ledger: %w", err)
	}
	return reply, nil
}
