package front

import (
	"context"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/mutex"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
)

// SharedPlacer gives the goroutines of requests access to one placer and the line of those that
// wait for it. It is safe for concurrent use.
type SharedPlacer struct {
	mu     sync.Mutex
	placer *place.Placer
	line   *await.Line
	// endpointsChanged is closed and replaced when a view is applied and when endpoints
	// are newly recorded as leaving.
	endpointsChanged chan struct{}
	// turnTimer fires at turnAt, the next time at which a waiting request may be
	// granted.
	turnTimer *time.Timer
	turnAt    time.Time
}

// NewSharedPlacer wraps a placer and its line, which must not be used directly afterwards.
func NewSharedPlacer(placer *place.Placer, line *await.Line) *SharedPlacer {
	return &SharedPlacer{placer: placer, line: line, endpointsChanged: make(chan struct{})}
}

// Update calls f with the placer, and afterwards grants the waiting requests for which
// there is room.
func (s *SharedPlacer) Update(f func(*place.Placer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.placer)
	s.grantWaiting()
}

// WithLock calls f with the placer. Waiting requests are not granted afterwards, so f
// must change nothing that they depend on.
func (s *SharedPlacer) WithLock(f func(*place.Placer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.placer)
}

// WithLine calls f with the line of those that wait.
func (s *SharedPlacer) WithLine(f func(*await.Line)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.line)
}

// grantWaiting grants the waiting requests for which there is room. It schedules itself
// again for the time at which the next waiting request has its turn; see
// await.Line.GrantWaiting for the turns. The caller holds the lock.
func (s *SharedPlacer) grantWaiting() {
	s.line.GrantWaiting(time.Now())
	next := s.line.NextTurn()
	if next.IsZero() || next.Equal(s.turnAt) {
		return
	}
	s.turnAt = next
	if s.turnTimer != nil {
		s.turnTimer.Stop()
	}
	s.turnTimer = time.AfterFunc(time.Until(next), func() { s.Update(func(*place.Placer) {}) })
}

// Apply applies a view to the placer.
func (s *SharedPlacer) Apply(view *know.View) {
	s.Update(func(p *place.Placer) {
		p.Apply(view)
		p.RecordDepartures(time.Now())
		close(s.endpointsChanged)
		s.endpointsChanged = make(chan struct{})
	})
}

// RecordLeaving records endpoints that are leaving as another host says, or that refuse
// connections. It returns true if any of them was not yet known to be leaving.
func (s *SharedPlacer) RecordLeaving(keys ...core.EndpointKey) bool {
	return s.updateLeaving(func(p *place.Placer) bool {
		isNew := false
		for _, key := range keys {
			isNew = p.MarkLeaving(key) || isNew
		}
		return isNew
	})
}

// NoteLeaving records that an endpoint said to this host that it is leaving. It returns true
// if that was not known.
func (s *SharedPlacer) NoteLeaving(key core.EndpointKey) bool {
	return s.updateLeaving(func(p *place.Placer) bool { return p.NoteLeaving(key) })
}

// updateLeaving calls record and, if it returns true, tells those that wait for a change of
// the endpoints.
func (s *SharedPlacer) updateLeaving(record func(*place.Placer) bool) bool {
	isNew := false
	s.Update(func(p *place.Placer) {
		isNew = record(p)
		if isNew {
			p.RecordDepartures(time.Now())
			close(s.endpointsChanged)
			s.endpointsChanged = make(chan struct{})
		}
	})
	return isNew
}

// CloseUntil records that an endpoint asked this host for no requests until a time. It returns
// true if that is later than known before.
func (s *SharedPlacer) CloseUntil(key core.EndpointKey, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.CloseUntil(key, until)
}

// RecordRateLimit records what an endpoint said of its rate limit; see
// place.Placer.RecordRateLimit.
func (s *SharedPlacer) RecordRateLimit(key core.EndpointKey, limit place.RateLimit) (before place.RateLimit, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.RecordRateLimit(time.Now(), key, limit)
}

// RecordBrittleness records what an endpoint said of how many requests it can turn away; see
// place.Placer.RecordBrittleness.
func (s *SharedPlacer) RecordBrittleness(key core.EndpointKey, said place.Brittleness) (before place.Brittleness, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.RecordBrittleness(time.Now(), key, said)
}

// RecordTurnedAway records that an endpoint turned a request away for want of room; see
// place.Placer.RecordTurnedAway.
func (s *SharedPlacer) RecordTurnedAway(key core.EndpointKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.RecordTurnedAway(time.Now(), key)
}

// opensAt returns when the first endpoint accepts a request if all asked for none; zero
// otherwise.
func (s *SharedPlacer) opensAt(spec *place.Spec) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.OpensAt(time.Now(), spec)
}

// nextChange returns a channel that is closed at the next change of the endpoints.
func (s *SharedPlacer) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointsChanged
}

// leavingFor returns how long this host has known that a run's endpoint is leaving or gone.
func (s *SharedPlacer) leavingFor(run *place.Run) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.LeavingFor(time.Now(), run)
}

