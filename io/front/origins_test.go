package front_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/front"
)

// _laterAnswer is after how long the last of the other hosts answers.
const _laterAnswer = 10 * time.Millisecond

// otherHosts answer questions of a host for the records of streams.
type otherHosts struct {
	mu      sync.Mutex
	origins *front.SharedOrigins
	records []origin.Record
	// count is the number of hosts, silent that of those that do not answer.
	count, silent int
	asked         int
}

// newOtherHosts returns hosts and the ledger of the host that asks them.
func newOtherHosts(count, silent int, records ...origin.Record) *otherHosts {
	h := &otherHosts{count: count, silent: silent, records: records}
	h.origins = front.NewSharedOrigins(front.OriginConfig{AskHosts: h.ask})
	return h
}

// ask has the hosts without the record answer at once, before the caller knows how many were asked,
// and the last one with the record later.
func (h *otherHosts) ask(request string, _ origin.Claim) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	answering := h.count - h.silent
	if at := slices.IndexFunc(h.records, func(r origin.Record) bool { return r.Request == request }); at >= 0 {
		answering--
		time.AfterFunc(_laterAnswer, func() { h.origins.Answer("last", h.records[at:at+1], nil) })
	}
	for i := range answering {
		h.origins.Answer(core.HostName(fmt.Sprint("host-", i)), nil, []string{request})
	}
	return h.count
}

func (h *otherHosts) questions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked
}

// observe makes the host that asks know the builds in service since a minute ago.
func (h *otherHosts) observe(builds ...core.BuildName) {
	view := &know.View{}
	for _, build := range builds {
		view.Endpoints = append(view.Endpoints, know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{Service: "all", Build: build}})
	}
	h.origins.Update(func(l *origin.Ledger) {
		l.SetCurrent(time.Now().Add(-time.Minute), true)
		l.Observe(time.Now().Add(-time.Minute), view)
	})
}

// recordOf returns a record of the stream that takeUp takes up.
func recordOf(build core.BuildName) origin.Record {
	return origin.Record{Request: "r1", Origin: origin.Origin{Service: "all", Build: build}, Until: time.Now().Add(time.Minute)}
}

// A question to other hosts ended with the first of them that had no record, if that answered before
// all had been asked.
func TestTakeUpGoesOnAtTheBuildThatAnotherHostRecorded(t *testing.T) {
	others := newOtherHosts(4, 1, recordOf("v2"))
	others.observe("v1", "v2")
	r := newFixtureWithOrigins(t, others.origins, whole("v1"), whole("v2"))
	r.register(member{index: 0, build: "v1"}, member{index: 1, build: "v2", far: true})
	began := time.Now()
	got := r.takeUp("/check/x")
	if took := time.Since(began); got.err != nil || got.status != 200 || got.body != pieces("v2", _brokenAfter+1, _lastPiece) || took > _atOnce {
		t.Errorf("status %d with %q, %v after %v; want the rest of the stream, of v2, at once", got.status, got.body, got.err, took)
	}
	r.wantNoStream(0)
}

// Hosts that know nothing, and hosts that do not answer, do not hold a refusal up. The silent ones
// are asked again, since datagrams are lost.
func TestTakeUpIsRefusedWhenNoHostKnowsItsBuild(t *testing.T) {
	for name, c := range map[string]struct{ silent, least, most int }{
		"all answer":    {0, 1, 1},
		"one is silent": {1, 2, 4},
	} {
		t.Run(name, func(t *testing.T) {
			others := newOtherHosts(3, c.silent)
			others.observe("v1", "v2")
			r := newFixtureWithOrigins(t, others.origins, whole("v1"), whole("v2"))
			r.register(member{index: 0, build: "v1"}, member{index: 1, build: "v2"})
			began := time.Now()
			got := r.takeUp("/check/x")
			if took := time.Since(began); got.status != 503 || got.header.Get("Retry-After") == "" || took > _atOnce {
				t.Errorf("status %d after %v, Retry-After %q; want 503 at once, with Retry-After", got.status, took, got.header.Get("Retry-After"))
			}
			if n := others.questions(); n < c.least || n > c.most {
				t.Errorf("the hosts were asked %d times, want %d to %d times", n, c.least, c.most)
			}
			r.wantNoStream(0)
			r.wantNoStream(1)
		})
	}
}

// A host that did not know yet of a new build took a stream that another host had begun there for
// one of the build that it knew.
func TestTakeUpAtHostThatDoesNotKnowItsBuildYet(t *testing.T) {
	others := newOtherHosts(3, 0, recordOf("v2"))
	others.observe("v1")
	r := newFixtureWithOrigins(t, others.origins, whole("v1"), whole("v2"))
	r.register(member{index: 0, build: "v1"})
	if got := r.takeUp("/check/x"); got.status != 503 {
		t.Errorf("status %d with %q; want 503 while v2 is not known", got.status, got.body)
	}
	r.wantNoStream(0)
	r.register(member{index: 0, build: "v1"}, member{index: 1, build: "v2", far: true})
	if got := r.takeUp("/check/x"); got.err != nil || got.status != 200 || got.body != pieces("v2", _brokenAfter+1, _lastPiece) {
		t.Errorf("status %d with %q, %v; want the rest of the stream, of v2", got.status, got.body, got.err)
	}
	r.wantNoStream(0)
}
