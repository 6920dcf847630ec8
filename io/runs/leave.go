package runs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

// _handOverTry bounds one step of a handover.
const _handOverTry = 3 * time.Second

// _lateHandOver bounds a handover whose time has gone to the orders that ran.
const _lateHandOver = 10 * time.Second

var errNoSuccessor = errors.New("no other host took the order ledger; its orders are Unknown from now on")

// Seal stops the start of orders and the issue of tickets at a planned stop.
// Orders that come from now on wait for the handover: without it, those that
// come between the stop of admission and Leave would be refused and their
// tickets spent.
func (d *Orders) Seal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.Seal()
}

// Leave hands the ledger to another host at a planned stop. It waits until no
// order runs, and tries hosts until one has it or ctx ends. Orders that come
// meanwhile wait, and are then answered by the successor, or refused when there
// is none: the stop waits for their callers.
func (d *Orders) Leave(ctx context.Context) error {
	d.Seal()
	d.awaitIdle()
	if ctx.Err() != nil {
		// The stop waits for running orders anyway. The time that they took is
		// not the successors'.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(_lateHandOver))
		defer cancel()
	}
	err := d.handOver(ctx)
	if err != nil {
		d.close()
	}
	return err
}

// close ends a handover that failed.
func (d *Orders) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.AbandonHandover()
	d.wake()
}

// handOver tries hosts until one has the ledger or ctx ends.
func (d *Orders) handOver(ctx context.Context) error {
	if d.Held() == 0 {
		return nil
	}
	for wait := _firstPause; ; wait = min(2*wait, _longestPause) {
		names := successors(d.config.Runner.config.Dispatcher.Config().Hosts, d.config.Self.Host)
		for _, name := range names {
			moved, err := d.handOverTo(ctx, name)
			if moved || err != nil {
				return err
			}
		}
		if len(names) == 0 || !pause(ctx, wait) {
			return errNoSuccessor
		}
	}
}

// awaitIdle waits until no order runs. Each ends by its deadline.
func (d *Orders) awaitIdle() {
	for {
		d.mu.Lock()
		running := d.ledger.Running()
		changed := d.changed
		d.mu.Unlock()
		if running == 0 {
			return
		}
		<-changed
	}
}

// handOverTo makes one attempt. It returns an error only when the ledger can go
// to no other host any more: the commit was sent and has no answer.
func (d *Orders) handOverTo(ctx context.Context, name core.HostName) (moved bool, err error) {
	peer := d.config.Runner.peer(name)
	if peer == nil {
		return false, nil
	}
	d.mu.Lock()
	data, attempt, err := d.ledger.Prepare(time.Now())
	d.mu.Unlock()
	if err != nil {
		return false, err
	}
	reply, err := d.sendStep(ctx, peer, &wire.HandOverRequest{Serial: attempt, Ledger: data})
	if err != nil || !reply.GetAccepted() {
		d.logger.Info("A host did not take the order ledger.", "Host", name)
		return false, nil
	}
	return d.commit(ctx, peer, wire.ToHostID(reply.GetHolder()), attempt)
}

// commit gives up the right to decide and tells the successor, with retries
// until it answers or ctx ends.
func (d *Orders) commit(ctx context.Context, peer wire.Peer, successor core.HostID, attempt uint64) (moved bool, err error) {
	d.mu.Lock()
	err = d.ledger.Commit(successor, attempt)
	d.mu.Unlock()
	if err != nil {
		return false, err
	}
	for wait := _firstPause; ; wait = min(2*wait, _longestPause) {
		reply, err := d.sendStep(ctx, peer, &wire.HandOverRequest{
			Serial: attempt,
			Commit: true,
			To:     wire.FromHostID(successor),
		})
		// An answer by a later incarnation says nothing of the one that had
		// the copy: it may have decided on orders before it died.
		if err == nil && wire.ToHostID(reply.GetHolder()) == successor {
			return d.committed(successor, attempt, reply.GetAccepted()), nil
		}
		if err == nil {
			return false, fmt.Errorf("the order ledger went to %s, which is gone", successor)
		}
		if !pause(ctx, wait) {
			return false, fmt.Errorf("the order ledger went to %s, which did not confirm it: %w", successor, err)
		}
	}
}

func (d *Orders) committed(successor core.HostID, attempt uint64, accepted bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.HandleCommitReply(successor, attempt, accepted)
	d.noteMove(fmt.Sprintf("own ledger to %s", successor), accepted)
	d.wake()
	return accepted
}

func (d *Orders) sendStep(ctx context.Context, peer wire.Peer, request *wire.HandOverRequest) (*wire.HandOverReply, error) {
	request.From = wire.FromHostID(d.config.Self)
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(_handOverTry))
	defer cancel()
	reply, err := peer.HandOver(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("hand the order ledger over: %w", err)
	}
	return reply, nil
}
