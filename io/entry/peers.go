package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/poison"
	"apricotproxy/io/front"
	"apricotproxy/io/news"
)

// peers exchanges heartbeats, loads and documents with the other hosts.
type peers struct {
	log          logr.Logger
	self         gossip.Contact
	incarnation  int64
	socket       net.PacketConn
	client       *news.Client
	docState     *documentState
	sharedPlacer *front.SharedPlacer
	detector     *front.SharedDetector
	origins      *front.SharedOrigins
	front        *front.Front
	reach        *front.SharedReach
	// recordHost records what another host says of whether it reaches the endpoints.
	recordHost func(*gossip.Heartbeat)
	stopping   func() bool
	// sendNow requests a heartbeat before the next interval. sendChangesNow requests
	// only the changed loads, for the hosts of the same data centre.
	sendNow        chan struct{}
	sendChangesNow chan struct{}
	// sendRequestsNow requests only what was learned of requests that may crash endpoints.
	sendRequestsNow chan struct{}
	// sendOriginsNow requests only the records of streams that this host began.
	sendOriginsNow chan struct{}
	// rateLimitsDueAt and blockedRequestsDueAt are when all rate limits and all blocked requests
	// are next sent. Only run uses them, and the two below.
	rateLimitsDueAt, blockedRequestsDueAt time.Time
	// remotePacesDueAt and allPacesDueAt are when paces of engines are next sent to other data
	// centres, and when all of them.
	remotePacesDueAt, allPacesDueAt time.Time

	mu    sync.Mutex
	state *gossip.State
	// canReadStore is false while this host cannot read the store; readFailedAt is when
	// the last read failed.
	canReadStore bool
	readFailedAt time.Time
	// pulling is true while documents are being pulled from another host.
	pulling bool
}

// _rateLimitsInterval is how often a host sends all rate limits that hold, beside those that
// changed: a fraction of the time after which a limit that is not named again is forgotten.
const _rateLimitsInterval = 5 * time.Second

// _blockedRequestsInterval is how often a host sends which requests it refuses. A host that
// was cut off must know it three seconds after it can be reached again, as short as the
// platform's documentation gives this bound.
const _blockedRequestsInterval = 2 * time.Second

// receive processes one datagram.
func (p *peers) receive(ctx context.Context, datagram []byte) {
	now := time.Now()
	received, err := news.Decode(datagram, now)
	switch {
	case err != nil:
		p.log.Error(err, "A heartbeat cannot be decoded.")
	case received.LoadUpdate != nil:
		p.receiveChange(now, received.LoadUpdate)
	case received.RateLimits != nil:
		p.receiveRateLimits(now, received.RateLimits)
	case received.Brittle != nil:
		p.receiveBrittle(now, received.Brittle)
	case received.Requests != nil:
		p.receiveRequests(now, received.Requests)
	case received.Origins != nil:
		p.receiveOrigins(ctx, now, received.Origins)
	case received.Paces != nil:
		p.receivePaces(now, received.Paces)
	case received.Demand != nil:
		p.receiveDemand(now, received.Demand)
	default:
		p.receiveHeartbeat(ctx, now, received.Message)
	}
}

func (p *peers) receiveHeartbeat(ctx context.Context, now time.Time, message *news.Message) {
	accepted, first, hosts := p.recordHeartbeat(now, &message.Heartbeat)
	if !accepted {
		return
	}
	p.recordHost(&message.Heartbeat)
	if first {
		p.sendWelcome(now, message.From)
	}
	source := place.Source{Host: message.From.Host}
	if message.From.DataCentre != p.self.DataCentre {
		source = place.Source{DataCentre: message.From.DataCentre}
	}
	p.sharedPlacer.Update(func(placer *place.Placer) {
		placer.SetHosts(now, hosts)
		if message.Loads != nil {
			placer.SetPeerLoads(now, source, message.Loads)
		}
	})
	if len(message.Leaving) > 0 && p.sharedPlacer.RecordLeaving(message.Leaving...) {
		p.scheduleHeartbeat()
	}
	p.detector.Merge(string(message.From.Host), now, message.Poison)
	p.compareSyncStatus(ctx, now, message.SyncStatus, message.From)
}

// receiveChange applies changes of another host's loads. Changes from an unknown host
// or from an incarnation that is not the known one are ignored, since the next
// heartbeat carries all loads.
// recordHeartbeat records a heartbeat and returns how many hosts may be live.
func (p *peers) recordHeartbeat(now time.Time, heartbeat *gossip.Heartbeat) (accepted, first bool, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted, first = p.state.Receive(now, heartbeat)
	return accepted, first, p.state.CountMayLive(now)
}

