package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

const (
	// The interval between two rounds of heartbeats varies at random by up to half of
	// this share up or down, so that hosts that started together do not send together.
	_heartbeatJitter = 0.2
	// Longest time that a process that was suspended waits for the answers to its
	// heartbeats before it dispatches requests again.
	_resumeTimeout = 2 * time.Second
)

// heartbeatLoop sends a round of heartbeats in each interval, and at once when a
// revision was put in force.
func (f *Fleet) heartbeatLoop(ctx context.Context) {
	for {
		f.sendRound(ctx)
		pause := mutex.Get(&f.mu, func() time.Duration {
			return time.Duration(float64(f.heartbeatInterval) * (1 + _heartbeatJitter*(f.random.Float64()-0.5)))
		})
		if !waitUntil(ctx, time.Now().Add(pause), f.heartbeatNow) {
			return
		}
	}
}

// sendRound sends one round of heartbeats. After a suspension of the process it waits
// for the answers before requests may be dispatched again.
func (f *Fleet) sendRound(ctx context.Context) {
	now := time.Now()
	var suspended bool
	var hosts []core.HostName
	mutex.Do(&f.mu, func() {
		suspended = !now.Before(f.dispatchUntil)
		if !suspended {
			f.allowDispatch(now)
		}
		hosts = f.member.HeartbeatTargets(now)
		f.roundTargets, f.roundAnswers = len(hosts), 0
	})
	sent := f.sendHeartbeats(ctx, hosts)
	if !suspended {
		return
	}
	f.log.Info("This process was suspended. It waits for answers of its peers before it dispatches requests.")
	f.resume(ctx, sent)
}

// resume allows dispatching again after a suspension. Before, it waits for the answers
// of a round and until this host has the revision that they announced, but not longer
// than _resumeTimeout. A host that a partition separates from all others waits until its
// heartbeats have failed.
func (f *Fleet) resume(ctx context.Context, sent *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		sent.Wait()
		close(done)
	}()
	deadline := time.Now().Add(_resumeTimeout)
	waitUntil(ctx, deadline, done)
	for ctx.Err() == nil && time.Now().Before(deadline) && f.behind() {
		waitUntil(ctx, time.Now().Add(10*time.Millisecond), nil)
	}
	mutex.Do(&f.mu, func() { f.allowDispatch(time.Now()) })
}

// behind reports whether a peer has a higher revision than this host.
func (f *Fleet) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spread.Behind()
}

// sendHeartbeats starts a heartbeat to each host that has none in flight, as long as
// permits are free. If hosts that do not answer hold all permits, the remaining hosts
// get theirs in a later round.
func (f *Fleet) sendHeartbeats(ctx context.Context, hosts []core.HostName) *sync.WaitGroup {
	var sent sync.WaitGroup
	for _, host := range hosts {
		if !f.tryAcquire(host) {
			continue
		}
		sent.Add(1)
		f.goroutines.Go(func() {
			defer sent.Done()
			defer f.release(host)
			f.exchangeHeartbeat(ctx, host)
		})
	}
	return &sent
}

// tryAcquire takes a permit for a heartbeat to a host. It returns false if a heartbeat
// to the host is in flight or no permit is free.
func (f *Fleet) tryAcquire(host core.HostName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[host] {
		return false
	}
	select {
	case f.heartbeatPermits <- struct{}{}:
		f.inFlight[host] = true
		return true
	default:
		return false
	}
}

func (f *Fleet) release(host core.HostName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, host)
	<-f.heartbeatPermits
}

// exchangeHeartbeat sends a heartbeat to a host and reports whether the host answered.
func (f *Fleet) exchangeHeartbeat(ctx context.Context, host core.HostName) bool {
	peer, ok := f.Peer(host)
	if !ok {
		f.recordFailure(host)
		return false
	}
	reply, err := peer.Heartbeat(ctx, f.heartbeatRequest())
	if err != nil {
		if ctx.Err() == nil {
			f.log.V(1).Info("A heartbeat failed.", "Host", host, "Cause", err.Error())
			f.recordFailure(host)
		}
		return false
	}
	f.handleReply(reply)
	f.countAnswer()
	return true
}

