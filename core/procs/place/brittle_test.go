package place_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/versn/table"
)

const (
	_replayStep = 10 * time.Millisecond
	// _heartbeat is how often hosts report their loads, of which some are lost.
	_heartbeat      = 250 * time.Millisecond
	_heartbeatsLost = 0.1
	// _localTargets and _remoteTargets are how many hosts of its own and of each other data centre
	// a host sends to.
	_localTargets  = 32
	_remoteTargets = 2
	// _contactTime is the time from which falls count.
	_contactTime = 3 * time.Second
	_fallTime    = 2 * time.Second
	_maxWaiting  = 20
)

// _brittleSeeds is how many replays are played of each case.
const _brittleSeeds = uint64(1)

// brittleCase is a replay of hosts that send requests to brittle endpoints.
type brittleCase struct {
	hosts, endpoints, slots int
	refusals                int
	// memory is that of an engine, 0 for plain endpoints.
	memory int
	// runTime is how long a request runs on average.
	runTime time.Duration
	// load is the number of requests in flight that are asked for, in shares of all slots. burst is
	// a factor for half a second in each four.
	load, burst float64
	// partitioned splits the hosts into two groups that do not hear each other.
	partitioned bool
	// started is the number of hosts that start while the endpoints are brittle.
	started int
}

// modelEndpoint runs as many requests as it has slots and memory for, lets queue more wait, and
// turns the others away.
type modelEndpoint struct {
	id             string
	slots, memory  int
	queue          int
	running        []*modelRun
	turnedAway     []time.Time
	upAt, bornAt   time.Time
	falls, refused int
}

type modelRun struct {
	host *modelHost
	run  *place.Run
	spec *place.Spec
	// output is the number of tokens that the run has made when it ends.
	output                  int
	beganAt, readAt, endsAt time.Time
}

// memory returns what the run takes of the engine's memory.
func (m *modelRun) memory(now time.Time) int {
	return m.spec.Request.Prompt.Tokens + int(float64(m.output)*float64(now.Sub(m.beganAt))/float64(m.endsAt.Sub(m.beganAt)))
}

type modelHost struct {
	*place.Placer
	name       core.HostName
	dataCentre core.DataCentreName
	line       *await.Line
	group      int
	weight     float64
	startAt    time.Time
	waiting    []modelWaiter
	// hasRoom is true if room may have become free since requests that wait were last granted.
	hasRoom bool
}

func (h *modelHost) end(run *place.Run) {
	h.End(run)
	h.hasRoom = true
}

type modelWaiter struct {
	waiter *await.Waiter
	until  time.Time
}

type brittleReplay struct {
	brittleCase
	random    *rand.Rand
	view      *know.View
	placers   []*modelHost
	endpoints []*modelEndpoint
	brittle   bool
	now       time.Time
	served    int
	asked     int
}

func (r *brittleReplay) specOf(now time.Time) *place.Spec {
	request := core.RoutedRequest{Service: "desk", Route: &core.Route{Prefix: "/order/", Goal: time.Second}, Arrived: now}
	if r.memory > 0 {
		prompt := 200 + r.random.IntN(1400)
		request.Prompt = core.Prompt{Tokens: prompt, MaxOutput: 600, Expected: 100 + r.random.IntN(400)}
	}
	return &place.Spec{Request: request}
}