// knows reports whether the loads are of a host that is known.
func (p *peers) knows(change *news.LoadUpdate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Knows(change.Host, change.Incarnation)
}

func (p *peers) receiveChange(now time.Time, change *news.LoadUpdate) {
	if !p.knows(change) {
		return
	}
	p.sharedPlacer.Update(func(placer *place.Placer) { placer.UpdatePeerLoads(now, place.Source{Host: change.Host}, change.Loads) })
}

// receiveDemand records how requests fared at another host, or at those of another data centre.
// Like changed loads it is ignored if the host is not known.
func (p *peers) receiveDemand(now time.Time, demand *news.Demand) {
	known := mutex.Get(&p.mu, func() bool { return p.state.Knows(demand.Host, demand.Incarnation) })
	if !known {
		return
	}
	source := place.Source{Host: demand.Host}
	if demand.DataCentre != p.self.DataCentre {
		source = place.Source{DataCentre: demand.DataCentre}
	}
	p.sharedPlacer.WithLine(func(line *await.Line) { line.SetDemand(now, source, demand.Demand) })
}

// sendDemand sends how requests fared while a service is short of capacity: this host's own to
// those of its data centre, and those of the whole data centre to others.
func (p *peers) sendDemand(now time.Time, local, remote []string) {
	own := news.Demand{Host: p.self.Host, DataCentre: p.self.DataCentre, Incarnation: p.incarnation}
	all := own
	p.sharedPlacer.WithLine(func(line *await.Line) { own.Demand, all.Demand = line.OwnDemand(now), line.DataCentreDemand(now) })
	for _, message := range []struct {
		demand  *news.Demand
		targets []string
	}{{&own, local}, {&all, remote}} {
		if len(message.demand.Demand) > 0 {
			datagram, err := news.EncodeDemand(message.demand)
			p.sendTo(datagram, err, message.targets)
		}
	}
}

// receiveRequests records what another host knows of requests that may crash endpoints.
func (p *peers) receiveRequests(now time.Time, r *news.Requests) {
	if r.Host == p.self.Host {
		return
	}
	origin := poison.SameDataCentre
	if r.DataCentre != p.self.DataCentre {
		origin = poison.OtherDataCentre
	}
	p.detector.UpdateRequests(string(r.Host), func(d *poison.CrashDetector) { d.Merge(now, origin, &r.Report) })
}

// sendRequests sends what this host learned lately of requests that may crash endpoints to
// hosts of its own and of other data centres.
func (p *peers) sendRequests(now time.Time, local, remote []string) {
	var toLocal, toRemote poison.RequestReport
	p.detector.UpdateRequests("own", func(d *poison.CrashDetector) {
		toLocal, toRemote = d.Report(now, false), d.Report(now, true)
	})
	p.sendRequestReport(now, toLocal, local)
	p.sendRequestReport(now, toRemote, remote)
}

// sendBlockedRequests sends which requests this host refuses.
func (p *peers) sendBlockedRequests(now time.Time, targets []string) {
	var report poison.RequestReport
	p.detector.UpdateRequests("own", func(d *poison.CrashDetector) { report = d.ReportBlocked() })
	p.sendRequestReport(now, report, targets)
}

func (p *peers) sendRequestReport(now time.Time, report poison.RequestReport, targets []string) {
	if report.IsEmpty() {
		return
	}
	datagrams, err := news.EncodeRequests(&news.Requests{Host: p.self.Host, DataCentre: p.self.DataCentre, Report: report}, now)
	p.sendAllTo(datagrams, err, targets)
}

// receiveRateLimits records rate limits that endpoints named to other hosts, and has changes
// passed on. They may come from a host that is not known yet.
func (p *peers) receiveRateLimits(now time.Time, report *news.RateLimits) {
	for _, limit := range report.Limits {
		before, changed := p.sharedPlacer.RecordRateLimit(limit.Key, limit.RateLimit)
		if !changed {
			continue
		}
		p.log.Info("Another host reports an endpoint's rate limit.", "Host", report.Host, "Endpoint", limit.Key.ID, "Named", limit.IsNamed,
			"PerSecond", limit.PerSecond, "NamedBefore", before.IsNamed, "Age", now.Sub(limit.SaidAt).Milliseconds())
		if limit.IsNamed != before.IsNamed {
			p.scheduleHeartbeat()
		}
	}
}

