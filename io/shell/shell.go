// Package shell runs the decision core. The core is synchronous and does no I/O:
// the shell passes it the time, calls it when something is due, hands placements
// to the goroutines of waiting requests, borrows slots from other hosts and
// fetches the endpoints' reports.
//
// Lock order: Shell.mu before the locks that Settings.IsSteward acquires. No lock
// is held during a call to an endpoint, a peer or a caller.
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
	// _workers is the number of goroutines that call peers and endpoints for the
	// decision core.
	_workers = 16
	// _jobQueue is the most jobs that wait for a worker. Further jobs are
	// dropped: a request for a slot then counts as refused, and a poll is skipped.
	_jobQueue = 4096
	// _peerTimeout limits one call to a peer.
	_peerTimeout = 2 * time.Second
)

// Settings hold the settings and dependencies of a Shell.
type Settings struct {
	Self    core.HostID
	Decider core.Decider
	Client  core.EndpointClient
	// Peer returns the client of another entry host, or nil when the host is
	// unknown.
	Peer func(core.HostName) wire.Peer
	// ViewIsFresh reports whether the view of the fleet is fresh enough for a
	// dispatch; nil means always.
	ViewIsFresh func(now time.Time) bool
	// IsSteward reports whether this host sends engine orders to an endpoint and so
	// needs its reports; nil means for no endpoint.
	IsSteward func(core.EndpointName) bool
	// OnReport is called with each load report; it may be nil.
	OnReport func(core.Report)
	// Auditor records changes of phase; it may be nil.
	Auditor core.Auditor
	Logger  logr.Logger
}

// Shell gives concurrent access to a core.Decider and performs its actions. It
// implements core.Dispatcher and is safe for concurrent use.
type Shell struct {
	settings Settings
	log      logr.Logger
	jobs     chan func(context.Context)
	// wakeChanged signals runTimer that wakeAt has changed.
	wakeChanged chan struct{}

	mu      sync.Mutex
	decider core.Decider
	config  core.Config
	// endpoints indexes config.Endpoints by name.
	endpoints map[core.EndpointName]core.Endpoint
	// waiting holds the requests whose goroutines wait for a decision. Each
	// channel has room for its one result.
	waiting map[core.RequestID]chan placeResult
	// revoked holds the channels of requests whose placement was revoked by
	// Confirm: the core may place such a request again before its goroutine calls
	// Replace to wait for the placement.
	revoked map[core.RequestID]chan placeResult
	// wakeAt is when the core is to be called next; zero for never.
	wakeAt time.Time
	polls  pollTable
}

// placeResult is the decision that a request waits for: a placement, or a refusal
// if err is not nil.
type placeResult struct {
	placement core.Placement
	err       *core.OutcomeError
}

var _ core.Dispatcher = (*Shell)(nil)

// New builds a Shell. Timers, polls and calls to peers need Run.
func New(settings Settings) *Shell {
	return &Shell{
		settings:    settings,
		log:         settings.Logger.WithName("shell"),
		jobs:        make(chan func(context.Context), _jobQueue),
		wakeChanged: make(chan struct{}, 1),
		decider:     settings.Decider,
		endpoints:   map[core.EndpointName]core.Endpoint{},
		waiting:     map[core.RequestID]chan placeResult{},
		revoked:     map[core.RequestID]chan placeResult{},
	}
}

// Run runs the workers, the timer and the polls until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range _workers {
		group.Go(func() { s.runJobs(ctx) })
	}
	group.Go(func() { s.runTimer(ctx) })
	group.Go(func() { s.pollReports(ctx) })
	group.Wait()
}

// runJobs runs queued jobs until ctx ends.
func (s *Shell) runJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-s.jobs:
			job(ctx)
		}
	}
}

// runTimer calls the core at wakeAt.
func (s *Shell) runTimer(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeChanged:
		case <-timer.C:
			s.decide(func(now time.Time) core.Actions { return s.decider.Tick(now) })
		}
		timer.Reset(s.untilWake())
	}
}

// untilWake returns the time until the next tick, or an hour if none is due.
func (s *Shell) untilWake() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wakeAt.IsZero() {
		return time.Hour
	}
	return time.Until(s.wakeAt)
}

// decide makes one decision under the lock and performs its actions.
func (s *Shell) decide(decision func(now time.Time) core.Actions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perform(decision(time.Now()))
}

// perform performs the actions of a decision. The caller holds the lock.
func (s *Shell) perform(actions core.Actions) {
	for _, placement := range actions.Placements {
		s.answer(placement.Request, placeResult{placement: placement})
	}
	for _, refusal := range actions.Refusals {
		s.answer(refusal.Request, placeResult{err: refusal.Err})
	}
	for _, slotRequest := range actions.SlotRequests {
		s.startBorrow(slotRequest)
	}
	for _, leaseReturn := range actions.LeaseReturns {
		s.startReturn(leaseReturn.Lease)
	}
	s.setWakeAt(actions.WakeAt)
}

// setWakeAt stores when the core is to be called next. The caller holds the lock.
func (s *Shell) setWakeAt(at time.Time) {
	if at.Equal(s.wakeAt) {
		return
	}
	s.wakeAt = at
	select {
	case s.wakeChanged <- struct{}{}:
	default:
	}
}