func newBrittleReplay(t *testing.T, c brittleCase, seed uint64) *brittleReplay {
	t.Helper()
	service := core.RoutedService{Name: "desk"}
	if c.memory > 0 {
		service.Engine = &core.EngineSpec{Slots: c.slots, MemoryTokens: c.memory}
	}
	built, err := table.Build(table.Source{Version: 1, Services: []core.RoutedService{service}})
	if err != nil {
		t.Fatal(err)
	}
	r := &brittleReplay{brittleCase: c, random: newRandom(seed), now: _start, view: &know.View{Table: built, OutOfService: map[core.DataCentreName]bool{}}}
	centres := []core.DataCentreName{"a", "b", "c"}
	for i := range c.endpoints {
		id := fmt.Sprintf("desk-%d", i)
		r.endpoints = append(r.endpoints, &modelEndpoint{id: id, slots: c.slots, memory: c.memory, queue: 3 * c.slots, bornAt: _start})
		r.view.Endpoints = append(r.view.Endpoints, know.Endpoint{RoutedEndpoint: core.RoutedEndpoint{ID: id, Service: "desk", Slots: c.slots, DataCentre: centres[i%3], Born: _start}})
	}
	var names []core.HostName
	for i := range c.hosts {
		names = append(names, core.HostName(fmt.Sprint("host-", i)))
	}
	for i, name := range names {
		p := place.New(name, centres[i%3], _bounds, newRandom(seed*1000+uint64(i)))
		h := &modelHost{Placer: p, name: name, dataCentre: centres[i%3], line: await.New(p, newRandom(seed*1000+uint64(i)), await.Switches{}), weight: 1 + 2*r.random.Float64()}
		if c.partitioned {
			h.group = i % 2
		}
		settled := _start.Add(-time.Minute)
		if i < c.started {
			h.startAt = after(5 * time.Second)
			settled = h.startAt
		}
		h.ExpirePeerLoads(settled)
		h.SetHosts(settled, c.hosts)
		unheard := 0
		if c.partitioned {
			unheard = (len(names) + i%2) / 2
		}
		h.SetHostNames(names, unheard)
		h.Apply(r.view)
		r.placers = append(r.placers, h)
	}
	return r
}

// play plays a day of which the endpoints are brittle in two spans. It returns the falls of
// each span from _contactTime on, those before, and the share of the requests that were served.
func (r *brittleReplay) play() (falls []int, early int, served float64) {
	spans := [][2]time.Duration{{3 * time.Second, 11 * time.Second}, {15 * time.Second, 29 * time.Second}}
	falls = make([]int, len(spans))
	for offset := time.Duration(0); offset < 30*time.Second; offset += _replayStep {
		r.now = after(offset)
		r.brittle = false
		before := r.falls()
		i := slices.IndexFunc(spans, func(s [2]time.Duration) bool { return offset >= s[0] && offset < s[1] })
		for _, e := range r.endpoints {
			e.queue = 3 * e.slots
		}
		if i >= 0 {
			r.brittle = true
			if offset >= spans[i][0]+_contactTime {
				for _, e := range r.endpoints {
					e.queue = 0
				}
			}
		}
		r.step(offset)
		switch fell := r.falls() - before; {
		case i >= 0 && offset >= spans[i][0]+_contactTime:
			falls[i] += fell
		default:
			early += fell
		}
	}
	return falls, early, float64(r.served) / float64(max(r.asked, 1))
}

func (r *brittleReplay) falls() int {
	n := 0
	for _, e := range r.endpoints {
		n += e.falls
	}
	return n
}

func (r *brittleReplay) step(offset time.Duration) {
	r.endRuns()
	r.arrive(offset)
	for _, h := range r.placers {
		if h.startAt.After(r.now) {
			continue
		}
		h.waiting = slices.DeleteFunc(h.waiting, func(w modelWaiter) bool {
			return r.now.After(w.until) && (h.line.GiveUp(r.now, w.waiter) || true)
		})
		if next := h.line.NextTurn(); h.hasRoom || !next.IsZero() && !r.now.Before(next) {
			h.hasRoom = false
			h.line.GrantWaiting(r.now)
		}
	}
	r.exchange(offset)
}

