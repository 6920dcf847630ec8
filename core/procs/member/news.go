package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"apricotproxy/core"
)

// News is one piece of what a host tells another.
type News struct {
	Host     core.HostID
	Revision core.Revision
	Draining bool
	SeenAt   time.Time
	// Holder is set when the news tells who holds the ledger of Host.
	Holder core.HostID
}

// Message is what a heartbeat or its answer says.
type Message struct {
	From     core.HostID
	Revision core.Revision
	Draining bool
	News     []News
}

// Acknowledgement tells that a host has a revision in force.
type Acknowledgement struct {
	Host     core.HostID
	Revision core.Revision
}

// Change is what a message taught.
type Change struct {
	Acknowledged []Acknowledgement
	// Superseded is the newer incarnation at this host's own position; zero
	// for none. A superseded host stops admitting.
	Superseded core.HostID
	// Replaced lists positions at which a newer incarnation was first seen.
	Replaced []core.HostID
}

// Message gives what a heartbeat or an answer to one says.
func (m *Member) Message(now time.Time) Message {
	return Message{
		From:     m.settings.Self,
		Revision: m.revision,
		Draining: m.draining,
		News:     m.news(now),
	}
}

// news picks the pieces told least often, then a few old ones in rotation.
// With 9 hosts a piece counts as old after 2*4 = 8 messages.
func (m *Member) news(now time.Time) []News {
	enough := _tellFactor * bits.Len(uint(len(m.names)))
	news := m.ledgerNews(now, enough)
	m.fresh = slices.DeleteFunc(m.fresh, func(p *position) bool {
		p.fresh = p.told < enough
		return !p.fresh
	})
	slices.SortStableFunc(m.fresh, func(a, b *position) int { return cmp.Compare(a.told, b.told) })
	for _, known := range m.fresh {
		if len(news) == m.settings.NewsAtMost {
			return news
		}
		known.told++
		news = append(news, known.news())
	}
	return m.oldNews(news, enough)
}

func (m *Member) oldNews(news []News, enough int) []News {
	for range min(m.settings.NewsRotation, m.settings.NewsAtMost-len(news), len(m.names)) {
		m.nextTold = (m.nextTold + 1) % len(m.names)
		known := m.positions[m.names[m.nextTold]]
		if known.id.Incarnation != 0 && known.told >= enough {
			news = append(news, known.news())
		}
	}
	return news
}

func (p *position) news() News {
	return News{Host: p.id, Revision: p.revision, Draining: p.draining, SeenAt: p.seenAt}
}

// ledgerNews tells where ledgers went: the newest ones often, and always one
// old one in turn, so that a replaced host learns it too.
func (m *Member) ledgerNews(now time.Time, enough int) []News {
	m.ledgers = slices.DeleteFunc(m.ledgers, func(l *ledger) bool { return !now.Before(l.forgets) })
	sorted := slices.Clone(m.ledgers)
	slices.SortStableFunc(sorted, func(a, b *ledger) int { return cmp.Compare(a.told, b.told) })
	var news []News
	for i, known := range sorted {
		if len(news) == m.settings.NewsAtMost/2 || (known.told >= enough && i > 0) {
			break
		}
		known.told++
		news = append(news, News{Host: known.of, Holder: known.holder, SeenAt: known.seenAt})
	}
	return news
}

// Heard takes in a message that came straight from its sender.
func (m *Member) Heard(now time.Time, message Message) Change {
	var change Change
	direct := News{Host: message.From, Revision: message.Revision, Draining: message.Draining, SeenAt: now}
	m.learn(direct, &change)
	if known, ok := m.positions[message.From.Host]; ok && known.id == message.From {
		known.failures = 0
		known.probeAt = time.Time{}
	}
	for _, piece := range message.News {
		if piece.Holder.Incarnation != 0 {
			m.LedgerMoved(now, piece.Host, piece.Holder, piece.SeenAt)
			continue
		}
		m.learn(piece, &change)
	}
	return change
}

// learn merges one piece of news. A lower incarnation is ignored; a higher one
// starts from nothing, because a new life holds nothing of the old one.
func (m *Member) learn(piece News, change *Change) {
	if piece.Host.Host == m.settings.Self.Host {
		m.learnSelf(piece, change)
		return
	}
	known, ok := m.positions[piece.Host.Host]
	if !ok || piece.Host.Incarnation == 0 || piece.Host.Incarnation < known.id.Incarnation {
		return
	}
	if piece.Host.Incarnation > known.id.Incarnation {
		if known.id.Incarnation != 0 {
			change.Replaced = append(change.Replaced, piece.Host)
		}
		*known = position{id: piece.Host, leaving: known.leaving, revision: piece.Revision, fresh: known.fresh}
		m.renew(known)
		change.Acknowledged = append(change.Acknowledged, Acknowledgement{Host: piece.Host, Revision: piece.Revision})
	}
	if piece.Revision > known.revision {
		known.revision = piece.Revision
		m.renew(known)
		change.Acknowledged = append(change.Acknowledged, Acknowledgement{Host: piece.Host, Revision: piece.Revision})
	}
	if piece.Draining && !known.draining {
		known.draining = true
		m.renew(known)
	}
	if piece.SeenAt.After(known.seenAt) {
		known.seenAt = piece.SeenAt
	}
}

func (m *Member) learnSelf(piece News, change *Change) {
	newest := max(m.settings.Self.Incarnation, m.superseded.Incarnation)
	if piece.Host.Incarnation <= newest {
		return
	}
	m.superseded = piece.Host
	change.Superseded = piece.Host
	change.Acknowledged = append(change.Acknowledged, Acknowledgement{Host: piece.Host, Revision: piece.Revision})
}

// Acknowledgements gives the revision that each known host has in force, in
// name order, and the newer incarnation at this host's own position.
func (m *Member) Acknowledgements() []Acknowledgement {
	var known []Acknowledgement
	for _, name := range m.names {
		if p := m.positions[name]; p.id.Incarnation != 0 {
			known = append(known, Acknowledgement{Host: p.id, Revision: p.revision})
		}
	}
	if newer, ok := m.Superseded(); ok {
		known = append(known, Acknowledgement{Host: newer})
	}
	return known
}
