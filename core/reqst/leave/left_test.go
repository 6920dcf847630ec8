package leave

import (
	"testing"
	"time"
)

func TestLeftRunIsOver(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		evidence   Evidence
		connection Connection
		isReplaced bool
		timeLeft   time.Duration
		since      time.Duration
		want       bool
	}{
		{0, Closed, false, time.Second, 0, false},
		{Asked, Closed, false, time.Second, 0, false},
		{Declined, Closed, false, time.Second, 0, false},
		{Unreachable, Closed, false, time.Second, 0, false},
		{Stopped, Closed, false, time.Second, 0, true},
		{NoRun, Closed, false, time.Second, 0, true},
		{Unreachable, Ended, false, time.Second, 0, false},
		{Refused, Closed, false, time.Second, 0, false},
		{Refused, Closed, false, time.Second, time.Minute, false},
		{Refused, Ended, false, time.Second, 2 * time.Second, false},
		{Refused, Ended, false, time.Second, 3 * time.Second, true},
		{Refused, Dead, false, time.Second, 3 * time.Second, true},
		{Unsupported, Closed, false, time.Second, 0, true},
		{Declined, Closed, true, time.Second, 0, true},
		{Unreachable, Closed, false, 0, 0, true},
		{0, Closed, false, -time.Second, 0, true},
	} {
		left := Left{Now: now, At: now.Add(-c.since), Evidence: c.evidence, HasBegun: true, Connection: c.connection, IsReplaced: c.isReplaced, Deadline: now.Add(c.timeLeft)}
		if got := left.IsOver(); got != c.want {
			t.Errorf("%s, connection %s, replaced %v, %v left: over %v, want %v", c.evidence, c.connection, c.isReplaced, c.timeLeft, got, c.want)
		}
	}
}

// An endpoint that got a request may begin its run after it has answered that it has none.
func TestLeftRunThatHasNotBegunIsOver(t *testing.T) {
	now := time.Unix(100, 0)
	for _, c := range []struct {
		evidence Evidence
		since    time.Duration
		want     bool
	}{
		{NoRun, 0, false},
		{NoRun, 1499 * time.Millisecond, false},
		{NoRun, 1500 * time.Millisecond, true},
		{Stopped, 0, true},
		{Asked, time.Minute, false},
	} {
		left := Left{Now: now, At: now.Add(-c.since), Evidence: c.evidence, Connection: Closed, Deadline: now.Add(time.Second)}
		if got := left.IsOver(); got != c.want {
			t.Errorf("%s after %v: over %v, want %v", c.evidence, c.since, got, c.want)
		}
	}
}
