package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
)

const (
	// _copies is the number of hosts that receive copies, _maxQuestions the most that are asked.
	_copies       = 3
	_maxQuestions = 32
	// _silence is how long a host is silent that no longer counts as live.
	_silence = 6 * gossip.Interval
)

// observer is one host that hears others, whose names begin with their data centre.
type observer struct {
	state *gossip.State
	now   time.Time
}

func newObserver(host string, seeds ...string) *observer {
	return &observer{state: gossip.New(contact(host), seeds, rand.New(rand.NewPCG(1, 1))), now: _start}
}

func contact(host string) gossip.Contact {
	dataCentre, _, _ := strings.Cut(host, "-")
	return gossip.Contact{Host: core.HostName(host), Heartbeat: host, Documents: host + "/documents", DataCentre: core.DataCentreName(dataCentre)}
}

func (o *observer) hear(hosts ...string) {
	for _, host := range hosts {
		o.state.Receive(o.now, &gossip.Heartbeat{From: contact(host), Incarnation: 1})
	}
}

func (o *observer) hearStopping(host string) {
	o.state.Receive(o.now, &gossip.Heartbeat{From: contact(host), Incarnation: 1, Stopping: true})
}

func (o *observer) copies() []string { return o.state.CopyTargets(o.now) }

// hostNames returns the names of hosts of a data centre.
func hostNames(dataCentre string, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint(dataCentre, "-", i))
	}
	return names
}

func sorted(names []string) []string {
	names = slices.Clone(names)
	slices.Sort(names)
	return names
}

func TestCopiesStayInTheDataCentreIfTheyCan(t *testing.T) {
	for name, c := range map[string]struct{ heard, want []string }{
		"no other host":             {nil, nil},
		"as many as copies":         {[]string{"near-1", "far-1", "near-2", "far-2", "near-3"}, []string{"near-1", "near-2", "near-3"}},
		"fewer hosts than copies":   {[]string{"near-1", "far-1"}, []string{"near-1", "far-1"}},
		"none in the data centre":   {[]string{"far-1", "other-1"}, []string{"far-1", "other-1"}},
		"a heartbeat of the host's": {[]string{"near-0", "near-1"}, []string{"near-1"}},
	} {
		o := newObserver("near-0", "near-9")
		o.hear(c.heard...)
		if got := o.copies(); !slices.Equal(sorted(got), sorted(c.want)) {
			t.Errorf("%s: copies to %v, want %v", name, got, c.want)
		}
	}
	o := newObserver("near-0")
	o.hear("far-1", "far-2", "far-3", "far-4", "near-1")
	if got := o.copies(); len(got) != _copies || got[0] != "near-1" {
		t.Errorf("copies to %v, want %d of which the first is near-1", got, _copies)
	}
}

// Copies go to the same hosts while these live, and to one other for each that does not.
func TestCopiesGoToTheSameHosts(t *testing.T) {
	o := newObserver("near-0")
	others := slices.Concat(hostNames("near", 9)[1:], hostNames("far", 9))
	o.hear(others...)
	first := o.copies()
	for range 20 {
		o.now = o.now.Add(gossip.Interval)
		o.hear(others...)
		if got := o.copies(); !slices.Equal(got, first) {
			t.Fatalf("copies to %v, before to %v", got, first)
		}
	}
	lost := first[1]
	o.now = o.now.Add(_silence)
	o.hear(slices.DeleteFunc(slices.Clone(others), func(host string) bool { return host == lost })...)
	got := o.copies()
	if len(got) != _copies || slices.Contains(got, lost) || got[0] != first[0] || got[1] != first[2] {
		t.Errorf("copies to %v without %s, want those to %s and %s still", got, lost, first[0], first[2])
	}
	o.hear(lost)
	if got := o.copies(); !slices.Equal(got, first) {
		t.Errorf("copies to %v once %s is back, want %v", got, lost, first)
	}
}

