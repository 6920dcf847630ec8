package front_test

import (
	"strconv"
	"testing"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/front"
)

// A claim that arrived late, of a take-up that its caller had left, ended the attempt with which the stream had gone on since.
func TestLateClaimEndsNoLaterAttempt(t *testing.T) {
	t.Parallel()
	engines := &liveEngines{trouble: func(string) {}}
	var claims []origin.Claim
	var origins *front.SharedOrigins
	origins = front.NewSharedOrigins(front.OriginConfig{AskHosts: func(request string, claim origin.Claim) int {
		claims = append(claims, claim)
		origins.Answer(core.HostName("other"), nil, []string{request})
		return 1
	}})
	r := newLiveFixtureOf(t, origins, engines)
	first, second, third := r.addHost(), r.addHost(), r.addHost()
	before := first.begin("r1")
	if !before.read(_troubleEvent) {
		t.Fatalf("the stream ended after event %d", before.last)
	}
	before.leave()
	taken := second.begin("r2", "Resumes: r1", "Last-Event-Id: "+strconv.Itoa(before.last))
	if !taken.read(_troubleEvent + 4) {
		t.Fatalf("the stream ended after event %d", taken.last)
	}
	taken.leave()
	rest := third.begin("r3", "Resumes: r1", "Last-Event-Id: "+strconv.Itoa(taken.last))
	if !rest.read(_troubleEvent + 8) {
		t.Fatalf("the stream ended after event %d", rest.last)
	}
	r.front.EndAttempts(claims[0])
	if !rest.read(_novelEvents - 1) {
		t.Errorf("the stream ended after event %d", rest.last)
	}
	engines.check(t)
}
