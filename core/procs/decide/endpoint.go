package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/queue"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/procs/view"
)

// endpoint is the state of one endpoint as this host knows it.
type endpoint struct {
	index   int // in the configuration, or _noIndex
	config  core.Endpoint
	service *service
	// candidateIndex is the index into the service's candidates, or _noIndex when
	// this host does not use the endpoint.
	candidateIndex int
	pool           *slots.Pool
	view           view.View
	inService      bool
	remote         bool
	running        []*request
	// unreported counts the running requests that the last report may not
	// include, and unreportedTokens the tokens of their prompts.
	unreported       int
	unreportedTokens float64
	// remaining is the number of tokens that this host's requests are expected to
	// still produce.
	remaining float64
	// otherHostsRequests estimates how many of the reported requests are of other
	// hosts.
	otherHostsRequests int
	// backoffUntil is when the endpoint gets new requests again after a failed
	// dial, and backoff is the length of the last such pause.
	backoffUntil time.Time
	backoff      time.Duration

	// The fields below are for borrowing slots from other hosts.

	// borrowTimeoutAt is when the pending request for a slot times out; zero if
	// none is pending.
	borrowTimeoutAt time.Time
	// nextBorrowAt is when the owners may be asked again after all have refused.
	nextBorrowAt   time.Time
	borrowPause    time.Duration
	borrowRefusals int
	ownerCursor    int
	// nextReleaseRequestAt is when the previous owners of quarantined slots may
	// next be asked to release them.
	nextReleaseRequestAt time.Time
	leased               bool // in Decider.leased
	awaitingRelease      bool // in Decider.awaitingRelease
}

const (
	// _minDialBackoff is how long an endpoint gets no new requests after a failed
	// dial. It doubles with each further failure until the endpoint answers.
	_minDialBackoff = 200 * time.Millisecond
	_maxDialBackoff = 5 * time.Second
	// One of every _shortReserveDivisor slots of an endpoint is reserved for
	// short requests.
	_shortReserveDivisor = 8
)

// longLimit returns how many of an endpoint's slots long requests may take.
func longLimit(limit int) int { return limit - limit/_shortReserveDivisor }

// acceptsWork reports whether an endpoint may be given new requests now.
func (d *Decider) acceptsWork(now time.Time, e *endpoint) bool {
	return d.eligible(now, e) && !now.Before(e.backoffUntil)
}

// eligible is like acceptsWork, but ignores the backoff after a failed dial.
func (d *Decider) eligible(now time.Time, e *endpoint) bool {
	return e.index >= 0 && e.inService && !e.config.Leaving && !e.view.Report.Leaving && e.view.Valid(now)
}

// slotLimit passes the endpoint's phase from its view to its pool and returns the
// limit on slots in use.
func (d *Decider) slotLimit(now time.Time, e *endpoint) int {
	e.pool.SetCold(now, e.view.Cold(now))
	return e.view.Limit(now, e.config, d.viewParams)
}

// updateCandidate recomputes an endpoint's candidate and clears the blocked state of
// its service.
func (d *Decider) updateCandidate(now time.Time, e *endpoint) {
	s := e.service
	if s == nil || e.candidateIndex < 0 {
		return
	}
	if !now.Before(e.borrowTimeoutAt) {
		e.endPendingBorrowing()
	}
	s.clearBlocked()
	c := &s.candidates[e.candidateIndex]
	limit := d.slotLimit(now, e)
	report := &e.view.Report
	s.free[queue.ClassShort] -= int(c.Free)
	s.free[queue.ClassLong] -= int(c.FreeLong)
	*c = core.Candidate{
		Open:            d.acceptsWork(now, e),
		Remote:          e.remote,
		Cold:            e.view.Cold(now),
		BorrowPending:   now.Before(e.borrowTimeoutAt) || now.Before(e.nextBorrowAt),
		Role:            c.Role,
		Free:            int32(e.pool.Free(now, limit)),
		FreeLong:        int32(e.pool.Free(now, longLimit(limit))),
		Limit:           int32(limit),
		Running:         int32(report.Running),
		Waiting:         int32(report.Waiting),
		Unreported:      int32(e.unreported),
		TotalTokens:     float32(report.TotalTokens),
		UsedTokens:      float32(float64(report.TotalTokens-report.FreeTokens) + e.unreportedTokens),
		RemainingTokens: float32(e.remaining + float64(e.otherHostsRequests)*s.meanRemaining),
	}
	s.free[queue.ClassShort] += int(c.Free)
	s.free[queue.ClassLong] += int(c.FreeLong)
	due := e.view.NextChange(now, e.config, d.viewParams)
	due = earlier(due, e.pool.NextExpiry())
	for _, at := range []time.Time{e.backoffUntil, e.borrowTimeoutAt, e.nextBorrowAt} {
		if now.Before(at) {
			due = earlier(due, at)
		}
	}
	s.refreshAt = earlier(s.refreshAt, due)
}

// clearBlocked lets the heads of both classes be tried again.
func (s *service) clearBlocked() {
	s.blocked = [queue.Classes]bool{}
	s.nothingToBorrow = [queue.Classes]bool{}
}

// refreshCandidates recomputes all candidates of a service when refreshAt has
// passed.
func (d *Decider) refreshCandidates(now time.Time, s *service) {
	if s.refreshAt.IsZero() || now.Before(s.refreshAt) {
		return
	}
	s.refreshAt = time.Time{}
	for _, e := range s.endpoints {
		d.updateCandidate(now, e)
	}
	if d.roles != nil {
		d.assignRoles(now, s)
	}
}

// backOff keeps new requests away from an endpoint for a while after a failed dial.
// Failures of dials that were in progress when the pause began do not extend it.
func (e *endpoint) backOff(now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	e.backoff = min(max(2*e.backoff, _minDialBackoff), _maxDialBackoff)
	e.backoffUntil = now.Add(e.backoff)
}

// resetBackoff ends the backoff after the endpoint has answered.
func (e *endpoint) resetBackoff() {
	e.backoff = 0
	e.backoffUntil = time.Time{}
}