// endRuns ends the runs that are complete, and lets endpoints come back that fell over.
func (r *brittleReplay) endRuns() {
	for i, e := range r.endpoints {
		if !e.upAt.IsZero() && !r.now.Before(e.upAt) {
			e.upAt, e.bornAt = time.Time{}, r.now
			r.view.Endpoints[i].Born = r.now
			for _, h := range r.placers {
				h.Apply(r.view)
			}
		}
		e.running = slices.DeleteFunc(e.running, func(run *modelRun) bool {
			if !run.readAt.IsZero() && !r.now.Before(run.readAt) {
				run.host.RecordPrefillDone(r.now, run.run)
				run.host.hasRoom = true
				run.readAt = time.Time{}
				r.answer(run.host, e, run.run)
			}
			if r.now.Before(run.endsAt) {
				return false
			}
			r.answer(run.host, e, run.run)
			r.served++
			run.host.RecordOutcome(r.now, run.run, place.Good)
			run.host.end(run.run)
			return true
		})
	}
}

// answer tells a host what an endpoint says in an answer.
func (r *brittleReplay) answer(h *modelHost, _ *modelEndpoint, run *place.Run) {
	said := place.Brittleness{SaidAt: r.now}
	if r.brittle {
		said.Refusals, said.IsNamed = r.refusals, true
	}
	h.RecordBrittleness(r.now, run.Endpoint.Key(), said)
}

// arrive has requests arrive at random hosts.
func (r *brittleReplay) arrive(offset time.Duration) {
	mean := r.load * float64(r.slots*len(r.endpoints)) * float64(_replayStep) / float64(r.runTime)
	if r.burst > 0 && offset%(4*time.Second) < 500*time.Millisecond {
		mean *= r.burst
	}
	for range r.poisson(mean) {
		var h *modelHost
		for h == nil || h.startAt.After(r.now) || r.random.Float64()*3 > h.weight {
			h = r.placers[r.random.IntN(len(r.placers))]
		}
		r.asked++
		r.request(h, r.specOf(r.now), 0)
	}
}

func (r *brittleReplay) poisson(mean float64) int {
	n := 0
	for at := r.random.ExpFloat64(); at < mean; at += r.random.ExpFloat64() {
		n++
	}
	return n
}

// request has a host send a request, or has it wait for up to a second.
func (r *brittleReplay) request(h *modelHost, spec *place.Spec, tries int) {
	until := r.now.Add(time.Second)
	run, verdict := h.line.Place(r.now, spec)
	if verdict == place.Placed {
		r.send(h, spec, run, tries)
		return
	}
	if !h.line.MayBePlacedBy(r.now, spec, until) || len(h.waiting) > _maxWaiting {
		return
	}
	w := &await.Waiter{Spec: spec, Since: r.now, Granted: func(run *place.Run) {
		if run != nil {
			r.send(h, spec, run, tries)
		}
	}}
	h.line.Enqueue(w)
	h.waiting = append(h.waiting, modelWaiter{w, until})
}

// send has an endpoint run a request or turn it away.
func (r *brittleReplay) send(h *modelHost, spec *place.Spec, run *place.Run, tries int) {
	e := r.endpoints[slices.IndexFunc(r.endpoints, func(e *modelEndpoint) bool { return e.id == run.Endpoint.ID })]
	if !e.upAt.IsZero() {
		h.RecordOutcome(r.now, run, place.Unreachable)
		h.end(run)
		return
	}
	output, memory := 0, spec.Request.Prompt.Tokens
	if e.memory > 0 {
		output = spec.Request.Prompt.Expected/2 + r.random.IntN(spec.Request.Prompt.Expected)
		for _, other := range e.running {
			memory += other.memory(r.now)
		}
	}
	if len(e.running) >= e.slots+e.queue || e.queue == 0 && e.memory > 0 && memory > e.memory {
		r.turnAway(h, e, spec, run, tries)
		return
	}
	m := &modelRun{host: h, run: run, spec: spec, output: output, beganAt: r.now, endsAt: r.now.Add(time.Duration((0.5 + r.random.Float64()) * float64(r.runTime)))}
	if e.memory > 0 {
		m.readAt = r.now.Add(time.Duration(spec.Request.Prompt.Tokens) * time.Millisecond / 7)
	}
	e.running = append(e.running, m)
}

