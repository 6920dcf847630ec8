package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/io/front"
	"apricotproxy/io/news"
)

// peers keeps in touch with the other hosts.
type peers struct {
	log         logr.Logger
	self        gossip.Contact
	incarnation int64
	socket      net.PacketConn
	client      *news.Client
	facts       *facts
	desk        *front.Desk
	stopping    func() bool
	// urgent asks for a heartbeat at once, near for one to the own data centre.
	urgent chan struct{}
	near   chan struct{}

	mu    sync.Mutex
	state *gossip.State
	// reads is false while the store cannot be read; failed is when it last could
	// not.
	reads  bool
	failed time.Time
	// pulling is true while another host is asked for documents.
	pulling bool
}

// heard takes in one datagram.
func (p *peers) heard(ctx context.Context, datagram []byte) {
	message, change, err := news.Decode(datagram)
	if err != nil {
		p.log.Error(err, "A heartbeat cannot be read.")
		return
	}
	now := time.Now()
	if change != nil {
		p.heardChange(now, change)
		return
	}
	p.mu.Lock()
	accepted, first := p.state.Receive(now, &message.Heartbeat)
	hosts := p.state.CountMayLive(now)
	p.mu.Unlock()
	if !accepted {
		return
	}
	if first {
		p.welcome(now, message.From)
	}
	from := place.Source{Host: message.From.Host}
	if message.From.DataCentre != p.self.DataCentre {
		from = place.Source{DataCentre: message.From.DataCentre}
	}
	p.desk.Update(func(placer *place.Placer) {
		placer.SetHosts(now, hosts)
		if message.Loads != nil {
			placer.SetPeerLoads(now, from, message.Loads)
		}
	})
	if len(message.Leaving) > 0 && p.desk.Leave(message.Leaving...) {
		p.spread()
	}
	p.compare(ctx, now, message.SyncStatus, message.From)
}

// heardChange takes in what changed of another host's loads. One of a host that is not
// known, or of an earlier incarnation, is left out: its heartbeat tells them all.
func (p *peers) heardChange(now time.Time, change *news.Change) {
	p.mu.Lock()
	known := p.state.Knows(change.Host, change.Incarnation)
	p.mu.Unlock()
	if !known {
		return
	}
	p.desk.Update(func(placer *place.Placer) { placer.UpdatePeerLoads(now, place.Source{Host: change.Host}, change.Loads) })
}

// welcome answers a host that was not known, naming others.
func (p *peers) welcome(now time.Time, to gossip.Contact) {
	message := p.message(now)
	p.mu.Lock()
	message.KnownHosts = p.state.WelcomeHosts(now, to.DataCentre)
	p.mu.Unlock()
	p.sendMessage(message, []string{to.Heartbeat})
}

// compare takes in how far another host knows the documents: it has nothing that this
// host lacks, or it is asked for it.
func (p *peers) compare(ctx context.Context, now time.Time, theirs gossip.SyncStatus, from gossip.Contact) {
	behind := false
	p.facts.with(func(s *know.State) {
		mine := s.SyncStatus()
		behind = theirs.Changed > mine.AsOf || (mine.AsOf == 0 && theirs.AsOf > 0)
		if !behind && theirs.AsOf >= mine.AsOf && mine.AsOf > 0 {
			s.Confirm(theirs.AsOf, now.Add(-theirs.Age))
		}
	})
	if !behind {
		return
	}
	p.mu.Lock()
	busy := p.pulling
	p.pulling = true
	p.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			p.mu.Lock()
			p.pulling = false
			p.mu.Unlock()
		}()
		if err := p.pull(ctx, from); err != nil {
			p.log.Info("Documents could not be pulled from another host.", "Cause", err.Error())
		}
	}()
}

// pull asks another host for what this one lacks.
func (p *peers) pull(ctx context.Context, from gossip.Contact) error {
	asked := time.Now()
	pulled, err := p.client.Pull(ctx, from.Documents, p.facts.level().AsOf)
	if err != nil {
		return fmt.Errorf("pull documents: %w", err)
	}
	documents := core.Documents{Documents: pulled.Documents, AsOf: pulled.AsOf}
	changed := p.facts.update(string(from.Host), func(s *know.State) (bool, error) {
		if pulled.Whole {
			return s.Replace(time.Now(), documents, asked.Add(-pulled.Age))
		}
		return s.Update(time.Now(), documents, asked.Add(-pulled.Age))
	})
	if changed && from.DataCentre != p.self.DataCentre {
		p.spread() // the first of its data centre to hear of it, perhaps
	}
	return nil
}

