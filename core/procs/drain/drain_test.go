package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core/invar"
	"apricotproxy/core/procs/drain"
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestStop runs the script of testdata/stop. "begin notice=N" starts a stop with a
// notice of N seconds. "at second=N ..." advances to N seconds after the start with
// the given progress, and prints the step and the time of the next call. "settled"
// sets LedgerSettled and "informed" sets PeersInformed.
func TestStop(t *testing.T) {
	var machine drain.Drain
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "begin":
			var notice int
			d.ScanArgs(t, "notice", &notice)
			machine = drain.Drain{}
			machine.Begin(_start, time.Duration(notice)*time.Second)
			return machine.Step().String()
		case "at":
			var second, running int
			d.ScanArgs(t, "second", &second)
			d.MaybeScanArgs(t, "running", &running)
			step, wakeAt := machine.Advance(_start.Add(time.Duration(second)*time.Second), drain.Progress{
				Running: running, LedgerSettled: d.HasArg("settled"), PeersInformed: d.HasArg("informed"),
			})
			if wakeAt.IsZero() {
				return step.String()
			}
			return fmt.Sprintf("%s, again at %.0f", step, wakeAt.Sub(_start).Seconds())
		default:
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
			return ""
		}
	})
}

// The assertion detects requests that are still running at the exit, whatever led to
// it.
func TestAssertionDetectsRequestsRunningAtExit(t *testing.T) {
	detected := 0
	defer invar.SetHandler(func(*invar.Violation) { detected++ })()
	var machine drain.Drain
	machine.Begin(_start, 0)
	done := drain.Progress{LedgerSettled: true, PeersInformed: true}
	if step, _ := machine.Advance(_start, done); step != drain.StepExit {
		t.Fatalf("an idle host is at step %s, want Exit", step)
	}
	done.Running = 1
	machine.Advance(_start, done)
	if detected != 1 {
		t.Errorf("detected %d times, want once", detected)
	}
}
