package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/queue"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/procs/view"
)

// endpoint is one back end with all that this host knows of it.
type endpoint struct {
	index   int // in the configuration, or _removed
	config  core.Endpoint
	service *service
	// place is the position in the service's candidates, or -1 when this host
	// does not deal with the endpoint.
	place     int
	pool      *slots.Pool
	view      view.View
	inService bool
	remote    bool
	running   []*request
	// unreported counts the running requests that the last report may lack,
	// with their prompts.
	unreported       int
	unreportedTokens float64
	// remaining is what this host's requests are expected to produce still.
	remaining float64
	// foreign counts the reported requests of other hosts.
	foreign int
	// blockedUntil keeps new work away after a failed dial, and blockPause is
	// the next such pause.
	blockedUntil time.Time
	blockPause   time.Duration

	// What follows is about asking owners for slots.

	// pendingUntil is when the question now on its way is forgotten.
	pendingUntil time.Time
	// askAt is when owners may be asked again after all refused.
	askAt    time.Time
	askPause time.Duration
	refusals int
	cursor   int
	// releaseAt is when the former owners of shut slots are asked next.
	releaseAt time.Time
	leased    bool
	gaining   bool
}

const (
	// _blockPause is how long an endpoint is left alone after a failed dial; it
	// doubles until a dial succeeds.
	_blockPause       = 200 * time.Millisecond
	_blockPauseAtMost = 5 * time.Second
	// _longReserve is the part of an endpoint's slots that only short requests
	// take: one in so many.
	_longReserve = 8
)

// longLimit is the number of slots that long requests may take.
func longLimit(limit int) int { return limit - limit/_longReserve }

// open tells whether an endpoint takes new work at this moment.
func (d *Decider) open(now time.Time, e *endpoint) bool {
	return d.serves(now, e) && !now.Before(e.blockedUntil)
}

// serves tells whether an endpoint takes new work at all, if not at this moment.
func (d *Decider) serves(now time.Time, e *endpoint) bool {
	return e.index >= 0 && e.inService && !e.config.Leaving && !e.view.Report.Leaving && e.view.Valid(now)
}

// limit brings the pool's phase up to the view's and gives the slot limit.
func (d *Decider) limit(now time.Time, e *endpoint) int {
	e.pool.SetCold(now, e.view.Cold(now))
	return e.view.Limit(now, e.config, d.viewTerms)
}

// update brings an endpoint's candidate up to date and lets waiting requests
// look again.
func (d *Decider) update(now time.Time, e *endpoint) {
	s := e.service
	if s == nil || e.place < 0 {
		return
	}
	if !now.Before(e.pendingUntil) {
		e.answered()
	}
	s.lookAgain()
	c := &s.candidates[e.place]
	limit := d.limit(now, e)
	report := &e.view.Report
	s.free[queue.ClassShort] -= int(c.Free)
	s.free[queue.ClassLong] -= int(c.FreeLong)
	*c = core.Candidate{
		Open:            d.open(now, e),
		Remote:          e.remote,
		Cold:            e.view.Cold(now),
		Asking:          now.Before(e.pendingUntil) || now.Before(e.askAt),
		Role:            c.Role,
		Free:            int32(e.pool.Free(now, limit)),
		FreeLong:        int32(e.pool.Free(now, longLimit(limit))),
		Limit:           int32(limit),
		Running:         int32(report.Running),
		Waiting:         int32(report.Waiting),
		Unreported:      int32(e.unreported),
		TotalTokens:     float32(report.TotalTokens),
		UsedTokens:      float32(float64(report.TotalTokens-report.FreeTokens) + e.unreportedTokens),
		RemainingTokens: float32(e.remaining + float64(e.foreign)*s.residual),
	}
	s.free[queue.ClassShort] += int(c.Free)
	s.free[queue.ClassLong] += int(c.FreeLong)
	due := e.view.NextChange(now, e.config, d.viewTerms)
	due = earlier(due, e.pool.NextExpiry())
	for _, at := range []time.Time{e.blockedUntil, e.pendingUntil, e.askAt} {
		if now.Before(at) {
			due = earlier(due, at)
		}
	}
	s.dueAt = earlier(s.dueAt, due)
}

// lookAgain lets the heads of both classes be looked at again.
func (s *service) lookAgain() {
	s.blocked = [queue.Classes]bool{}
	s.unwanted = [queue.Classes]bool{}
}

// refresh updates all candidates of a service when one has changed by itself.
func (d *Decider) refresh(now time.Time, s *service) {
	if s.dueAt.IsZero() || now.Before(s.dueAt) {
		return
	}
	s.dueAt = time.Time{}
	for _, e := range s.endpoints {
		d.update(now, e)
	}
	if d.roles != nil {
		d.separate(now, s)
	}
}

// block leaves an endpoint alone for a while after a failed dial. Dials that were
// on their way when the pause began tell nothing new.
func (e *endpoint) block(now time.Time) {
	if now.Before(e.blockedUntil) {
		return
	}
	e.blockPause = min(max(2*e.blockPause, _blockPause), _blockPauseAtMost)
	e.blockedUntil = now.Add(e.blockPause)
}

// unblock takes in that the endpoint answered.
func (e *endpoint) unblock() {
	e.blockPause = 0
	e.blockedUntil = time.Time{}
}