func TestCopiesDoNotGoToHostsThatStop(t *testing.T) {
	o := newObserver("near-0")
	o.hear(hostNames("near", 4)[1:]...)
	o.hear("far-1")
	o.hearStopping("near-2")
	if got := o.copies(); !slices.Equal(sorted(got), []string{"far-1", "near-1", "near-3"}) {
		t.Errorf("copies to %v, want none to near-2", got)
	}
	o.hearStopping("far-1")
	if got := o.copies(); !slices.Equal(sorted(got), []string{"near-1", "near-3"}) {
		t.Errorf("copies to %v, want none to near-2 and far-1", got)
	}
}

// Copies of all hosts do not go to the same few.
func TestCopiesAreSpread(t *testing.T) {
	const hosts = 60
	received := make(map[string]int)
	all := hostNames("near", hosts)
	for _, host := range all {
		o := newObserver(host)
		o.hear(all...)
		for _, target := range o.copies() {
			received[target]++
		}
	}
	for host, count := range received {
		if count > 4*_copies {
			t.Errorf("%s receives the copies of %d of %d hosts, want %d at most", host, count, hosts, 4*_copies)
		}
	}
	if len(received) < hosts*3/4 {
		t.Errorf("%d of %d hosts receive copies, want three quarters", len(received), hosts)
	}
}

func TestHeartbeatAddressOfHost(t *testing.T) {
	o := newObserver("near-0")
	o.hear("far-1")
	if got, known := o.state.HeartbeatAddress("far-1"); got != "far-1" || !known {
		t.Errorf("%q, known: %t; want far-1", got, known)
	}
	if got, known := o.state.HeartbeatAddress("far-2"); known {
		t.Errorf("%q of a host that was not heard", got)
	}
}

func TestQuestionsGoToAllLiveHosts(t *testing.T) {
	o := newObserver("near-0", "near-8", "near-0")
	if got, allKnown := o.state.QuestionTargets(o.now); !slices.Equal(got, []string{"near-8"}) || allKnown {
		t.Errorf("questions to %v, all known: %t; want the other seed, and that hosts may be missing", got, allKnown)
	}
	o.hear("near-1", "far-1", "near-2", "far-2")
	o.hearStopping("near-3")
	want := []string{"far-1", "far-2", "near-1", "near-2", "near-3"}
	if got, allKnown := o.state.QuestionTargets(o.now); !slices.Equal(sorted(got), want) || !allKnown {
		t.Errorf("questions to %v, all known: %t; want %v and that these are all", got, allKnown, want)
	}
	o.now = o.now.Add(_silence)
	o.hear("far-2")
	if got, _ := o.state.QuestionTargets(o.now); !slices.Equal(got, []string{"far-2"}) {
		t.Errorf("questions to %v, want only far-2, which is not silent", got)
	}
	alone := newObserver("near-0", "near-0")
	if got, _ := alone.state.QuestionTargets(_start); len(got) != 0 {
		t.Errorf("questions of the only host to %v", got)
	}
}

// A question changes neither the seeds nor who is asked next.
func TestQuestionsLeaveSeedsAlone(t *testing.T) {
	seeds := []string{"near-0", "near-1", "near-2"}
	o := newObserver("near-0", seeds...)
	for range 3 {
		if got, _ := o.state.QuestionTargets(o.now); !slices.Equal(got, seeds[1:]) {
			t.Errorf("questions to %v, want %v", got, seeds[1:])
		}
	}
	if !slices.Equal(seeds, []string{"near-0", "near-1", "near-2"}) {
		t.Errorf("the seeds are %v afterwards", seeds)
	}
}

func TestQuestionsAreBounded(t *testing.T) {
	o := newObserver("near-0")
	o.hear(slices.Concat(hostNames("far", 30), hostNames("near", 21))...)
	got, allKnown := o.state.QuestionTargets(o.now)
	if len(got) != _maxQuestions || !allKnown {
		t.Fatalf("%d questions, all known: %t; want %d", len(got), allKnown, _maxQuestions)
	}
	if want := hostNames("near", 21)[1:]; !slices.Equal(sorted(got[:20]), sorted(want)) {
		t.Errorf("the first questions go to %v, want all hosts of the data centre", got[:20])
	}
}
