package place_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// crowd is the hosts of one data centre before one engine. What one host places, the
// others hear a few milliseconds later.
type crowd struct {
	hosts []*site
	now   time.Time
	news  []told
}

type told struct {
	at    time.Time
	host  int
	loads map[string]place.Load
}

// _hear is how long a heartbeat takes within a data centre.
const _hear = 3 * time.Millisecond

func newCrowd(t *testing.T, hosts int) *crowd {
	c := &crowd{now: _start}
	for i := range hosts {
		s := newSite(t, 1, 0)
		s.Placer = place.New(core.HostName(fmt.Sprint("host-", i)), "a", core.EntryBounds{}, randomOf(uint64(i)))
		s.Apply(s.view)
		c.hosts = append(c.hosts, s)
		for other := range hosts {
			if other != i {
				s.Hear(c.now, c.source(other), nil)
			}
		}
	}
	return c
}

func (c *crowd) source(host int) place.Source {
	return place.Source{Host: core.HostName(fmt.Sprint("host-", host))}
}

// tell has the other hosts hear of a host's load.
func (c *crowd) tell(host int) {
	c.news = append(c.news, told{at: c.now.Add(_hear), host: host, loads: c.hosts[host].Own()})
}

// step lets a millisecond pass.
func (c *crowd) step() {
	c.now = c.now.Add(time.Millisecond)
	for len(c.news) > 0 && !c.now.Before(c.news[0].at) {
		n := c.news[0]
		c.news = c.news[1:]
		for i, s := range c.hosts {
			if i != n.host {
				s.Hear(c.now, c.source(n.host), maps.Clone(n.loads))
			}
		}
	}
	for _, s := range c.hosts {
		s.Release(c.now)
	}
}

// Found by the bench, rota grown, quiet-1: a run ended, all hosts of its data centre
// heard so at the same moment, and seven of them placed what waited on its engine, which
// had room for one.
func TestFreedRoomIsNotTakenByAllAtOnce(t *testing.T) {
	const hosts, runs = 22, 6
	c := newCrowd(t, hosts)
	var held []*place.Run
	for range runs {
		run, verdict := c.hosts[0].Place(c.now, draft())
		if verdict != place.Placed {
			t.Fatalf("verdict %v for the first runs", verdict)
		}
		c.hosts[0].Read(run)
		held = append(held, run)
	}
	c.tell(0)
	for range 5 {
		c.step()
	}
	placed := 0
	for i := 1; i < hosts; i++ {
		want := draft()
		want.Request.Arrived = c.now
		want.Request.Route = &core.Route{Prefix: "/draft/", Kind: core.RouteStreaming, Goal: 1500 * time.Millisecond}
		c.hosts[i].Enqueue(&place.Waiter{Want: want, Granted: func(*place.Run) {
			placed++
			c.tell(i)
		}})
	}
	for range 100 {
		c.step()
	}
	if placed > 1 { // the engine's margin may have room for one
		t.Fatalf("%d placed on a full engine", placed)
	}
	before := placed
	c.hosts[0].End(held[0])
	c.tell(0)
	for range 300 {
		c.step()
	}
	if got := placed - before; got < 1 || got > 2 {
		t.Errorf("%d placed in the room of one run, want 1, or 2 at most", got)
	}
}

