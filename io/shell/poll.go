package shell

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
)

// _reportsPerCachePoll is how many reports of an engine are fetched for each fetch
// of its cache events. Cache events are hints that arrive late anyway, and each
// fetch costs half as many bytes as a report.
const _reportsPerCachePoll = 4

// _pollTimeout limits the fetch of a report and of the cache events that may
// follow it.
const _pollTimeout = time.Second

// pollTable schedules the polls of the endpoints. The Shell's lock guards it.
type pollTable struct {
	states []pollState
}

// pollState is the state of polling one endpoint.
type pollState struct {
	endpoint core.Endpoint
	engine   bool
	dueAt    time.Time
	// inFlight is true while a poll is queued or running, so that a slow endpoint
	// occupies one worker at most.
	inFlight bool
	// reports counts the reports that were requested.
	reports int
	// lastEvent is the sequence number of the last cache event, within
	// eventIncarnation.
	lastEvent        uint64
	eventIncarnation core.Incarnation
	// phase and reportIncarnation are those of the last report, for the audit
	// trail.
	phase             core.Phase
	reportIncarnation core.Incarnation
}

// apply replaces the endpoints by the watched ones of a new configuration. The
// first polls are spread over the report interval, so that a new revision causes
// no burst.
func (t *pollTable) apply(now time.Time, config core.Config, watched func(core.EndpointName) bool) {
	known := make(map[core.EndpointName]pollState, len(t.states))
	for _, p := range t.states {
		known[p.endpoint.Name] = p
	}
	t.states = make([]pollState, 0, len(t.states))
	for i, endpoint := range config.Endpoints {
		if !watched(endpoint.Name) {
			continue
		}
		p, ok := known[endpoint.Name]
		if !ok || p.endpoint.Address != endpoint.Address {
			spread := config.Limits.ReportInterval * time.Duration(i) / time.Duration(len(config.Endpoints))
			p = pollState{dueAt: now.Add(spread)}
		}
		service, _ := config.Service(endpoint.Service)
		p.endpoint = endpoint
		p.engine = service.Kind == core.ServiceEngine
		t.states = append(t.states, p)
	}
}

// find returns the state of an endpoint, or nil if the endpoint is not polled.
func (t *pollTable) find(name core.EndpointName) *pollState {
	for i := range t.states {
		if t.states[i].endpoint.Name == name {
			return &t.states[i]
		}
	}
	return nil
}

// pollReports fetches the reports of the endpoints until ctx ends.
func (s *Shell) pollReports(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(time.Until(s.startDuePolls(time.Now())))
	}
}

// _maxPollWait is the longest time between two checks for due polls. The endpoints
// of a new configuration are noticed within it.
const _maxPollWait = 250 * time.Millisecond

// startDuePolls queues the polls that are due and returns the time of the next
// check.
func (s *Shell) startDuePolls(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := now.Add(_maxPollWait)
	for i := range s.polls.states {
		p := &s.polls.states[i]
		if !p.dueAt.After(now) {
			s.startPoll(now, p)
		}
		if p.dueAt.Before(next) {
			next = p.dueAt
		}
	}
	return next
}

// startPoll queues one poll unless the endpoint's previous one is still in flight
// or the queue is full. The caller holds the lock.
func (s *Shell) startPoll(now time.Time, p *pollState) {
	p.dueAt = now.Add(s.config.Limits.ReportInterval)
	if p.inFlight {
		return
	}
	state := *p
	p.reports++
	job := func(ctx context.Context) { s.poll(ctx, state) }
	select {
	case s.jobs <- job:
		p.inFlight = true
	default:
	}
}

// poll fetches the report of one endpoint and passes it to the core.
func (s *Shell) poll(ctx context.Context, p pollState) {
	name := p.endpoint.Name
	defer s.pollDone(name)
	ctx, cancel := context.WithTimeout(ctx, _pollTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := s.settings.Client.Report(ctx, p.endpoint)
	if err != nil {
		s.log.V(1).Info("Fetching a load report failed.", "Endpoint", name, "Cause", err.Error())
		s.decide(func(now time.Time) core.Actions { return s.decider.ObserveUnreachable(now, name) })
		return
	}
	report.Endpoint = name
	report.AskedAt = askedAt
	s.decide(func(now time.Time) core.Actions { return s.decider.Observe(now, report) })
	s.auditPhase(report)
	if s.settings.OnReport != nil {
		s.settings.OnReport(report)
	}
	if !p.engine || p.reports%_reportsPerCachePoll != 0 {
		return
	}
	if report.Incarnation != p.eventIncarnation {
		// A restarted engine numbers its events from the start again.
		p.lastEvent = 0
	}
	s.pollCache(ctx, p, report.Incarnation)
}

// auditPhase records a change of phase or incarnation in the audit trail. The
// first report of an endpoint is not a change.
func (s *Shell) auditPhase(report core.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.polls.find(report.Endpoint)
	if p == nil {
		return
	}
	before, incarnation := p.phase, p.reportIncarnation
	p.phase, p.reportIncarnation = report.Phase, report.Incarnation
	if s.settings.Auditor == nil || incarnation == 0 || (before == report.Phase && incarnation == report.Incarnation) {
		return
	}
	cause := fmt.Sprintf("%s to %s", before, report.Phase)
	if incarnation != report.Incarnation {
		cause += fmt.Sprintf(", incarnation %d to %d", incarnation, report.Incarnation)
	}
	s.settings.Auditor.Record(core.AuditEvent{
		Time: report.AskedAt, Host: s.settings.Self, Kind: core.AuditPhaseChanged,
		Revision: s.config.Revision, Subject: string(report.Endpoint), Cause: cause,
	})
}

// pollCache fetches an engine's cache events. They are only hints, so a failure is
// ignored.
func (s *Shell) pollCache(ctx context.Context, p pollState, incarnation core.Incarnation) {
	events, err := s.settings.Client.CacheEvents(ctx, p.endpoint, p.lastEvent)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decider.ObserveCache(time.Now(), events)
	kept := s.polls.find(p.endpoint.Name)
	if kept == nil {
		return
	}
	kept.eventIncarnation = incarnation
	kept.lastEvent = p.lastEvent
	if len(events) > 0 {
		kept.lastEvent = events[len(events)-1].Sequence
	}
}

// pollDone allows the next poll of the endpoint.
func (s *Shell) pollDone(name core.EndpointName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.polls.find(name); p != nil {
		p.inFlight = false
	}
}
