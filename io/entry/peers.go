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
	// urgent asks for a heartbeat at once.
	urgent chan struct{}

	mu    sync.Mutex
	state *gossip.State
	reads bool
	pulls map[core.DocumentGroup]bool
}

// heard takes in one datagram.
func (p *peers) heard(ctx context.Context, datagram []byte) {
	message, err := news.Decode(datagram)
	if err != nil {
		p.log.Error(err, "A heartbeat cannot be read.")
		return
	}
	now := time.Now()
	p.mu.Lock()
	known := p.state.Hear(now, &message.Heartbeat)
	hosts := p.state.Heard(now)
	p.mu.Unlock()
	if !known {
		return
	}
	p.desk.Update(func(placer *place.Placer) {
		placer.SetHosts(hosts)
		placer.Hear(now, message.From.Host, message.Loads)
	})
	for group, level := range message.Levels {
		p.compare(ctx, now, group, level, message.From.Documents)
	}
}

// compare takes in how far another host knows a group: it has nothing that this
// host lacks, or it is asked for it.
func (p *peers) compare(ctx context.Context, now time.Time, group core.DocumentGroup, theirs gossip.Level, address string) {
	behind := false
	p.facts.with(func(s *know.State) {
		mine := s.Level(group)
		behind = theirs.Changed > mine.AsOf || (mine.AsOf == 0 && theirs.AsOf > 0)
		if !behind && theirs.AsOf >= mine.AsOf && mine.AsOf > 0 {
			s.Confirm(group, theirs.AsOf, now.Add(-theirs.Age))
		}
	})
	if !behind {
		return
	}
	p.mu.Lock()
	busy := p.pulls[group]
	p.pulls[group] = true
	p.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			p.mu.Lock()
			p.pulls[group] = false
			p.mu.Unlock()
		}()
		if err := p.pull(ctx, group, address); err != nil {
			p.log.Info("Documents could not be pulled from another host.", "Cause", err.Error())
		}
	}()
}

// pull asks another host for what this one lacks of a group.
func (p *peers) pull(ctx context.Context, group core.DocumentGroup, address string) error {
	asked := time.Now()
	pulled, err := p.client.Pull(ctx, address, group, p.facts.level(group).AsOf)
	if err != nil {
		return fmt.Errorf("pull %s: %w", group, err)
	}
	documents := core.Documents{Documents: pulled.Documents, AsOf: pulled.AsOf}
	p.facts.update(address, group, func(s *know.State) (bool, error) {
		if pulled.Whole {
			return s.Replace(time.Now(), group, documents, asked.Add(-pulled.Age))
		}
		return s.Update(time.Now(), group, documents, asked.Add(-pulled.Age))
	})
	return nil
}

// give answers another host's pull.
func (p *peers) give(group core.DocumentGroup, after uint64) news.Pulled {
	var out news.Pulled
	p.facts.with(func(s *know.State) {
		documents, whole := s.Since(group, after)
		out = news.Pulled{Documents: documents.Documents, AsOf: documents.AsOf, Whole: whole, Age: time.Since(s.Level(group).FreshAt)}
	})
	return out
}

// run sends heartbeats until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(gossip.Interval)
	defer ticker.Stop()
	for {
		p.send()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.urgent:
		}
	}
}

// spread asks for a heartbeat at once.
func (p *peers) spread() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

func (p *peers) send() {
	now := time.Now()
	p.mu.Lock()
	p.state.Forget(now)
	targets := p.state.Targets(now)
	message := news.Message{Heartbeat: gossip.Heartbeat{
		From: p.self, Incarnation: p.incarnation, Stopping: p.stopping(), Reads: p.reads,
		Levels: make(map[core.DocumentGroup]gossip.Level), Others: p.state.Others(now),
	}, Loads: make(map[string]place.Load)}
	p.mu.Unlock()
	p.facts.with(func(s *know.State) {
		for _, group := range []core.DocumentGroup{core.GroupPolicy, core.GroupEndpoints} {
			if level := s.Level(group); level.AsOf > 0 {
				message.Levels[group] = gossip.Level{AsOf: level.AsOf, Changed: level.Changed, Age: now.Sub(level.FreshAt)}
			}
		}
	})
	p.desk.Update(func(placer *place.Placer) {
		placer.Own(func(id string, load place.Load) { message.Loads[id] = load })
	})
	datagram, err := news.Encode(&message)
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

// reader tells whether this host is to read the endpoints' documents.
func (p *peers) reader(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Reader(now, p.reads)
}

// setReads takes in whether the store can be read.
func (p *peers) setReads(reads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = reads
}

// newPeers opens the socket for heartbeats.
func newPeers(h *Host, random *rand.Rand) (*peers, error) {
	s := h.settings
	socket, err := s.ListenPacket("udp", s.HeartbeatAddress)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", s.HeartbeatAddress, err)
	}
	self := gossip.Contact{Host: s.Name, Heartbeat: s.HeartbeatAddress, Documents: s.PeerAddress, Centre: s.DataCentre}
	return &peers{
		log:         s.Logger.WithName("peers"),
		self:        self,
		incarnation: time.Now().UnixNano(),
		socket:      socket,
		client:      news.NewClient(&http.Transport{DialContext: s.Dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}),
		facts:       h.facts,
		desk:        h.desk,
		stopping:    h.stopping.Load,
		urgent:      make(chan struct{}, 1),
		state:       gossip.New(self, s.Seeds, random),
		pulls:       make(map[core.DocumentGroup]bool),
	}, nil
}

func (p *peers) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetSeeds(seeds)
}
