package place_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/place"
)

// The bounds of an endpoint that names a rate limit: in any _rateWindow it gets at most
// _rateFactor times what the limit allows and _rateExtra requests more.
const (
	_rateWindow = 4 * time.Second
	_rateFactor = 1.5
	_rateExtra  = 5
)

var _deskKey = core.EndpointKey{ID: "desk-0"}

func named(perSecond float64, at time.Time) place.RateLimit {
	return place.RateLimit{PerSecond: perSecond, IsNamed: true, SaidAt: at}
}

// newLimitedHosts returns hosts that know of each other and of an endpoint that named a rate
// limit at _start.
func newLimitedHosts(t *testing.T, n int, perSecond float64, seed uint64) []*site {
	t.Helper()
	hosts := make([]*site, n)
	for i := range hosts {
		s := newSite(t, 0, 1)
		s.Placer = place.New(core.HostName(fmt.Sprint("host-", i)), "a", _bounds, newRandom(seed*1000+uint64(i)))
		s.SetHosts(_start.Add(-time.Minute), n)
		s.Apply(s.view)
		s.RecordRateLimit(_start, _deskKey, named(perSecond, _start))
		hosts[i] = s
	}
	return hosts
}

// mostInWindow returns the highest number of arrivals in any _rateWindow.
func mostInWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= _rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// However many hosts there are, together they send an endpoint no more than the limit that
// it named, and not more in any window than the users' bound.
func TestNamedLimitHoldsForAllHostsTogether(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 13, 90, 360} {
		for _, perSecond := range []float64{0, 0.5, 3, 3.6, 12, 50} {
			t.Run(fmt.Sprintf("%d hosts, %v per second", hosts, perSecond), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					checkNamedLimit(t, hosts, perSecond, seed)
				}
			})
		}
	}
}

func checkNamedLimit(t *testing.T, hosts int, perSecond float64, seed uint64) {
	t.Helper()
	const duration, step = time.Minute, 50 * time.Millisecond
	placers := newLimitedHosts(t, hosts, perSecond, seed)
	var arrivals []time.Time
	for at := _start; at.Before(_start.Add(duration)); at = at.Add(step) {
		for _, s := range placers {
			run, verdict := s.Place(at, order())
			if verdict == place.Placed {
				s.End(run)
				arrivals = append(arrivals, at)
				s.RecordRateLimit(at, _deskKey, named(perSecond, at))
			}
		}
	}
	allowed := int(_rateFactor*perSecond*_rateWindow.Seconds()) + _rateExtra
	most, rate := mostInWindow(arrivals), float64(len(arrivals))/duration.Seconds()
	t.Logf("seed %d: %.2f requests per second, %d in the busiest window of %d allowed", seed, rate, most, allowed)
	if most > allowed {
		t.Errorf("seed %d: %d requests in %v, want at most %d", seed, most, _rateWindow, allowed)
	}
	if perSecond >= 3 && rate > perSecond {
		t.Errorf("seed %d: %.2f requests per second, want at most %v", seed, rate, perSecond)
	}
	if perSecond >= 3 && len(arrivals) == 0 {
		t.Errorf("seed %d: no request was sent", seed)
	}
}

// A rate limit ends when the endpoint names none in a later answer, and only then; an earlier
// answer that arrives late changes nothing.
func TestNamedLimitEndsWithTheAnswersThatNameIt(t *testing.T) {
	s := newLimitedHosts(t, 1, 0.5, 1)[0]
	if _, changed := s.RecordRateLimit(after(time.Second), _deskKey, place.RateLimit{SaidAt: after(-time.Second)}); changed {
		t.Error("an answer from before ended the limit")
	}
	if n := placedWithin(s, time.Second, 0); n > 1 {
		t.Errorf("%d requests in a second, want at most one", n)
	}
	if _, changed := s.RecordRateLimit(after(2*time.Second), _deskKey, place.RateLimit{SaidAt: after(2 * time.Second)}); !changed {
		t.Error("an answer without a limit did not end it")
	}
	if n := placedWithin(s, time.Second, 2*time.Second); n != 100 {
		t.Errorf("%d requests were placed after the limit ended, want 100", n)
	}
}

// placedWithin tries to place 100 requests within a duration, from an offset on, and returns how
// many were placed.
func placedWithin(s *site, duration, offset time.Duration) int {
	n := 0
	for i := range 100 {
		if run, verdict := s.Place(after(offset+duration*time.Duration(i)/100), order()); verdict == place.Placed {
			s.End(run)
			n++
		}
	}
	return n
}

