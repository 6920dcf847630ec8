package reach_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/reach"
)

// The rule for cut-off hosts: _contact after a cut began, they serve two thirds as often as the others, or
// no more than _allowedFailures and one in fifty of all requests fail there.
const (
	_contact         = 3 * time.Second
	_allowedFailures = 10
	_dialTimeout     = 300 * time.Millisecond
	_roundTrip       = 2 * time.Millisecond
	_timeAllowed     = 2 * time.Second
	_maxTargets      = 32
	// _maxRelayed is the most requests that a host has for others while it has few of its own.
	_maxRelayed = 256
)

var _start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cut is what happens to a host's connections to endpoints.
type cut uint8

const (
	connected     cut = iota
	hang              // dials and requests get no answer
	reset             // connections are reset and new ones refused
	refuse            // new ones are refused and the others live on
	hangAccepted      // as hang, but new ones are accepted
	resetAccepted     // as reset, but new ones are accepted first
)

func (c cut) String() string {
	return [...]string{"connected", "hang", "reset", "refuse", "hang after the accept", "reset after the accept"}[c]
}

func (c cut) accepts() bool { return c == connected || c >= hangAccepted }

// fleet replays requests on hosts in front of endpoints, in virtual time.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	events    eventQueue
	hosts     []*fleetHost
	endpoints map[core.EndpointKey]*fleetEndpoint
	keys      []core.EndpointKey
	// used is the number of endpoints that requests go to; the others are of another service.
	used int
	// dialLoss and heartbeatLoss are the shares of lost dials and heartbeats.
	dialLoss, heartbeatLoss float64
	// maxDuration is the longest time that an endpoint takes for a request.
	maxDuration time.Duration
	result      result
	probes      int
	maxRelayed  int
	// falseCuts counts polls at which a connected host took itself for cut off.
	falseCuts int
	// known holds how long after the begin of a cut each host knew of it.
	known []time.Duration
}

// fleetEndpoint is an endpoint. Until silentUntil it accepts connections and answers nothing.
type fleetEndpoint struct {
	isDown      bool
	silentUntil time.Time
}

type fleetHost struct {
	*reach.Tracker
	reach.Host
	cut            cut
	knowsCut       bool
	cutAt          time.Time
	suspendedUntil time.Time
	isDown         bool
	kept           map[core.EndpointKey]bool
	backoff        map[core.EndpointKey]time.Duration
	backoffUntil   map[core.EndpointKey]time.Time
	own, relayed   int
	relays         int
	saidReaches    bool
}

// result counts requests that hosts which were cut off for _contact and others were asked for.
type result struct{ cutAsked, cutServed, otherAsked, otherServed, busy int }

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(d), do})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && !f.events[0].at.After(_start.Add(until)) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	f.now = _start.Add(until)
}

// newFleet returns a fleet with two endpoints for each host, whose hosts get a number of requests per second each.
func newFleet(hosts, dcs int, perSecond float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: _start, endpoints: make(map[core.EndpointKey]*fleetEndpoint), used: 2 * hosts, maxDuration: 400 * time.Millisecond}
	for i := range 2 * hosts {
		key := core.EndpointKey{ID: fmt.Sprint("endpoint-", i)}
		f.endpoints[key] = &fleetEndpoint{}
		f.keys = append(f.keys, key)
	}
	for i := range hosts {
		said := reach.Host{
			Name: core.HostName(fmt.Sprint("host-", i)), DataCentre: core.DataCentreName(fmt.Sprint(i % dcs)), SameRegion: true, Reaches: true, Incarnation: 1,
		}
		h := &fleetHost{
			Tracker: reach.New(said.Name, said.DataCentre, rand.New(rand.NewPCG(seed, uint64(i)))), Host: said, saidReaches: true,
			kept: make(map[core.EndpointKey]bool), backoff: make(map[core.EndpointKey]time.Duration), backoffUntil: make(map[core.EndpointKey]time.Time),
		}
		h.SetEndpoints(f.now, f.keys)
		f.hosts = append(f.hosts, h)
		f.after(f.upTo(gossip.Interval), func() { f.beat(h) })
		f.after(f.upTo(reach.PollInterval), func() { f.poll(h) })
		f.after(f.upTo(time.Second), func() { f.ask(h, perSecond) })
	}
	return f
}

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Float64() * float64(d))
}