// sendRateLimits sends the rate limits that changed lately or, if all is true, all that hold.
func (p *peers) sendRateLimits(now time.Time, all bool, targets []string) {
	report := news.RateLimits{Host: p.self.Host}
	p.sharedPlacer.WithLock(func(placer *place.Placer) { report.Limits = placer.RateLimits(now, all) })
	if len(report.Limits) == 0 {
		return
	}
	datagram, err := news.EncodeRateLimits(&report, now)
	p.sendTo(datagram, err, targets)
}

// receiveBrittle records what endpoints said to other hosts of how many requests they can turn away,
// and has changes passed on. It may come from a host that is not known yet.
func (p *peers) receiveBrittle(now time.Time, report *news.Brittle) {
	for _, e := range report.Endpoints {
		before, changed := p.sharedPlacer.RecordBrittleness(e.Key, e.Brittleness)
		if !changed {
			continue
		}
		p.log.Info("Another host reports an endpoint's brittleness.", "Host", report.Host, "Endpoint", e.Key.ID, "Named", e.IsNamed,
			"Refusals", e.Refusals, "NamedBefore", before.IsNamed, "Age", now.Sub(e.SaidAt).Milliseconds())
		if e.IsNamed != before.IsNamed {
			p.scheduleHeartbeat()
		}
	}
}

// sendBrittle sends what endpoints said of their brittleness: what changed lately or, if all is
// true, of all that are brittle.
func (p *peers) sendBrittle(now time.Time, all bool, targets []string) {
	report := news.Brittle{Host: p.self.Host}
	p.sharedPlacer.WithLock(func(placer *place.Placer) { report.Endpoints = placer.Brittlenesses(now, all) })
	if len(report.Endpoints) == 0 {
		return
	}
	datagram, err := news.EncodeBrittle(&report, now)
	p.sendTo(datagram, err, targets)
}

// sendWelcome answers the first heartbeat of a host with one that names other hosts.
func (p *peers) sendWelcome(now time.Time, to gossip.Contact) {
	message := p.newMessage(now)
	message.Poison = p.detector.Report(now, true)
	mutex.Do(&p.mu, func() { message.KnownHosts = p.state.WelcomeHosts(now, to.DataCentre) })
	p.sendMessage(message, []string{to.Heartbeat})
	p.sendRateLimits(now, true, []string{to.Heartbeat})
	p.sendBrittle(now, true, []string{to.Heartbeat})
	p.sendBlockedRequests(now, []string{to.Heartbeat})
	p.sendSpan(now, to.Heartbeat)
}

// compareSyncStatus compares the sync status of another host with that of this host. If
// the other host has changes that this one lacks, they are pulled from it.
func (p *peers) compareSyncStatus(ctx context.Context, now time.Time, theirs gossip.SyncStatus, from gossip.Contact) {
	behind := false
	p.docState.withState(func(s *know.State) {
		behind = s.CompareStatus(know.SyncStatus{
			Epoch: theirs.Epoch, AsOf: theirs.AsOf, Changed: theirs.Changed, Version: theirs.Version, Kept: theirs.Kept,
			CompleteSince: theirs.CompleteSince, FreshAt: now.Add(-theirs.Age),
		})
	})
	if !behind {
		return
	}
	if !p.beginPull() {
		return
	}
	go func() {
		defer p.endPull()
		begun := time.Now()
		err := p.pull(ctx, from)
		switch {
		case errors.Is(err, news.ErrBusy):
			// The next heartbeat of a host that has the documents begins another pull.
			_pulls.Add("Refused", 1)
		case err != nil:
			_pulls.Add("Failed", 1)
			p.log.Info("Failed to pull documents from another host.", "Host", from.Host, "Took", time.Since(begun).Milliseconds(), "Cause", err.Error())
		}
	}()
}

// beginPull returns false if documents are being pulled.
func (p *peers) beginPull() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulling {
		return false
	}
	p.pulling = true
	return true
}

func (p *peers) endPull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulling = false
}

