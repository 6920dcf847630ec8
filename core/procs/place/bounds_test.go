package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Retries that a shorter window had forgotten were allowed once more when the settings made it longer.
//
// "window" sets the length of the window, "retry" takes up to n retries and prints how many were allowed. A host
// of two has 14 beyond its share of the requests, of which there are none.
func TestRetriesAfterAChangeOfTheWindow(t *testing.T) {
	s := newSite(t, 0, 2)
	s.SetHosts(after(-time.Minute), 2)
	bounds := _bounds
	datadriven.RunTest(t, "testdata/retry-window", func(t *testing.T, d *datadriven.TestData) string {
		var second, n int
		d.ScanArgs(t, "at", &second)
		d.ScanArgs(t, "n", &n)
		now := after(time.Duration(second) * time.Second)
		switch d.Cmd {
		case "window":
			bounds.RetryWindow = time.Duration(n) * time.Second
			s.SetBounds(now, bounds)
			return ""
		case "retry":
			allowed := 0
			for allowed < n && s.AllowRetry(now, "desk") {
				allowed++
			}
			return fmt.Sprintln(allowed)
		default:
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		}
	})
}