// A new incarnation of an endpoint has named no limit.
func TestNamedLimitHoldsForOneIncarnation(t *testing.T) {
	s := newLimitedHosts(t, 1, 0.5, 1)[0]
	s.change("desk-0", func(e *know.Endpoint) { e.Born = _start.Add(time.Second) })
	if n := placedWithin(s, time.Second, 2*time.Second); n != 100 {
		t.Errorf("%d of 100 requests were placed on the new incarnation", n)
	}
	if _, changed := s.RecordRateLimit(after(3*time.Second), _deskKey, named(1, after(3*time.Second))); changed {
		t.Error("the limit of the earlier incarnation was recorded for the new one")
	}
}

// A limit so high that the time between two permits came out as 0 s ended the placing of requests with a division by zero.
func TestPermitsOfAnyNamedLimitCanBeCounted(t *testing.T) {
	for _, perSecond := range []float64{0, 1e-300, 1e-9, 1, 1e6, 1e9, 5e9, 1e10, 1e19, math.MaxFloat64} {
		for _, hosts := range []int{1, 3, 360} {
			s := newLimitedHosts(t, hosts, perSecond, 1)[0]
			permits, unlimited := s.PermitsUntil(_start, order(), _start.Add(time.Second))
			if unlimited || permits < 0 {
				t.Errorf("limit %g, %d hosts: %d permits, unlimited %v", perSecond, hosts, permits, unlimited)
			}
			run, verdict := s.Place(_start.Add(time.Second), order())
			if perSecond >= 1e6 && verdict != place.Placed {
				t.Errorf("limit %g, %d hosts: verdict %v after a second, want a run", perSecond, hosts, verdict)
			}
			s.End(run)
		}
	}
}

// Requests beyond the permits until their deadline are not worth waiting for.
func TestRequestsThatNoPermitCanServeDoNotWait(t *testing.T) {
	s := newLimitedHosts(t, 2, 4, 1)[0] // a permit each second
	now := _start
	for ; ; now = now.Add(10 * time.Millisecond) {
		if run, verdict := s.Place(now, order()); verdict == place.Placed {
			s.End(run)
			break
		}
	}
	line := newLine(s)
	if line.MayBePlacedBy(now, order(), now.Add(300*time.Millisecond)) {
		t.Error("a request is to wait 300 ms for a permit that comes in a second")
	}
	deadline := now.Add(1100 * time.Millisecond)
	if !line.MayBePlacedBy(now, order(), deadline) {
		t.Error("a request is not to wait although a permit comes before its deadline")
	}
	granted := 0
	line.Enqueue(&await.Waiter{Spec: order(), Granted: func(run *place.Run) { granted++; s.End(run) }})
	if line.MayBePlacedBy(now, order(), deadline) {
		t.Error("a second request is to wait for the only permit before its deadline")
	}
	line.GrantWaiting(now)
	next := line.NextTurn()
	if granted > 0 || next.IsZero() || next.After(deadline) {
		t.Fatalf("%d requests were granted at once, the next is due %v", granted, next)
	}
	if line.GrantWaiting(next); granted != 1 {
		t.Error("the waiting request was not granted when its permit was due")
	}
}

// A copy is not put on an engine with a rate limit, and a run continues there only with a
// permit.
func TestCopiesAvoidNamedLimits(t *testing.T) {
	s := newSite(t, 2, 0)
	s.SetHosts(_start.Add(-time.Minute), 2)
	s.RecordRateLimit(_start, core.EndpointKey{ID: "engine-0"}, named(0.1, _start))
	for range 20 {
		run := s.PlaceBackup(_start, draft())
		if run == nil || run.Endpoint.ID != "engine-1" {
			t.Fatalf("backup %v, want one on the engine without a limit", run)
		}
		s.End(run)
	}
	if !s.IsRateLimited(_start, "engine-0") || s.IsRateLimited(_start, "engine-1") {
		t.Error("want a rate limit on the first engine only")
	}
	if _, ok := s.PlaceOn(_start, core.EndpointKey{ID: "engine-0"}, &draft().Request); ok {
		t.Error("a run continues on the engine without a permit")
	}
}

// Other hosts are told of changes for a while, and a host that just started of all limits.
func TestNamedLimitsAreReported(t *testing.T) {
	s := newLimitedHosts(t, 2, 3, 1)[0]
	if n := len(s.RateLimits(_start, false)); n != 1 {
		t.Errorf("%d limits are reported after a change, want 1", n)
	}
	later := after(20 * time.Second)
	if n := len(s.RateLimits(later, false)); n != 0 {
		t.Errorf("%d limits are reported long after the change, want none", n)
	}
	if n := len(s.RateLimits(later, true)); n != 1 {
		t.Errorf("%d limits are reported to a new host, want 1", n)
	}
	if n := len(s.RateLimits(after(time.Hour), true)); n != 0 {
		t.Errorf("%d limits are reported that have expired", n)
	}
}
