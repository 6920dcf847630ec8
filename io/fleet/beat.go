package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/member"
	"apricotproxy/core/procs/spread"
	"apricotproxy/io/peers"
	"apricotproxy/io/wire"
)

const (
	// A round of heartbeats waits up to this share of the interval, so that
	// hosts that started together do not send together.
	_beatJitter = 0.2
	// Longest wait for the heartbeats of a process that slept.
	_wakeTimeout = 2 * time.Second
)

// beatLoop sends a round of heartbeats each interval, and at once after a
// revision has come into force.
func (f *Fleet) beatLoop(ctx context.Context) {
	for {
		f.round(ctx)
		f.mu.Lock()
		pause := time.Duration(float64(f.interval) * (1 + _beatJitter*(f.random.Float64()-0.5)))
		f.mu.Unlock()
		if !sleep(ctx, time.Now().Add(pause), f.kick) {
			return
		}
	}
}

// round sends one round of heartbeats. A process that slept waits for the
// answers before its view counts as current again.
func (f *Fleet) round(ctx context.Context) {
	now := time.Now()
	f.mu.Lock()
	slept := !now.Before(f.viewDeadline)
	if !slept {
		f.extendView(now)
	}
	hosts := f.member.HeartbeatTargets(now)
	f.asked, f.answered = len(hosts), 0
	f.mu.Unlock()
	sent := f.send(ctx, hosts)
	if !slept {
		return
	}
	f.log.Info("This process slept. It asks its peers before it dispatches.")
	f.wake(ctx, sent)
}

// wake waits for the answers of a round, and for the revision that they told
// of, before it extends the view. A host in a partition of one waits for its
// heartbeats to fail.
func (f *Fleet) wake(ctx context.Context, sent *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		sent.Wait()
		close(done)
	}()
	deadline := time.Now().Add(_wakeTimeout)
	sleep(ctx, deadline, done)
	for ctx.Err() == nil && time.Now().Before(deadline) && f.behind() {
		sleep(ctx, time.Now().Add(10*time.Millisecond), nil)
	}
	f.mu.Lock()
	f.extendView(time.Now())
	f.mu.Unlock()
}

// behind tells whether a peer has a higher revision than this host.
func (f *Fleet) behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spread.Behind()
}

// send starts a heartbeat to each host that has none under way, as far as
// permits allow. When all permits are taken by hosts that do not answer, the
// rest wait for a later round.
func (f *Fleet) send(ctx context.Context, hosts []core.HostName) *sync.WaitGroup {
	var sent sync.WaitGroup
	for _, host := range hosts {
		if !f.permit(host) {
			continue
		}
		sent.Add(1)
		f.work.Go(func() {
			defer sent.Done()
			defer f.release(host)
			f.beat(ctx, host)
		})
	}
	return &sent
}

func (f *Fleet) permit(host core.HostName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[host] {
		return false
	}
	select {
	case f.beats <- struct{}{}:
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
	<-f.beats
}

// beat exchanges one heartbeat with a host. It reports whether it answered.
func (f *Fleet) beat(ctx context.Context, host core.HostName) bool {
	peer, ok := f.Peer(host)
	if !ok {
		f.beatFailed(host)
		return false
	}
	reply, err := peer.Heartbeat(ctx, f.request())
	if err != nil {
		if ctx.Err() == nil {
			f.log.V(1).Info("A heartbeat failed.", "Host", host, "Cause", err.Error())
			f.beatFailed(host)
		}
		return false
	}
	f.heardReply(reply)
	f.countAnswer()
	return true
}

func (f *Fleet) countAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered++
	if 2*f.answered > f.asked {
		f.confirmView(time.Now())
	}
}

func (f *Fleet) beatFailed(host core.HostName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.member.RecordFailure(time.Now(), host)
	f.spread.PeerFailed(host)
}