// answer sends the result to the goroutine that waits for the request. The caller
// holds the lock.
func (s *Shell) answer(request core.RequestID, a placeResult) {
	wait, ok := s.waiting[request]
	if !ok {
		// No goroutine will finish this placement, so it holds its slot forever.
		if a.err == nil {
			s.log.Error(errUnknownRequest, "A placement has no waiting request.", "Request", request)
		}
		return
	}
	delete(s.waiting, request)
	wait <- a
}

var errUnknownRequest = errors.New("no goroutine waits for the request")

// addWaiter registers a request whose goroutine is going to wait. The caller holds
// the lock.
func (s *Shell) addWaiter(request core.RequestID) chan placeResult {
	wait := make(chan placeResult, 1)
	s.waiting[request] = wait
	return wait
}

// Place implements core.Dispatcher.
func (s *Shell) Place(ctx context.Context, request core.Request) (core.Placement, error) {
	var wait chan placeResult
	s.decide(func(now time.Time) core.Actions {
		wait = s.addWaiter(request.ID)
		return s.decider.Submit(now, request)
	})
	return s.await(ctx, request.ID, wait)
}

// Replace implements core.Dispatcher.
func (s *Shell) Replace(ctx context.Context, failed core.Placement, result core.Result) (core.Placement, error) {
	var wait chan placeResult
	s.decide(func(now time.Time) core.Actions {
		if revoked, ok := s.revoked[failed.Request]; ok {
			delete(s.revoked, failed.Request)
			wait = revoked
			return s.decider.Tick(now)
		}
		wait = s.addWaiter(failed.Request)
		return s.decider.Finish(now, failed, result, 0)
	})
	return s.await(ctx, failed.Request, wait)
}

// await blocks until the request is placed or refused, or ctx ends.
func (s *Shell) await(ctx context.Context, request core.RequestID, wait chan placeResult) (core.Placement, error) {
	select {
	case a := <-wait:
		return a.unpack()
	case <-ctx.Done():
	}
	return s.cancelWait(request, wait)
}

// cancelWait ends the wait of a request whose context ended. A placement that
// arrived at the same moment is finished as cancelled: nothing was sent for it.
func (s *Shell) cancelWait(request core.RequestID, wait chan placeResult) (core.Placement, error) {
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

func (a placeResult) unpack() (core.Placement, error) {
	if a.err != nil {
		return core.Placement{}, a.err
	}
	return a.placement, nil
}

// Confirm implements core.Dispatcher. A process that was suspended first waits for
// a fresh view of the fleet, so that the core does not decide by an outdated one.
func (s *Shell) Confirm(placement core.Placement) bool {
	s.awaitFreshView()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decider.Confirm(time.Now(), placement) {
		return true
	}
	if _, waits := s.waiting[placement.Request]; waits {
		// The try has already been replaced. Its goroutine waits for the next
		// placement on a channel that must stay registered.
		return false
	}
	s.revoked[placement.Request] = s.addWaiter(placement.Request)
	s.setWakeAt(time.Now())
	return false
}

// Progress implements core.Dispatcher.
func (s *Shell) Progress(request core.RequestID, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decider.Progress(time.Now(), request, tokens)
}

// takeRevoked returns the waiter of a request whose try was replaced, and forgets it.
func (s *Shell) takeRevoked(request core.RequestID) (chan placeResult, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revoked, ok := s.revoked[request]
	delete(s.revoked, request)
	return revoked, ok
}

// Finish implements core.Dispatcher.
func (s *Shell) Finish(placement core.Placement, result core.Result, tokens int) {
	revoked, ok := s.takeRevoked(placement.Request)
	if ok {
		_, _ = s.cancelWait(placement.Request, revoked)
		return
	}
	s.decide(func(now time.Time) core.Actions {
		actions := s.decider.Finish(now, placement, result, tokens)
		// After a refusal or a loss, the core places the request again. If no
		// goroutine waits for that placement, it would hold its slot forever.
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

// watched reports whether this host polls an endpoint. The caller holds the lock.
func (s *Shell) watched(endpoint core.EndpointName) bool {
	return s.decider.RoutesTo(endpoint) || (s.settings.IsSteward != nil && s.settings.IsSteward(endpoint))
}

// Drain stops admission. When it returns, no request is waiting any more; running
// requests continue.
func (s *Shell) Drain() {
	s.decide(func(now time.Time) core.Actions { return s.decider.Drain(now) })
}

// Acknowledged informs the core that a host has a revision in force.
func (s *Shell) Acknowledged(host core.HostID, revision core.Revision) {
	s.decide(func(now time.Time) core.Actions { return s.decider.Acknowledged(now, host, revision) })
}

// Snapshot returns the core's length estimates and endpoint state for a host that
// has just started.
func (s *Shell) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Snapshot(time.Now())
}

// Restore loads another host's snapshot into the core.
func (s *Shell) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Restore(time.Now(), snapshot)
}

// Status returns the core's figures for /statusz.
func (s *Shell) Status() core.DeciderStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.Status(time.Now())
}

// _freshViewInterval is how often a process that was suspended checks whether its
// view of the fleet is fresh again.
const _freshViewInterval = 20 * time.Millisecond

// awaitFreshView waits until the view of the fleet is fresh.
func (s *Shell) awaitFreshView() {
	if s.settings.ViewIsFresh == nil {
		return
	}
	for !s.settings.ViewIsFresh(time.Now()) {
		time.Sleep(_freshViewInterval)
	}
}
