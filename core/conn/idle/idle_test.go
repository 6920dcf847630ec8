package idle_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"apricotproxy/core/conn/idle"
)

const _limit = 4 * time.Second

var _start = time.Unix(1_700_000_000, 0)

func ExampleTimeout() {
	opened := time.Unix(100, 0)
	timeout := idle.Timeout{}.WithActivity(opened, 4*time.Second)
	fmt.Println(timeout.Silent(opened.Add(3 * time.Second)))
	fmt.Println(timeout.Silent(opened.Add(4 * time.Second)))
	timeout = timeout.WithActivity(opened.Add(3*time.Second), 4*time.Second)
	fmt.Println(timeout.Silent(opened.Add(4 * time.Second)))
	// Output:
	// false
	// true
	// false
}

func TestZeroIsNeverSilent(t *testing.T) {
	timeout := idle.Timeout{}.WithActivity(_start, 0)
	if timeout.Silent(_start.Add(24*time.Hour)) || timeout.NeedsArming(0) {
		t.Fatal("a connection without a limit counts as silent or needs a deadline")
	}
}

// Silence is detected exactly at the limit after the last byte, whatever bytes
// came before, if the deadline is set whenever NeedsArming says so and Silent is
// checked again each time the deadline expires.
func TestSilenceIsFoundAtTheLimit(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("found at the limit", prop.ForAll(func(gapsMillis []int) bool {
		now := _start
		deadline := time.Time{}
		timeout := idle.Timeout{}.WithActivity(now, _limit)
		arm := func() {
			if timeout.NeedsArming(_limit) {
				timeout = timeout.WithArmed()
				deadline = timeout.Deadline()
			}
		}
		arm()
		for _, gap := range gapsMillis {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if timeout.Silent(now) {
				return false
			}
			timeout = timeout.WithActivity(now, _limit)
			arm()
		}
		for !timeout.Silent(deadline) {
			timeout = timeout.WithArmed()
			deadline = timeout.Deadline()
		}
		return deadline.Equal(now.Add(_limit))
	}, gen.SliceOf(gen.IntRange(0, 3999))))
	properties.TestingRun(t)
}