// beat sends a host's heartbeats: to some hosts of its data centre, and to one of each other.
func (f *fleet) beat(h *fleetHost) {
	f.after(gossip.Interval, func() { f.beat(h) })
	f.tell(h)
}

func (f *fleet) tell(h *fleetHost) {
	if h.isDown || h.isSuspended(f.now) {
		return
	}
	h.saidReaches = h.ReachesForOthers(f.now)
	sent := make(map[core.DataCentreName]int)
	for _, i := range f.random.Perm(len(f.hosts)) {
		to, most := f.hosts[i], 1
		if to.DataCentre == h.DataCentre {
			most = _maxTargets
		}
		if to == h || sent[to.DataCentre] >= most {
			continue
		}
		sent[to.DataCentre]++
		if f.random.Float64() >= f.heartbeatLoss && !to.isSuspended(f.now) {
			said := h.Host
			said.Reaches = h.saidReaches
			to.RecordHost(f.now, said)
		}
	}
}

func (f *fleet) poll(h *fleetHost) {
	f.after(reach.PollInterval, func() { f.poll(h) })
	if h.isSuspended(f.now) {
		return
	}
	f.probe(h)
	switch isCutOff := h.State(f.now) == reach.CutOff; {
	case h.cut == connected && isCutOff:
		f.falseCuts++
	case isCutOff && !h.knowsCut:
		h.knowsCut = true
		f.known = append(f.known, f.now.Sub(h.cutAt))
	}
	if h.ReachesForOthers(f.now) != h.saidReaches {
		f.tell(h)
	}
}

func (h *fleetHost) isSuspended(now time.Time) bool { return now.Before(h.suspendedUntil) }

func (f *fleet) probe(h *fleetHost) {
	for _, probe := range h.DueProbes(f.now) {
		f.probes++
		f.dial(h, probe.Key, func(reached bool) {
			if probe.Answer {
				f.requestReport(h, probe.Key, reached)
			}
		})
	}
}

// requestReport asks an endpoint for an answer over a new connection.
func (f *fleet) requestReport(h *fleetHost, key core.EndpointKey, reached bool) {
	takes := _roundTrip
	if reached && (h.cut == hangAccepted || f.now.Before(f.endpoints[key].silentUntil)) {
		takes, reached = _dialTimeout, false
	}
	f.onceRunning(h, takes, func(wasSuspended bool) {
		h.RecordProbe(f.now, key, reached && !wasSuspended && h.cut == connected)
		f.probe(h)
	})
}

// dial opens a connection to an endpoint.
func (f *fleet) dial(h *fleetHost, key core.EndpointKey, then func(reached bool)) {
	takes, reached := _roundTrip, true
	switch {
	case h.cut == hang || f.random.Float64() < f.dialLoss:
		takes, reached = _dialTimeout, false
	case !h.cut.accepts() || f.endpoints[key].isDown:
		reached = false
	}
	f.onceRunning(h, takes, func(wasSuspended bool) {
		reached := reached && !wasSuspended
		h.RecordDial(f.now, key, reached)
		if reached {
			clear(h.backoffUntil)
			delete(h.backoff, key)
		} else {
			h.backoff[key] = min(max(2*h.backoff[key], 300*time.Millisecond), 3*time.Second)
			h.backoffUntil[key] = f.now.Add(h.backoff[key])
			f.probe(h)
		}
		then(reached)
	})
}

// onceRunning does something after a time at which the host runs.
func (f *fleet) onceRunning(h *fleetHost, d time.Duration, do func(wasSuspended bool)) {
	f.after(d, func() {
		if h.isSuspended(f.now) {
			f.after(h.suspendedUntil.Sub(f.now), func() { do(true) })
			return
		}
		do(false)
	})
}

func (f *fleet) ask(h *fleetHost, perSecond float64) {
	f.after(time.Duration(f.random.ExpFloat64()*float64(time.Second)/perSecond), func() { f.ask(h, perSecond) })
	if h.isDown || h.isSuspended(f.now) {
		return
	}
	asked, isCut, isNew := f.now, h.cut != connected, f.now.Sub(h.cutAt) < _contact
	h.own++
	f.serve(h, asked.Add(_timeAllowed), nil, true, func(end ending) {
		h.own--
		served := 0
		if end == answered {
			served = 1
		}
		switch {
		case isCut && !isNew:
			f.result.cutAsked++
			f.result.cutServed += served
		case !isCut:
			f.result.otherAsked++
			f.result.otherServed += served
		}
	})
}

