package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/length"
	"apricotproxy/core/procs/queue"
)

// state is the stage that a request has reached.
type state uint8

const (
	stateWaiting    state = iota // in the queue
	stateDelayed                 // in the pause before a retry
	statePlaced                  // on an endpoint, not yet confirmed
	stateDispatched              // confirmed; may have been sent to the endpoint
)

// request is the state of one request from its arrival to its end.
type request struct {
	core.Request
	item      queue.Item[*request]
	service   *service
	state     state
	placement core.Placement
	endpoint  *endpoint
	try       int
	tokens    int
	// expected is the number of output tokens that were expected on arrival, and
	// remaining the request's part of endpoint.remaining.
	expected  float64
	remaining float64
	// dispatchedAt is when the placement was made and, after Confirm, when it was
	// confirmed.
	dispatchedAt time.Time
	notBefore    time.Time
	// unreported is true while the endpoint's last report may not include the
	// request.
	unreported bool
	// mayHaveRun is true once a try was lost that may have run. The request can
	// then no longer be refused as NotRun.
	mayHaveRun bool
	// charged is true from when a retry is taken from the budget until it is
	// placed.
	charged bool
	// avoid is the endpoint that last failed the request.
	avoid    *endpoint
	nextFree *request // in the list d.freeRequests
}

// _shortTokens is the expected output up to which a request counts as short.
const _shortTokens = 64

// newRequest adds a request. It reuses the memory of an ended one if there is any.
func (d *Decider) newRequest(submitted *core.Request) *request {
	r := d.freeRequests
	if r == nil {
		r = &request{}
	} else {
		d.freeRequests = r.nextFree
	}
	*r = request{Request: *submitted}
	d.requests[r.ID] = r
	return r
}

// removeRequest removes a request that has ended and keeps its memory for reuse.
func (d *Decider) removeRequest(r *request) {
	delete(d.requests, r.ID)
	*r = request{nextFree: d.freeRequests}
	d.freeRequests = r
}

// Submit adds a request, which is queued or refused.
func (d *Decider) Submit(now time.Time, submitted core.Request) core.Actions {
	d.begin(now)
	r := d.newRequest(&submitted)
	if r.Arrived.IsZero() {
		r.Arrived = now
	}
	if r.QueueDeadline.IsZero() && d.config.Limits.QueueTimeout > 0 {
		r.QueueDeadline = r.Arrived.Add(d.config.Limits.QueueTimeout)
	}
	r.service = d.byService[submitted.Service]
	switch {
	case d.draining || d.superseded:
		d.refuseStopped(now, r)
	case r.service == nil:
		d.refuse(r, core.CauseUnknownName, "the configuration has no service "+string(submitted.Service), time.Time{})
	case !d.hasActiveEndpoint(r.service):
		d.refuse(r, core.CauseNoEndpoint, _noEndpointDetail, now.Add(_noEndpointRetryAfter))
	default:
		d.budget.Deposit()
		d.classify(r)
		d.enqueue(now, r)
	}
	return d.finish(now)
}

const _noEndpointDetail = "every endpoint of the service is leaving or out of service"

// _noEndpointRetryAfter is how long a caller of a service without endpoints is told
// to wait before it asks again. Operators need at least seconds to bring a data
// centre back.
const _noEndpointRetryAfter = 5 * time.Second

// hasActiveEndpoint reports whether any endpoint of the service is in service and not
// leaving, whether or not it can be given requests now.
func (d *Decider) hasActiveEndpoint(s *service) bool {
	for _, e := range s.endpoints {
		if e.inService && !e.config.Leaving && !e.view.Report.Leaving {
			return true
		}
	}
	return false
}

// classify sets a request's expected output and its queue item.
func (d *Decider) classify(r *request) {
	r.expected = d.estimateRemaining(r, 0)
	class := queue.ClassLong
	if r.expected <= _shortTokens {
		class = queue.ClassShort
	}
	r.item = queue.Item[*request]{
		Value:     r,
		Workspace: r.Workspace,
		Weight:    d.workspaces[r.Workspace].Weight,
		Class:     class,
		Cost:      int64(r.PromptTokens) + int64(r.expected) + 1,
		Entered:   r.Arrived,
	}
}

