// Package shell carries out what the decision core wants done. The core is
// synchronous; the shell gives it the time, wakes it when something is due,
// hands placements to the goroutines of waiting requests, borrows slots from
// other hosts and collects the endpoints' reports.
//
// Lock order: Shell.mu before what Settings.Steward takes. No lock is held
// over a call to an endpoint, a peer or a caller.
package shell

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"apricotproxy/core"
	"apricotproxy/io/wire"
)

const (
	// _workers is the size of the pool that speaks to peers and endpoints for
	// the decision core.
	_workers = 16
	// _jobQueue bounds the jobs that wait for a worker. A job beyond it is
	// dropped: a borrowing counts as refused, a report as not had.
	_jobQueue = 4096
	// _peerTimeout bounds one call to a peer.
	_peerTimeout = 2 * time.Second
)

// Settings are what a Shell needs.
type Settings struct {
	Self    core.HostID
	Decider core.Decider
	Client  core.EndpointClient
	// Peer finds the client of another entry host; nil when it is unknown.
	Peer func(core.HostName) wire.Peer
	// Current tells whether the view of the fleet is fresh enough to dispatch
	// from; nil for always.
	Current func(now time.Time) bool
	// Steward tells whether this host gives an endpoint its engine orders, and
	// so needs its reports; nil for no endpoint.
	Steward func(core.EndpointName) bool
	// Reported is told of each load report; nil for nobody.
	Reported func(core.Report)
	// Auditor records changes of phase; nil for none.
	Auditor core.Auditor
	Logger  logr.Logger
}

// Shell is safe for concurrent use. It implements core.Dispatcher.
type Shell struct {
	settings Settings
	log      logr.Logger
	jobs     chan func(context.Context)
	// woken tells the timekeeper that WakeAt moved.
	woken chan struct{}

	mu      sync.Mutex
	decider core.Decider
	config  core.Config
	// endpoints indexes config.Endpoints by name.
	endpoints map[core.EndpointName]core.Endpoint
	// waiting holds the requests whose goroutines wait for a decision. Each
	// channel has room for the one answer.
	waiting map[core.RequestID]chan answer
	// retaken holds the channels of requests whose placement Confirm took
	// back: the core may place such a request again before its goroutine
	// comes to wait for it.
	retaken map[core.RequestID]chan answer
	wakeAt  time.Time
	polls   pollTable
}

// answer is the end of a wait: a placement or a refusal.
type answer struct {
	placement core.Placement
	err       *core.OutcomeError
}

var _ core.Dispatcher = (*Shell)(nil)

// New makes a shell. Run must be called for it to do anything on its own.
func New(settings Settings) *Shell {
	return &Shell{
		settings:  settings,
		log:       settings.Logger.WithName("shell"),
		jobs:      make(chan func(context.Context), _jobQueue),
		woken:     make(chan struct{}, 1),
		decider:   settings.Decider,
		endpoints: map[core.EndpointName]core.Endpoint{},
		waiting:   map[core.RequestID]chan answer{},
		retaken:   map[core.RequestID]chan answer{},
	}
}

// Run works until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range _workers {
		group.Go(func() { s.work(ctx) })
	}
	group.Go(func() { s.keepTime(ctx) })
	group.Go(func() { s.pollReports(ctx) })
	group.Wait()
}

// work carries out jobs until ctx ends.
func (s *Shell) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-s.jobs:
			job(ctx)
		}
	}
}

// keepTime calls the core when WakeAt has come.
func (s *Shell) keepTime(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.woken:
		case <-timer.C:
			s.decide(func(now time.Time) core.Actions { return s.decider.Tick(now) })
		}
		timer.Reset(s.untilWake())
	}
}

// untilWake gives the time to the next tick; an hour when nothing is due.
func (s *Shell) untilWake() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wakeAt.IsZero() {
		return time.Hour
	}
	return time.Until(s.wakeAt)
}

// decide runs one decision under the lock and carries its actions out.
func (s *Shell) decide(decision func(now time.Time) core.Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carryOut(decision(time.Now()))
}

// carryOut acts on a decision. The caller holds the lock.
func (s *Shell) carryOut(actions core.Actions) {
	for _, placement := range actions.Placements {
		s.answer(placement.Request, answer{placement: placement})
	}
	for _, refusal := range actions.Refusals {
		s.answer(refusal.Request, answer{err: refusal.Err})
	}
	for _, borrowing := range actions.SlotRequests {
		s.startBorrowing(borrowing)
	}
	for _, returning := range actions.LeaseReturns {
		s.startReturning(returning.Lease)
	}
	s.setWake(actions.WakeAt)
}

