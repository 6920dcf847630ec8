package fleet

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/spread"
	"apricotproxy/io/wire"
)

const (
	// While a host starts it looks this often for what is still to be asked.
	_startStep = 50 * time.Millisecond
	// Peers asked at once while a host starts.
	_startAsked = 2 * spread.DefaultStartPeers
	// A starting host waits no longer for a snapshot.
	_snapshotTimeout = 2 * time.Second
	_snapshotPeers   = 3
)

// startLoop leads a host that knows nothing to the highest revision that it
// can learn and to a peer's snapshot. Then the host is ready.
func (f *Fleet) startLoop(ctx context.Context) {
	for _, address := range f.settings.Seeds {
		f.work.Go(func() { f.askSeed(ctx, address) })
	}
	for !f.startStep(ctx) {
		if !sleep(ctx, time.Now().Add(_startStep), nil) {
			return
		}
	}
	f.restore(ctx)
	f.mu.Lock()
	f.ready = true
	revision := f.config.Revision
	f.mu.Unlock()
	f.log.Info("This host is ready.", "Revision", revision)
	close(f.readyAt)
}

// startStep asks the peers that are still to be asked. It reports whether the
// start is over.
func (f *Fleet) startStep(ctx context.Context) bool {
	f.mu.Lock()
	known := f.member.Hosts()
	ready := f.spread.Ready(time.Now(), known) && f.applied.Revision != 0
	unasked := f.spread.PendingPeers(known)
	f.mu.Unlock()
	if ready {
		return true
	}
	f.send(ctx, unasked[:min(len(unasked), _startAsked)])
	return false
}

// askSeed exchanges a heartbeat with an address whose host is not yet known.
func (f *Fleet) askSeed(ctx context.Context, address string) {
	reply, err := f.settings.Dial(address).Heartbeat(ctx, f.request())
	if err != nil {
		f.log.V(1).Info("A seed did not answer.", "Address", address, "Cause", err.Error())
		return
	}
	f.mu.Lock()
	f.learned[core.HostName(reply.GetFrom().GetName())] = address
	f.mu.Unlock()
	f.heardReply(reply)
}

// restore asks peers for a snapshot until one gives it.
func (f *Fleet) restore(ctx context.Context) {
	if f.settings.Callbacks.Restore == nil || f.settings.Switches.SkipSnapshot {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _snapshotTimeout)
	defer cancel()
	for _, host := range f.Ask(_snapshotPeers) {
		err := f.restoreFrom(ctx, host)
		if err == nil {
			return
		}
		f.log.V(1).Info("A snapshot failed.", "Host", host, "Cause", err.Error())
	}
}

func (f *Fleet) restoreFrom(ctx context.Context, host core.HostName) error {
	peer, ok := f.Peer(host)
	if !ok {
		return fmt.Errorf("ask for a snapshot: host %s has no address", host)
	}
	reply, err := peer.Snapshot(ctx, &wire.SnapshotRequest{From: wire.FromHostID(f.settings.Self)})
	if err != nil {
		return fmt.Errorf("ask %s for a snapshot: %w", host, err)
	}
	if err := f.settings.Callbacks.Restore(reply.GetDecider()); err != nil {
		return fmt.Errorf("restore the snapshot of %s: %w", host, err)
	}
	return nil
}
