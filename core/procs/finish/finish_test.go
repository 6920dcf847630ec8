package finish_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"apricotproxy/core"
	"apricotproxy/core/procs/finish"
)

var _kinds = map[string]core.RouteKind{
	"order": core.RouteNonIdempotent, "lookup": core.RouteIdempotent, "stream": core.RouteStreaming,
}

// A stopping host took requests that it could not finish, and cut them off at its end.
func TestStoppingHostTakesOnlyWhatItFinishes(t *testing.T) {
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/finish", func(t *testing.T, d *datadriven.TestData) string {
		length := func(key string) time.Duration {
			if !d.HasArg(key) {
				return 0
			}
			var text string
			d.ScanArgs(t, key, &text)
			value, err := time.ParseDuration(text)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			return value
		}
		s := finish.Situation{
			Now: now, NoticeEnd: now.Add(length("notice")), End: now.Add(length("end")), Deadline: now.Add(length("deadline")), Kind: _kinds[d.Cmd],
			Goal: length("goal"), Longest: length("longest"), Running: length("running"),
		}
		if s.Takes() {
			return "take\n"
		}
		return "refuse\n"
	})
}

// Only the latest answers of a route count, and none of other routes.
func TestLongestOfTheLatestAnswers(t *testing.T) {
	var d finish.Durations
	d.Record("draft", time.Minute)
	d.Record("check", time.Second)
	if got := d.Longest("draft"); got != time.Minute {
		t.Errorf("%v, want a minute", got)
	}
	for range 64 {
		d.Record("draft", 2*time.Second)
	}
	if got := d.Longest("draft"); got != 2*time.Second {
		t.Errorf("%v after 64 answers, want 2s", got)
	}
	if got := d.Longest("none"); got != 0 {
		t.Errorf("%v for an unknown route, want 0", got)
	}
}
