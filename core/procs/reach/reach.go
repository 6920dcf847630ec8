// Package reach decides whether this host is cut off from the endpoints, and through which other host it relays
// requests meanwhile.
//
// Connections that cannot be opened, and requests that were sent and not answered, make the host suspect a cut. It then
// dials some endpoints, those first that were alive last: one success refutes the suspicion, failures at many different
// endpoints confirm it. Only dials decide. Answers on connections that are already open do not show that new ones can
// be made, and unanswered requests may have other causes, as endpoints that end together.
package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
)

const (
	// PollInterval is the longest time between two calls of DueProbes. It bounds what polling adds to the time until a cut
	// is known: a fraction of the time limit of a dial.
	PollInterval = 50 * time.Millisecond
	// _suspended is the time without a call from which the process is taken to have been suspended: many polls.
	_suspended = 20 * PollInterval
	// _probeTimeout is when a probe without a result is given up, longer than any dial may take.
	_probeTimeout = time.Second
	// _quiet is the time without a sign of life from any endpoint from which a single failure is suspicious.
	_quiet = time.Second
	// _minFailed is the number of endpoints whose failures are suspicious while others were alive lately.
	_minFailed = 2
	// _evidenceLifetime is how long a failure counts: the longest backoff of an endpoint, after which it is tried again.
	_evidenceLifetime = 3 * time.Second
	// _holdTime is the least time from a successful dial to the next suspicion. It bounds the probes of a host that sees many
	// endpoints fail, and is longer than dials that began before the end of a cut may take.
	_holdTime = time.Second
	// _firstProbes is the number of endpoints that are dialled first, which refutes most suspicions.
	_firstProbes = 2
	// _confirming is the number of endpoints at which dials must fail for a cut: the host is wrong about once in
	// thirty times with five sixths of the endpoints gone and none known to be alive.
	_confirming = 12
	// _probeInterval is the mean time between two probes of a host that is cut off.
	_probeInterval = 500 * time.Millisecond
)

// State is whether the host reaches the endpoints.
type State uint8

// States.
const (
	// Reaching: connections to endpoints can be opened, as far as the host knows.
	Reaching State = iota + 1
	// Suspect: there are signs that no endpoint can be reached, and probes are under way.
	Suspect
	// CutOff: no connection to any endpoint can be opened.
	CutOff
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Suspect:
		return "Suspect"
	case CutOff:
		return "CutOff"
	default:
		return "Reaching"
	}
}

// endpoint is what the host has seen of an endpoint. Times are zero if it never happened.
type endpoint struct {
	key core.EndpointKey
	// aliveAt is when it last accepted a connection or answered.
	aliveAt time.Time
	// failedAt is when a dial last failed, silentAt when a request was last not answered. A later success at any endpoint
	// makes both void.
	failedAt, silentAt time.Time
	// probedAt is when it was last probed, probeUntil until when the result is awaited.
	probedAt, probeUntil time.Time
	// order breaks ties between endpoints of which nothing is known.
	order uint64
}

// Tracker holds what a host knows of its own and other hosts' connections to the endpoints. It is not safe for concurrent
// use. Methods that take a time expect times that do not decrease.
type Tracker struct {
	self       core.HostName
	dataCentre core.DataCentreName
	random     *rand.Rand

	state State
	since time.Time
	// calledAt is when the tracker was last called.
	calledAt time.Time
	// holdUntil is when a suspicion may begin.
	holdUntil time.Time
	// hasProbed is true when the first probes of a suspicion were returned.
	hasProbed bool
	// nextProbeAt is when a host that is cut off probes next.
	nextProbeAt time.Time
	// aliveAt is when an endpoint last accepted a connection or answered, openedAt when one last accepted a connection.
	aliveAt, openedAt time.Time
	endpoints         map[core.EndpointKey]*endpoint

	hosts map[core.HostName]*host
	// relayed counts the requests in flight for other hosts, by host, relayedTotal all of them.
	relayed      map[core.HostName]int
	relayedTotal int
}

