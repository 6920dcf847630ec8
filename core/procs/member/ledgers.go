package member

import (
	"time"

	"apricotproxy/core"
)

// ledger is who holds the ledger of a host that stopped.
type ledger struct {
	of      core.HostID
	holder  core.HostID
	seenAt  time.Time
	forgets time.Time
	told    int
}

// LedgerMoved records who holds the ledger of a host that stopped.
func (m *Member) LedgerMoved(now time.Time, of, holder core.HostID, seenAt time.Time) {
	forgets := seenAt.Add(m.settings.LedgerTerm)
	if of == holder || !now.Before(forgets) {
		return
	}
	for _, known := range m.ledgers {
		if known.of == of {
			// A ledger moves away from one incarnation once: its holder hands
			// it on under its own name.
			return
		}
	}
	m.ledgers = append(m.ledgers, &ledger{of: of, holder: holder, seenAt: seenAt, forgets: forgets})
}

// Holder follows the moves of a host's ledger. It gives the host itself while
// no move is known. If entry-1 handed over to entry-2 and that one to entry-3,
// the holder of entry-1's ledger is entry-3.
func (m *Member) Holder(of core.HostID) core.HostID {
	holder := of
	for range len(m.ledgers) {
		next, ok := m.moved(holder)
		if !ok {
			break
		}
		holder = next
	}
	return holder
}

func (m *Member) moved(of core.HostID) (core.HostID, bool) {
	for _, known := range m.ledgers {
		if known.of == of {
			return known.holder, true
		}
	}
	return core.HostID{}, false
}
