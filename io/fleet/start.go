package fleet

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/spread"
	"apricotproxy/io/wire"
)

const (
	// Time between two steps of a starting host.
	_startPollInterval = 50 * time.Millisecond
	// Maximum number of peers that a starting host sends heartbeats to in one step.
	_maxPeersPerStartStep = 2 * spread.DefaultStartPeers
	// Longest time that a starting host waits for a snapshot, from all peers together.
	_snapshotTimeout  = 2 * time.Second
	_maxSnapshotPeers = 3
)

// startLoop runs the start of the host. The host is ready once it has the highest
// revision that it can learn of and has tried to restore a peer's snapshot.
func (f *Fleet) startLoop(ctx context.Context) {
	for _, address := range f.settings.Seeds {
		f.goroutines.Go(func() { f.contactSeed(ctx, address) })
	}
	for !f.startStep(ctx) {
		if !waitUntil(ctx, time.Now().Add(_startPollInterval), nil) {
			return
		}
	}
	f.restoreSnapshot(ctx)
	revision := mutex.Get(&f.mu, func() core.Revision {
		f.ready = true
		return f.config.Revision
	})
	f.log.Info("This host is ready.", "Revision", revision)
	close(f.started)
}

// startStep sends heartbeats to peers that have neither answered nor failed. It returns
// true once the host has the highest revision that it can learn of.
func (f *Fleet) startStep(ctx context.Context) bool {
	var ready bool
	var pending []core.HostName
	mutex.Do(&f.mu, func() {
		known := f.member.Hosts()
		ready = f.spread.Ready(time.Now(), known) && f.applied.Revision != 0
		pending = f.spread.PendingPeers(known)
	})
	if ready {
		return true
	}
	f.sendHeartbeats(ctx, pending[:min(len(pending), _maxPeersPerStartStep)])
	return false
}

// contactSeed sends a heartbeat to an address whose host is not known yet, and records the
// address for the host that answers.
func (f *Fleet) contactSeed(ctx context.Context, address string) {
	reply, err := f.settings.PeerClient(address).Heartbeat(ctx, f.heartbeatRequest())
	if err != nil {
		f.log.V(1).Info("A seed did not answer.", "Address", address, "Cause", err.Error())
		return
	}
	mutex.Do(&f.mu, func() { f.seedAddresses[core.HostName(reply.GetFrom().GetName())] = address })
	f.handleReply(reply)
}

// restoreSnapshot restores the snapshot of the first peer that returns a usable one. The
// host starts without a snapshot if none does.
func (f *Fleet) restoreSnapshot(ctx context.Context) {
	if f.settings.Callbacks.Restore == nil || f.settings.Switches.SkipSnapshot {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _snapshotTimeout)
	defer cancel()
	for _, host := range f.PeersToAsk(_maxSnapshotPeers) {
		err := f.restoreFrom(ctx, host)
		if err == nil {
			return
		}
		f.log.V(1).Info("Restoring the snapshot of a peer failed.", "Host", host, "Cause", err.Error())
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