// A large prompt that has waited for most of its goal is not passed by small ones any
// more: each of them would take the room that it waits for. Found by deploy/days/busy.toml,
// cards: of the largest tenth of checks 0.16 were served, of all 0.68.
func TestLargePromptsAreNotPassedForever(t *testing.T) {
	s := newSite(t, 1, 0)
	s.Hear(_start, place.Source{Host: "other"}, map[string]place.Load{"engine-0": {Runs: 5, Tokens: _engineMemory - 6000}})
	ask := func(tokens, priority int) *place.Want {
		return &place.Want{Request: core.RoutedRequest{
			Service: "drafting", Arrived: _start, Priority: priority, Prompt: core.Prompt{Tokens: tokens, MaxOutput: 10, Expected: 1},
			Route: &core.Route{Prefix: "/check/", Kind: core.RouteStreaming, Goal: time.Second},
		}}
	}
	s.Enqueue(&place.Waiter{Want: ask(9000, 1), Granted: func(*place.Run) { t.Error("granted without room") }})
	for _, c := range []struct {
		at       time.Duration
		priority int
		want     place.Verdict
	}{
		{at: 300 * time.Millisecond, priority: 1, want: place.Placed},
		{at: 900 * time.Millisecond, priority: 1, want: place.Full},
		{at: 900 * time.Millisecond, priority: 2, want: place.Full},
		{at: 900 * time.Millisecond, priority: 0, want: place.Placed}, // more urgent
	} {
		s.Release(after(c.at))
		run, verdict := s.Place(after(c.at), ask(500, c.priority))
		if verdict != c.want {
			t.Errorf("verdict %v for a small prompt of priority %d after %v, want %v", verdict, c.priority, c.at, c.want)
		}
		if run != nil {
			s.End(run)
		}
	}
	s.Enqueue(&place.Waiter{Want: ask(500, 2), Granted: func(*place.Run) { t.Error("a small prompt that waits passed the large one") }})
	s.Release(after(900 * time.Millisecond))
}

// A request without a prompt takes room as soon as it is heard of: others are not told of
// it at once anyway.
func TestPlainRequestsTakeNoTurns(t *testing.T) {
	const hosts = 9
	s := newSite(t, 0, 1)
	hear := func(load place.Load) {
		for i := range hosts {
			s.Hear(_start, place.Source{Host: core.HostName(fmt.Sprint("host-", i))}, map[string]place.Load{"desk-0": load})
		}
	}
	hear(place.Load{Runs: 1})
	granted := false
	s.Enqueue(&place.Waiter{Want: order(), Granted: func(*place.Run) { granted = true }})
	s.Release(_start)
	if granted {
		t.Fatal("granted without room")
	}
	hear(place.Load{})
	s.Release(_start)
	if !granted {
		t.Error("not granted at once")
	}
}

// What waits for its turn comes before a request that has just arrived, and room that
// this host's own run left is taken at once.
func TestTurnsBeforeNewRequests(t *testing.T) {
	c := newCrowd(t, 9)
	s := c.hosts[1]
	s.Hear(c.now, c.source(0), map[string]place.Load{"engine-0": {Runs: 24}})
	granted := 0
	s.Enqueue(&place.Waiter{Want: draft(), Granted: func(*place.Run) { granted++ }})
	s.Hear(c.now, c.source(0), map[string]place.Load{"engine-0": {}})
	s.Release(c.now)
	if granted > 0 {
		t.Fatal("room that others told of was taken before its turn")
	}
	if _, verdict := s.Place(c.now, draft()); verdict != place.Full {
		t.Errorf("verdict %v for a request that arrives while another waits for its turn, want full", verdict)
	}
	next := s.NextTurn()
	if next.IsZero() || next.After(c.now.Add(100*time.Millisecond)) {
		t.Errorf("the next turn is at %v", next)
	}
	s.Release(next)
	if granted != 1 {
		t.Error("what waited was not granted at its turn")
	}
	if run, verdict := s.Place(next, draft()); verdict == place.Placed {
		s.End(run)
	} else {
		t.Errorf("verdict %v once nothing waits", verdict)
	}

	full := c.hosts[2]
	var runs []*place.Run
	for {
		run, verdict := full.Place(c.now, draft())
		if verdict != place.Placed {
			break
		}
		full.Read(run)
		runs = append(runs, run)
	}
	full.Enqueue(&place.Waiter{Want: draft(), Granted: func(*place.Run) { granted++ }})
	full.End(runs[0])
	full.Release(c.now)
	if granted != 2 {
		t.Error("room that an own run left was not taken at once")
	}
}