func (f *Fleet) request() *wire.HeartbeatRequest {
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

func (f *Fleet) heardReply(reply *wire.HeartbeatReply) {
	now := time.Now()
	f.heard(member.Message{
		From:     wire.ToHostID(reply.GetFrom()),
		Revision: core.Revision(reply.GetRevision()),
		Draining: reply.GetDraining(),
		News:     newsFromWire(now, reply.GetNews()),
	}, reply.GetDigest())
}

// heard takes in a peer's message and tells the rest of the host what is new.
func (f *Fleet) heard(message member.Message, digest uint64) {
	now := time.Now()
	stamp := spread.Stamp{Revision: message.Revision, Digest: digest}
	host := message.From.Host
	f.mu.Lock()
	change := f.member.Receive(now, message)
	conflict := f.spread.ObservePeer(host, stamp)
	f.spread.PeerAnswered(host)
	behind := f.spread.Behind()
	f.mu.Unlock()
	if behind {
		poke(f.fetching)
	}
	if conflict {
		f.alarmConflict("peer "+string(host), stamp.Revision)
	}
	f.tell(change)
}

func (f *Fleet) tell(change member.Change) {
	calls := f.settings.Callbacks
	for _, replaced := range change.Replaced {
		f.auditNow(core.AuditIncarnation, replaced.String(), "a newer process at its position")
	}
	if calls.Acknowledged != nil {
		for _, acknowledged := range change.Acknowledged {
			calls.Acknowledged(acknowledged.Host, acknowledged.Revision)
		}
	}
	if change.Superseded.Incarnation == 0 {
		return
	}
	f.log.Info("A newer incarnation stands at this position. This host stops admitting.",
		"Newer", change.Superseded.String())
	f.auditNow(core.AuditIncarnation, change.Superseded.String(), "this host stops admitting")
	if calls.Superseded != nil {
		calls.Superseded(change.Superseded)
	}
}

// Heartbeat serves a peer's heartbeat. An incarnation that has been replaced
// is told so, and nothing of what it says is taken in.
func (f *Fleet) Heartbeat(_ context.Context, request *wire.HeartbeatRequest) (*wire.HeartbeatReply, error) {
	now := time.Now()
	from := wire.ToHostID(request.GetFrom())
	if reply, old := f.answerOld(from); old {
		return reply, nil
	}
	f.heard(member.Message{
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

// answerOld tells an incarnation that has been replaced of the newer one.
func (f *Fleet) answerOld(from core.HostID) (reply *wire.HeartbeatReply, old bool) {
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

// FetchRevision gives a peer the bundle in force.
func (f *Fleet) FetchRevision(context.Context, *wire.FetchRevisionRequest) (*wire.FetchRevisionReply, error) {
	f.mu.Lock()
	bundle, stamp := f.spread.Bundle(), f.spread.InForce()
	f.mu.Unlock()
	encoded, err := json.Marshal(bundle)
	if err != nil {
		return nil, fmt.Errorf("encode the bundle: %w", err)
	}
	return &wire.FetchRevisionReply{Revision: uint64(stamp.Revision), Digest: stamp.Digest, Bundle: encoded}, nil
}

// CheckSender refuses messages of incarnations that have been replaced. It is
// the check for peers.Guard.
func (f *Fleet) CheckSender(from core.HostID) error {
	if err := peers.Anyone(from); err != nil {
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

// fetchLoop fetches higher revisions from the peers that told of them.
func (f *Fleet) fetchLoop(ctx context.Context) {
	for {
		if !sleep(ctx, time.Now().Add(spread.DefaultFetchTimeout), f.fetching) {
			return
		}
		for ctx.Err() == nil && f.fetchOnce(ctx) {
		}
	}
}

// fetchOnce fetches from one peer. It reports whether there was one to ask.
func (f *Fleet) fetchOnce(ctx context.Context) bool {
	f.mu.Lock()
	host, ok := f.spread.NextFetch(time.Now())
	f.mu.Unlock()
	if !ok {
		return false
	}
	bundle, err := f.fetchFrom(ctx, host)
	if err != nil {
		f.log.V(1).Info("Fetching a revision failed.", "Host", host, "Cause", err.Error())
		f.mu.Lock()
		f.spread.FetchFailed(host)
		f.mu.Unlock()
		return true
	}
	f.offer("peer "+string(host), func() spread.Decision { return f.spread.Fetched(host, bundle) })
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
	pieces := make([]*wire.HostNews, 0, len(news))
	for _, piece := range news {
		encoded := &wire.HostNews{
			Host:      wire.FromHostID(piece.Host),
			Revision:  uint64(piece.Revision),
			Draining:  piece.Draining,
			AgeMillis: uint64(max(now.Sub(piece.SeenAt), 0).Milliseconds()),
		}
		if piece.Holder.Incarnation != 0 {
			encoded.LedgerHolder = wire.FromHostID(piece.Holder)
		}
		pieces = append(pieces, encoded)
	}
	return pieces
}

func newsFromWire(now time.Time, pieces []*wire.HostNews) []member.News {
	news := make([]member.News, 0, len(pieces))
	for _, piece := range pieces {
		age := time.Duration(piece.GetAgeMillis()) * time.Millisecond
		news = append(news, member.News{
			Host:     wire.ToHostID(piece.GetHost()),
			Revision: core.Revision(piece.GetRevision()),
			Draining: piece.GetDraining(),
			SeenAt:   now.Add(-age),
			Holder:   wire.ToHostID(piece.GetLedgerHolder()),
		})
	}
	return slices.Clip(news)
}