// New returns a tracker that knows no endpoints and no other hosts.
func New(self core.HostName, dataCentre core.DataCentreName, random *rand.Rand) *Tracker {
	return &Tracker{
		self: self, dataCentre: dataCentre, random: random, state: Reaching, endpoints: make(map[core.EndpointKey]*endpoint),
		hosts: make(map[core.HostName]*host), relayed: make(map[core.HostName]int),
	}
}

// SetEndpoints replaces the endpoints: all that the host may send requests to, without those that are leaving.
func (t *Tracker) SetEndpoints(now time.Time, endpoints []core.EndpointKey) {
	known := t.endpoints
	t.endpoints = make(map[core.EndpointKey]*endpoint, len(endpoints))
	for _, key := range endpoints {
		e := known[key]
		if e == nil {
			e = &endpoint{key: key, order: t.random.Uint64()}
		}
		t.endpoints[key] = e
	}
	t.update(now)
}

// RecordDial records that a connection to an endpoint was opened, or could not be: it was refused, reset or not accepted in
// time. A dial that was given up for another reason, as when its caller went away, is not recorded.
func (t *Tracker) RecordDial(now time.Time, key core.EndpointKey, reached bool) {
	t.notice(now)
	if e := t.endpoints[key]; e != nil {
		e.probeUntil = time.Time{}
		if reached {
			e.aliveAt = now
		} else {
			e.failedAt = now
		}
	}
	if reached {
		t.aliveAt, t.openedAt = now, now
		t.holdUntil = now.Add(_holdTime)
		t.setState(now, Reaching)
	}
	t.update(now)
}

// RecordAnswer records that the head of an answer, or an event of a stream, arrived from an endpoint.
func (t *Tracker) RecordAnswer(now time.Time, key core.EndpointKey) {
	t.notice(now)
	t.aliveAt = now
	if e := t.endpoints[key]; e != nil {
		e.aliveAt = now
	}
	t.update(now)
}

// RecordSilence records that the connection of a request that was sent to an endpoint timed out or was reset without an
// answer.
func (t *Tracker) RecordSilence(now time.Time, key core.EndpointKey) {
	t.notice(now)
	if e := t.endpoints[key]; e != nil {
		e.silentAt = now
	}
	t.update(now)
}

// State returns whether the host reaches the endpoints.
func (t *Tracker) State(now time.Time) State {
	t.update(now)
	return t.state
}

// Since returns when the state began; zero if it has been Reaching from the start.
func (t *Tracker) Since() time.Time { return t.since }

// ReachesForOthers reports whether the host can serve requests of hosts that are cut off.
func (t *Tracker) ReachesForOthers(now time.Time) bool {
	t.update(now)
	return len(t.endpoints) > 0 && t.mayServe(now)
}

// mayServe reports whether the host is taken to reach endpoints: also under a suspicion that only rests on what another
// host said.
func (t *Tracker) mayServe(now time.Time) bool {
	return t.state == Reaching || t.state == Suspect && t.countSigns(now) == 0
}

// DueProbes returns the endpoints to open a connection to now, and to close it again. Each result is passed to RecordDial.
// It is empty while the state is Reaching. It is to be called at least each PollInterval, and after a dial failed.
func (t *Tracker) DueProbes(now time.Time) []core.EndpointKey {
	t.update(now)
	count := 0
	switch {
	case t.state == Suspect && !t.isProbing(now):
		count = _firstProbes
		if t.hasProbed {
			count = t.needed() - t.countFailed(t.since)
		}
		t.hasProbed = true
	case t.state == CutOff && !now.Before(t.nextProbeAt):
		count = 1
		t.nextProbeAt = now.Add(t.jitter(_probeInterval))
	}
	return t.probe(now, count)
}

// probe picks the endpoints that are most probably alive: those that did not fail since the state began and were
// probed the longest time ago, and of these the ones that were alive last.
func (t *Tracker) probe(now time.Time, count int) []core.EndpointKey {
	if count <= 0 {
		return nil
	}
	candidates := make([]*endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		if !now.Before(e.probeUntil) && (t.state == CutOff || e.failedAt.Before(t.since)) {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *endpoint) int {
		if t.state == CutOff && !a.probedAt.Equal(b.probedAt) {
			return a.probedAt.Compare(b.probedAt)
		}
		return cmp.Or(b.aliveAt.Compare(a.aliveAt), cmp.Compare(a.order, b.order), cmp.Compare(a.key.ID, b.key.ID))
	})
	var keys []core.EndpointKey
	for _, e := range candidates[:min(len(candidates), count)] {
		e.probedAt, e.probeUntil = now, now.Add(_probeTimeout)
		keys = append(keys, e.key)
	}
	return keys
}

