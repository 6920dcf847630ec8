package view

import "time"

const (
	// _hintTerm is how long a prefix is believed to be cached.
	_hintTerm = 5 * time.Minute
	// _hintsAtMost bounds the prefixes that are kept.
	_hintsAtMost = 1 << 16
	// _hintPlaces is how many endpoints are kept per prefix.
	_hintPlaces = 2
)

// Hints tells which endpoints seem to have a prompt's prefix cached. Cache
// events are late and have gaps, so that a hint is only a reason to prefer an
// endpoint, and is forgotten with age.
type Hints[E comparable] struct {
	places map[uint64][_hintPlaces]hint[E]
	// recent holds the prefixes in the order in which they were first heard of,
	// so that the oldest can be dropped.
	recent []uint64
	oldest int
}

type hint[E comparable] struct {
	endpoint E
	until    time.Time
}

// NewHints builds an empty table.
func NewHints[E comparable]() *Hints[E] {
	return &Hints[E]{places: make(map[uint64][_hintPlaces]hint[E])}
}

// Stored takes in that an endpoint has a prefix cached.
func (h *Hints[E]) Stored(now time.Time, prefix uint64, endpoint E) {
	places, known := h.places[prefix]
	if !known {
		h.remember(prefix)
	}
	fresh := hint[E]{endpoint: endpoint, until: now.Add(_hintTerm)}
	if places[0].endpoint != endpoint {
		places[1] = places[0]
	}
	places[0] = fresh
	h.places[prefix] = places
}

// remember makes room for a new prefix.
func (h *Hints[E]) remember(prefix uint64) {
	if len(h.recent) < _hintsAtMost {
		h.recent = append(h.recent, prefix)
		return
	}
	delete(h.places, h.recent[h.oldest])
	h.recent[h.oldest] = prefix
	h.oldest = (h.oldest + 1) % _hintsAtMost
}

// Evicted takes in that an endpoint dropped a prefix.
func (h *Hints[E]) Evicted(prefix uint64, endpoint E) {
	places, known := h.places[prefix]
	if !known {
		return
	}
	for i := range places {
		if places[i].endpoint == endpoint {
			places[i] = hint[E]{}
		}
	}
	h.places[prefix] = places
}

// Each calls visit for the endpoints that seem to have the prefix.
func (h *Hints[E]) Each(now time.Time, prefix uint64, visit func(endpoint E)) {
	var none E
	places := h.places[prefix]
	for i := range places {
		if places[i].endpoint != none && now.Before(places[i].until) {
			visit(places[i].endpoint)
		}
	}
}