// pull fetches the documents that this host lacks from another host.
func (p *peers) pull(ctx context.Context, from gossip.Contact) error {
	requestedAt := time.Now()
	status := p.docState.syncStatus()
	pulled, err := p.client.Pull(ctx, from.Documents, news.Position{Epoch: status.Epoch, AsOf: status.AsOf, Version: status.Version})
	if err != nil {
		return fmt.Errorf("pull documents: %w", err)
	}
	_pulls.Add("Done", 1)
	_pulls.Add("Bytes", int64(pulled.Bytes))
	p.log.Info("Documents were pulled from another host.", "Host", from.Host, "Documents", len(pulled.Documents), "Whole", pulled.Whole,
		"AsOf", pulled.AsOf, "Bytes", pulled.Bytes, "Took", time.Since(requestedAt).Milliseconds())
	documents := core.Documents{Documents: pulled.Documents, Epoch: pulled.Epoch, AsOf: pulled.AsOf}
	changed := p.docState.update(string(from.Host), func(s *know.State) (bool, error) {
		if pulled.Whole {
			return s.Replace(time.Now(), documents, requestedAt.Add(-pulled.Age))
		}
		return s.Update(time.Now(), documents, requestedAt.Add(-pulled.Age))
	})
	if changed && from.DataCentre != p.self.DataCentre {
		p.scheduleHeartbeat() // this host may be the first of its data centre with the change
	}
	return nil
}

// servePull returns the documents that another host lacks, for its pull.
func (p *peers) servePull(theirs news.Position) news.PullResult {
	var out news.PullResult
	p.docState.withState(func(s *know.State) {
		documents, whole := s.Since(know.SyncStatus{Epoch: theirs.Epoch, AsOf: theirs.AsOf, Version: theirs.Version})
		out = news.PullResult{Documents: documents.Documents, Epoch: documents.Epoch, AsOf: documents.AsOf, Whole: whole, Age: time.Since(s.SyncStatus().FreshAt)}
	})
	return out
}

// run sends heartbeats and changed loads until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(gossip.Interval)
	defer ticker.Stop()
	for {
		p.sendHeartbeats()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				waiting = false
			case <-p.sendNow:
				waiting = false
			case <-p.sendChangesNow:
				p.sendLoadChanges()
			case <-p.sendOriginsNow:
				p.sendOrigins(time.Now())
			case <-p.sendRequestsNow:
				now := time.Now()
				local, remote := p.targets(now)
				p.sendRequests(now, local, remote)
				p.sendDemand(now, local, remote)
			}
		}
	}
}

// targets returns where heartbeats go, within the data centre and in others.
func (p *peers) targets(now time.Time) (local, remote []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.LocalTargets(now), p.state.RemoteTargets(now)
}

// scheduleLoadChanges makes run send the changed loads now.
func (p *peers) scheduleLoadChanges() {
	select {
	case p.sendChangesNow <- struct{}{}:
	default:
	}
}

// scheduleRequestReport makes run send now what was learned of requests that may crash
// endpoints.
func (p *peers) scheduleRequestReport() {
	select {
	case p.sendRequestsNow <- struct{}{}:
	default:
	}
}

// scheduleHeartbeat makes run send a heartbeat now.
func (p *peers) scheduleHeartbeat() {
	select {
	case p.sendNow <- struct{}{}:
	default:
	}
}

// sendLoadChanges sends this host's changed loads to the hosts of its data centre.
func (p *peers) sendLoadChanges() {
	now := time.Now()
	targets := mutex.Get(&p.mu, func() []string { return p.state.LocalTargets(now) })
	change := news.LoadUpdate{Host: p.self.Host, Incarnation: p.incarnation}
	p.sharedPlacer.WithLock(func(placer *place.Placer) { change.Loads = placer.ChangedLoads() })
	if len(change.Loads) == 0 {
		return
	}
	datagram, err := news.EncodeLoadUpdate(&change)
	p.sendTo(datagram, err, targets)
}

// sendHeartbeats sends this host's loads to the hosts of its data centre, and the loads
// of the whole data centre to hosts of other data centres.
func (p *peers) sendHeartbeats() {
	now := time.Now()
	var local, remote []string
	var hosts []core.HostName
	var unheard int
	mutex.Do(&p.mu, func() {
		p.state.Forget(now)
		local, remote = p.state.LocalTargets(now), p.state.RemoteTargets(now)
		hosts, unheard = p.state.MayLive(now)
	})
	p.sharedPlacer.Update(func(placer *place.Placer) { placer.SetHostNames(hosts, unheard) })
	message := p.newMessage(now)
	p.sharedPlacer.WithLock(func(placer *place.Placer) { message.Loads = placer.OwnLoads() })
	p.sendMessage(message, local)
	p.sharedPlacer.WithLock(func(placer *place.Placer) { message.Loads = placer.DataCentreLoads() })
	p.sendMessage(message, remote)
	p.sendRequests(now, local, remote)
	if !now.Before(p.blockedRequestsDueAt) {
		p.blockedRequestsDueAt = now.Add(_blockedRequestsInterval)
		p.sendBlockedRequests(now, slices.Concat(local, remote))
	}
	all := !now.Before(p.rateLimitsDueAt)
	if all {
		p.rateLimitsDueAt = now.Add(_rateLimitsInterval)
	}
	p.sendRateLimits(now, all, slices.Concat(local, remote))
	p.sendBrittle(now, all, slices.Concat(local, remote))
	p.sendPaces(now, local, remote)
}

