package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"apricotproxy/core"
)

// News is one news item in a message: the state of a host, or the move of its
// order ledger.
type News struct {
	Host     core.HostID
	Revision core.Revision
	Draining bool
	SeenAt   time.Time
	// Holder is set if the item says who holds the ledger of Host. Revision and
	// Draining then have no meaning.
	Holder core.HostID
}

// Message is the content of a heartbeat or of the answer to one.
type Message struct {
	From     core.HostID
	Revision core.Revision
	Draining bool
	News     []News
}

// Acknowledgement says that a host has a revision in force.
type Acknowledgement struct {
	Host     core.HostID
	Revision core.Revision
}

// Change is what changed by a received message.
type Change struct {
	Acknowledged []Acknowledgement
	// Superseded is a newer incarnation of this host, or zero. A superseded host
	// stops admitting requests.
	Superseded core.HostID
	// Replaced lists the newer incarnations that took the place of known ones.
	Replaced []core.HostID
}

// NextMessage returns the next heartbeat, or answer to one, and counts its news items
// as sent.
func (m *Membership) NextMessage(now time.Time) Message {
	return Message{
		From:     m.settings.Self,
		Revision: m.revision,
		Draining: m.draining,
		News:     m.news(now),
	}
}

// news picks the items that were sent least often, then a few old ones in rotation.
// With 9 hosts there are 8 others, and an item is old after 2*4 = 8 messages.
func (m *Membership) news(now time.Time) []News {
	enough := _sendFactor * bits.Len(uint(len(m.names)))
	news := m.ledgerNews(now, enough)
	m.fresh = slices.DeleteFunc(m.fresh, func(p *peerState) bool {
		p.isFresh = p.timesSent < enough
		return !p.isFresh
	})
	slices.SortStableFunc(m.fresh, func(a, b *peerState) int { return cmp.Compare(a.timesSent, b.timesSent) })
	for _, known := range m.fresh {
		if len(news) == m.settings.MaxNews {
			return news
		}
		known.timesSent++
		news = append(news, known.news())
	}
	return m.oldNews(news, enough)
}

func (m *Membership) oldNews(news []News, enough int) []News {
	for range min(m.settings.MaxOldNews, m.settings.MaxNews-len(news), len(m.names)) {
		m.nextOld = (m.nextOld + 1) % len(m.names)
		known := m.peers[m.names[m.nextOld]]
		if known.id.Incarnation != 0 && known.timesSent >= enough {
			news = append(news, known.news())
		}
	}
	return news
}

func (p *peerState) news() News {
	return News{Host: p.id, Revision: p.revision, Draining: p.draining, SeenAt: p.seenAt}
}

// ledgerNews picks the items on moved ledgers, for at most half of a message: those
// not yet sent often enough, and always at least one, so that old moves are
// repeated in turn and a restarted host learns them too.
func (m *Membership) ledgerNews(now time.Time, enough int) []News {
	m.ledgers = slices.DeleteFunc(m.ledgers, func(l *movedLedger) bool { return !now.Before(l.expiresAt) })
	sorted := slices.Clone(m.ledgers)
	slices.SortStableFunc(sorted, func(a, b *movedLedger) int { return cmp.Compare(a.timesSent, b.timesSent) })
	var news []News
	for i, known := range sorted {
		if len(news) == m.settings.MaxNews/2 || (known.timesSent >= enough && i > 0) {
			break
		}
		known.timesSent++
		news = append(news, News{Host: known.origin, Holder: known.holder, SeenAt: known.seenAt})
	}
	return news
}

// Receive processes a message received directly from its sender.
func (m *Membership) Receive(now time.Time, message Message) Change {
	var change Change
	direct := News{Host: message.From, Revision: message.Revision, Draining: message.Draining, SeenAt: now}
	m.merge(direct, &change)
	if known, ok := m.peers[message.From.Host]; ok && known.id == message.From {
		known.failures = 0
		known.probeAt = time.Time{}
	}
	for _, piece := range message.News {
		if piece.Holder.Incarnation != 0 {
			m.LedgerMoved(now, piece.Host, piece.Holder, piece.SeenAt)
			continue
		}
		m.merge(piece, &change)
	}
	return change
}

// merge merges one news item. An item on a lower incarnation is ignored. A higher
// incarnation resets the state, because a new process has none of the old one's state.
func (m *Membership) merge(piece News, change *Change) {
	if piece.Host.Host == m.settings.Self.Host {
		m.mergeSelf(piece, change)
		return
	}
	known, ok := m.peers[piece.Host.Host]
	if !ok || piece.Host.Incarnation == 0 || piece.Host.Incarnation < known.id.Incarnation {
		return
	}
	if piece.Host.Incarnation > known.id.Incarnation {
		if known.id.Incarnation != 0 {
			change.Replaced = append(change.Replaced, piece.Host)
		}
		*known = peerState{id: piece.Host, leaving: known.leaving, revision: piece.Revision, isFresh: known.isFresh}
		m.markFresh(known)
		change.Acknowledged = append(change.Acknowledged, Acknowledgement{Host: piece.Host, Revision: piece.Revision})
	}
	if piece.Revision > known.revision {
		known.revision = piece.Revision
		m.markFresh(known)
		change.Acknowledged = append(change.Acknowledged, Acknowledgement{Host: piece.Host, Revision: piece.Revision})
	}
	if piece.Draining && !known.draining {
		known.draining = true
		m.markFresh(known)
	}
	if piece.SeenAt.After(known.seenAt) {
		known.seenAt = piece.SeenAt
	}
}

func (m *Membership) mergeSelf(piece News, change *Change) {
	newest := max(m.settings.Self.Incarnation, m.superseded.Incarnation)
	if piece.Host.Incarnation <= newest {
		return
	}
	m.superseded = piece.Host
	change.Superseded = piece.Host
	change.Acknowledged = append(change.Acknowledged, Acknowledgement{Host: piece.Host, Revision: piece.Revision})
}

// Acknowledgements returns the revision that each known host has in force, in name
// order, followed by the newer incarnation of this host if there is one.
func (m *Membership) Acknowledgements() []Acknowledgement {
	var known []Acknowledgement
	for _, name := range m.names {
		if p := m.peers[name]; p.id.Incarnation != 0 {
			known = append(known, Acknowledgement{Host: p.id, Revision: p.revision})
		}
	}
	if newer, ok := m.Superseded(); ok {
		known = append(known, Acknowledgement{Host: newer})
	}
	return known
}