// give answers another host's pull.
func (p *peers) give(after uint64) news.Pulled {
	var out news.Pulled
	p.facts.with(func(s *know.State) {
		documents, whole := s.Since(after)
		out = news.Pulled{Documents: documents.Documents, AsOf: documents.AsOf, Whole: whole, Age: time.Since(s.SyncStatus().FreshAt)}
	})
	return out
}

// run sends heartbeats until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(gossip.Interval)
	defer ticker.Stop()
	for {
		p.send()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				waiting = false
			case <-p.urgent:
				waiting = false
			case <-p.near:
				p.sendChange()
			}
		}
	}
}

// tellNear asks for a heartbeat to the own data centre at once.
func (p *peers) tellNear() {
	select {
	case p.near <- struct{}{}:
	default:
	}
}

// spread asks for a heartbeat at once.
func (p *peers) spread() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// sendChange tells the hosts of the own data centre what changed of this host's loads.
func (p *peers) sendChange() {
	now := time.Now()
	p.mu.Lock()
	near := p.state.LocalTargets(now)
	p.mu.Unlock()
	change := news.Change{Host: p.self.Host, Incarnation: p.incarnation}
	p.desk.Look(func(placer *place.Placer) { change.Loads = placer.ChangedLoads() })
	if len(change.Loads) == 0 {
		return
	}
	datagram, err := news.EncodeChange(&change)
	p.sendTo(datagram, err, near)
}

// send tells the hosts of the own data centre this host's loads, and others those
// of the whole data centre.
func (p *peers) send() {
	now := time.Now()
	p.mu.Lock()
	p.state.Forget(now)
	near, far := p.state.LocalTargets(now), p.state.RemoteTargets(now)
	p.mu.Unlock()
	message := p.message(now)
	p.desk.Look(func(placer *place.Placer) { message.Loads = placer.OwnLoads() })
	p.sendMessage(message, near)
	p.desk.Look(func(placer *place.Placer) { message.Loads = placer.DataCentreLoads() })
	p.sendMessage(message, far)
}

// message is a heartbeat without loads.
func (p *peers) message(now time.Time) *news.Message {
	var message news.Message
	p.mu.Lock()
	message.Heartbeat = gossip.Heartbeat{
		From: p.self, Incarnation: p.incarnation, Stopping: p.stopping(), CanReadStore: p.reads, KnownHosts: p.state.SampleHosts(now),
	}
	p.mu.Unlock()
	p.facts.with(func(s *know.State) {
		if level := s.SyncStatus(); level.AsOf > 0 {
			message.SyncStatus = gossip.SyncStatus{AsOf: level.AsOf, Changed: level.Changed, Age: now.Sub(level.FreshAt)}
		}
	})
	p.desk.Look(func(placer *place.Placer) { message.Leaving = placer.LeavingEndpoints() })
	return &message
}

func (p *peers) sendMessage(message *news.Message, targets []string) {
	datagram, err := news.Encode(message)
	p.sendTo(datagram, err, targets)
}

// sendTo sends a datagram, if it could be encoded.
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

// reader tells whether this host is to read the documents.
func (p *peers) reader(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A store that turned this host away may take it back.
	p.reads = p.reads || now.Sub(p.failed) > _readsAgain
	return p.state.IsReader(now, p.reads)
}

// asks tells whether it is for this host to ask an endpoint for its state.
func (p *peers) asks(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.ShouldAsk(time.Now(), endpoint)
}

// setReads takes in whether the store can be read.
func (p *peers) setReads(reads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = reads
	if !reads {
		p.failed = time.Now()
	}
}

// _readsAgain is when a host that could not read the store counts again among those
// that can: another one reads for it meanwhile.
const _readsAgain = 5 * time.Second

// newPeers opens the socket for heartbeats.
func newPeers(h *Host, random *rand.Rand) (*peers, error) {
	s := h.settings
	socket, err := s.ListenPacket("udp", s.HeartbeatAddress)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", s.HeartbeatAddress, err)
	}
	self := gossip.Contact{Host: s.Name, Heartbeat: s.HeartbeatAddress, Documents: s.PeerAddress, DataCentre: s.DataCentre}
	return &peers{
		log:         s.Logger.WithName("peers"),
		self:        self,
		incarnation: time.Now().UnixNano(),
		socket:      socket,
		client:      news.NewClient(&http.Transport{DialContext: s.Dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}),
		facts:       h.facts,
		desk:        h.desk,
		stopping:    h.stopping.Load,
		reads:       true,
		urgent:      make(chan struct{}, 1),
		near:        make(chan struct{}, 1),
		state:       gossip.New(self, s.Seeds, random),
	}, nil
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetSeeds(seeds)
}
