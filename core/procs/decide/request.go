package decide

import (
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/length"
	"apricotproxy/core/procs/queue"
)

// state tells where a request is.
type state uint8

const (
	stateWaiting    state = iota // in the queue
	stateDelayed                 // pauses before a retry
	statePlaced                  // has a slot; not yet confirmed
	stateDispatched              // may be on the endpoint
)

// request is one request from its arrival to its end.
type request struct {
	core.Request
	item      queue.Item[*request]
	service   *service
	state     state
	placement core.Placement
	endpoint  *endpoint
	try       int
	tokens    int
	// expected is the output that was expected on arrival, and remaining the
	// part of it that the endpoint's sum holds.
	expected  float64
	remaining float64
	// dispatched is when the placement was made, then when it was confirmed.
	dispatched time.Time
	notBefore  time.Time
	// unreported is true while the endpoint's report may lack the request.
	unreported bool
	// mayHaveRun is true once a try was lost that may have run: the request
	// can no longer be refused as not run.
	mayHaveRun bool
	// charged is true while a retry is paid for and not yet made.
	charged bool
	// avoid is the endpoint that failed last.
	avoid *endpoint
	next  *request // in the list of spares
}

// _shortTokens is the expected output up to which a request counts as short.
const _shortTokens = 64

// newRequest takes a request's memory from the spares.
func (d *Decider) newRequest(submitted *core.Request) *request {
	r := d.spare
	if r == nil {
		r = &request{}
	} else {
		d.spare = r.next
	}
	*r = request{Request: *submitted}
	d.requests[r.ID] = r
	return r
}

// forget ends a request.
func (d *Decider) forget(r *request) {
	delete(d.requests, r.ID)
	*r = request{next: d.spare}
	d.spare = r
}

// Submit enters a request.
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
	case !d.served(r.service):
		d.refuse(r, core.CauseNoEndpoint, _noEndpoint, now.Add(_noEndpointPause))
	default:
		d.budget.First()
		d.classify(r)
		d.enter(now, r)
	}
	return d.finish(now)
}

const _noEndpoint = "every endpoint of the service is leaving or out of service"

// _noEndpointPause is when a caller may ask again for a service without
// endpoints: operators bring a data centre back in seconds at the earliest.
const _noEndpointPause = 5 * time.Second

// served tells whether configuration leaves the service any endpoint.
func (d *Decider) served(s *service) bool {
	for _, e := range s.endpoints {
		if e.inService && !e.config.Leaving && !e.view.Report.Leaving {
			return true
		}
	}
	return false
}

