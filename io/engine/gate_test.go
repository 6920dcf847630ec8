package engine

import (
	"errors"
	"testing"
)

// A request that was given up before its first byte is told as not run. The
// connection that comes up later neither asks for permission nor writes.
func TestAGateThatWasGivenUpLetsNothingThrough(t *testing.T) {
	asked := 0
	g := &gate{confirm: func() bool { asked++; return true }}
	if !g.seal() {
		t.Fatal("seal = false before any byte")
	}
	if err := g.pass(); !errors.Is(err, errGivenUp) {
		t.Fatalf("pass = %v after the request was given up, want %v", err, errGivenUp)
	}
	if asked != 0 || g.written() {
		t.Fatalf("permission asked %d times, written %t; want neither", asked, g.written())
	}
}

func TestAGateThatHasOpenedCannotBeSealed(t *testing.T) {
	g := &gate{confirm: func() bool { return true }}
	if err := g.pass(); err != nil {
		t.Fatal(err)
	}
	if g.seal() {
		t.Fatal("seal = true though the first byte may have left")
	}
}
