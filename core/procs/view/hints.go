package view

import "time"

const (
	// _hintTTL is how long a prefix is assumed to stay cached.
	_hintTTL = 5 * time.Minute
	// _maxPrefixes is the largest number of prefixes in a Hints table.
	_maxPrefixes = 1 << 16
	// _endpointsPerPrefix is how many endpoints are remembered for each prefix.
	_endpointsPerPrefix = 2
)

// Hints tracks which endpoints probably have a prompt's prefix cached. Cache
// events arrive late and some are lost, so a hint is only a reason to prefer an
// endpoint, and it expires.
type Hints[E comparable] struct {
	byPrefix map[uint64][_endpointsPerPrefix]hint[E]
	// insertionOrder is a ring of the prefixes in the order in which they were
	// added; oldest is the index of the one to evict next.
	insertionOrder []uint64
	oldest         int
}

type hint[E comparable] struct {
	endpoint  E
	expiresAt time.Time
}

// NewHints returns an empty table.
func NewHints[E comparable]() *Hints[E] {
	return &Hints[E]{byPrefix: make(map[uint64][_endpointsPerPrefix]hint[E])}
}

// Stored records that an endpoint has a prefix cached.
func (h *Hints[E]) Stored(now time.Time, prefix uint64, endpoint E) {
	hints, known := h.byPrefix[prefix]
	if !known {
		h.addPrefix(prefix)
	}
	latest := hint[E]{endpoint: endpoint, expiresAt: now.Add(_hintTTL)}
	if hints[0].endpoint != endpoint {
		hints[1] = hints[0]
	}
	hints[0] = latest
	h.byPrefix[prefix] = hints
}

// addPrefix adds a new prefix to the ring. When the table is full it evicts the
// oldest one.
func (h *Hints[E]) addPrefix(prefix uint64) {
	if len(h.insertionOrder) < _maxPrefixes {
		h.insertionOrder = append(h.insertionOrder, prefix)
		return
	}
	delete(h.byPrefix, h.insertionOrder[h.oldest])
	h.insertionOrder[h.oldest] = prefix
	h.oldest = (h.oldest + 1) % _maxPrefixes
}

// Evicted records that an endpoint no longer has a prefix cached.
func (h *Hints[E]) Evicted(prefix uint64, endpoint E) {
	hints, known := h.byPrefix[prefix]
	if !known {
		return
	}
	for i := range hints {
		if hints[i].endpoint == endpoint {
			hints[i] = hint[E]{}
		}
	}
	h.byPrefix[prefix] = hints
}

// Each calls visit for each endpoint that probably has the prefix cached.
func (h *Hints[E]) Each(now time.Time, prefix uint64, visit func(endpoint E)) {
	var none E
	hints := h.byPrefix[prefix]
	for i := range hints {
		if hints[i].endpoint != none && now.Before(hints[i].expiresAt) {
			visit(hints[i].endpoint)
		}
	}
}