// ending is what became of a request at a host.
type ending uint8

const (
	answered ending = iota
	notSent
	lost
)

// serve tries a request at endpoints, and at another host once it is clear that those cannot be reached.
func (f *fleet) serve(h *fleetHost, deadline time.Time, tried []core.EndpointKey, mayRelay bool, then func(ending)) {
	if mayRelay && (h.State(f.now) == reach.CutOff || len(tried) > 0 && h.State(f.now) == reach.Suspect) {
		f.relay(h, deadline, nil, then)
		return
	}
	key, ok := f.pick(h)
	switch {
	case f.now.After(deadline) || len(tried) == 4:
		then(notSent)
	case !ok && mayRelay:
		f.relay(h, deadline, nil, then)
	case !ok:
		then(notSent)
	case h.kept[key]:
		f.send(h, key, then)
	default:
		f.dial(h, key, func(reached bool) {
			if !reached {
				f.serve(h, deadline, append(tried, key), mayRelay, then)
				return
			}
			h.kept[key] = true
			f.send(h, key, then)
		})
	}
}

func (f *fleet) pick(h *fleetHost) (core.EndpointKey, bool) {
	for _, i := range f.random.Perm(f.used)[:min(f.used, 20)] {
		if key := f.keys[i]; !f.now.Before(h.backoffUntil[key]) {
			return key, true
		}
	}
	return core.EndpointKey{}, false
}

// send sends a request over a connection that is open.
func (f *fleet) send(h *fleetHost, key core.EndpointKey, then func(ending)) {
	takes := f.upTo(f.maxDuration)
	if h.cut == resetAccepted {
		takes = _roundTrip
	}
	f.onceRunning(h, takes, func(bool) {
		silent := f.endpoints[key].silentUntil.Sub(f.now)
		switch {
		case h.cut == hang || h.cut == hangAccepted:
			f.after(reach.UnansweredTime, func() { f.lose(h, key, then) })
		case h.cut == reset || h.cut == resetAccepted || f.endpoints[key].isDown:
			f.lose(h, key, then)
		case silent > 0:
			if silent > reach.UnansweredTime {
				f.after(reach.UnansweredTime, func() { h.RecordSilence(f.now, key) })
			}
			f.after(silent, func() {
				h.RecordAnswer(f.now, key)
				then(answered)
			})
		default:
			h.RecordAnswer(f.now, key)
			then(answered)
		}
	})
}

func (f *fleet) lose(h *fleetHost, key core.EndpointKey, then func(ending)) {
	delete(h.kept, key)
	h.RecordSilence(f.now, key)
	then(lost)
}

// relay passes a request on to another host.
func (f *fleet) relay(h *fleetHost, deadline time.Time, tried []core.HostName, then func(ending)) {
	said, ok := h.PickHost(f.now, tried)
	if !ok || f.now.After(deadline) || len(tried) == 4 {
		if ok {
			h.EndRelay(f.now, said.Name, reach.RelayDone)
		}
		then(notSent)
		return
	}
	h.relays++
	var to *fleetHost
	for _, other := range f.hosts {
		if other.Name == said.Name {
			to = other
		}
	}
	again := func(outcome reach.RelayOutcome) {
		h.EndRelay(f.now, said.Name, outcome)
		f.relay(h, deadline, append(tried, said.Name), then)
	}
	f.after(_roundTrip, func() {
		switch {
		case to.isDown:
			again(reach.RelayUnreachable)
		case !to.AcceptRelayed(f.now, h.Name, to.own):
			f.result.busy++
			again(reach.RelayBusy)
		default:
			to.relayed++
			f.maxRelayed = max(f.maxRelayed, to.relayed)
			f.serve(to, deadline, nil, false, func(end ending) {
				to.relayed--
				to.EndRelayed(h.Name)
				switch {
				case end == notSent:
					again(reach.RelayRefused)
				case end == lost || to.isDown:
					h.EndRelay(f.now, said.Name, reach.RelayLost)
					then(lost)
				default:
					h.EndRelay(f.now, said.Name, reach.RelayDone)
					then(answered)
				}
			})
		}
	})
}

