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

// TestStop runs the script of testdata/stop: "begin notice=s" starts a stop,
// "at second=s ..." tells the progress and shows the step and the next wake-up,
// both in seconds from the start.
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
				Running: running, LedgerSettled: d.HasArg("settled"), Told: d.HasArg("told"),
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

// The assertion notices requests that run at the exit, whatever led there.
func TestRunningAtExitIsNoticed(t *testing.T) {
	noticed := 0
	defer invar.Handle(func(*invar.Violation) { noticed++ })()
	var machine drain.Drain
	machine.Begin(_start, 0)
	done := drain.Progress{LedgerSettled: true, Told: true}
	if step, _ := machine.Advance(_start, done); step != drain.StepExit {
		t.Fatalf("an idle host is at step %s, want Exit", step)
	}
	done.Running = 1
	machine.Advance(_start, done)
	if noticed != 1 {
		t.Errorf("noticed %d times, want once", noticed)
	}
}
