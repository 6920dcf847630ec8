// Package reach decides whether this host is cut off from the endpoints, and through which other host it relays
// requests meanwhile.
//
// Connections that cannot be opened, and requests that were sent and not answered, make the host suspect a cut. It then
// probes a sample of the endpoints: one success refutes the suspicion, failures at all of them confirm it. Only probes
// decide. Answers on connections that are already open do not show that new ones can be made, and failures at the
// endpoints that requests happen to go to may have other causes, as a service that is down.
//
// A probe opens a connection. Where requests went unanswered that is not enough, since what resets or holds back
// connections may accept them first: the probe then asks for an answer over the new connection.
package reach

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
)

const (
	// PollInterval is the longest time between two calls of DueProbes while the state is not Reaching. It bounds what polling
	// adds to the time until a cut is known: a fraction of the time limit of a dial.
	PollInterval = 50 * time.Millisecond
	// _suspended is the time without a call from which the process is taken to have been suspended: a few intervals of the
	// heartbeats, with each of which the tracker is called.
	_suspended = 4 * gossip.Interval
	// UnansweredTime is after which time without a byte of the answer a request that waits is recorded as silent. It leaves
	// time for the probes within the time in which a cut must be known.
	UnansweredTime = time.Second
	// _probeTimeout is when a probe without a result is given up, longer than any dial may take.
	_probeTimeout = time.Second
	// _quiet is the time without a sign of life from any endpoint from which a single failure is suspicious.
	_quiet = time.Second
	// _minFailed is the number of endpoints whose failures are suspicious while others were alive lately.
	_minFailed = 2
	// _evidenceLifetime is how long a failure counts: the longest backoff of an endpoint, after which it is tried again.
	_evidenceLifetime = 3 * time.Second
	// _holdTime is the least time from a successful dial or probe to the next suspicion. It bounds the probes of a host that sees many
	// endpoints fail, and is longer than dials that began before the end of a cut may take.
	_holdTime = time.Second
	// _firstProbes is the number of endpoints that are probed first, which refutes most suspicions, _allProbes that of the
	// endpoints that are probed before the host takes itself for cut off. With as many, it is wrong once in twenty times
	// where five sixths of the endpoints are gone and it knows of none which.
	_firstProbes = 2
	_allProbes   = 16
	// ProbeInterval is the mean time between two rounds of probes of a host that is cut off, _cutOffProbes the number of
	// endpoints that are probed in each: a host that knows of no host to relay to sends nothing else, and if it is wrong must
	// find the few endpoints that are alive.
	ProbeInterval = 500 * time.Millisecond
	_cutOffProbes = 4
)

// State is whether the host reaches the endpoints.
type State uint8

// States.
const (
	// Reaching: endpoints can be reached, as far as the host knows.
	Reaching State = iota + 1
	// Suspect: there are signs that no endpoint can be reached, and probes are under way.
	Suspect
	// CutOff: no endpoint can be reached over a new connection.
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
	// aliveAt is when it last answered, or accepted a connection while that counted.
	aliveAt time.Time
	// failedAt is when a dial last failed, silentAt when a request was last not answered. A later successful dial to any
	// endpoint makes failedAt void, a later answer silentAt.
	failedAt, silentAt time.Time
	// probedAt is when it was last probed, probeUntil until when the result is awaited, and probeFailedAt when a probe or
	// dial last failed. asksAnswer is true if the last probe needs an answer.
	probedAt, probeUntil, probeFailedAt time.Time
	asksAnswer                          bool
	// refutedAt is when it last refuted a suspicion, or ended a cut.
	refutedAt time.Time
}

// Tracker holds what a host knows of its own and other hosts' connections to the endpoints. It is not safe for concurrent
// use. Methods that take a time expect times that do not decrease, and one of them is to be called several times a second:
// without calls the process counts as suspended.
type Tracker struct {
	self       core.HostName
	dataCentre core.DataCentreName
	random     *rand.Rand

	state State
	since time.Time
	// calledAt is when the tracker was last called.
	calledAt time.Time
	// holdUntil is when a suspicion may begin, silentHoldUntil when one may that rests on unanswered requests: connections that
	// are accepted do not put that off.
	holdUntil, silentHoldUntil time.Time
	// hasProbed is true when the first probes of a suspicion were returned.
	hasProbed bool
	// needsAnswer is true if only an answer shows that the host reaches endpoints: requests went unanswered, or may do so.
	needsAnswer bool
	// nextProbeAt is when a host that is cut off probes next.
	nextProbeAt time.Time
	// aliveAt is when an endpoint last answered, or accepted a connection while no request was known to be unanswered.
	// answeredAt is when one last answered.
	aliveAt, answeredAt time.Time
	endpoints           map[core.EndpointKey]*endpoint
	// sorted are the endpoints in an order that is the same in every run.
	sorted []*endpoint
	// failing holds the endpoints with failures that are not known to be void.
	failing map[core.EndpointKey]*endpoint

	// hosts are the other hosts, by name.
	hosts []*host
	// forgetAt is when silent hosts are next forgotten.
	forgetAt time.Time
	// relayed counts the requests in flight for other hosts, by host, relayedTotal all of them.
	relayed      map[core.HostName]int
	relayedTotal int
}

