package spread_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/invar"
	"apricotproxy/core/procs/spread"
)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func accept(bundle core.Bundle) (core.Config, error) { return core.Config{}, nil }

func ExampleSpread_Offer() {
	s := spread.New(spread.Settings{Self: "entry-1", Parse: accept}, random())
	for _, bundle := range []core.Bundle{
		{Revision: 7, Base: "a"}, {Revision: 6, Base: "a"}, {Revision: 7, Base: "a"}, {Revision: 7, Base: "b"},
	} {
		fmt.Println(bundle.Revision, s.Offer(bundle).Verdict)
	}
	// Output:
	// 7 Accepted
	// 6 Lower
	// 7 Same
	// 7 Conflict
}

// With the safeguard disabled, the assertion behind it detects a lower revision.
func TestAssertionDetectsLowerRevision(t *testing.T) {
	detected := 0
	defer invar.SetHandler(func(v *invar.Violation) {
		if v.Promise == invar.RevisionNeverLower {
			detected++
		}
	})()
	s := spread.New(spread.Settings{Parse: accept, Switches: spread.Switches{AcceptLower: true}}, random())
	s.Offer(core.Bundle{Revision: 7})
	s.Offer(core.Bundle{Revision: 6})
	if detected != 1 {
		t.Errorf("the assertion detected %d lower revisions, want 1", detected)
	}
}

// Hosts that believe the same hosts alive choose the same readers.
func TestHostsChooseTheSameReaders(t *testing.T) {
	for _, count := range []int{9, 40, 360} {
		var alive []core.HostName
		for i := range count {
			alive = append(alive, core.HostName(fmt.Sprintf("entry-%d", i)))
		}
		readers := 0
		for _, host := range alive {
			if spread.NewReadPlanner(host, random()).IsReader(alive) {
				readers++
			}
		}
		want := spread.ReaderCount
		if count <= spread.AllReadersLimit {
			want = count
		}
		if readers != want {
			t.Errorf("%d of %d hosts are readers, want %d", readers, count, want)
		}
	}
}
