package member

import (
	"time"

	"apricotproxy/core"
)

// movedLedger records that a stopped host handed its order ledger to another.
type movedLedger struct {
	origin    core.HostID
	holder    core.HostID
	seenAt    time.Time
	expiresAt time.Time
	timesSent int
}

// LedgerMoved records that a stopped host handed its order ledger to holder. The
// entry expires LedgerTerm after seenAt.
func (m *Membership) LedgerMoved(now time.Time, of, holder core.HostID, seenAt time.Time) {
	expiresAt := seenAt.Add(m.settings.LedgerTerm)
	if of == holder || !now.Before(expiresAt) {
		return
	}
	for _, known := range m.ledgers {
		if known.origin == of {
			// An incarnation hands over its ledger only once. When the holder
			// stops in turn, that is recorded as a move of the holder's ledger.
			return
		}
	}
	m.ledgers = append(m.ledgers, &movedLedger{origin: of, holder: holder, seenAt: seenAt, expiresAt: expiresAt})
}

// Holder returns the host that holds a host's ledger now, following all known
// moves: if entry-1 handed over to entry-2, and entry-2 to entry-3, the holder of
// entry-1's ledger is entry-3. It returns the host itself if no move is known.
func (m *Membership) Holder(of core.HostID) core.HostID {
	holder := of
	for range len(m.ledgers) {
		next, ok := m.successor(holder)
		if !ok {
			break
		}
		holder = next
	}
	return holder
}

func (m *Membership) successor(of core.HostID) (core.HostID, bool) {
	for _, known := range m.ledgers {
		if known.origin == of {
			return known.holder, true
		}
	}
	return core.HostID{}, false
}