// estimateRemaining estimates how many more tokens a request will produce after those
// already produced.
func (d *Decider) estimateRemaining(r *request, produced int) float64 {
	if r.service.config.Kind == core.ServicePlain {
		return 1
	}
	if r.MaxTokens > 0 && r.MaxTokens <= _shortTokens {
		return float64(max(r.MaxTokens-produced, 0))
	}
	expected := d.lengths.Remainder(r.lengthKey(), produced)
	for _, limit := range []int{r.MaxTokens, d.config.Limits.OutputTokensAtMost} {
		if limit > 0 {
			expected = min(expected, float64(max(limit-produced, 0)))
		}
	}
	return expected
}

func (r *request) lengthKey() length.Key {
	return length.Key{Workspace: r.Workspace, Service: r.Service, Model: r.service.config.Model}
}

// enqueue adds a request to the queue. It refuses the request if its deadline is
// expected to pass in the queue. When the queue is full, the newest request of the
// workspace with the longest queue is evicted.
func (d *Decider) enqueue(now time.Time, r *request) {
	s, class := r.service, r.item.Class
	r.item.Deadline = r.waitDeadline()
	if wait, known := d.estimateWait(now, r); known && !r.item.Deadline.IsZero() {
		if timeLeft := r.item.Deadline.Sub(now); wait > timeLeft*_maxWaitPercent/100 {
			d.refuse(r, core.CauseOverload, "the queue is longer than the request may wait", now.Add(wait-timeLeft))
			return
		}
	}
	r.state = stateWaiting
	s.queue.Push(&r.item)
	s.rates[class].Entered(now)
	d.waiting++
	// Only the head of a class is placed, so a new head has to be tried.
	if s.queue.Count(class) == 1 {
		s.blocked[class], s.nothingToBorrow[class] = false, false
	}
	if limit := d.config.Limits.QueueLength; limit > 0 && d.waiting > limit {
		d.evictQueued(now)
	}
}

// _maxWaitPercent is the largest estimated wait in the queue, as a percentage of the
// time left until the request's deadline. Above it the request is refused on arrival.
const _maxWaitPercent = 80

// estimateWait estimates how long a request would wait in the queue, or returns false
// if it is not known. Workspaces take turns, so the estimate counts the requests of its
// own workspace and as many of each other one, and at most all of the class.
func (d *Decider) estimateWait(now time.Time, r *request) (time.Duration, bool) {
	q, class := r.service.queue, r.item.Class
	ahead := min(q.Count(class), (q.Waiting(class, r.Workspace)+1)*(q.Workspaces(class)+1)-1)
	return r.service.rates[class].EstimateWait(now, ahead)
}

// evictQueued refuses one request of a full queue: a long one if any is waiting.
func (d *Decider) evictQueued(now time.Time) {
	var longest *queue.Item[*request]
	for class := queue.ClassLong; ; class-- {
		for _, s := range d.services {
			item := s.queue.EvictionCandidate(class)
			if item != nil && (longest == nil || s.queue.Waiting(class, item.Workspace) > longest.Value.workspaceWaiting()) {
				longest = item
			}
		}
		if longest != nil || class == queue.ClassShort {
			break
		}
	}
	if longest == nil {
		return
	}
	r := longest.Value
	retryAt := d.retryAt(now, r)
	d.dequeue(r)
	d.refuse(r, core.CauseOverload, "the queue is full", retryAt)
}

func (r *request) workspaceWaiting() int { return r.service.queue.Waiting(r.item.Class, r.Workspace) }

// dequeue removes a request from the queue without placing it.
func (d *Decider) dequeue(r *request) {
	s, class := r.service, r.item.Class
	s.queue.Remove(&r.item)
	d.waiting--
	if s.queue.Count(class) == 0 {
		s.rates[class].Emptied()
	}
	// The next head has a different demand.
	s.blocked[class], s.nothingToBorrow[class] = false, false
}

// waitDeadline returns when the request is refused if it still waits: before the first
// try its queue deadline, afterwards its deadline if it has one.
func (r *request) waitDeadline() time.Time {
	if r.try > 0 && !r.Deadline.IsZero() {
		return r.Deadline
	}
	return r.QueueDeadline
}

