package leave_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core/reqst/leave"
)

var _evidence = map[string]leave.Evidence{
	"none": 0, "asked": leave.Asked, "stopped": leave.Stopped, "no-run": leave.NoRun, "declined": leave.Declined,
	"unreachable": leave.Unreachable, "unsupported": leave.Unsupported,
}

// A stream went on at another endpoint while the one before, which was reached, still worked on it.
func TestStreamLeavesOnlyAnEndpointThatHasStopped(t *testing.T) {
	datadriven.RunTest(t, "testdata/leave", func(t *testing.T, d *datadriven.TestData) string {
		var name, since string
		d.ScanArgs(t, "evidence", &name)
		d.ScanArgs(t, "since", &since)
		evidence, ok := _evidence[name]
		if !ok {
			d.Fatalf(t, "unknown evidence %q", name)
		}
		length, err := time.ParseDuration(since)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s := leave.Situation{Evidence: evidence, Repeatable: d.HasArg("repeatable"), Closed: d.HasArg("closed"), Limit: 1500 * time.Millisecond, Since: length}
		return s.Next().String() + "\n"
	})
}