func (r *brittleReplay) turnAway(h *modelHost, e *modelEndpoint, spec *place.Spec, run *place.Run, tries int) {
	e.refused++
	e.turnedAway = append(e.turnedAway, r.now)
	for r.now.Sub(e.turnedAway[0]) >= time.Second {
		e.turnedAway = e.turnedAway[1:]
	}
	if r.brittle && len(e.turnedAway) > r.refusals {
		e.falls++
		e.turnedAway, e.upAt = nil, r.now.Add(_fallTime)
		for _, lost := range e.running {
			lost.host.RecordOutcome(r.now, lost.run, place.Unreachable)
			lost.host.end(lost.run)
		}
		e.running = nil
		h.end(run)
		return
	}
	r.answer(h, e, run)
	h.RecordTurnedAway(r.now, run.Endpoint.Key())
	h.end(run)
	if tries == 0 {
		again := *spec
		again.Exclude = append(slices.Clone(spec.Exclude), e.id)
		r.request(h, &again, tries+1)
	}
}

// exchange has hosts whose heartbeat is due report loads and brittleness to others of their group.
func (r *brittleReplay) exchange(offset time.Duration) {
	for i, from := range r.placers {
		phase := time.Duration(i) * _replayStep
		if from.startAt.After(r.now) || (offset+phase)%_heartbeat != 0 {
			continue
		}
		from.ExpirePeerLoads(r.now)
		said := from.Brittlenesses(r.now, (offset+phase)%(5*time.Second) == 0)
		local, remote := 0, make(map[core.DataCentreName]int)
		for _, to := range r.random.Perm(len(r.placers)) {
			h := r.placers[to]
			source, loads := place.Source{Host: from.name}, from.OwnLoads
			if h.dataCentre == from.dataCentre {
				local++
			} else {
				remote[h.dataCentre]++
				source, loads = place.Source{DataCentre: from.dataCentre}, from.DataCentreLoads
			}
			if to == i || local > _localTargets || remote[h.dataCentre] > _remoteTargets || h.group != from.group || r.random.Float64() < _heartbeatsLost {
				continue
			}
			h.SetPeerLoads(r.now, source, loads())
			h.hasRoom = true
			for _, s := range said {
				h.RecordBrittleness(r.now, s.Key, s.Brittleness)
			}
		}
	}
}

// Hosts together do not make brittle endpoints fall over, whatever they know of each other.
func TestBrittleEndpointsStand(t *testing.T) {
	for _, size := range []struct {
		hosts, plain, engines int
		refusals              []int
		loads                 []float64
	}{
		{9, 4, 18, []int{1, 3, 20}, []float64{0.4, 0.8, 3}},
		{90, 15, 20, []int{1}, []float64{0.8, 3}},
		{360, 15, 0, []int{1}, []float64{3}},
		{87, 7, 0, []int{1}, []float64{0.1, 0.4}}, // most hosts have no share
	} {
		for _, refusals := range size.refusals {
			for _, load := range size.loads {
				c := brittleCase{hosts: size.hosts, endpoints: size.plain, slots: 6, refusals: refusals, runTime: 300 * time.Millisecond, load: load}
				playBrittle(t, "plain", c)
				c.burst, c.started = 3, size.hosts/9
				playBrittle(t, "plain, bursts, hosts that start", c)
				c.partitioned = true
				playBrittle(t, "plain, partitioned", c)
				if size.engines > 0 {
					c = brittleCase{hosts: size.hosts, endpoints: size.engines, slots: 24, memory: 34_000, refusals: refusals, runTime: 4 * time.Second, load: load, burst: 2}
					playBrittle(t, "engines", c)
					c.slots, c.memory, c.partitioned = 48, 100_000, true
					playBrittle(t, "large engines, partitioned", c)
				}
			}
		}
	}
}

