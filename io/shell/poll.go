package shell

import (
	"context"
	"fmt"
	"time"

	"apricotproxy/core"
)

// _cacheEvery is how many reports come for one reading of cache events: these
// are hints that come late anyway, and each reading costs half a report's bytes.
const _cacheEvery = 4

// _pollTimeout bounds one report or one reading of cache events.
const _pollTimeout = time.Second

// pollTable holds when each endpoint is to be asked next. The Shell's lock
// guards it.
type pollTable struct {
	polls []poll
}

// poll is the state of asking one endpoint.
type poll struct {
	endpoint core.Endpoint
	engine   bool
	dueAt    time.Time
	// asking is true while a worker asks: a slow endpoint holds one worker at
	// most.
	asking bool
	// reports counts the reports that were asked for.
	reports int
	// after is the last cache event's sequence within the incarnation.
	after       uint64
	incarnation core.Incarnation
	// phase and reporter are what the last report said, for the audit trail.
	phase    core.Phase
	reporter core.Incarnation
}

// apply takes over those endpoints of a configuration that watched names.
// First polls are spread over the interval, so that a new revision causes no
// burst.
func (t *pollTable) apply(now time.Time, config core.Config, watched func(core.EndpointName) bool) {
	known := make(map[core.EndpointName]poll, len(t.polls))
	for _, p := range t.polls {
		known[p.endpoint.Name] = p
	}
	t.polls = make([]poll, 0, len(t.polls))
	for i, endpoint := range config.Endpoints {
		if !watched(endpoint.Name) {
			continue
		}
		p, ok := known[endpoint.Name]
		if !ok || p.endpoint.Address != endpoint.Address {
			spread := config.Limits.ReportInterval * time.Duration(i) / time.Duration(len(config.Endpoints))
			p = poll{dueAt: now.Add(spread)}
		}
		service, _ := config.Service(endpoint.Service)
		p.endpoint = endpoint
		p.engine = service.Kind == core.ServiceEngine
		t.polls = append(t.polls, p)
	}
}

// find gives the poll of an endpoint, nil when it left the configuration.
func (t *pollTable) find(name core.EndpointName) *poll {
	for i := range t.polls {
		if t.polls[i].endpoint.Name == name {
			return &t.polls[i]
		}
	}
	return nil
}

// pollReports asks the endpoints for reports until ctx ends.
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

// _pollScan is the longest time between two looks at the table: a new
// configuration's endpoints are asked within it.
const _pollScan = 250 * time.Millisecond

// startDuePolls queues the polls that are due and gives the time of the next look.
func (s *Shell) startDuePolls(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := now.Add(_pollScan)
	for i := range s.polls.polls {
		p := &s.polls.polls[i]
		if !p.dueAt.After(now) {
			s.startPoll(now, p)
		}
		if p.dueAt.Before(next) {
			next = p.dueAt
		}
	}
	return next
}

// startPoll queues one poll. The caller holds the lock.
func (s *Shell) startPoll(now time.Time, p *poll) {
	p.dueAt = now.Add(s.config.Limits.ReportInterval)
	if p.asking {
		return
	}
	asked := *p
	p.reports++
	job := func(ctx context.Context) { s.poll(ctx, asked) }
	select {
	case s.jobs <- job:
		p.asking = true
	default:
	}
}

// poll asks one endpoint and tells the core.
func (s *Shell) poll(ctx context.Context, p poll) {
	name := p.endpoint.Name
	defer s.polled(name)
	ctx, cancel := context.WithTimeout(ctx, _pollTimeout)
	defer cancel()
	asked := time.Now()
	report, err := s.settings.Client.Report(ctx, p.endpoint)
	if err != nil {
		s.log.V(1).Info("No report.", "Endpoint", name, "Cause", err.Error())
		s.decide(func(now time.Time) core.Actions { return s.decider.ObserveUnreachable(now, name) })
		return
	}
	report.Endpoint = name
	report.AskedAt = asked
	s.decide(func(now time.Time) core.Actions { return s.decider.Observe(now, report) })
	s.auditPhase(report)
	if s.settings.Reported != nil {
		s.settings.Reported(report)
	}
	if !p.engine || p.reports%_cacheEvery != 0 {
		return
	}
	if report.Incarnation != p.incarnation {
		// A restarted engine counts its events from the start again.
		p.after = 0
	}
	s.pollCache(ctx, p, report.Incarnation)
}

// auditPhase records a change of phase or of incarnation. First reports of an
// endpoint are no change.
func (s *Shell) auditPhase(report core.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.polls.find(report.Endpoint)
	if p == nil {
		return
	}
	before, reporter := p.phase, p.reporter
	p.phase, p.reporter = report.Phase, report.Incarnation
	if s.settings.Auditor == nil || reporter == 0 || (before == report.Phase && reporter == report.Incarnation) {
		return
	}
	cause := fmt.Sprintf("%s to %s", before, report.Phase)
	if reporter != report.Incarnation {
		cause += fmt.Sprintf(", incarnation %d to %d", reporter, report.Incarnation)
	}
	s.settings.Auditor.Record(core.AuditEvent{
		Time: report.AskedAt, Host: s.settings.Self, Kind: core.AuditPhaseChanged,
		Revision: s.config.Revision, Subject: string(report.Endpoint), Cause: cause,
	})
}

// pollCache reads an engine's cache events. They are hints: a failure is not
// told to anyone.
func (s *Shell) pollCache(ctx context.Context, p poll, incarnation core.Incarnation) {
	events, err := s.settings.Client.CacheEvents(ctx, p.endpoint, p.after)
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
	kept.incarnation = incarnation
	kept.after = p.after
	if len(events) > 0 {
		kept.after = events[len(events)-1].Sequence
	}
}

// polled lets the endpoint be asked again.
func (s *Shell) polled(name core.EndpointName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.polls.find(name); p != nil {
		p.asking = false
	}
}
