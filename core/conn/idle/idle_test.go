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
	p := idle.Timeout{}.WithHeard(opened, 4*time.Second)
	fmt.Println(p.Silent(opened.Add(3 * time.Second)))
	fmt.Println(p.Silent(opened.Add(4 * time.Second)))
	p = p.WithHeard(opened.Add(3*time.Second), 4*time.Second)
	fmt.Println(p.Silent(opened.Add(4 * time.Second)))
	// Output:
	// false
	// true
	// false
}

func TestZeroIsNeverSilent(t *testing.T) {
	p := idle.Timeout{}.WithHeard(_start, 0)
	if p.Silent(_start.Add(24*time.Hour)) || p.NeedsArming(0) {
		t.Fatal("a connection without a limit counts as silent")
	}
}

// Silence is found exactly at the limit after the last byte, whatever bytes
// came before, if the shell arms whenever it is told to and asks again at each
// alarm.
func TestSilenceIsFoundAtTheLimit(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("found at the limit", prop.ForAll(func(gapsMillis []int) bool {
		now := _start
		alarm := time.Time{}
		p := idle.Timeout{}.WithHeard(now, _limit)
		arm := func() {
			if p.NeedsArming(_limit) {
				p = p.WithArmed()
				alarm = p.Deadline()
			}
		}
		arm()
		for _, gap := range gapsMillis {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if p.Silent(now) {
				return false
			}
			p = p.WithHeard(now, _limit)
			arm()
		}
		for !p.Silent(alarm) {
			p = p.WithArmed()
			alarm = p.Deadline()
		}
		return alarm.Equal(now.Add(_limit))
	}, gen.SliceOf(gen.IntRange(0, 3999))))
	properties.TestingRun(t)
}
