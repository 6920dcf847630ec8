package front

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/reach"
)

// _answerInterval is how often answers of endpoints are recorded. They are frequent, and only the time
// of the latest matters.
const _answerInterval = 100 * time.Millisecond

const (
	// _suspicionTime is the time after which the end of a connection is taken for the endpoint's if no other sign of a cut has
	// come: connections that a cut resets end within milliseconds of each other.
	_suspicionTime = 30 * time.Millisecond
	// _maxSuspicion is the time after which a suspicion must have ended: two rounds of probes.
	_maxSuspicion = 2 * time.Second
	// _touchPoll is how often it is checked whether this host is in touch with endpoints.
	_touchPoll = 5 * time.Millisecond
)

// SharedReach gives the goroutines of requests access to one reach.Tracker. It is safe for concurrent
// use. A nil SharedReach is that of a host that always reaches the endpoints and relays nothing.
type SharedReach struct {
	// changed is called after each change of the state, without the lock.
	changed func(before, now reach.State, lasted time.Duration)
	// state is the state after the last call of the tracker.
	state atomic.Uint32
	// answeredAt is when an answer was last recorded, in nanoseconds.
	answeredAt atomic.Int64
	// cutOff is closed when the host becomes cut off, or so does the last one that could help, and replaced afterwards.
	cutOff atomic.Pointer[chan struct{}]
	// due receives when probes may be due.
	due chan struct{}

	mu      sync.Mutex
	tracker *reach.Tracker
	since   time.Time

	// watchMu guards watches: the tries that are told when the host becomes cut off. It is not held while mu is taken.
	watchMu sync.Mutex
	watches map[*cutOffWatch]struct{}
}

// cutOffWatch has becameCutOff called when the host becomes cut off.
type cutOffWatch struct{ becameCutOff func() }

// NewSharedReach wraps a tracker, which must not be used directly afterwards.
func NewSharedReach(tracker *reach.Tracker, changed func(before, now reach.State, lasted time.Duration)) *SharedReach {
	s := &SharedReach{changed: changed, tracker: tracker, due: make(chan struct{}, 1), since: time.Now(), watches: make(map[*cutOffWatch]struct{})}
	s.state.Store(uint32(reach.Reaching))
	s.renewCutOff()
	return s
}

func (s *SharedReach) renewCutOff() {
	signal := make(chan struct{})
	s.cutOff.Store(&signal)
}

// update calls f with the tracker and reports a change of the state.
func (s *SharedReach) update(f func(t *reach.Tracker, now time.Time)) {
	before, state, lasted := s.updateState(f)
	if before == state {
		return
	}
	s.changed(before, state, lasted)
	if state == reach.CutOff {
		s.tellWatches()
	}
}

func (s *SharedReach) tellWatches() {
	watches := mutex.Get(&s.watchMu, func() []*cutOffWatch { return slices.Collect(maps.Keys(s.watches)) })
	for _, w := range watches {
		w.becameCutOff()
	}
}

// watchCutOff has a function called when the host becomes cut off, until stop is called. A call may still be under way
// then.
func (s *SharedReach) watchCutOff(becameCutOff func()) (stop func()) {
	if s == nil {
		return func() {}
	}
	w := &cutOffWatch{becameCutOff: becameCutOff}
	s.watchMu.Lock()
	defer s.watchMu.Unlock()
	s.watches[w] = struct{}{}
	return func() {
		s.watchMu.Lock()
		defer s.watchMu.Unlock()
		delete(s.watches, w)
	}
}

// updateState returns the state before and after f, and how long the former had lasted.
func (s *SharedReach) updateState(f func(t *reach.Tracker, now time.Time)) (before, state reach.State, lasted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	f(s.tracker, now)
	before, state, lasted = s.State(), s.tracker.State(now), now.Sub(s.since)
	if before == state {
		return before, state, lasted
	}
	s.state.Store(uint32(state))
	s.since = now
	s.signalDue()
	if state == reach.CutOff {
		close(*s.cutOff.Load())
		s.renewCutOff()
	}
	return before, state, lasted
}

// State returns whether the host reaches the endpoints.
func (s *SharedReach) State() reach.State {
	if s == nil {
		return reach.Reaching
	}
	return reach.State(s.state.Load())
}

// nextCutOff returns a channel that is closed when the host becomes cut off, or the last one that could help it.
func (s *SharedReach) nextCutOff() <-chan struct{} {
	if s == nil {
		return nil
	}
	return *s.cutOff.Load()
}

// Due returns a channel that receives when probes may be due: when a dial or a probe failed or the state changed.
func (s *SharedReach) Due() <-chan struct{} { return s.due }