// cutHosts cuts hosts off, or ends that.
func (f *fleet) cutHosts(hosts []*fleetHost, kind cut) {
	for _, h := range hosts {
		if h.cut == connected {
			h.cutAt, h.knowsCut = f.now, false
		}
		h.cut = kind
		if kind == reset || kind == resetAccepted {
			clear(h.kept)
		}
	}
}

// some returns a random part of the hosts.
func (f *fleet) some(share float64) []*fleetHost {
	var hosts []*fleetHost
	for _, i := range f.random.Perm(len(f.hosts))[:int(share*float64(len(f.hosts)))] {
		hosts = append(hosts, f.hosts[i])
	}
	return hosts
}

// dataCentre returns all hosts of a data centre but some.
func (f *fleet) dataCentre(name core.DataCentreName, without int) []*fleetHost {
	var hosts []*fleetHost
	for _, h := range f.hosts {
		if h.DataCentre == name {
			hosts = append(hosts, h)
		}
	}
	return hosts[without:]
}

func (f *fleet) count(state reach.State) int {
	n := 0
	for _, h := range f.hosts {
		if h.State(f.now) == state {
			n++
		}
	}
	return n
}

// check compares what cut-off hosts served with the rule.
func (r result) check(t *testing.T, at string) {
	t.Helper()
	t.Logf("%s: cut off %d of %d served, others %d of %d, %d times busy", at, r.cutServed, r.cutAsked, r.otherServed, r.otherAsked, r.busy)
	failed := r.cutAsked - r.cutServed
	allowed := _allowedFailures + (r.cutAsked+r.otherAsked)/50
	if failed > allowed && 3*r.cutServed*r.otherAsked < 2*r.otherServed*r.cutAsked {
		t.Errorf("%s: cut-off hosts served %d of %d requests, others %d of %d", at, r.cutServed, r.cutAsked, r.otherServed, r.otherAsked)
	}
}

func TestCutOffHostsServeThroughOthers(t *testing.T) {
	half := func(f *fleet) []*fleetHost { return f.some(0.5) }
	most := func(f *fleet) []*fleetHost { return f.some(0.8) }
	oneDataCentre := func(f *fleet) []*fleetHost { return f.dataCentre("0", 0) }
	allButOne := func(f *fleet) []*fleetHost { return f.dataCentre("0", 1) }
	for name, c := range map[string]struct {
		hosts, dcs int
		perSecond  float64
		cuts       int
		cut        func(*fleet) []*fleetHost
		// during is done in the midst of each cut.
		during func(*fleet, []*fleetHost)
	}{
		"9 hosts, half":                       {hosts: 9, dcs: 3, perSecond: 10, cuts: 2, cut: half},
		"9 hosts, most":                       {hosts: 9, dcs: 3, perSecond: 10, cuts: 2, cut: most},
		"9 hosts, all but one, many requests": {hosts: 9, dcs: 1, perSecond: 150, cuts: 1, cut: allButOne},
		"9 hosts, half, quiet":                {hosts: 9, dcs: 3, perSecond: 0.3, cuts: 2, cut: half},
		"90 hosts, half":                      {hosts: 90, dcs: 4, perSecond: 10, cuts: 2, cut: half},
		"90 hosts, a data centre":             {hosts: 90, dcs: 3, perSecond: 10, cuts: 2, cut: oneDataCentre},
		"90 hosts, one data centre but one":   {hosts: 90, dcs: 1, perSecond: 3, cuts: 2, cut: allButOne},
		"90 hosts, most, quiet":               {hosts: 90, dcs: 4, perSecond: 0.3, cuts: 2, cut: most},
		"90 hosts, relaying hosts end": {hosts: 90, dcs: 4, perSecond: 10, cuts: 2, cut: half, during: func(f *fleet, _ []*fleetHost) {
			for i, h := range f.hosts {
				h.isDown = h.cut == connected && i%4 == 0
				h.Stopping = h.cut == connected && i%4 == 1
			}
		}},
		"90 hosts, relaying hosts are cut off": {hosts: 90, dcs: 4, perSecond: 10, cuts: 2, cut: func(f *fleet) []*fleetHost { return f.some(0.3) }, during: func(f *fleet, _ []*fleetHost) {
			f.cutHosts(f.some(0.4), hang)
		}},
		"360 hosts, a data centre but one": {hosts: 360, dcs: 4, perSecond: 3, cuts: 1, cut: allButOne},
		"360 hosts, most":                  {hosts: 360, dcs: 4, perSecond: 2, cuts: 1, cut: most},
	} {
		for kind := hang; kind <= resetAccepted; kind++ {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				f := newFleet(c.hosts, c.dcs, c.perSecond, 1)
				f.heartbeatLoss = 0.1
				for round := range c.cuts {
					began := time.Duration(round)*12*time.Second + 3*time.Second
					f.run(began)
					cutHosts := c.cut(f)
					f.cutHosts(cutHosts, kind)
					f.run(began + _contact)
					f.result = result{}
					if c.during != nil {
						c.during(f, cutHosts)
					}
					f.run(began + 8*time.Second)
					f.result.check(t, fmt.Sprint("cut ", round))
					f.cutHosts(f.hosts, connected)
					for _, h := range f.hosts {
						h.isDown, h.Stopping = false, false
					}
					f.run(began + 8*time.Second + _contact)
					if n := f.count(reach.Reaching); n != c.hosts {
						t.Errorf("%d of %d hosts reach endpoints %v after the end of cut %d", n, c.hosts, _contact, round)
					}
				}
				t.Logf("at most %d requests at a time for others, %d probes, cut known after %v at the latest", f.maxRelayed, f.probes, slices.Max(append(f.known, 0)))
				if f.maxRelayed > _maxRelayed {
					t.Errorf("%d requests at a time for others, want at most %d", f.maxRelayed, _maxRelayed)
				}
			})
		}
	}
}