// New returns a tracker that knows no endpoints and no other hosts.
func New(self core.HostName, dataCentre core.DataCentreName, random *rand.Rand) *Tracker {
	return &Tracker{
		self: self, dataCentre: dataCentre, random: random, state: Reaching, endpoints: make(map[core.EndpointKey]*endpoint),
		failing: make(map[core.EndpointKey]*endpoint), relayed: make(map[core.HostName]int),
	}
}

// SetEndpoints replaces the endpoints: all that the host may send requests to, without those that are leaving.
func (t *Tracker) SetEndpoints(now time.Time, endpoints []core.EndpointKey) {
	known := t.endpoints
	t.endpoints, t.sorted = make(map[core.EndpointKey]*endpoint, len(endpoints)), nil
	for _, key := range endpoints {
		if t.endpoints[key] != nil {
			continue
		}
		e := known[key]
		if e == nil {
			e = &endpoint{key: key}
		}
		t.endpoints[key] = e
		t.sorted = append(t.sorted, e)
	}
	slices.SortFunc(t.sorted, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.key.ID, b.key.ID), a.key.Born.Compare(b.key.Born))
	})
	maps.DeleteFunc(t.failing, func(key core.EndpointKey, _ *endpoint) bool { return t.endpoints[key] == nil })
	t.update(now)
}

// RecordDial records that a connection to an endpoint was opened, or could not be: it was refused, reset or not accepted in
// time. A dial that was given up for another reason, as when its caller went away, is not recorded.
func (t *Tracker) RecordDial(now time.Time, key core.EndpointKey, reached bool) {
	t.notice(now)
	e := t.endpoints[key]
	switch {
	case !reached && e != nil:
		t.recordFailedDial(now, e)
	case reached && (t.needsAnswer || t.isUnanswered(now)):
		t.recordAccept(now, e)
	case reached:
		t.recordReached(now, e)
	}
	t.update(now)
}

func (t *Tracker) recordFailedDial(now time.Time, e *endpoint) {
	wasProbed := now.Before(e.probeUntil)
	e.probeUntil = time.Time{}
	if wasProbed && t.state == Reaching {
		// Another probe has refuted the suspicion. The failure must not be the reason for the next one.
		return
	}
	e.failedAt, e.probeFailedAt = now, now
	t.failing[e.key] = e
}

// recordAccept records a connection that was opened while requests are unanswered. It only shows that connections
// are accepted.
func (t *Tracker) recordAccept(now time.Time, e *endpoint) {
	for _, failed := range t.failing {
		failed.failedAt = time.Time{}
	}
	if e != nil && now.Before(e.probeUntil) && !e.asksAnswer {
		e.probeUntil = time.Time{}
		t.hasProbed = false // the first probes are made anew, for answers
	}
}

// recordReached records that an endpoint was reached over a new connection.
func (t *Tracker) recordReached(now time.Time, e *endpoint) {
	if e != nil {
		e.aliveAt, e.probeUntil = now, time.Time{}
		if t.state != Reaching {
			e.refutedAt = now
		}
	}
	t.aliveAt = now
	t.forgetFailures()
	t.holdUntil = now.Add(_holdTime)
	t.setState(now, Reaching)
}

// RecordProbe records whether an endpoint answered a probe that asked for an answer. Its connection is passed to
// RecordDial too.
func (t *Tracker) RecordProbe(now time.Time, key core.EndpointKey, answered bool) {
	t.notice(now)
	e := t.endpoints[key]
	switch {
	case answered:
		t.answeredAt = now
		t.recordReached(now, e)
		t.silentHoldUntil = t.holdUntil
	case e != nil:
		t.recordUnansweredProbe(now, e)
	}
	t.update(now)
}

func (t *Tracker) recordUnansweredProbe(now time.Time, e *endpoint) {
	wasAccepted := now.Before(e.probeUntil) // otherwise the dial has failed
	e.probeUntil = time.Time{}
	if wasAccepted && t.state != Reaching {
		e.silentAt, e.probeFailedAt = now, now
		t.failing[e.key] = e
	}
}

