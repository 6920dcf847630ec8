package leave_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core/reqst/leave"
)

var (
	_evidence = map[string]leave.Evidence{
		"none": 0, "asked": leave.Asked, "stopped": leave.Stopped, "no-run": leave.NoRun, "declined": leave.Declined,
		"refused": leave.Refused, "unreachable": leave.Unreachable, "unsupported": leave.Unsupported,
	}
	_connections = map[string]leave.Connection{"open": leave.Open, "closed": leave.Closed, "ended": leave.Ended, "dead": leave.Dead}
)

// scan returns the argument of a directive; empty if it is missing.
func scan(t *testing.T, d *datadriven.TestData, name string) (value string) {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &value)
	}
	return value
}

func scanDuration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	value := scan(t, d, name)
	if value == "" {
		return 0
	}
	length, err := time.ParseDuration(value)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return length
}

// A stream went on at another endpoint while the one before still worked on it: one that was reached and did
// not answer, whose queue of new connections was full, or whose connection the path had reset.
func TestStreamLeavesOnlyAnEndpointWhoseRunHasEnded(t *testing.T) {
	datadriven.RunTest(t, "testdata/leave", func(t *testing.T, d *datadriven.TestData) string {
		now := time.Unix(1000, 0)
		evidence, ok := _evidence[scan(t, d, "evidence")]
		connection, known := _connections[d.Cmd]
		if !ok || !known {
			d.Fatalf(t, "unknown evidence or connection")
		}
		s := leave.Situation{
			Now: now, Evidence: evidence, Connection: connection, HasBegun: !d.HasArg("not-begun"), Repeatable: d.HasArg("repeatable"),
			Limit: 1500 * time.Millisecond, AskedAt: now.Add(-scanDuration(t, d, "since")), AnsweredAt: now.Add(-scanDuration(t, d, "answered")), GiveUpAt: now.Add(time.Second),
			Contact: leave.Contact{IsReplaced: d.HasArg("replaced"), IsWithdrawn: d.HasArg("withdrawn"), IsUnknown: d.HasArg("unknown"), RefusedWhileOpen: d.HasArg("refused-while-open")},
		}
		if d.HasArg("elsewhere") {
			s.Contact.ReachedElsewhereAt = now
		}
		if d.HasArg("stopped") {
			s.StoppedAt = now.Add(-scanDuration(t, d, "stopped"))
		}
		if d.HasArg("given-up") {
			s.GiveUpAt = now
		}
		if d.HasArg("failures") {
			d.ScanArgs(t, "failures", &s.Contact.Failures)
			s.Contact.FailingSince = now.Add(-scanDuration(t, d, "failing"))
		}
		return s.Next().String() + "\n"
	})
}

func TestOtherHostsEvidence(t *testing.T) {
	ranked := []leave.Evidence{0, leave.Unreachable, leave.Refused, leave.Declined, leave.NoRun, leave.Stopped}
	for i, less := range ranked {
		for _, more := range ranked[i+1:] {
			if !more.TellsMoreThan(less) || less.TellsMoreThan(more) {
				t.Errorf("%v does not tell more than %v", more, less)
			}
		}
	}
	for _, c := range []struct {
		own, elsewhere, want leave.Evidence
		before, after        bool
	}{
		{leave.Refused, 0, leave.Refused, false, false},
		{leave.Refused, 0, leave.Refused, true, true},
		{leave.Refused, leave.Stopped, leave.Stopped, false, true},
		{leave.Unreachable, leave.NoRun, leave.NoRun, false, true},
		{leave.Refused, leave.Asked, leave.Refused, false, true},
		{leave.Unreachable, leave.Declined, leave.Unreachable, false, true},
		{leave.Unreachable, leave.Refused, leave.Unreachable, true, false},
		{leave.Refused, leave.Unreachable, leave.Refused, true, true},
	} {
		now := time.Unix(1000, 0)
		contact := leave.Contact{}
		if c.before {
			contact.ReachedElsewhereAt = now.Add(-time.Second)
		}
		contact.RecordElsewhere(now, c.elsewhere)
		if got, reached := c.own.With(c.elsewhere), contact.IsReachedElsewhere(now); got != c.want || reached != c.after {
			t.Errorf("%v, elsewhere %v: %v, reached elsewhere %v; want %v, %v", c.own, c.elsewhere, got, reached, c.want, c.after)
		}
		if contact.IsReachedElsewhere(now.Add(2 * time.Second)) {
			t.Errorf("%v, elsewhere %v: still reached elsewhere 2 s later", c.own, c.elsewhere)
		}
	}
	for _, e := range ranked[1:] {
		if parsed, ok := leave.ParseEvidence(e.String()); parsed != e || !ok {
			t.Errorf("%q is parsed as %v, %v", e.String(), parsed, ok)
		}
	}
	for _, name := range []string{"", "NotAsked", "stopped", "200"} {
		if parsed, ok := leave.ParseEvidence(name); ok {
			t.Errorf("%q is parsed as %v", name, parsed)
		}
	}
}
