// Package audit records what an entry host decided and why. It keeps the latest
// events in memory, for /auditz and for standard output, and writes nothing to disk.
package audit

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"apricotproxy/core"
)

// Entry is an event with its sequence number. Numbers start at 1 and have no gaps,
// so a reader can tell when it has missed events that the trail has dropped.
type Entry struct {
	Sequence uint64
	core.AuditEvent
}

// String returns the entry as one line, such as
//
//	2026-12-04T02:00:00.000Z #7 DataCentreOut austin-a: revision 12 (waco-host-1, revision 12)
func (e Entry) String() string {
	when := e.Time.UTC().Format("2006-01-02T15:04:05.000Z")
	what := e.Subject
	if e.Cause != "" {
		what += ": " + e.Cause
	}
	return fmt.Sprintf("%s #%d %s %s (%s, revision %d)", when, e.Sequence, e.Kind, what, e.Host.Host, e.Revision)
}

// Trail is a bounded audit trail. It is safe for concurrent use and implements
// core.Auditor.
type Trail struct {
	mu      sync.Mutex
	entries ring[Entry]
	last    uint64
	counts  map[core.AuditKind]uint64
	// changed is closed and replaced at each event, which wakes all readers
	// without a queue for each of them.
	changed chan struct{}
}

var _ core.Auditor = (*Trail)(nil)

// New returns a trail that keeps the latest capacity events.
func New(capacity int) *Trail {
	return &Trail{
		entries: newRing[Entry](capacity),
		counts:  map[core.AuditKind]uint64{},
		changed: make(chan struct{}),
	}
}

// Record adds an event. It never waits for readers: a slow reader misses events, which
// shows as a gap in the sequence numbers.
func (t *Trail) Record(event core.AuditEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.counts[event.Kind]++
	event.Cause = oneLine(event.Cause)
	event.Subject = oneLine(event.Subject)
	t.entries.push(Entry{Sequence: t.last, AuditEvent: event})
	close(t.changed)
	t.changed = make(chan struct{})
}

// Counts returns the number of events of each kind since the start, including those
// that the trail no longer holds.
func (t *Trail) Counts() map[core.AuditKind]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// After returns the held entries with a sequence number above after, oldest first.
func (t *Trail) After(after uint64) []Entry {
	entries, _ := t.read(after)
	return entries
}

// read returns the same entries as After, and a channel that is closed at the next
// event.
func (t *Trail) read(after uint64) ([]Entry, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after >= t.last {
		return nil, t.changed
	}
	count := min(t.last-after, uint64(t.entries.len()))
	return t.entries.latest(int(count)), t.changed
}

// Wait waits until there are entries with a sequence number above after and returns
// them, or returns an error when ctx ends.
func (t *Trail) Wait(ctx context.Context, after uint64) ([]Entry, error) {
	for {
		entries, changed := t.read(after)
		if len(entries) > 0 {
			return entries, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fmt.Errorf("waiting for audit events: %w", ctx.Err())
		}
	}
}

// Follow calls visit for each entry, starting with the oldest held one, until ctx
// ends or visit returns an error.
func (t *Trail) Follow(ctx context.Context, visit func(Entry) error) error {
	after := uint64(0)
	for {
		entries, err := t.Wait(ctx, after)
		if err != nil {
			return err
		}
		for _, entry := range entries {
			if err := visit(entry); err != nil {
				return fmt.Errorf("passing on audit event %d: %w", entry.Sequence, err)
			}
			after = entry.Sequence
		}
	}
}

// Event returns an event with the given fields.
func Event(now time.Time, host core.HostID, kind core.AuditKind, revision core.Revision, subject, cause string) core.AuditEvent {
	return core.AuditEvent{Time: now, Host: host, Kind: kind, Revision: revision, Subject: subject, Cause: cause}
}

// oneLine replaces control characters with spaces, so that text from the network stays
// on one line of the trail.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
}