// RecordAnswer records that the head of an answer, or an event of a stream, arrived from an endpoint.
func (t *Tracker) RecordAnswer(now time.Time, key core.EndpointKey) {
	t.notice(now)
	t.aliveAt, t.answeredAt = now, now
	if e := t.endpoints[key]; e != nil {
		e.aliveAt = now
	}
	t.update(now)
}

// RecordSilence records that a request that was sent to an endpoint was not answered: its connection ended or timed out, or
// no byte came for UnansweredTime.
func (t *Tracker) RecordSilence(now time.Time, key core.EndpointKey) {
	t.notice(now)
	if e := t.endpoints[key]; e != nil {
		e.silentAt = now
		t.failing[key] = e
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

// ReachesForOthers reports whether the host can serve requests of hosts that are cut off. Most suspicions are refuted by
// the first probes, and other hosts are not told of these.
func (t *Tracker) ReachesForOthers(now time.Time) bool {
	t.update(now)
	isProbable := t.state == Suspect && t.countFailedProbes() >= min(_firstProbes, t.needed())
	return len(t.endpoints) > 0 && t.state != CutOff && !isProbable
}

// mayServe reports whether the host is taken to reach endpoints: also under a suspicion that only rests on what another
// host said.
func (t *Tracker) mayServe(now time.Time) bool {
	return t.state == Reaching || t.state == Suspect && t.countSigns(now) == 0
}

// Probe asks whether an endpoint is reached.
type Probe struct {
	Key core.EndpointKey
	// Answer is true if the endpoint must answer a request. Otherwise the connection alone is opened.
	Answer bool
}

// DueProbes returns the endpoints to open a connection to now, and to close it again. Each result is passed to RecordDial,
// and to RecordProbe if an answer is asked for. It is empty while the state is Reaching. It is to be called when a dial or a
// request failed, when the state changed, and each PollInterval while that is not Reaching.
func (t *Tracker) DueProbes(now time.Time) []Probe {
	t.update(now)
	switch {
	case t.state == Suspect && !t.isProbing(now):
		return t.probeSample(now)
	case t.state == CutOff && !now.Before(t.nextProbeAt):
		t.nextProbeAt = now.Add(t.jitter(ProbeInterval))
		return t.probe(now, _cutOffProbes, longestUnprobed)
	default:
		return nil
	}
}

// probeSample probes the endpoints that decide about a suspicion: a few first, and if these fail the others.
func (t *Tracker) probeSample(now time.Time) []Probe {
	count := _firstProbes
	if t.hasProbed {
		count = t.needed() - t.countFailedProbes()
	}
	t.hasProbed = true
	return t.probe(now, count, lastRefuting, inRandomOrder, lastAlive, longestIdle)
}

// ranking orders endpoints, the one to probe first before the others.
type ranking func(a, b *endpoint) int

// lastRefuting prefers endpoints that were reached when others failed, as those of another service.
func lastRefuting(a, b *endpoint) int {
	return cmp.Or(b.refutedAt.Compare(a.refutedAt), lastAlive(a, b))
}

func lastAlive(a, b *endpoint) int { return b.aliveAt.Compare(a.aliveAt) }

// longestIdle prefers endpoints that requests do not go to, and so probably are of other services than those that fail.
func longestIdle(a, b *endpoint) int { return a.aliveAt.Compare(b.aliveAt) }

func inRandomOrder(*endpoint, *endpoint) int { return 0 }

func longestUnprobed(a, b *endpoint) int {
	return cmp.Or(a.probedAt.Compare(b.probedAt), lastAlive(a, b))
}

// probe picks endpoints by rankings that take turns. Endpoints that failed lately come after all others, and those
// that failed as the state was examined are left out.
func (t *Tracker) probe(now time.Time, count int, rankings ...ranking) []Probe {
	candidates := make([]*endpoint, 0, len(t.endpoints))
	for _, e := range t.sorted {
		if !now.Before(e.probeUntil) && (t.state == CutOff || !t.failedProbe(e)) {
			candidates = append(candidates, e)
		}
	}
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var probes []Probe
	for turn := 0; turn < count && len(candidates) > 0; turn++ {
		rank := rankings[turn%len(rankings)]
		best := slices.MinFunc(candidates, func(a, b *endpoint) int {
			return cmp.Or(compareBool(t.isDoubtful(a, now), t.isDoubtful(b, now)), rank(a, b))
		})
		candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool { return e == best })
		best.probedAt, best.probeUntil, best.asksAnswer = now, now.Add(_probeTimeout), t.needsAnswer
		probes = append(probes, Probe{Key: best.key, Answer: t.needsAnswer})
	}
	return probes
}

// isDoubtful reports whether an endpoint's failure is among those that made the host suspect a cut. While the host is cut
// off, all fail.
func (t *Tracker) isDoubtful(e *endpoint, now time.Time) bool {
	return t.state == Suspect && t.hasFailed(e, now)
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
		t.silentHoldUntil = t.holdUntil
		if t.state == Suspect {
			t.setState(now, Reaching)
		}
	}
	t.calledAt = now
}