// newMessage returns a heartbeat without loads.
func (p *peers) newMessage(now time.Time) *news.Message {
	var message news.Message
	mutex.Do(&p.mu, func() {
		message.Heartbeat = gossip.Heartbeat{
			From: p.self, Incarnation: p.incarnation, Stopping: p.stopping(), CanReadStore: p.canReadStore, KnownHosts: p.state.SampleHosts(now),
		}
	})
	message.Reaches = p.reach.ReachesForOthers()
	p.docState.withState(func(s *know.State) {
		if status := s.SyncStatus(); status.AsOf > 0 {
			message.SyncStatus = gossip.SyncStatus{
				Epoch: status.Epoch, AsOf: status.AsOf, Changed: status.Changed, Version: status.Version, Kept: status.Kept,
				CompleteSince: status.CompleteSince, Age: status.Age(now),
			}
		}
	})
	p.sharedPlacer.WithLock(func(placer *place.Placer) { message.Leaving = placer.LeavingEndpoints() })
	message.Poison = p.detector.Report(now, false)
	return &message
}

func (p *peers) sendMessage(message *news.Message, targets []string) {
	datagrams, err := news.Encode(message, time.Now())
	p.sendAllTo(datagrams, err, targets)
}

// sendAllTo sends datagrams to all targets, or logs err if their encoding failed.
func (p *peers) sendAllTo(datagrams [][]byte, err error, targets []string) {
	if err != nil {
		p.sendTo(nil, err, targets)
	}
	for _, datagram := range datagrams {
		p.sendTo(datagram, nil, targets)
	}
}

// sendTo sends a datagram to all targets, or logs err if its encoding failed.
func (p *peers) sendTo(datagram []byte, err error, targets []string) {
	if err != nil {
		p.log.Error(err, "A heartbeat cannot be sent.")
		return
	}
	for _, target := range targets {
		address, err := net.ResolveUDPAddr("udp", target)
		if err == nil {
			_, err = p.socket.WriteTo(datagram, address)
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			p.log.Error(err, "A heartbeat cannot be sent.", "To", target)
		}
	}
}

// isReader reports whether this host is one of those that read the documents from the
// store on behalf of all.
func (p *peers) isReader(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// By then the store may accept calls of this host again.
	p.canReadStore = p.canReadStore || now.Sub(p.readFailedAt) > _readRetryDelay
	return p.state.IsReader(now, p.canReadStore)
}

// shouldPoll reports whether this host is the one that polls an endpoint for its state.
func (p *peers) shouldPoll(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ShouldAsk(time.Now(), endpoint)
}

// setCanReadStore records whether this host could read the store.
func (p *peers) setCanReadStore(canRead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canReadStore = canRead
	if !canRead {
		p.readFailedAt = time.Now()
	}
}

// _readRetryDelay is how long after a failed read this host counts again as able to
// read the store. Meanwhile another host is chosen to read it.
const _readRetryDelay = 5 * time.Second

// newPeers opens the socket for heartbeats; run starts sending them.
func newPeers(h *Host, random *rand.Rand) (*peers, error) {
	s := h.settings
	socket, err := s.ListenPacket("udp", s.HeartbeatAddress)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", s.HeartbeatAddress, err)
	}
	self := gossip.Contact{Host: s.Name, Heartbeat: s.HeartbeatAddress, Documents: s.PeerAddress, DataCentre: s.DataCentre}
	return &peers{
		log:             s.Logger.WithName("peers"),
		self:            self,
		incarnation:     time.Now().UnixNano(),
		socket:          socket,
		client:          news.NewClient(&http.Transport{DialContext: s.Dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}),
		docState:        h.docState,
		sharedPlacer:    h.sharedPlacer,
		detector:        h.detector,
		origins:         h.origins,
		front:           h.front,
		reach:           h.reach,
		recordHost:      h.recordHost,
		stopping:        h.stopping.Load,
		canReadStore:    true,
		sendNow:         make(chan struct{}, 1),
		sendChangesNow:  make(chan struct{}, 1),
		sendRequestsNow: make(chan struct{}, 1),
		sendOriginsNow:  make(chan struct{}, 1),
		state:           gossip.New(self, s.Seeds, random),
	}, nil
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetSeeds(seeds)
}
