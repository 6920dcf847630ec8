package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// _pageItems is the number of items on a page; the pages allow about 500.
	_pageItems = 500
	// _pageBytes is the length of a page; the pages allow about 1 MB.
	_pageBytes = 1 << 20
	// _answerTime is the store's time for an answer, as in the site files.
	_answerTime = 4 * time.Millisecond
	// HistoryTime is how far back a watch may begin, as in the site files.
	HistoryTime = 20 * time.Second
)

// item is a key's value, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`

	at time.Time
}

// Store is the platform's store. It is safe for concurrent use.
type Store struct {
	Address string

	server *http.Server
	mu     sync.Mutex
	items  map[string]item
	// history holds the changes of the last HistoryTime, lost the latest revision that it lacks.
	history  []item
	lost     uint64
	revision uint64
	era      uint64
	changed  chan struct{}
}

// NewStore starts a store without items.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	s := &Store{Address: listener.Addr().String(), items: make(map[string]item), revision: 1, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+_names.Range, s.serveRange)
	mux.HandleFunc("GET "+_names.Watch, s.serveWatch)
	mux.HandleFunc("GET "+_names.Key, s.serveKey)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value, which is acknowledged once Put returns.
func (s *Store) Put(key string, value []byte) { s.write(item{Key: key, Value: value}) }

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	_, known := s.items[key]
	s.mu.Unlock()
	if known {
		s.write(item{Key: key, Deleted: true})
	}
}

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created, i.at = s.revision, s.revision, time.Now()
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && i.at.Sub(s.history[0].at) > HistoryTime {
		s.lost = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeAnswer struct {
	Items   []item `json:"items,omitempty"`
	Events  []item `json:"events,omitempty"`
	HasMore bool   `json:"hasMore"`
	AsOf    uint64 `json:"asOf"`
}

func (s *Store) answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(_answerTime)
	text, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set(_names.Era, strconv.FormatUint(s.currentEra(), 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, http.StatusOK, i)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	a := storeAnswer{AsOf: s.revision, Items: []item{}}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	length := 0
	for _, key := range keys {
		if len(a.Items) == _pageItems || length > _pageBytes {
			a.HasMore = true
			break
		}
		a.Items = append(a.Items, s.items[key])
		length += len(s.items[key].Value) * 4 / 3
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, a)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		a, gone, changed := s.since(query.Get("prefix"), after)
		if gone {
			s.answer(w, http.StatusGone, struct{}{})
			return
		}
		if len(a.Events) > 0 || ctx.Err() != nil {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the events after a revision, or gone if they are no longer known.
func (s *Store) since(prefix string, after uint64) (a storeAnswer, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a = storeAnswer{AsOf: s.revision, Events: []item{}}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			a.Events = append(a.Events, i)
		}
	}
	return a, after < s.lost || after > s.revision, s.changed
}
