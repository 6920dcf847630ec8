// Package store is a stand-in for the platform's document store: it keeps
// documents in memory, tells what changed since, and fails as a test wants it to.
package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"apricotproxy/core"
)

// ErrDown is what a store answers that is down.
var ErrDown = errors.New("the store is down")

// Store is one store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	documents map[string]core.Document
	revision  uint64
	forgotten uint64
	changed   chan struct{}
	calls     int
}

// New builds an empty store at revision 1.
func New() *Store {
	return &Store{documents: make(map[string]core.Document), revision: 1, changed: make(chan struct{})}
}

// Put writes a document; Delete removes one.
func (s *Store) Put(name, value string) { s.write(core.Document{Name: name, Value: []byte(value)}) }

// Delete removes a document.
func (s *Store) Delete(name string) { s.write(core.Document{Name: name, Deleted: true}) }

func (s *Store) write(d core.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	d.Revision = s.revision
	s.documents[d.Name] = d
	close(s.changed)
	s.changed = make(chan struct{})
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
}

// Calls counts the calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Client is one host's way to the store, which can be closed.
type Client struct {
	store *Store
	mu    sync.Mutex
	down  bool
	// silent watches are told of no change while they wait.
	silent bool
}

var _ core.DocumentStore = (*Client)(nil)

// Client gives a way to the store.
func (s *Store) Client() *Client { return &Client{store: s} }

// SetDown closes or opens the way.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetSilent makes watches of this way wait out their time whatever changes, as at a
// store that dropped the history that they wait on.
func (c *Client) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

func (c *Client) call() error {
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

// List gives all documents.
func (c *Client) List(context.Context) (core.Documents, error) {
	if err := c.call(); err != nil {
		return core.Documents{}, err
	}
	return c.store.since(0, false), nil
}

// Watch waits for a change.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (core.Documents, error) {
	if err := c.call(); err != nil {
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
			return core.Documents{AsOf: after}, nil
		case <-ctx.Done():
			return core.Documents{}, ctx.Err()
		}
	}
	for {
		c.store.mu.Lock()
		changed, revision, forgotten := c.store.changed, c.store.revision, c.store.forgotten
		c.store.mu.Unlock()
		if after < forgotten {
			return core.Documents{}, core.ErrHistoryLost
		}
		if revision > after {
			return c.store.since(after, true), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return core.Documents{AsOf: revision}, nil
		case <-ctx.Done():
			return core.Documents{}, ctx.Err()
		}
	}
}

func (s *Store) since(after uint64, deleted bool) core.Documents {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := core.Documents{AsOf: s.revision}
	for _, d := range s.documents {
		if d.Revision > after && (deleted || !d.Deleted) {
			out.Documents = append(out.Documents, d)
		}
	}
	return out
}
