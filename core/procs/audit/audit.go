// Package audit keeps the trail of what an entry host decided and why: the
// latest events in memory, for /auditz and for the standard output. Nothing is
// written to disk.
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

// Entry is one event with its number in the trail. Numbers start at 1 and
// have no gaps, so that a reader sees what the bounded trail has dropped.
type Entry struct {
	Sequence uint64
	core.AuditEvent
}

// String gives one line, such as
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
	// without holding a queue for any of them.
	changed chan struct{}
}

var _ core.Auditor = (*Trail)(nil)

// New makes a trail that keeps the latest capacity events.
func New(capacity int) *Trail {
	return &Trail{
		entries: newRing[Entry](capacity),
		counts:  map[core.AuditKind]uint64{},
		changed: make(chan struct{}),
	}
}

// Record adds an event. It does not block: a slow reader misses events, and
// sees that it did by the numbers.
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

// Counts gives the number of events of each kind since the start, those that
// the trail no longer holds included.
func (t *Trail) Counts() map[core.AuditKind]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// After gives the entries that the trail still holds with a number above
// after, oldest first.
func (t *Trail) After(after uint64) []Entry {
	entries, _ := t.read(after)
	return entries
}

func (t *Trail) read(after uint64) ([]Entry, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after >= t.last {
		return nil, t.changed
	}
	count := min(t.last-after, uint64(t.entries.len()))
	return t.entries.latest(int(count)), t.changed
}

// Wait gives the entries with a number above after as soon as there are any,
// or the error of ctx.
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

// Follow calls visit with each entry from the oldest held on, until ctx ends
// or visit fails.
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

// Event is short for an event about a subject with a cause.
func Event(now time.Time, host core.HostID, kind core.AuditKind, revision core.Revision, subject, cause string) core.AuditEvent {
	return core.AuditEvent{Time: now, Host: host, Kind: kind, Revision: revision, Subject: subject, Cause: cause}
}

// oneLine keeps text that came from a network on one line of the trail.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
}