// setWake stores when the core wants to be called next.
func (s *Shell) setWake(at time.Time) {
	if at.Equal(s.wakeAt) {
		return
	}
	s.wakeAt = at
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// answer ends a request's wait. The caller holds the lock.
func (s *Shell) answer(request core.RequestID, a answer) {
	wait, ok := s.waiting[request]
	if !ok {
		// A placement without a waiting goroutine would hold its slot for
		// ever.
		if a.err == nil {
			s.log.Error(errUnknownRequest, "Placement for an unknown request.", "Request", request)
		}
		return
	}
	delete(s.waiting, request)
	wait <- a
}

var errUnknownRequest = errors.New("no goroutine waits for the request")

// wait registers a request whose goroutine will wait. The caller holds the lock.
func (s *Shell) wait(request core.RequestID) chan answer {
	wait := make(chan answer, 1)
	s.waiting[request] = wait
	return wait
}

// Place implements core.Dispatcher.
func (s *Shell) Place(ctx context.Context, request core.Request) (core.Placement, error) {
	var wait chan answer
	s.decide(func(now time.Time) core.Actions {
		wait = s.wait(request.ID)
		return s.decider.Submit(now, request)
	})
	return s.await(ctx, request.ID, wait)
}

// Replace implements core.Dispatcher.
func (s *Shell) Replace(ctx context.Context, failed core.Placement, result core.Result) (core.Placement, error) {
	var wait chan answer
	s.decide(func(now time.Time) core.Actions {
		if retaken, ok := s.retaken[failed.Request]; ok {
			delete(s.retaken, failed.Request)
			wait = retaken
			return s.decider.Tick(now)
		}
		wait = s.wait(failed.Request)
		return s.decider.Finish(now, failed, result, 0)
	})
	return s.await(ctx, failed.Request, wait)
}

// await blocks until the request is placed or refused, or ctx ends.
func (s *Shell) await(ctx context.Context, request core.RequestID, wait chan answer) (core.Placement, error) {
	select {
	case a := <-wait:
		return a.result()
	case <-ctx.Done():
	}
	return s.abandon(request, wait)
}

// abandon ends a wait whose context ended. A placement that came at the same
// moment is given back: nothing was sent for it.
func (s *Shell) abandon(request core.RequestID, wait chan answer) (core.Placement, error) {
	s.decide(func(now time.Time) core.Actions {
		if s.decider.Withdraw(now, request) {
			delete(s.waiting, request)
			return s.decider.Tick(now)
		}
		select {
		case a := <-wait:
			if a.err == nil {
				return s.decider.Finish(now, a.placement, core.ResultCancelled, 0)
			}
		default:
			delete(s.waiting, request)
		}
		return s.decider.Tick(now)
	})
	return core.Placement{}, core.NotRun(core.CauseCallerGone, "the caller went away before the request was placed", time.Time{})
}

func (a answer) result() (core.Placement, error) {
	if a.err != nil {
		return core.Placement{}, a.err
	}
	return a.placement, nil
}

// Confirm implements core.Dispatcher. A process that slept first waits until
// it has heard what changed: the core then judges by the present view.
func (s *Shell) Confirm(placement core.Placement) bool {
	s.awaitCurrent()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decider.Confirm(time.Now(), placement) {
		return true
	}
	if _, waits := s.waiting[placement.Request]; waits {
		// The try was given up before: its goroutine waits for the next
		// placement by a channel that must stay the one that is answered.
		return false
	}
	s.retaken[placement.Request] = s.wait(placement.Request)
	s.setWake(time.Now())
	return false
}

// Progress implements core.Dispatcher.
func (s *Shell) Progress(request core.RequestID, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decider.Progress(time.Now(), request, tokens)
}

// Finish implements core.Dispatcher.
func (s *Shell) Finish(placement core.Placement, result core.Result, tokens int) {
	s.mu.Lock()
	retaken, ok := s.retaken[placement.Request]
	delete(s.retaken, placement.Request)
	s.mu.Unlock()
	if ok {
		_, _ = s.abandon(placement.Request, retaken)
		return
	}
	s.decide(func(now time.Time) core.Actions {
		actions := s.decider.Finish(now, placement, result, tokens)
		// The core tries again what was refused or lost. Nobody waits for that
		// here: the placement would hold its slot for ever.
		if _, waits := s.waiting[placement.Request]; !waits {
			s.decider.Withdraw(now, placement.Request)
		}
		return actions
	})
}

// Endpoint implements core.Dispatcher.
func (s *Shell) Endpoint(name core.EndpointName) (core.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, ok := s.endpoints[name]
	return endpoint, ok
}

// Config implements core.Dispatcher.
func (s *Shell) Config() core.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// Apply puts an accepted configuration in force.
func (s *Shell) Apply(config core.Config) {
	s.decide(func(now time.Time) core.Actions {
		s.config = config
		s.endpoints = make(map[core.EndpointName]core.Endpoint, len(config.Endpoints))
		for _, endpoint := range config.Endpoints {
			s.endpoints[endpoint.Name] = endpoint
		}
		actions := s.decider.Apply(now, config)
		s.polls.apply(now, config, s.watched)
		return actions
	})
}

// watched tells whether this host asks an endpoint for reports. The caller
// holds the lock.
func (s *Shell) watched(endpoint core.EndpointName) bool {
	return s.decider.RoutesTo(endpoint) || (s.settings.Steward != nil && s.settings.Steward(endpoint))
}

// Drain stops admission. It returns when no request waits any more; running
// requests go on.
func (s *Shell) Drain() {
	s.decide(func(now time.Time) core.Actions { return s.decider.Drain(now) })
}

// Acknowledged tells the core that a roster position has a revision in force.
func (s *Shell) Acknowledged(host core.HostID, revision core.Revision) {
	s.decide(func(now time.Time) core.Actions { return s.decider.Acknowledged(now, host, revision) })
}

// Snapshot gives the core's estimates and views for a replaced host.
func (s *Shell) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Snapshot(time.Now())
}

// Restore takes in another host's snapshot.
func (s *Shell) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Restore(time.Now(), snapshot)
}

// Status gives the core's figures.
func (s *Shell) Status() core.DeciderStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Status(time.Now())
}

// _currentStep is how often a process that slept looks whether its view of the
// fleet is fresh again.
const _currentStep = 20 * time.Millisecond

// awaitCurrent waits until the view of the fleet is fresh.
func (s *Shell) awaitCurrent() {
	if s.settings.Current == nil {
		return
	}
	for !s.settings.Current(time.Now()) {
		time.Sleep(_currentStep)
	}
}
