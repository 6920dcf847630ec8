package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/front"
	"apricotproxy/io/news"
)

// newOrigins returns the ledger of the builds at which streams were begun. The peers are set
// later, before it is used.
func (h *Host) newOrigins() *front.SharedOrigins {
	config := front.OriginConfig{
		Begun:    func() { h.peers.scheduleOrigins() },
		AskHosts: func(request string, claim origin.Claim) int { return h.peers.askOrigin(request, claim) },
		AskHost: func(host core.HostName, request string, claim origin.Claim) int {
			return h.peers.askOriginOf(host, request, claim)
		},
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
	targets := mutex.Get(&p.mu, func() []string { return p.state.CopyTargets(now) })
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
// end if it does not know yet how many there are. A valid claim is sent with it.
func (p *peers) askOrigin(request string, claim origin.Claim) int {
	now := time.Now()
	var targets []string
	var allKnown bool
	mutex.Do(&p.mu, func() { targets, allKnown = p.state.QuestionTargets(now) })
	if len(targets) == 0 {
		return 0
	}
	p.sendQuestion(request, claim, now, targets)
	if !allKnown {
		return math.MaxInt
	}
	return len(targets)
}

// askOriginOf is askOrigin for a single host.
func (p *peers) askOriginOf(host core.HostName, request string, claim origin.Claim) int {
	var address string
	var known bool
	mutex.Do(&p.mu, func() { address, known = p.state.HeartbeatAddress(host) })
	if !known {
		return 0
	}
	p.sendQuestion(request, claim, time.Now(), []string{address})
	return 1
}

func (p *peers) sendQuestion(request string, claim origin.Claim, now time.Time, targets []string) {
	question := &news.Origins{Questions: []string{request}, ReplyTo: p.self.Heartbeat}
	if claim.IsValid() {
		question.Claims = []origin.Claim{claim}
	}
	p.sendOriginsTo(question, now, targets)
}

// _claimAnswerTimeout bounds the wait for the ends of attempts before a host that claims their stream is answered:
// less than the time for which it asks, also if its first two questions were lost.
const _claimAnswerTimeout = 40 * time.Millisecond

// receiveOrigins records what another host knows, ends attempts at streams that it claims, and answers what it asks.
func (p *peers) receiveOrigins(ctx context.Context, now time.Time, o *news.Origins) {
	if o.Host == p.self.Host {
		return
	}
	p.origins.Update(func(l *origin.Ledger) { l.Merge(o.Span) })
	p.origins.Answer(o.Host, o.Records, o.Unknown)
	var waits []func(context.Context) bool
	for _, claim := range o.Claims {
		wait := p.front.EndAttempts(claim)
		if wait == nil {
			continue
		}
		waits = append(waits, func(ctx context.Context) bool { return wait(ctx) || claim.By != "" })
	}
	if len(waits) == 0 {
		p.answerOrigins(now, o)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, _claimAnswerTimeout)
		defer cancel()
		for _, wait := range waits {
			if !wait(ctx) {
				return // a host that goes on with the same ID must not be told yet; it asks again
			}
		}
		p.answerOrigins(time.Now(), o)
	}()
}

// answerOrigins answers what another host asks.
func (p *peers) answerOrigins(now time.Time, o *news.Origins) {
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