// refuse refuses a request that is in no queue, and removes it.
func (d *Decider) refuse(r *request, cause core.Cause, detail string, retryAt time.Time) {
	err := core.NotRun(cause, detail, retryAt)
	if r.mayHaveRun {
		err = &core.OutcomeError{Outcome: core.OutcomeUnknown, Cause: core.CauseEndpointLost, Detail: "an earlier try was lost; " + detail}
	}
	d.actions.Refusals = append(d.actions.Refusals, core.Refusal{Request: r.ID, Err: err})
	d.removeRequest(r)
}

// refuseStopped refuses a request because this host admits no more: it is draining
// or superseded.
func (d *Decider) refuseStopped(now time.Time, r *request) {
	if d.draining {
		d.refuse(r, core.CauseDraining, "this host is stopping; ask again, another host answers", now)
		return
	}
	d.refuse(r, core.CauseNotReady, "a newer process stands at this host's position; ask again", now)
}

// retryAt estimates when a refused caller may ask again with success: when the
// requests that wait now have been placed.
func (d *Decider) retryAt(now time.Time, r *request) time.Time {
	wait, known := d.estimateWait(now, r)
	if !known {
		wait = _minRetryAfter
	}
	return now.Add(max(wait, _minRetryAfter))
}

// _minRetryAfter is the shortest time that a refused caller is told to wait.
const _minRetryAfter = time.Second

// Progress records how many tokens a running request has produced so far.
func (d *Decider) Progress(now time.Time, id core.RequestID, tokens int) {
	r := d.requests[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	if r.tokens == 0 && tokens > 0 {
		if r.endpoint.view.FirstToken(now, now.Sub(r.dispatchedAt), d.viewParams) {
			d.updateCandidate(now, r.endpoint)
		}
	}
	r.tokens = max(r.tokens, tokens)
}

// Finish ends a try. It ignores a placement that is no longer in force: the slot was
// freed when Confirm returned false.
func (d *Decider) Finish(now time.Time, placement core.Placement, result core.Result, tokens int) core.Actions {
	d.begin(now)
	r := d.currentRequest(placement)
	if r == nil {
		return d.finish(now)
	}
	r.tokens = max(r.tokens, tokens)
	e := r.endpoint
	d.recordResult(now, r, result)
	d.endTry(now, r, mayStillRun(result) && r.state == stateDispatched)
	switch result {
	case core.ResultDialFailed, core.ResultRefused:
		d.retry(now, r, core.CauseEndpointDenied)
	case core.ResultLost:
		r.mayHaveRun = true
		d.retry(now, r, core.CauseEndpointLost)
	default:
		d.removeRequest(r)
	}
	d.updateCandidate(now, e)
	return d.finish(now)
}

// recordResult updates the endpoint's state and the length estimates from a result.
func (d *Decider) recordResult(now time.Time, r *request, result core.Result) {
	switch result {
	case core.ResultCompleted:
		r.endpoint.view.Completed()
		r.endpoint.resetBackoff()
		if r.service.config.Kind == core.ServiceEngine && (r.MaxTokens == 0 || r.MaxTokens > _shortTokens) {
			d.lengths.Record(r.lengthKey(), r.tokens)
		}
	case core.ResultDialFailed:
		r.endpoint.backOff(now)
	default:
	}
}

// mayStillRun reports whether the endpoint may still be running a try that has ended.
func mayStillRun(result core.Result) bool {
	return result == core.ResultLost || result == core.ResultCut || result == core.ResultCancelled
}

// Withdraw removes a request that is queued or in the pause before a retry. It
// returns false if the request is in neither state.
func (d *Decider) Withdraw(_ time.Time, id core.RequestID) bool {
	r := d.requests[id]
	if r == nil {
		return false
	}
	switch r.state {
	case stateWaiting:
		d.dequeue(r)
	case stateDelayed:
		d.removeDelayed(r)
	default:
		return false
	}
	if r.charged {
		d.budget.Refund()
	}
	d.removeRequest(r)
	return true
}
