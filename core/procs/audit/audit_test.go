package audit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/audit"
)

var _start = time.Date(2026, 12, 4, 2, 0, 0, 0, time.UTC)

func record(trail *audit.Trail, subjects ...string) {
	for _, subject := range subjects {
		trail.Record(audit.Event(_start, core.HostID{Host: "waco-host-1"}, core.AuditDataCentreOut, 12, subject, "revision 12"))
	}
}

func ExampleTrail() {
	trail := audit.New(100)
	record(trail, "austin-a")
	fmt.Println(trail.After(0)[0])
	// Output: 2026-12-04T02:00:00.000Z #1 DataCentreOut austin-a: revision 12 (waco-host-1, revision 12)
}

func TestTrailKeepsTheLatest(t *testing.T) {
	trail := audit.New(3)
	for recorded := range 10 {
		entries := trail.After(0)
		if want := min(recorded, 3); len(entries) != want {
			t.Fatalf("after %d events: got %d entries, want %d", recorded, len(entries), want)
		}
		for i, entry := range entries {
			if want := uint64(recorded - len(entries) + i + 1); entry.Sequence != want {
				t.Errorf("after %d events: entry %d has number %d, want %d", recorded, i, entry.Sequence, want)
			}
		}
		record(trail, fmt.Sprint("subject ", recorded))
	}
	if count := trail.Counts()[core.AuditDataCentreOut]; count != 10 {
		t.Errorf("%d events are counted, want 10", count)
	}
	if entries := trail.After(9); len(entries) != 1 || entries[0].Subject != "subject 9" {
		t.Errorf("got %v, want only the last event", entries)
	}
	if entries := trail.After(10); len(entries) != 0 {
		t.Errorf("got %v, want nothing", entries)
	}
}

func TestTrailKeepsTextOnOneLine(t *testing.T) {
	trail := audit.New(1)
	record(trail, "a\nb\x1b[2J")
	if got := trail.After(0)[0].Subject; got != "a b [2J" {
		t.Errorf("got %q", got)
	}
}

func TestFollowSeesEachEventOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trail := audit.New(10)
		record(trail, "a", "b")
		ctx, cancel := context.WithCancel(t.Context())
		var seen []string
		done := make(chan error)
		go func() {
			done <- trail.Follow(ctx, func(entry audit.Entry) error {
				seen = append(seen, entry.Subject)
				return nil
			})
		}()
		synctest.Wait()
		record(trail, "c")
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want the end of the context", err)
		}
		if got := fmt.Sprint(seen); got != "[a b c]" {
			t.Errorf("got %s", got)
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	trail := audit.New(1000)
	event := audit.Event(_start, core.HostID{Host: "h"}, core.AuditPhaseChanged, 1, "e", "c")
	for b.Loop() {
		trail.Record(event)
	}
}