// countAnswer counts an answered heartbeat of the current round. Once more than half of
// the round is answered, this host's view is recent enough for engine orders.
func (f *Fleet) countAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roundAnswers++
	if 2*f.roundAnswers > f.roundTargets {
		f.allowEngineOrders(time.Now())
	}
}

func (f *Fleet) recordFailure(host core.HostName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.RecordFailure(time.Now(), host)
	f.spread.PeerFailed(host)
}

func (f *Fleet) heartbeatRequest() *wire.HeartbeatRequest {
	running := 0
	if f.settings.Callbacks.Running != nil {
		running = f.settings.Callbacks.Running()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	message := f.member.NextMessage(now)
	return &wire.HeartbeatRequest{
		From:     wire.FromHostID(message.From),
		Revision: uint64(message.Revision),
		Digest:   f.applied.Digest,
		Running:  uint32(running),
		Draining: message.Draining,
		News:     newsToWire(now, message.News),
	}
}

func (f *Fleet) handleReply(reply *wire.HeartbeatReply) {
	now := time.Now()
	f.handleMessage(member.Message{
		From:     wire.ToHostID(reply.GetFrom()),
		Revision: core.Revision(reply.GetRevision()),
		Draining: reply.GetDraining(),
		News:     newsFromWire(now, reply.GetNews()),
	}, reply.GetDigest())
}

// handleMessage processes a peer's heartbeat, or its answer to one, and calls the
// callbacks for what changed.
func (f *Fleet) handleMessage(message member.Message, digest uint64) {
	now := time.Now()
	stamp := spread.Stamp{Revision: message.Revision, Digest: digest}
	host := message.From.Host
	var change member.Change
	var conflict, behind bool
	mutex.Do(&f.mu, func() {
		change = f.member.Receive(now, message)
		conflict = f.spread.ObservePeer(host, stamp)
		f.spread.PeerAnswered(host)
		behind = f.spread.Behind()
	})
	if behind {
		notify(f.fetchNow)
	}
	if conflict {
		f.alertConflict("peer "+string(host), stamp.Revision)
	}
	f.reportChange(change)
}

// reportChange audits a change and calls the callbacks for it.
func (f *Fleet) reportChange(change member.Change) {
	callbacks := f.settings.Callbacks
	for _, replaced := range change.Replaced {
		f.auditNow(core.AuditIncarnation, replaced.String(), "a newer process at its position")
	}
	if callbacks.Acknowledged != nil {
		for _, acknowledged := range change.Acknowledged {
			callbacks.Acknowledged(acknowledged.Host, acknowledged.Revision)
		}
	}
	if change.Superseded.Incarnation == 0 {
		return
	}
	f.log.Info("A newer process runs under the name of this host. This process stops admitting requests.",
		"Newer", change.Superseded.String())
	f.auditNow(core.AuditIncarnation, change.Superseded.String(), "this host stops admitting")
	if callbacks.Superseded != nil {
		callbacks.Superseded(change.Superseded)
	}
}

// Heartbeat answers a peer's heartbeat. The heartbeat of a replaced incarnation is
// ignored, except that the answer names the newer incarnation.
func (f *Fleet) Heartbeat(_ context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	now := time.Now()
	from := wire.ToHostID(request.GetFrom())
	if reply, replaced := f.answerReplaced(from); replaced {
		return reply, nil
	}
	f.handleMessage(member.Message{
		From:     from,
		Revision: core.Revision(request.GetRevision()),
		Draining: request.GetDraining(),
		News:     newsFromWire(now, request.GetNews()),
	}, request.GetDigest())
	f.mu.Lock()
	defer f.mu.Unlock()
	message := f.member.NextMessage(now)
	return &wire.HeartbeatReply{
		From:     wire.FromHostID(message.From),
		Revision: uint64(message.Revision),
		Digest:   f.applied.Digest,
		Draining: message.Draining,
		News:     newsToWire(now, message.News),
	}, nil
}

// answerReplaced returns the answer to a replaced incarnation, which names the newer
// one. It returns false if the sender was not replaced.
func (f *Fleet) answerReplaced(from core.HostID) (reply *wire.HeartbeatReply, replaced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.member.IsReplaced(from) {
		return nil, false
	}
	newer := f.settings.Self
	if from.Host != newer.Host {
		newer, _ = f.member.LatestIncarnation(from.Host)
	}
	return &wire.HeartbeatReply{
		From:     wire.FromHostID(f.settings.Self),
		Revision: uint64(f.applied.Revision),
		Digest:   f.applied.Digest,
		Draining: f.draining,
		News:     []*wire.HostNews{{Host: wire.FromHostID(newer)}},
	}, true
}

// FetchRevision returns the bundle in force to a peer.
func (f *Fleet) FetchRevision(context.Context, *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	var bundle core.Bundle
	var stamp spread.Stamp
	mutex.Do(&f.mu, func() { bundle, stamp = f.spread.Bundle(), f.spread.InForce() })
	encoded, err := json.Marshal(bundle)
	if err != nil {
		return nil, fmt.Errorf("encode the bundle: %w", err)
	}
	return &wire.FetchRevisionReply{Revision: uint64(stamp.Revision), Digest: stamp.Digest, Bundle: encoded}, nil
}

// CheckSender returns an error if the sender of a message does not name itself or is a
// replaced incarnation. It is the check for peers.Guard.
func (f *Fleet) CheckSender(from core.HostID) error {
	if err := peers.RequireSender(from); err != nil {
		return fmt.Errorf("check the sender: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.member.IsReplaced(from) {
		return nil
	}
	known, _ := f.member.LatestIncarnation(from.Host)
	return &peers.OldIncarnationError{Got: from, Known: known}
}

// fetchLoop fetches higher revisions from the peers that announced them.
func (f *Fleet) fetchLoop(ctx context.Context) {
	for {
		if !waitUntil(ctx, time.Now().Add(spread.DefaultFetchTimeout), f.fetchNow) {
			return
		}
		for ctx.Err() == nil && f.fetchOnce(ctx) {
		}
	}
}

// fetchOnce fetches a revision from one peer. It returns false if no fetch is due.
func (f *Fleet) fetchOnce(ctx context.Context) bool {
	var host core.HostName
	var ok bool
	mutex.Do(&f.mu, func() { host, ok = f.spread.NextFetch(time.Now()) })
	if !ok {
		return false
	}
	bundle, err := f.fetchFrom(ctx, host)
	if err != nil {
		f.log.V(1).Info("Fetching a revision failed.", "Host", host, "Cause", err.Error())
		mutex.Do(&f.mu, func() { f.spread.FetchFailed(host) })
		return true
	}
	f.decideAndApply("peer "+string(host), func() spread.Decision { return f.spread.Fetched(host, bundle) })
	return true
}

func (f *Fleet) fetchFrom(ctx context.Context, host core.HostName) (core.Bundle, error) {
	var bundle core.Bundle
	peer, ok := f.Peer(host)
	if !ok {
		return bundle, fmt.Errorf("fetch a revision: host %s has no address", host)
	}
	reply, err := peer.FetchRevision(ctx, &wire.FetchRevisionRequest{From: wire.FromHostID(f.settings.Self)})
	if err != nil {
		return bundle, fmt.Errorf("fetch a revision from %s: %w", host, err)
	}
	if err := json.Unmarshal(reply.GetBundle(), &bundle); err != nil {
		return bundle, fmt.Errorf("decode the bundle of %s: %w", host, err)
	}
	return bundle, nil
}

func newsToWire(now time.Time, news []member.News) []*wire.HostNews {
	items := make([]*wire.HostNews, 0, len(news))
	for _, item := range news {
		encoded := &wire.HostNews{
			Host:      wire.FromHostID(item.Host),
			Revision:  uint64(item.Revision),
			Draining:  item.Draining,
			AgeMillis: uint64(max(now.Sub(item.SeenAt), 0).Milliseconds()),
		}
		if item.Holder.Incarnation != 0 {
			encoded.LedgerHolder = wire.FromHostID(item.Holder)
		}
		items = append(items, encoded)
	}
	return items
}

func newsFromWire(now time.Time, items []*wire.HostNews) []member.News {
	news := make([]member.News, 0, len(items))
	for _, item := range items {
		age := time.Duration(item.GetAgeMillis()) * time.Millisecond
		news = append(news, member.News{
			Host:     wire.ToHostID(item.GetHost()),
			Revision: core.Revision(item.GetRevision()),
			Draining: item.GetDraining(),
			SeenAt:   now.Add(-age),
			Holder:   wire.ToHostID(item.GetLedgerHolder()),
		})
	}
	return slices.Clip(news)
}