// classify fills in what the queue needs to know of a request.
func (d *Decider) classify(r *request) {
	r.expected = d.expect(r, 0)
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

// expect estimates the tokens that a request will produce beyond those so far.
func (d *Decider) expect(r *request, sofar int) float64 {
	if r.service.config.Kind == core.ServicePlain {
		return 1
	}
	if r.MaxTokens > 0 && r.MaxTokens <= _shortTokens {
		return float64(max(r.MaxTokens-sofar, 0))
	}
	expected := d.lengths.Remainder(r.key(), sofar)
	for _, most := range []int{r.MaxTokens, d.config.Limits.OutputTokensAtMost} {
		if most > 0 {
			expected = min(expected, float64(max(most-sofar, 0)))
		}
	}
	return expected
}

func (r *request) key() length.Key {
	return length.Key{Workspace: r.Workspace, Service: r.Service, Model: r.service.config.Model}
}

// enter puts a request into the queue, unless it is known already that its
// deadline would pass there. A full queue pushes out the newest request of the
// workspace with the longest line.
func (d *Decider) enter(now time.Time, r *request) {
	s, class := r.service, r.item.Class
	r.item.Deadline = r.deadline()
	if wait, known := d.wait(now, r); known && !r.item.Deadline.IsZero() {
		if spare := r.item.Deadline.Sub(now); wait > spare*_waitPercent/100 {
			d.refuse(r, core.CauseOverload, "the queue is longer than the request may wait", now.Add(wait-spare))
			return
		}
	}
	r.state = stateWaiting
	s.queue.Push(&r.item)
	s.rates[class].Entered(now)
	d.waiting++
	// Only the head of a class may be placed, so that a new head is looked at.
	if s.queue.Count(class) == 1 {
		s.blocked[class], s.unwanted[class] = false, false
	}
	if most := d.config.Limits.QueueLength; most > 0 && d.waiting > most {
		d.pushOut(now)
	}
}

// _waitPercent is the share of the time to its deadline that a request's
// estimated wait may take; above it the request is refused on arrival.
const _waitPercent = 80

// wait estimates how long a request would wait in the queue. A workspace waits
// for its own line in turn with the others, never longer than for all.
func (d *Decider) wait(now time.Time, r *request) (time.Duration, bool) {
	q, class := r.service.queue, r.item.Class
	ahead := min(q.Count(class), (q.Waiting(class, r.Workspace)+1)*(q.Workspaces(class)+1)-1)
	return r.service.rates[class].Wait(now, ahead)
}

// pushOut refuses one request of a full queue: the long class goes first.
func (d *Decider) pushOut(now time.Time) {
	var longest *queue.Item[*request]
	for class := queue.ClassLong; ; class-- {
		for _, s := range d.services {
			item := s.queue.Longest(class)
			if item != nil && (longest == nil || s.queue.Waiting(class, item.Workspace) > longest.Value.lineLength()) {
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
	d.leave(r)
	d.refuse(r, core.CauseOverload, "the queue is full", retryAt)
}

func (r *request) lineLength() int { return r.service.queue.Waiting(r.item.Class, r.Workspace) }

// leave takes a request out of the queue.
func (d *Decider) leave(r *request) {
	s, class := r.service, r.item.Class
	s.queue.Remove(&r.item)
	d.waiting--
	if s.queue.Count(class) == 0 {
		s.rates[class].Emptied()
	}
	// The next one in line has another demand.
	s.blocked[class], s.unwanted[class] = false, false
}

// deadline is when the request is given up while it waits.
func (r *request) deadline() time.Time {
	if r.try > 0 && !r.Deadline.IsZero() {
		return r.Deadline
	}
	return r.QueueDeadline
}

// refuse gives a request that is in no queue its final answer and forgets it.
func (d *Decider) refuse(r *request, cause core.Cause, detail string, retryAt time.Time) {
	err := core.NotRun(cause, detail, retryAt)
	if r.mayHaveRun {
		err = &core.OutcomeError{Outcome: core.OutcomeUnknown, Cause: core.CauseEndpointLost, Detail: "an earlier try was lost; " + detail}
	}
	d.actions.Refusals = append(d.actions.Refusals, core.Refusal{Request: r.ID, Err: err})
	d.forget(r)
}

// refuseStopped refuses a request on a host that admits no more.
func (d *Decider) refuseStopped(now time.Time, r *request) {
	if d.draining {
		d.refuse(r, core.CauseDraining, "this host is stopping; ask again, another host answers", now)
		return
	}
	d.refuse(r, core.CauseNotReady, "a newer process stands at this host's position; ask again", now)
}

// retryAt estimates when asking again makes sense: when those who wait now have
// been served.
func (d *Decider) retryAt(now time.Time, r *request) time.Time {
	wait, known := d.wait(now, r)
	if !known {
		wait = _retryPause
	}
	return now.Add(max(wait, _retryPause))
}

// _retryPause is the shortest time after which a refused caller may ask again.
const _retryPause = time.Second

// Progress tells the tokens that a running request has produced so far.
func (d *Decider) Progress(now time.Time, id core.RequestID, tokens int) {
	r := d.requests[id]
	if r == nil || r.state != stateDispatched {
		return
	}
	if r.tokens == 0 && tokens > 0 {
		if r.endpoint.view.FirstToken(now, now.Sub(r.dispatched), d.viewTerms) {
			d.update(now, r.endpoint)
		}
	}
	r.tokens = max(r.tokens, tokens)
}

// Finish ends a try. A try that is no longer in force is ignored: its slot was
// given back when Confirm refused it.
func (d *Decider) Finish(now time.Time, placement core.Placement, result core.Result, tokens int) core.Actions {
	d.begin(now)
	r := d.current(placement)
	if r == nil {
		return d.finish(now)
	}
	r.tokens = max(r.tokens, tokens)
	e := r.endpoint
	d.learn(now, r, result)
	d.endTry(now, r, mayGoOn(result) && r.state == stateDispatched)
	switch result {
	case core.ResultDialFailed, core.ResultRefused:
		d.retry(now, r, core.CauseEndpointDenied)
	case core.ResultLost:
		r.mayHaveRun = true
		d.retry(now, r, core.CauseEndpointLost)
	default:
		d.forget(r)
	}
	d.update(now, e)
	return d.finish(now)
}

// learn takes in what a result tells of the endpoint and of lengths.
func (d *Decider) learn(now time.Time, r *request, result core.Result) {
	switch result {
	case core.ResultCompleted:
		r.endpoint.view.Completed()
		r.endpoint.unblock()
		if r.service.config.Kind == core.ServiceEngine && (r.MaxTokens == 0 || r.MaxTokens > _shortTokens) {
			d.lengths.Record(r.key(), r.tokens)
		}
	case core.ResultDialFailed:
		r.endpoint.block(now)
	default:
	}
}

// mayGoOn tells whether the endpoint may still work on a try that has ended.
func mayGoOn(result core.Result) bool {
	return result == core.ResultLost || result == core.ResultCut || result == core.ResultCancelled
}

// Withdraw takes a waiting request out of the queue.
func (d *Decider) Withdraw(_ time.Time, id core.RequestID) bool {
	r := d.requests[id]
	if r == nil {
		return false
	}
	switch r.state {
	case stateWaiting:
		d.leave(r)
	case stateDelayed:
		d.undelay(r)
	default:
		return false
	}
	if r.charged {
		d.budget.Refund()
	}
	d.forget(r)
	return true
}
