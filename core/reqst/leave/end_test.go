package leave_test

import (
	"testing"
	"time"

	"apricotproxy/core/reqst/leave"
)

func TestOnlyAnswersThatExcludeItShowThatARunWasNotStopped(t *testing.T) {
	for _, c := range []struct {
		name     string
		answers  []leave.Evidence
		pending  int
		mayStops bool
	}{
		{"never asked", nil, 0, false},
		{"not answered yet", nil, 1, true},
		{"no answer in time", []leave.Evidence{leave.Asked}, 0, true},
		{"stopped", []leave.Evidence{leave.Stopped}, 0, true},
		{"error, or connection closed", []leave.Evidence{leave.Declined}, 0, true},
		{"not reached", []leave.Evidence{leave.Unreachable}, 0, false},
		{"no such run", []leave.Evidence{leave.NoRun}, 0, false},
		{"no such run after an error", []leave.Evidence{leave.Declined, leave.NoRun}, 0, true},
		{"no such run after none in time", []leave.Evidence{leave.Asked, leave.NoRun}, 0, true},
		{"no such run, then not answered", []leave.Evidence{leave.NoRun}, 1, true},
	} {
		var s leave.StopRequests
		for range len(c.answers) + c.pending {
			s.Send()
		}
		for _, evidence := range c.answers {
			s.Settle(time.Unix(1000, 0), evidence)
		}
		if s.MayHaveStopped() != c.mayStops || s.Pending() != (c.pending > 0) {
			t.Errorf("%s: may have stopped %v, pending %v; want %v, %v", c.name, s.MayHaveStopped(), s.Pending(), c.mayStops, c.pending > 0)
		}
	}
}

func TestCloseOfAConnectionIsTheEndOfAnAnswerIfNothingElseExplainsIt(t *testing.T) {
	ended, lives := func() bool { return true }, func() bool { return false }
	for _, c := range []struct {
		end  leave.End
		want leave.Cause
	}{
		{leave.End{TimeLeft: time.Second, EndpointEnded: lives}, leave.AnswerComplete},
		{leave.End{TimeLeft: time.Second, EndpointEnded: ended}, leave.EndpointEnded},
		{leave.End{TimeLeft: 3 * time.Millisecond, EndpointEnded: lives}, leave.DeadlineReached},
		{leave.End{TimeLeft: -time.Millisecond, EndpointEnded: lives}, leave.DeadlineReached},
		{leave.End{TimeLeft: time.Second, MayHaveStopped: true, EndpointEnded: lives}, leave.RunStopped},
	} {
		if got := c.end.Cause(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.end, got, c.want)
		}
	}
}

func TestRunThatGoesOnLongAfterTheAnswerWasNotStopped(t *testing.T) {
	settledAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name         string
		pending      int
		awaitedSince time.Time
		mayHave      bool
	}{
		{"awaited before the answer", 0, settledAt.Add(-time.Second), true},
		{"may have been under way", 0, settledAt.Add(100 * time.Millisecond), true},
		{"awaited long after the answer", 0, settledAt.Add(400 * time.Millisecond), false},
		{"another request is under way", 1, settledAt.Add(400 * time.Millisecond), true},
	} {
		var s leave.StopRequests
		for range 1 + c.pending {
			s.Send()
		}
		s.Settle(settledAt, leave.Declined)
		s.RecordEvent(c.awaitedSince)
		if s.MayHaveStopped() != c.mayHave {
			t.Errorf("%s: may have stopped %v, want %v", c.name, s.MayHaveStopped(), c.mayHave)
		}
	}
}

// An endpoint that had not answered a request, or had answered that it stopped the run, stopped it late. That events had
// arrived until then counted as proof that it did not.
func TestRunThatMayBeStoppedLateIsNotKnownToGoOn(t *testing.T) {
	settledAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		answers []leave.Evidence
		mayHave bool
	}{
		{"not answered", []leave.Evidence{leave.Asked}, true},
		{"not answered, then declined", []leave.Evidence{leave.Asked, leave.Declined}, true},
		{"not answered, then no such run", []leave.Evidence{leave.Asked, leave.NoRun}, true},
		{"answered that it stopped the run", []leave.Evidence{leave.Stopped}, true},
		{"not reached", []leave.Evidence{leave.Unreachable}, false},
		{"declined twice", []leave.Evidence{leave.Declined, leave.Declined}, false},
	} {
		var s leave.StopRequests
		for range c.answers {
			s.Send()
		}
		for _, evidence := range c.answers {
			s.Settle(settledAt, evidence)
		}
		s.RecordEvent(settledAt.Add(time.Minute))
		if s.MayHaveStopped() != c.mayHave {
			t.Errorf("%s: may have stopped %v, want %v", c.name, s.MayHaveStopped(), c.mayHave)
		}
	}
}
