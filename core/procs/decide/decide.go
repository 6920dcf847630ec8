// Package decide is the decision core of one entry host: it composes limits,
// views, admission, routing, queueing and retries into a core.Decider.
package decide

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/slots"
	"apricotproxy/core/procs/view"
	"apricotproxy/core/versn/owner"
)

// Options are the parts of a Decider that vary.
type Options struct {
	Policy   core.RoutePolicy
	Random   *rand.Rand
	Weakness slots.Weakness
}

// Decider implements core.Decider. The slices of the Actions that it returns
// are valid until its next method is called.
type Decider struct {
	self     core.HostID
	policy   core.RoutePolicy
	random   *rand.Rand
	weakness slots.Weakness

	config    core.Config
	applied   bool
	owners    owner.Table
	home      core.DataCentreName
	terms     slots.Terms
	viewTerms view.Terms

	endpoints  []*endpoint // in the order of the configuration
	byName     map[core.EndpointName]*endpoint
	services   map[core.ServiceName]*service
	requests   map[core.RequestID]*request
	waiting    []*request
	running    int
	returns    []pendingReturn
	positions  map[core.HostName]position
	present    map[core.HostName]bool // on the roster
	departed   map[core.HostName]bool // left the roster while this process lived
	settled    core.Revision          // the highest one that every position acknowledged
	draining   bool
	superseded bool
	actions    core.Actions
	candidates candidates
}

// endpoint is one back end with all that this host knows of it.
type endpoint struct {
	index     int
	config    core.Endpoint
	pool      *slots.Pool
	view      view.View
	inService bool
	remote    bool
	running   []*request
	// unreported counts the running requests that the last report may lack.
	unreported int
	borrow     borrowState
}

// service is what callers ask for, with the endpoints that this host deals
// with.
type service struct {
	config    core.Service
	endpoints []*endpoint
}

// position is what this host knows of a roster position.
type position struct {
	incarnation core.Incarnation
	revision    core.Revision
}

var _ core.Decider = (*Decider)(nil)

// New builds the decision core of one life of one host.
func New(self core.HostID, options Options) *Decider {
	return &Decider{
		self:      self,
		policy:    options.Policy,
		random:    options.Random,
		weakness:  options.Weakness,
		byName:    make(map[core.EndpointName]*endpoint),
		services:  make(map[core.ServiceName]*service),
		requests:  make(map[core.RequestID]*request),
		positions: make(map[core.HostName]position),
		departed:  make(map[core.HostName]bool),
	}
}

// begin prepares the actions of a call.
func (d *Decider) begin() {
	d.actions = core.Actions{
		Placements: d.actions.Placements[:0],
		Refusals:   d.actions.Refusals[:0],
		Borrowings: d.actions.Borrowings[:0],
		Returnings: d.actions.Returnings[:0],
	}
}

// finish does what every call ends with: what is due, then placing.
func (d *Decider) finish(now time.Time) core.Actions {
	d.expire(now)
	d.place(now)
	d.borrow(now)
	d.giveBack(now)
	d.actions.WakeAt = d.wakeAt(now)
	return d.actions
}

// Tick does what is due.
func (d *Decider) Tick(now time.Time) core.Actions {
	d.begin()
	return d.finish(now)
}

// Drain stops admission: waiting requests are refused, idle leases go back.
func (d *Decider) Drain(now time.Time) core.Actions {
	d.begin()
	d.draining = true
	for _, r := range d.waiting {
		d.refuse(r, core.CauseDraining, "this host is stopping; ask again, another host answers", now)
	}
	d.waiting = d.waiting[:0]
	return d.finish(now)
}

// Status gives the figures for /statusz.
func (d *Decider) Status(now time.Time) core.DeciderStatus {
	status := core.DeciderStatus{Waiting: len(d.waiting), Running: d.running}
	for _, e := range d.endpoints {
		counts := e.pool.Counts()
		phase := core.PhaseWarm
		if e.view.Cold(now) {
			phase = core.PhaseCold
		}
		status.Endpoints = append(status.Endpoints, core.EndpointStatus{
			Name:       e.config.Name,
			Phase:      phase.String(),
			OwnedSlots: counts.Owned,
			InUse:      counts.InUse,
			Lent:       counts.Lent,
			Borrowed:   counts.Borrowed,
			FreeTokens: e.view.Report.FreeTokens,
			ReportedAt: e.view.Report.AskedAt,
		})
	}
	return status
}