// Troubles of endpoints and of the host itself are not taken for a cut, whether it has many requests or few.
func TestOtherTroubleIsNoCut(t *testing.T) {
	down := func(f *fleet, keys []core.EndpointKey, d time.Duration) {
		for _, key := range keys {
			f.endpoints[key].isDown = true
			f.after(d, func() { f.endpoints[key].isDown = false })
		}
	}
	silent := func(f *fleet, keys []core.EndpointKey, d time.Duration) {
		for _, key := range keys {
			f.endpoints[key].silentUntil = f.now.Add(d)
		}
	}
	for name, trouble := range map[string]func(*fleet, int){
		"endpoints are silent": func(f *fleet, round int) {
			silent(f, f.keys[round%2:][:len(f.keys)/2], time.Duration(1200+100*round)*time.Millisecond)
		},
		"a service is silent":    func(f *fleet, _ int) { silent(f, f.keys[:f.used], 2*time.Second) },
		"endpoints end together": func(f *fleet, round int) { down(f, f.keys[round%2:][:len(f.keys)/2], 2*time.Second) },
		"a service is down":      func(f *fleet, _ int) { down(f, f.keys[:f.used], 4*time.Second) },
		"a release": func(f *fleet, _ int) {
			for i, key := range f.keys {
				f.after(5*time.Second*time.Duration(i)/time.Duration(len(f.keys)), func() { down(f, []core.EndpointKey{key}, 300*time.Millisecond) })
			}
		},
		"an endpoint refuses": func(f *fleet, _ int) { down(f, f.keys[:1], 6*time.Second) },
		"packets are lost":    func(f *fleet, _ int) { f.dialLoss = 0.02 },
		"hosts are suspended": func(f *fleet, round int) {
			for i, h := range f.hosts {
				if i%3 == round%3 {
					h.suspendedUntil = f.now.Add(4 * time.Second)
				}
			}
		},
	} {
		for _, hosts := range []int{1, 9, 90} {
			for _, perSecond := range []float64{0.3, 10} {
				t.Run(fmt.Sprint(name, ", ", hosts, " hosts, ", perSecond, " requests/s"), func(t *testing.T) {
					f := newFleet(hosts, min(hosts, 3), perSecond, 2)
					if name == "a service is down" || name == "a service is silent" {
						f.used = len(f.keys) / 2
					}
					for round := range 10 {
						f.run(time.Duration(round+1) * 6 * time.Second)
						trouble(f, round)
					}
					f.run(70 * time.Second)
					t.Logf("%.1f probes a host", float64(f.probes)/float64(hosts))
					if f.falseCuts > 0 {
						t.Errorf("connected hosts took themselves for cut off at %d polls", f.falseCuts)
					}
				})
			}
		}
	}
}