func (s *SharedReach) signalDue() {
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// Tick lets time pass. It is to be called several times a second: without it the process counts as
// suspended.
func (s *SharedReach) Tick() { s.update(func(*reach.Tracker, time.Time) {}) }

// SetEndpoints sets the endpoints of a view, except those that are leaving.
func (s *SharedReach) SetEndpoints(view *know.View, leaving []core.EndpointKey) {
	left := make(map[core.EndpointKey]bool, len(leaving))
	for _, key := range leaving {
		left[key] = true
	}
	var keys []core.EndpointKey
	for _, e := range view.Endpoints {
		if key := e.Key(); !e.Draining && !left[key] {
			keys = append(keys, key)
		}
	}
	s.update(func(t *reach.Tracker, now time.Time) { t.SetEndpoints(now, keys) })
}

// RecordDial records the result of opening a connection to an endpoint.
func (s *SharedReach) RecordDial(endpoint core.RoutedEndpoint, err error) {
	s.update(func(t *reach.Tracker, now time.Time) { t.RecordDial(now, endpoint.Key(), err == nil) })
	if err != nil {
		s.signalDue()
	}
}

// RecordAnswer records that the head of an answer arrived from an endpoint.
func (s *SharedReach) RecordAnswer(endpoint core.RoutedEndpoint) {
	now, last := time.Now().UnixNano(), s.answeredAt.Load()
	if now-last < int64(_answerInterval) || !s.answeredAt.CompareAndSwap(last, now) {
		return
	}
	s.update(func(t *reach.Tracker, now time.Time) { t.RecordAnswer(now, endpoint.Key()) })
}

// awaitTouch waits for at most limit until it is known whether this host has been in touch with endpoints since a moment: one has
// answered, or nothing made the host suspect a cut for some time.
func (s *SharedReach) awaitTouch(since time.Time, limit time.Duration) (known, inTouch bool) {
	for deadline := time.Now().Add(limit); ; time.Sleep(_touchPoll) {
		known, inTouch = s.inTouch(since)
		if known || time.Now().After(deadline) {
			return known, inTouch
		}
	}
}

func (s *SharedReach) inTouch(since time.Time) (known, inTouch bool) {
	switch {
	case s == nil:
		return true, true
	case s.State() == reach.CutOff:
		return true, false
	case s.State() == reach.Suspect:
		return false, false
	default:
		inTouch = s.answeredAt.Load() > since.UnixNano() || time.Since(since) >= _suspicionTime
		return inTouch, inTouch
	}
}

// RecordUnanswered records that a request that was sent to an endpoint got no answer.
func (s *SharedReach) RecordUnanswered(endpoint core.RoutedEndpoint) {
	if s == nil {
		return
	}
	s.update(func(t *reach.Tracker, now time.Time) { t.RecordSilence(now, endpoint.Key()) })
	s.answeredAt.Store(0) // the next answer counts
}

// DueProbes returns what is to be probed now.
func (s *SharedReach) DueProbes() (probes []reach.Probe) {
	s.update(func(t *reach.Tracker, now time.Time) { probes = t.DueProbes(now) })
	return probes
}

// RecordProbe records the result of a probe that asked for an answer.
func (s *SharedReach) RecordProbe(endpoint core.RoutedEndpoint, err error) {
	s.update(func(t *reach.Tracker, now time.Time) { t.RecordProbe(now, endpoint.Key(), err == nil) })
	if err != nil {
		s.signalDue()
	}
}

// RecordHost records what another host said of itself.
func (s *SharedReach) RecordHost(host reach.Host) {
	s.update(func(t *reach.Tracker, now time.Time) { t.RecordHost(now, host) })
	if !host.Reaches && s.isWithoutHelp() {
		s.endWaits()
	}
}

// endWaits ends the waits of requests that no host can serve.
func (s *SharedReach) endWaits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(*s.cutOff.Load())
	s.renewCutOff()
}

// ReachesForOthers reports whether this host can serve the requests of hosts that are cut off.
func (s *SharedReach) ReachesForOthers() (reaches bool) {
	s.update(func(t *reach.Tracker, now time.Time) { reaches = t.ReachesForOthers(now) })
	return reaches
}

// pickHost returns a host to relay a request to. endRelay must be called once for it.
func (s *SharedReach) pickHost(exclude []core.HostName) (host reach.Host, ok bool) {
	s.update(func(t *reach.Tracker, now time.Time) { host, ok = t.PickHost(now, exclude) })
	return host, ok
}

// pickReaching returns up to n other hosts that say that they reach endpoints.
func (s *SharedReach) pickReaching(n int) (hosts []reach.Host) {
	if s == nil {
		return nil
	}
	s.update(func(t *reach.Tracker, now time.Time) { hosts = t.PickReaching(now, n) })
	return hosts
}

// isWithoutHelp reports whether neither this host nor, as far as it knows, another one can reach an endpoint.
func (s *SharedReach) isWithoutHelp() bool {
	if s.State() != reach.CutOff {
		return false
	}
	hasHelp := false
	s.update(func(t *reach.Tracker, now time.Time) { hasHelp = t.HasHelp(now) })
	return !hasHelp
}

func (s *SharedReach) endRelay(host core.HostName, outcome reach.RelayOutcome) {
	s.update(func(t *reach.Tracker, now time.Time) { t.EndRelay(now, host, outcome) })
}

// acceptRelayed reports whether this host serves a request for another one. If so, endRelayed must be
// called once.
func (s *SharedReach) acceptRelayed(from core.HostName, ownRunning int) (accepted bool) {
	if s == nil {
		return false
	}
	s.update(func(t *reach.Tracker, now time.Time) { accepted = t.AcceptRelayed(now, from, ownRunning) })
	return accepted
}

func (s *SharedReach) endRelayed(from core.HostName) {
	s.update(func(t *reach.Tracker, _ time.Time) { t.EndRelayed(from) })
}