// endpointLeaving reports whether a run's endpoint is leaving, gone or unconfirmed.
func (s *SharedPlacer) endpointLeaving(run *place.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.EndpointLeaving(run)
}

// place places a request and waits for room as long as the placer says. The verdict is
// Placed or the reason why there is no run. The wait also ends when cutOff is closed.
func (s *SharedPlacer) place(ctx context.Context, spec *place.Spec, cutOff <-chan struct{}) (*place.Run, place.Verdict) {
	now := time.Now()
	granted := make(chan *place.Run, 1)
	waiter := &await.Waiter{Spec: spec, Since: now, Granted: func(run *place.Run) { granted <- run }}
	run, verdict, deadline := s.placeOrEnqueue(now, waiter)
	if deadline.IsZero() {
		return run, verdict
	}
	timer := time.NewTimer(deadline.Sub(now))
	defer timer.Stop()
	select {
	case run := <-granted:
		return grantedRun(run)
	case <-timer.C:
	case <-cutOff:
	case <-ctx.Done():
	}
	withdrawn := mutex.Get(&s.mu, func() bool { return s.line.GiveUp(time.Now(), waiter) })
	if withdrawn {
		return nil, verdict
	}
	return grantedRun(<-granted)
}

// placeOrEnqueue places a waiter's request, or has it wait until a deadline, which is zero if it is placed or not worth
// waiting for.
func (s *SharedPlacer) placeOrEnqueue(now time.Time, waiter *await.Waiter) (run *place.Run, verdict place.Verdict, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	deadline = s.line.WaitUntil(now, waiter.Spec)
	run, verdict = s.line.Place(now, waiter.Spec)
	if verdict == place.Placed || !now.Before(deadline) || !s.line.MayBePlacedBy(now, waiter.Spec, deadline) {
		return run, verdict, time.Time{}
	}
	s.line.Enqueue(waiter)
	return run, verdict, deadline
}

func grantedRun(run *place.Run) (*place.Run, place.Verdict) {
	if run == nil {
		return nil, place.NoEndpoint
	}
	return run, place.Placed
}

// placeNow places a request if there is room now, and returns nil otherwise.
func (s *SharedPlacer) placeNow(spec *place.Spec) *place.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run, _ := s.line.Place(time.Now(), spec)
	return run
}

func (s *SharedPlacer) placeBackup(spec *place.Spec) *place.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.PlaceBackup(time.Now(), spec)
}

func (s *SharedPlacer) placeMigration(spec *place.Spec) *place.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.PlaceMigration(time.Now(), spec)
}

func (s *SharedPlacer) usable(key core.EndpointKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Usable(time.Now(), key)
}

func (s *SharedPlacer) isRateLimited(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.IsRateLimited(time.Now(), id)
}

func (s *SharedPlacer) placeOn(key core.EndpointKey, request *core.RoutedRequest) (*place.Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.PlaceOn(time.Now(), key, request)
}

// recordArrival records that a request arrived, and completes it by when its caller first asked. One that
// another host relays counts in the retry budget of that host.
func (s *SharedPlacer) recordArrival(request *core.RoutedRequest, isRelayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !isRelayed {
		s.placer.CountRequest(now, request.Service)
	}
	s.line.RecordArrival(now, request)
}

// room returns what is known of the room for a request.
func (s *SharedPlacer) room(spec *place.Spec) await.Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.Room(time.Now(), spec)
}

// reading returns which engines a request's prompt may be sent to.
func (s *SharedPlacer) reading(spec *place.Spec) place.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Reading(time.Now(), spec)
}

// comeBackAt returns when the caller of a request that found no room should ask again.
func (s *SharedPlacer) comeBackAt(request *core.RoutedRequest) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.ComeBackAt(time.Now(), request)
}

func (s *SharedPlacer) allowRetry(service core.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.AllowRetry(time.Now(), service)
}

func (s *SharedPlacer) hasRetry(service core.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.HasRetry(time.Now(), service)
}

func (s *SharedPlacer) recordPrefillDone(run *place.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.RecordPrefillDone(time.Now(), run)
	s.grantWaiting()
}

func (s *SharedPlacer) forgetPrefill(run *place.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.ForgetPrefill(run)
	s.grantWaiting()
}

// end ends a run and records its outcome for the endpoint. An outcome of 0 is not
// recorded.
func (s *SharedPlacer) end(run *place.Run, outcome place.Outcome) {
	if run == nil {
		return
	}
	s.Update(func(p *place.Placer) {
		now := time.Now()
		if outcome != 0 {
			p.RecordOutcome(now, run, outcome)
		}
		if outcome == 0 || outcome == place.Unreachable {
			p.RecordUnanswered(now, run)
		}
		p.End(run)
	})
}

func (s *SharedPlacer) recordOutputLength(request *core.RoutedRequest, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.RecordOutputLength(request, tokens)
}

// recordPause records the time between two events that a run brought one after the other.
func (s *SharedPlacer) recordPause(run *place.Run, request *core.RoutedRequest, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.RecordPause(time.Now(), run, request, took)
}

// pace returns what is known of the pace of a run's engine.
func (s *SharedPlacer) pace(run *place.Run, request *core.RoutedRequest) place.Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.Pace(time.Now(), run, request)
}
