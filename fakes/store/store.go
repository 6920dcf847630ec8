// Package store is a fake of the platform's document store. It keeps documents in
// memory, supports watches, and fails on demand.
package store

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"apricotproxy/core"
)

// ErrDown is the error of calls by a client that is set down.
var ErrDown = errors.New("the store is down")

// Store is a fake document store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	documents map[string]core.Document
	// writes holds all documents as they were written, in order.
	writes   []core.Document
	revision uint64
	// epoch counts the restores.
	epoch uint64
	// historyStart is the lowest revision from which a watch can start.
	historyStart uint64
	// changed is closed at the next write.
	changed chan struct{}
	calls   int
}

// New returns an empty store at revision 1.
func New() *Store {
	return &Store{documents: make(map[string]core.Document), revision: 1, changed: make(chan struct{})}
}

// Put writes a document.
func (s *Store) Put(name, value string) { s.write(core.Document{Name: name, Value: []byte(value)}) }

// Delete removes a document.
func (s *Store) Delete(name string) { s.write(core.Document{Name: name, Deleted: true}) }

func (s *Store) write(d core.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	d.Epoch, d.Revision = s.epoch, s.revision
	s.documents[d.Name] = d
	s.writes = append(s.writes, d)
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history: a watch from an earlier revision fails with
// core.ErrHistoryLost.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = s.revision
}

// Copy is a store's content at one moment.
type Copy struct {
	documents map[string]core.Document
	revision  uint64
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{documents: maps.Clone(s.documents), revision: s.revision}
}

// Restore replaces the content by that of a copy. What was written since is lost, and
// its revisions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.documents, s.revision = maps.Clone(c.documents), c.revision
	s.writes = slices.DeleteFunc(s.writes, func(d core.Document) bool { return d.Revision > c.revision })
	s.historyStart = min(s.historyStart, s.revision)
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Calls returns the number of calls by all clients so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Client is one host's connection to the store, which can be made to fail. It is
// safe for concurrent use.
type Client struct {
	store *Store
	mu    sync.Mutex
	down  bool
	// silent is true when watches do not return changes.
	silent bool
}

var _ core.DocumentStore = (*Client)(nil)

// Client returns a new client of the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetDown sets whether calls by this client fail with ErrDown.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetSilent sets whether watches by this client run until they time out even if
// documents change, as at a store that dropped the history from which they started.
func (c *Client) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// startCall counts a call. It fails if the client is down.
func (c *Client) startCall() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.calls++
	if c.down {
		return ErrDown
	}
	return nil
}

// List returns all documents.
func (c *Client) List(context.Context) (core.Documents, error) {
	if err := c.startCall(); err != nil {
		return core.Documents{}, err
	}
	return c.store.list(), nil
}

// Watch waits for a change after a revision, as core.DocumentStore describes.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (core.Documents, error) {
	if err := c.startCall(); err != nil {
		return core.Documents{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if silent {
		select {
		case <-timer.C:
			return core.Documents{Epoch: c.store.currentEpoch(), AsOf: after}, nil
		case <-ctx.Done():
			return core.Documents{}, ctx.Err()
		}
	}
	for {
		c.store.mu.Lock()
		changed, epoch, revision, historyStart := c.store.changed, c.store.epoch, c.store.revision, c.store.historyStart
		c.store.mu.Unlock()
		if after < historyStart || after > revision {
			return core.Documents{}, core.ErrHistoryLost
		}
		if revision > after {
			return c.store.since(after), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return core.Documents{Epoch: epoch, AsOf: revision}, nil
		case <-ctx.Done():
			return core.Documents{}, ctx.Err()
		}
	}
}

// list returns all documents but the deleted ones.
func (s *Store) list() core.Documents {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := core.Documents{Epoch: s.epoch, AsOf: s.revision}
	for _, d := range s.documents {
		if !d.Deleted {
			result.Documents = append(result.Documents, s.current(d))
		}
	}
	return result
}

// since returns what was written after a revision.
func (s *Store) since(after uint64) core.Documents {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := core.Documents{Epoch: s.epoch, AsOf: s.revision}
	for _, d := range s.writes {
		if d.Revision > after {
			result.Documents = append(result.Documents, s.current(d))
		}
	}
	return result
}

// current returns a document with the present epoch, as in an answer of the platform, whose items have none.
func (s *Store) current(d core.Document) core.Document {
	d.Epoch = s.epoch
	return d
}
