package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one item of the store, as it is sent. A deleted one has no value.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. While it is silent, it accepts connections and
// answers nothing, and writes wait.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// loud is closed when the store answers again; nil while it does.
	loud chan struct{}
}

func newStore(listener net.Listener) *store {
	s := &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.RangePath, s.serveRange)
	mux.HandleFunc("GET "+names.WatchPath, s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return s
}

// setSilent begins or ends an outage.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.loud == nil:
		s.loud = make(chan struct{})
	case !silent && s.loud != nil:
		close(s.loud)
		s.loud = nil
	}
}

// awaitLoud waits while the store is silent. It returns false if it was.
func (s *store) awaitLoud(done <-chan struct{}) bool {
	s.mu.Lock()
	loud := s.loud
	s.mu.Unlock()
	if loud == nil {
		return true
	}
	select {
	case <-loud:
	case <-done:
	}
	return false
}

// put writes a value, or deletes the key if value is nil. It returns false if the store is silent.
func (s *store) put(key string, value any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loud != nil {
		return false
	}
	s.revision++
	next := item{Key: key, Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		next.Created = before.Created
	}
	if value == nil {
		next.Deleted, next.Created = true, 0
		delete(s.items, key)
	} else {
		text, err := json.Marshal(value)
		if err != nil {
			return false
		}
		next.Value = base64.StdEncoding.EncodeToString(text)
		s.items[key] = next
	}
	s.history = append(s.history, next)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if !s.awaitLoud(r.Context().Done()) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": found, "hasMore": false, "asOf": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !s.awaitLoud(r.Context().Done()) {
		panic(http.ErrAbortHandler)
	}
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, asOf, changed := s.since(after, r.FormValue("prefix"))
		if len(events) > 0 {
			if !s.awaitLoud(r.Context().Done()) {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if !s.awaitLoud(r.Context().Done()) {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the latest change of each key after a revision.
func (s *store) since(after uint64, prefix string) (events []item, asOf uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, one := range s.history {
		if one.Revision > after && strings.HasPrefix(one.Key, prefix) {
			events = append(events, one)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
