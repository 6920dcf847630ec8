package origin_test

import (
	"testing"
	"time"

	"apricotproxy/core/procs/origin"
)

// A host that had been suspended took its outdated documents for up to date, since the steady
// clock does not count the time.
func TestDocumentsAreOutdatedAfterSuspension(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const limit = 2 * time.Second
	var f origin.Freshness
	for i, c := range []struct {
		now, wall, freshAt int // milliseconds
		want               bool
	}{
		{now: 0, wall: 0, freshAt: 0, want: true},
		{now: 200, wall: 200, freshAt: 0, want: true},
		{now: 2100, wall: 2100, freshAt: 0, want: false},
		{now: 2300, wall: 2300, freshAt: 2200, want: true},
		{now: 2500, wall: 7500, freshAt: 2200, want: false},
		{now: 2700, wall: 7700, freshAt: 2200, want: false},
		{now: 2900, wall: 7900, freshAt: 2800, want: true},
		{now: 3000, wall: 5000, freshAt: 2800, want: false},
	} {
		if got := f.Check(at(c.now), at(c.wall), at(c.freshAt), limit); got != c.want {
			t.Errorf("check %d: %v, want %v", i, got, c.want)
		}
	}
	if f.Check(at(3100), at(5100), time.Time{}, limit) {
		t.Error("a host without documents counts as up to date")
	}
}