func (t *Tracker) forgetFailures() {
	for _, e := range t.failing {
		e.failedAt, e.silentAt, e.probeFailedAt = time.Time{}, time.Time{}, time.Time{}
	}
	clear(t.failing)
}

// update derives the state from what was recorded.
func (t *Tracker) update(now time.Time) {
	t.notice(now)
	if t.state == Reaching && t.isSuspicious(now) {
		t.setState(now, Suspect)
	}
	t.needsAnswer = t.state != Reaching && (t.needsAnswer || t.isUnanswered(now))
	if t.state == Suspect && t.hasProbed && len(t.endpoints) > 0 && t.countFailedProbes() >= t.needed() {
		t.setState(now, CutOff)
		t.needsAnswer = t.isUnanswered(now) // if no connection is accepted, the first that is shows the end of the cut
	}
	if t.state != Reaching && len(t.endpoints) == 0 {
		t.setState(now, Reaching)
	}
}

func (t *Tracker) setState(now time.Time, state State) {
	if t.state == state {
		return
	}
	t.state, t.since, t.hasProbed, t.nextProbeAt = state, now, false, now.Add(t.jitter(ProbeInterval))
}

// isSuspicious reports whether failures since the last success call for probes.
func (t *Tracker) isSuspicious(now time.Time) bool {
	signs := 0
	switch {
	case !now.Before(t.holdUntil):
		signs = t.countSigns(now)
	case !now.Before(t.silentHoldUntil):
		signs = t.countSilent(now)
	}
	return signs > 0 && signs >= min(_minFailed, len(t.endpoints)) || signs > 0 && now.Sub(t.aliveAt) >= _quiet
}

// isUnanswered reports whether a request went unanswered lately, and none was answered since.
func (t *Tracker) isUnanswered(now time.Time) bool { return t.countSilent(now) > 0 }

// countSilent counts the endpoints at which a request went unanswered lately, if none was answered since.
func (t *Tracker) countSilent(now time.Time) int {
	silent := 0
	for _, e := range t.failing {
		if t.isSilent(e, now) {
			silent++
		}
	}
	return silent
}

func (t *Tracker) isSilent(e *endpoint, now time.Time) bool {
	return e.silentAt.After(now.Add(-_evidenceLifetime)) && e.silentAt.After(t.answeredAt)
}

// countSigns counts the endpoints that failed lately.
func (t *Tracker) countSigns(now time.Time) int {
	signs := 0
	for _, e := range t.failing {
		if t.hasFailed(e, now) {
			signs++
		}
	}
	return signs
}

// hasFailed reports whether an endpoint failed lately: could not be dialled since one could, or did not answer since one did.
func (t *Tracker) hasFailed(e *endpoint, now time.Time) bool {
	return e.failedAt.After(now.Add(-_evidenceLifetime)) || t.isSilent(e, now)
}

// countFailedProbes counts the endpoints that were probed since the state began and not reached.
func (t *Tracker) countFailedProbes() int {
	failed := 0
	for _, e := range t.failing {
		if t.failedProbe(e) {
			failed++
		}
	}
	return failed
}

func (t *Tracker) failedProbe(e *endpoint) bool {
	return !e.probedAt.Before(t.since) && e.probeFailedAt.After(e.probedAt)
}

// needed returns at how many endpoints probes must fail before the host takes itself for cut off.
func (t *Tracker) needed() int { return min(_allProbes, len(t.endpoints)) }

// isProbing reports whether the result of a probe is awaited.
func (t *Tracker) isProbing(now time.Time) bool {
	for _, e := range t.sorted {
		if now.Before(e.probeUntil) {
			return true
		}
	}
	return false
}

// checkOnWord begins a suspicion because another host became cut off, if nothing shows that this host is not. In which way
// the other host is cut off is not known, so probes ask for answers, unless it may just have started.
func (t *Tracker) checkOnWord(now time.Time, reachedBefore bool) {
	if t.state == Reaching && len(t.endpoints) > 0 && !now.Before(t.holdUntil) && now.Sub(t.aliveAt) >= _quiet {
		t.setState(now, Suspect)
		t.needsAnswer = reachedBefore
	}
}
