package entry

import (
	"math"
	"slices"
	"time"

	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/front"
	"apricotproxy/io/news"
)

// newOrigins returns the ledger of the builds at which streams were begun. The peers are set
// later, before it is used.
func (h *Host) newOrigins() *front.SharedOrigins {
	config := front.OriginConfig{
		Begun:       func() { h.peers.scheduleOrigins() },
		AskHosts:    func(request string) int { return h.peers.askOrigin(request) },
		ReadHistory: h.readHistory,
		Refresh:     func() { h.refreshOrigins(time.Now()) },
	}
	if h.settings.Paths.Held != "" {
		config.AskEngines = h.askEngines
	}
	return front.NewSharedOrigins(config)
}

// refreshOrigins records whether the documents are up to date, and drops what has expired.
func (h *Host) refreshOrigins(now time.Time) {
	status := h.docState.syncStatus()
	h.origins.Update(func(l *origin.Ledger) {
		l.SetCurrent(now, h.freshness.Check(now, now.Round(0), status.FreshAt, h.bounds.Load().LeavingSpread))
		l.SetFreshAt(status.FreshAt)
		l.Expire(now)
	})
}

// scheduleOrigins makes run send the records of streams that this host began.
func (p *peers) scheduleOrigins() {
	select {
	case p.sendOriginsNow <- struct{}{}:
	default:
	}
}

// sendOrigins copies the records of streams that this host began to a few other hosts.
func (p *peers) sendOrigins(now time.Time) {
	var records []origin.Record
	p.origins.Update(func(l *origin.Ledger) { records = l.TakeUncopied() })
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	targets := p.state.CopyTargets(now)
	p.mu.Unlock()
	for chunk := range slices.Chunk(records, news.MaxOrigins) {
		p.sendOriginsTo(&news.Origins{Records: chunk}, now, targets)
	}
}

func (p *peers) sendOriginsTo(o *news.Origins, now time.Time, targets []string) {
	o.Host = p.self.Host
	datagram, err := news.EncodeOrigins(o, now)
	p.sendTo(datagram, err, targets)
}

// askOrigin asks other hosts for the record of a stream and returns how many it asked: without
// end if it does not know yet how many there are.
func (p *peers) askOrigin(request string) int {
	now := time.Now()
	p.mu.Lock()
	targets, allKnown := p.state.QuestionTargets(now)
	p.mu.Unlock()
	if len(targets) == 0 {
		return 0
	}
	p.sendOriginsTo(&news.Origins{Questions: []string{request}, ReplyTo: p.self.Heartbeat}, now, targets)
	if !allKnown {
		return math.MaxInt
	}
	return len(targets)
}

// receiveOrigins records what another host knows and answers what it asks.
func (p *peers) receiveOrigins(now time.Time, o *news.Origins) {
	if o.Host == p.self.Host {
		return
	}
	p.origins.Update(func(l *origin.Ledger) { l.Merge(o.Span) })
	p.origins.Answer(o.Host, o.Records, o.Unknown)
	if len(o.Questions) == 0 || o.ReplyTo == "" {
		return
	}
	answer := &news.Origins{}
	p.origins.Update(func(l *origin.Ledger) {
		answer.Span = l.Span(now)
		for _, request := range o.Questions {
			if r, ok := l.Find(request); ok {
				answer.Records = append(answer.Records, r)
			} else {
				answer.Unknown = append(answer.Unknown, request)
			}
		}
	})
	p.sendOriginsTo(answer, now, []string{o.ReplyTo})
}

// sendSpan sends what this host knows of the builds in service.
func (p *peers) sendSpan(now time.Time, to string) {
	o := &news.Origins{}
	p.origins.Update(func(l *origin.Ledger) { o.Span = l.Span(now) })
	if !o.Span.Since.IsZero() {
		p.sendOriginsTo(o, now, []string{to})
	}
}

// observeBuilds records the builds of a changed view, and forgets what engines said before it:
// some of them may be gone.
func (h *Host) observeBuilds(view *know.View) {
	h.held.drop()
	h.origins.Update(func(l *origin.Ledger) { l.Observe(time.Now(), view) })
}
