package proof_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// The users' bounds of rule LOST.
const (
	_lossSlack       = 200 * time.Millisecond
	_lossContact     = 3 * time.Second
	_lossConfigApply = 2 * time.Second
	_lossSentBy      = 3 * time.Second
	_lossAfterGrace  = time.Second
	_never           = time.Duration(1 << 60)
)

// lossCase is one request, judged by rule LOST around planned work of its host. Times count from any
// common moment.
type lossCase struct {
	// sent and lastByte are when the first and the last byte of the request were sent, ended is when
	// its connection or its answer ended. lastByte is _never if that came first.
	sent, lastByte, ended time.Duration
	// terminated is the host's SIGTERM, or _never; hangups holds its SIGHUPs.
	terminated time.Duration
	hangups    []time.Duration
	grace      time.Duration
	// passedOn is true once an endpoint has the request, answered if the caller has a complete answer.
	passedOn, answered bool
	// budget is the request's time budget or the route's time-out, whichever is shorter.
	budget time.Duration
	// worked is until when the endpoint worked on it, but not after ended; negative if it did not.
	worked   time.Duration
	brokeOff bool
	// disrupted holds the start and the end of each unplanned disruption.
	disrupted [][2]time.Duration
}

// isLost reports whether the request violates the rule. Changes of the configuration alone do not count
// here: the rule compares their rate of cuts with that of other times. A request counts as sent with its
// last byte where that excuses the host.
func (c *lossCase) isLost() bool {
	isPlanned := c.ended >= c.terminated && c.ended <= c.terminated+c.grace+_lossAfterGrace ||
		slices.ContainsFunc(c.hangups, func(at time.Duration) bool { return c.sent <= at+_lossConfigApply && c.ended >= at })
	switch {
	case c.answered, !isPlanned, c.lastByte > c.ended:
		return false
	case !c.passedOn && c.ended <= c.lastByte+_lossSlack:
		return false
	case c.brokeOff, c.ended >= c.sent+c.budget:
		return false
	case c.worked >= c.terminated+c.grace-c.grace/6 && c.lastByte <= c.terminated+_lossSentBy:
		return false
	}
	return !slices.ContainsFunc(c.disrupted, func(d [2]time.Duration) bool {
		return d[0] <= c.ended && d[1] >= c.sent-_lossContact
	})
}

func TestLossRule(t *testing.T) {
	datadriven.RunTest(t, "testdata/loss", func(t *testing.T, d *datadriven.TestData) string {
		at := func(key string, none time.Duration) time.Duration {
			if !d.HasArg(key) {
				return none
			}
			var text string
			d.ScanArgs(t, key, &text)
			value, err := time.ParseDuration(text)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			return value
		}
		c := lossCase{
			sent: at("sent", 0), lastByte: at("last", _never), ended: at("ended", 0), terminated: at("term", _never), grace: at("grace", 0),
			passedOn: d.HasArg("passed-on"), answered: d.HasArg("answered"), budget: at("budget", _never), worked: at("worked", -1), brokeOff: d.HasArg("broke-off"),
		}
		if d.HasArg("hup") {
			c.hangups = []time.Duration{at("hup", 0)}
		}
		if d.HasArg("disrupted") {
			c.disrupted = [][2]time.Duration{{at("disrupted", 0), at("restored", _never)}}
		}
		return fmt.Sprintln(map[bool]string{true: "lost", false: "not counted"}[c.isLost()])
	})
}