func playBrittle(t *testing.T, name string, c brittleCase) {
	t.Run(fmt.Sprintf("%s, %d hosts, %d refusals, load %v", name, c.hosts, c.refusals, c.load), func(t *testing.T) {
		t.Parallel()
		for seed := range _brittleSeeds {
			r := newBrittleReplay(t, c, seed+1)
			falls, early, served := r.play()
			refused := 0
			for _, e := range r.endpoints {
				refused += e.refused
			}
			t.Logf("seed %d: falls %v, %d before, %d turned away, served %.3f of %d, %.3f of what the slots allow", seed, falls, early, refused, served, r.asked, cmp.Or(served/min(1, 1/c.load), 0))
			for _, n := range falls {
				if n > 2+c.endpoints/10 {
					t.Errorf("seed %d: %d falls, want at most %d", seed, n, 2+c.endpoints/10)
				}
			}
		}
	})
}

// newBrittleHost returns one of nine hosts that know plain endpoints of six slots, the first of which
// said that it can turn three requests away in a second. The other one has too much to do for hosts
// without a share to borrow slots.
func newBrittleHost(t *testing.T, self int) *site {
	t.Helper()
	s := newSite(t, 0, 2)
	var names []core.HostName
	for i := range 9 {
		names = append(names, core.HostName(fmt.Sprint("host-", i)))
	}
	s.Placer = place.New(names[self], "a", _bounds, newRandom(uint64(self)))
	s.SetHosts(_start.Add(-time.Minute), len(names))
	s.SetHostNames(names, 0)
	s.Apply(s.view)
	s.RecordBrittleness(_start, _deskKey, brittle(3, _start))
	s.SetPeerLoads(_start, place.Source{Host: "other"}, map[string]place.Load{"desk-1": {Runs: 2}})
	return s
}

func brittle(refusals int, at time.Time) place.Brittleness {
	return place.Brittleness{Refusals: refusals, IsNamed: true, SaidAt: at}
}

// onDesk0 places requests on the first endpoint until it has no room, and returns how many it took.
func onDesk0(s *site, now time.Time) int {
	spec, n := order(), 0
	spec.Exclude = []string{"desk-1"}
	for ; n < 20; n++ {
		run, verdict := s.Place(now, spec)
		if verdict != place.Placed {
			break
		}
		defer s.End(run)
	}
	return n
}

// The hosts' shares of a brittle endpoint's slots add up to its slots, also for an endpoint of the
// service that has said nothing, until it says that it is not brittle.
func TestSharesOfBrittleEndpoint(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*site)
		want   int
	}{
		{"brittle", func(*site) {}, 6},
		{"came back", func(s *site) { s.change("desk-0", func(e *know.Endpoint) { e.Born = after(time.Second) }) }, 6},
		{"known from another endpoint", func(s *site) {
			s.change("desk-0", func(e *know.Endpoint) { e.Born = after(time.Second) })
			s.RecordBrittleness(after(12*time.Second), core.EndpointKey{ID: "desk-1"}, brittle(3, after(12*time.Second)))
		}, 6},
		{"no longer brittle", func(s *site) {
			s.RecordBrittleness(after(12*time.Second), _deskKey, place.Brittleness{SaidAt: after(12 * time.Second)})
		}, 9 * 6},
		{"an earlier answer comes late", func(s *site) {
			s.RecordBrittleness(after(time.Second), _deskKey, place.Brittleness{SaidAt: after(-time.Second)})
		}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			total := 0
			for host := range 9 {
				s := newBrittleHost(t, host)
				c.change(s)
				total += onDesk0(s, after(20*time.Second))
			}
			if total != c.want {
				t.Errorf("nine hosts place %d requests, want %d", total, c.want)
			}
		})
	}
}

