package origin_test

import (
	"strings"
	"testing"

	"apricotproxy/core/procs/origin"
)

// Long IDs that begin alike have different keys, by which streams can be claimed.
func TestKeysOfLongIDs(t *testing.T) {
	const longest = 128
	long := strings.Repeat("x", longest)
	if origin.Key(long) != long || origin.Key("") != "" {
		t.Error("an ID that is not too long is changed")
	}
	a, b := origin.Key(long+"a"), origin.Key(long+"b")
	if a == b || len(a) > longest || origin.Key(a) != a {
		t.Errorf("keys %q and %q, want two different ones of %d bytes at most", a, b, longest)
	}
	if claim := (origin.Claim{Stream: a, By: b}); !claim.IsValid() {
		t.Error("a stream with a long ID cannot be claimed")
	}
}
