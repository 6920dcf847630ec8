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
		want       bool
	}{
		{0, Closed, false, time.Second, false},
		{Asked, Closed, false, time.Second, false},
		{Declined, Closed, false, time.Second, false},
		{Unreachable, Closed, false, time.Second, false},
		{Stopped, Closed, false, time.Second, true},
		{NoRun, Closed, false, time.Second, true},
		{Unreachable, Ended, false, time.Second, false},
		{Refused, Closed, false, time.Second, false},
		{Refused, Ended, false, time.Second, true},
		{Refused, Dead, false, time.Second, true},
		{Unsupported, Closed, false, time.Second, true},
		{Declined, Closed, true, time.Second, true},
		{Unreachable, Closed, false, 0, true},
		{0, Closed, false, -time.Second, true},
	} {
		left := Left{Now: now, Evidence: c.evidence, Connection: c.connection, IsReplaced: c.isReplaced, Deadline: now.Add(c.timeLeft)}
		if got := left.IsOver(); got != c.want {
			t.Errorf("%s, connection %s, replaced %v, %v left: over %v, want %v", c.evidence, c.connection, c.isReplaced, c.timeLeft, got, c.want)
		}
	}
}