// jitter returns a random duration around a mean, so that hosts that were cut off together do not probe together.
func (t *Tracker) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(t.random.Int64N(int64(mean/2)))
}

// notice records that the tracker was called. After the process was suspended, dials and requests end that were under way
// before, which says nothing of now: older failures are dropped and new ones make the host suspect nothing for a while.
func (t *Tracker) notice(now time.Time) {
	if !t.calledAt.IsZero() && now.Sub(t.calledAt) >= _suspended {
		t.forgetFailures()
		t.holdUntil = now.Add(_holdTime)
		if t.state == Suspect {
			t.setState(now, Reaching)
		}
	}
	t.calledAt = now
}

func (t *Tracker) forgetFailures() {
	for _, e := range t.endpoints {
		e.failedAt, e.silentAt, e.probeUntil = time.Time{}, time.Time{}, time.Time{}
	}
}

// update derives the state from what was recorded.
func (t *Tracker) update(now time.Time) {
	t.notice(now)
	if t.state == Reaching && t.isSuspicious(now) {
		t.setState(now, Suspect)
	}
	if t.state == Suspect && t.hasProbed && len(t.endpoints) > 0 && t.countFailed(t.since) >= t.needed() {
		t.setState(now, CutOff)
	}
	if t.state != Reaching && len(t.endpoints) == 0 {
		t.setState(now, Reaching)
	}
}

func (t *Tracker) setState(now time.Time, state State) {
	if t.state == state {
		return
	}
	t.state, t.since, t.hasProbed, t.nextProbeAt = state, now, false, now
}

// isSuspicious reports whether failures since the last success call for probes.
func (t *Tracker) isSuspicious(now time.Time) bool {
	if now.Before(t.holdUntil) {
		return false
	}
	signs := t.countSigns(now)
	return signs >= min(_minFailed, len(t.endpoints)) && signs > 0 || signs > 0 && now.Sub(t.aliveAt) >= _quiet
}

// countSigns counts the endpoints that failed lately: that could not be dialled since one could, or that did not
// answer since one did.
func (t *Tracker) countSigns(now time.Time) int {
	signs := 0
	oldest := now.Add(-_evidenceLifetime)
	for _, e := range t.endpoints {
		hasFailed := e.failedAt.After(t.openedAt) && e.failedAt.After(oldest)
		wasSilent := e.silentAt.After(t.aliveAt) && e.silentAt.After(oldest)
		if hasFailed || wasSilent {
			signs++
		}
	}
	return signs
}

// countFailed counts the endpoints whose last dial failed at a time or later.
func (t *Tracker) countFailed(since time.Time) int {
	failed := 0
	for _, e := range t.endpoints {
		if !e.failedAt.IsZero() && !e.failedAt.Before(since) {
			failed++
		}
	}
	return failed
}

// needed returns at how many endpoints dials must fail before the host takes itself for cut off.
func (t *Tracker) needed() int { return min(_confirming, len(t.endpoints)) }

// isProbing reports whether the result of a probe is awaited.
func (t *Tracker) isProbing(now time.Time) bool {
	for _, e := range t.endpoints {
		if now.Before(e.probeUntil) {
			return true
		}
	}
	return false
}

// checkOnWord begins a suspicion because another host became cut off, if nothing shows that this host is not.
func (t *Tracker) checkOnWord(now time.Time) {
	if t.state == Reaching && len(t.endpoints) > 0 && !now.Before(t.holdUntil) && now.Sub(t.aliveAt) >= _quiet {
		t.setState(now, Suspect)
	}
}

// _liveTimeout is how long a host is used after its last heartbeat, as in package gossip.
const _liveTimeout = 6 * gossip.Interval