// A host that was turned away sends the endpoint nothing for a second, and one that does not know
// how many hosts there are sends it nothing either. Requests are not worth waiting for a host without
// a share.
func TestBrittleEndpointGetsNothing(t *testing.T) {
	now := after(20 * time.Second)
	without, refused := 0, 0
	for host := range 9 {
		s := newBrittleHost(t, host)
		spec := order()
		spec.Exclude = []string{"desk-1"}
		if onDesk0(s, now) == 0 {
			without++
			if newLine(s).MayBePlacedBy(now, spec, now.Add(10*time.Second)) {
				t.Errorf("host %d: a request is to wait for a slot of which the host has no share", host)
			}
			continue
		}
		if !s.RecordTurnedAway(now, _deskKey) {
			t.Error("a refusal of a brittle endpoint was not recorded")
		}
		if onDesk0(s, now.Add(time.Second)) > 0 {
			t.Errorf("host %d sends a request within a second after it was turned away", host)
		}
		if opens := s.OpensAt(now, spec); opens.Before(now.Add(time.Second)) || opens.After(now.Add(2*time.Second)) {
			t.Errorf("host %d: the endpoint opens after %v, want 1 s to 2 s", host, opens.Sub(now))
		}
		if onDesk0(s, now.Add(2*time.Second)) == 0 {
			t.Errorf("host %d still sends nothing after two seconds", host)
		}
		refused++
	}
	if without != 3 || refused != 6 {
		t.Errorf("%d hosts have no share, %d have one, want 3 and 6", without, refused)
	}
}

// The slot of a request that was left without an answer counts as taken for a second.
func TestUnansweredRequestKeepsItsSlot(t *testing.T) {
	now := after(20 * time.Second)
	s := newBrittleHost(t, 0)
	for host := 1; onDesk0(s, now) == 0; host++ {
		s = newBrittleHost(t, host)
	}
	spec := order()
	spec.Exclude = []string{"desk-1"}
	run, _ := s.Place(now, spec)
	s.RecordUnanswered(now, run)
	s.End(run)
	if n := onDesk0(s, now.Add(900*time.Millisecond)); n > 0 {
		t.Errorf("%d requests were placed while the endpoint may still run one", n)
	}
	if onDesk0(s, now.Add(time.Second)) != 1 {
		t.Error("the slot is not free after a second")
	}
}

// A copy that takes a slot counts towards the host's share, and the run continues in that slot.
func TestCopiesTakeSlotsOfBrittleEngines(t *testing.T) {
	s := newSite(t, 1, 0)
	s.SetHosts(_start.Add(-time.Minute), 1)
	s.SetHostNames([]core.HostName{"host-a"}, 0)
	s.change("engine-0", func(e *know.Endpoint) { e.Slots = 1 })
	key := core.EndpointKey{ID: "engine-0"}
	s.RecordBrittleness(_start, key, brittle(1, _start))
	now := after(20 * time.Second)
	copied := s.PlaceMigration(now, draft())
	if copied == nil {
		t.Fatal("no copy was placed on the idle engine")
	}
	if s.PlaceMigration(now, draft()) != nil {
		t.Error("a second copy takes a slot that the engine does not have")
	}
	if _, verdict := s.Place(now, draft()); verdict == place.Placed {
		t.Error("a run takes the slot of the copy")
	}
	run, ok := s.PlaceOn(now, key, &draft().Request)
	if !ok {
		t.Fatal("the run cannot continue from its copy")
	}
	s.End(copied)
	s.End(run)
	if _, verdict := s.Place(now, draft()); verdict != place.Placed {
		t.Error("the slot is not free after the run's end")
	}
}

// While a service has little to do, a host without any share of its slots uses one at each endpoint.
func TestHostsWithoutShareBorrowSlots(t *testing.T) {
	now, borrowed := after(20*time.Second), 0
	for host := range 9 {
		s := newBrittleHost(t, host)
		for _, id := range []string{"desk-0", "desk-1"} {
			s.change(id, func(e *know.Endpoint) { e.Slots = 2 })
		}
		if onDesk0(s, now) > 0 {
			continue // it has a share
		}
		s.SetPeerLoads(now, place.Source{Host: "other"}, nil)
		if n := onDesk0(s, now); n > 1 {
			t.Errorf("host %d borrows %d slots of an endpoint, want 1", host, n)
		} else if n == 1 {
			borrowed++
		}
	}
	if borrowed < 5 || borrowed > 7 {
		t.Errorf("%d of nine hosts borrow a slot of an idle endpoint, want those without any of four slots", borrowed)
	}
}
