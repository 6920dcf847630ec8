package origin_test

import (
	"strings"
	"testing"

	"apricotproxy/core/procs/origin"
)

func TestClaimEndsOnlyEarlierAttemptsAtItsStream(t *testing.T) {
	scope := origin.ScopeOf("check", "travis")
	long := strings.Repeat("x", 129)
	attempt := func(request, begunBy string) origin.Attempt {
		return origin.Attempt{Request: request, BegunBy: begunBy, Scope: scope, Began: origin.NoEvent, HasBegun: true}
	}
	beganAt := func(event int, a origin.Attempt) origin.Attempt {
		a.Began = event
		return a
	}
	takeUp := origin.Claim{Stream: "r1", By: "r3", Scope: scope, Event: 7}
	goesOn := origin.Claim{Stream: "r1", Scope: scope, Event: 7}
	for _, c := range []struct {
		name    string
		claim   origin.Claim
		attempt origin.Attempt
		want    bool
	}{
		{"the first attempt", takeUp, attempt("r1", ""), true},
		{"an attempt that took it up", takeUp, attempt("r2", "r1"), true},
		{"the one that takes it up, relayed", takeUp, attempt("r3", "r1"), false},
		{"another stream", takeUp, attempt("r4", ""), false},
		{"another stream that was taken up", takeUp, attempt("r4", "r5"), false},
		{"an attempt that began before the claim", takeUp, beganAt(6, attempt("r2", "r1")), true},
		{"an attempt that began at the same event", takeUp, beganAt(7, attempt("r2", "r1")), true},
		{"an attempt that began after the claim", takeUp, beganAt(8, attempt("r2", "r1")), false},
		{"goes on elsewhere, relayed again since", goesOn, beganAt(8, attempt("r1", "")), false},
		{"the caller of the claim has no event", origin.Claim{Stream: "r1", By: "r3", Scope: scope, Event: origin.NoEvent}, beganAt(0, attempt("r2", "r1")), false},
		{"not begun", takeUp, origin.Attempt{Request: "r1", Scope: scope}, false},
		{"another workspace", takeUp, origin.Attempt{Request: "r1", Scope: origin.ScopeOf("check", "jill"), HasBegun: true}, false},
		{"another route", takeUp, origin.Attempt{Request: "r1", Scope: origin.ScopeOf("draft", "travis"), HasBegun: true}, false},
		{"no stream is named", origin.Claim{By: "r3", Scope: scope}, attempt("r2", ""), false},
		{"the ID is too long", origin.Claim{Stream: long, By: "r3", Scope: scope}, attempt(long, ""), false},
		{"goes on elsewhere", goesOn, attempt("r1", ""), true},
		{"goes on elsewhere, taken up since", goesOn, attempt("r2", "r1"), false},
	} {
		if got := c.claim.Ends(c.attempt); got != c.want {
			t.Errorf("%s: ends %v, want %v", c.name, got, c.want)
		}
	}
}
