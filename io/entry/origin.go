package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/know"
	"apricotproxy/core/procs/origin"
	"apricotproxy/io/front"
	"apricotproxy/io/links"
	"apricotproxy/io/news"
)

const (
	// _heldTimeout bounds the time in which an engine says which parts of prompts it holds.
	_heldTimeout = 300 * time.Millisecond
	// _maxHeldBytes bounds its answer: tens of thousands of parts.
	_maxHeldBytes = 4 << 20
	// _historyLength is how much of the store's history is read: longer than most streams last,
	// and about what the platform's documentation says that the store keeps.
	_historyLength  = 20 * time.Second
	_historyTimeout = 500 * time.Millisecond
)

// newOrigins returns the ledger of the builds at which streams were begun. The peers are set
// later, before it is used.
func (h *Host) newOrigins() *front.SharedOrigins {
	config := front.OriginConfig{
		Begun:       func() { h.peers.scheduleOrigins() },
		AskHosts:    func(request string) int { return h.peers.askOrigin(request) },
		ReadHistory: h.readHistory,
		Refresh:     func() { h.refreshOrigins(time.Now()) },
	}
	if h.settings.Paths.Held != "" {
		config.AskEngines = h.askEngines
	}
	return front.NewSharedOrigins(config)
}

// refreshOrigins records whether the documents are up to date, and drops what has expired.
func (h *Host) refreshOrigins(now time.Time) {
	status := h.docState.syncStatus()
	h.origins.Update(func(l *origin.Ledger) {
		l.SetCurrent(now, h.freshness.Check(now, now.Round(0), status.FreshAt, h.settings.Bounds.LeavingSpread))
		l.Expire(now)
	})
}

// askEngines asks all engines of services whether they hold a part of a prompt. Those that do
// not answer count as not holding it. The caller may leave meanwhile, but others share the answers.
func (h *Host) askEngines(ctx context.Context, arrived time.Time, services []core.ServiceName, part string) []origin.Holder {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _heldTimeout)
	defer cancel()
	engines := h.enginesOf(services)
	holders := make([]origin.Holder, len(engines))
	var group sync.WaitGroup
	for i, engine := range engines {
		holders[i].Origin = origin.Origin{Service: engine.Service, Build: engine.Build}
		group.Go(func() { holders[i].Holds = h.held.of(engine.Key()).contains(ctx, h, engine, arrived, part) })
	}
	group.Wait()
	return holders
}

// heldLists holds what engines said last of the parts that they hold.
type heldLists struct {
	mu    sync.Mutex
	byKey map[core.EndpointKey]*heldList
}

// heldList is what one engine said last. A lock is held while it is asked, so that requests that
// arrive meanwhile share its next answer.
type heldList struct {
	mu      sync.Mutex
	askedAt time.Time
	parts   []string
}

func (l *heldLists) of(key core.EndpointKey) *heldList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = make(map[core.EndpointKey]*heldList)
	}
	if l.byKey[key] == nil {
		l.byKey[key] = &heldList{}
	}
	return l.byKey[key]
}

// drop forgets all lists.
func (l *heldLists) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey = nil
}

// contains reports whether an engine holds a part. It asks the engine unless that was done since
// the request arrived.
func (l *heldList) contains(ctx context.Context, h *Host, engine core.RoutedEndpoint, arrived time.Time, part string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.askedAt.Before(arrived) {
		l.askedAt = time.Now()
		parts, err := h.requestHeld(ctx, engine)
		if err != nil {
			h.log.Info("An engine did not say which parts of prompts it holds.", "Endpoint", engine.ID, "Cause", err.Error())
		}
		l.parts = parts
	}
	return slices.Contains(l.parts, part)
}

// enginesOf returns the engines of services, including those that are leaving.
func (h *Host) enginesOf(services []core.ServiceName) []core.RoutedEndpoint {
	view := h.docState.View()
	if view == nil || view.Table == nil {
		return nil
	}
	var engines []core.RoutedEndpoint
	for _, e := range view.Endpoints {
		s, ok := view.Table.Service(e.Service)
		if ok && s.Engine != nil && slices.Contains(services, e.Service) && !view.OutOfService[e.DataCentre] {
			engines = append(engines, e.RoutedEndpoint)
		}
	}
	return engines
}

// requestHeld returns the parts of prompts that an engine holds.
func (h *Host) requestHeld(ctx context.Context, engine core.RoutedEndpoint) ([]string, error) {
	answer, err := h.links.Do(ctx, engine, &links.Request{
		Method: http.MethodGet, Target: h.settings.Paths.Held, HostName: engine.Address,
		Header: http.Header{}, Identify: func(answer *http.Response, _ bool) links.Ownership {
			return links.IdentifyCall(answer, h.settings.Names.RequestID)
		},
	})
	if err != nil {
		return nil, fmt.Errorf("request the parts: %w", err)
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, _maxHeldBytes))
	if err != nil {
		return nil, fmt.Errorf("read the parts: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the engine answered with status %d", answer.StatusCode)
	}
	return h.settings.DecodeHeld(body)
}

// readHistory returns which builds the store's history shows in service: its latest part of which
// the store still has all.
func (h *Host) readHistory(ctx context.Context) origin.Span {
	ctx, cancel := context.WithTimeout(ctx, _historyTimeout)
	defer cancel()
	position := h.docState.syncStatus()
	for revisions := h.historyRevisions(); revisions > 0; revisions /= 2 {
		after := position.AsOf - min(position.AsOf, revisions)
		documents, err := h.settings.Store.Watch(ctx, after, 0)
		if errors.Is(err, core.ErrHistoryLost) {
			continue
		}
		if err != nil || documents.Epoch != position.Epoch {
			h.log.Info("The store's history cannot be read.", "After", after, "Epoch", documents.Epoch, "Cause", errorText(err))
			return origin.Span{}
		}
		history := origin.History{Documents: documents.Documents, FromStart: after == 0, Interval: h.settings.Bounds.EndpointInterval}
		span := origin.SpanOf(time.Now(), history, h.settings.Decode)
		h.log.Info("The store's history was read.", "After", after, "Documents", len(documents.Documents), "Builds", len(span.Builds), "Known", !span.Since.IsZero())
		return span
	}
	return origin.Span{}
}

// historyRevisions returns about how many revisions endpoints' heartbeats make in _historyLength.
func (h *Host) historyRevisions() uint64 {
	view, interval := h.docState.View(), h.settings.Bounds.EndpointInterval
	if view == nil || interval <= 0 {
		return 0
	}
	return uint64(len(view.Endpoints)+1) * uint64(_historyLength/interval+1)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// scheduleOrigins makes run send the records of streams that this host began.
func (p *peers) scheduleOrigins() {
	select {
	case p.sendOriginsNow <- struct{}{}:
	default:
	}
}

// sendOrigins copies the records of streams that this host began to a few other hosts.
func (p *peers) sendOrigins(now time.Time) {
	var records []origin.Record
	p.origins.Update(func(l *origin.Ledger) { records = l.TakeUncopied() })
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	targets := p.state.CopyTargets(now)
	p.mu.Unlock()
	for chunk := range slices.Chunk(records, news.MaxOrigins) {
		p.sendOriginsTo(&news.Origins{Records: chunk}, now, targets)
	}
}

func (p *peers) sendOriginsTo(o *news.Origins, now time.Time, targets []string) {
	o.Host = p.self.Host
	datagram, err := news.EncodeOrigins(o, now)
	p.sendTo(datagram, err, targets)
}

// askOrigin asks other hosts for the record of a stream and returns how many it asked: without
// end if it does not know yet how many there are.
func (p *peers) askOrigin(request string) int {
	now := time.Now()
	p.mu.Lock()
	targets, allKnown := p.state.QuestionTargets(now)
	p.mu.Unlock()
	if len(targets) == 0 {
		return 0
	}
	p.sendOriginsTo(&news.Origins{Questions: []string{request}, ReplyTo: p.self.Heartbeat}, now, targets)
	if !allKnown {
		return math.MaxInt
	}
	return len(targets)
}

// receiveOrigins records what another host knows and answers what it asks.
func (p *peers) receiveOrigins(now time.Time, o *news.Origins) {
	if o.Host == p.self.Host {
		return
	}
	p.origins.Update(func(l *origin.Ledger) { l.Merge(o.Span) })
	p.origins.Answer(o.Host, o.Records, o.Unknown)
	if len(o.Questions) == 0 || o.ReplyTo == "" {
		return
	}
	answer := &news.Origins{}
	p.origins.Update(func(l *origin.Ledger) {
		answer.Span = l.Span(now)
		for _, request := range o.Questions {
			if r, ok := l.Find(request); ok {
				answer.Records = append(answer.Records, r)
			} else {
				answer.Unknown = append(answer.Unknown, request)
			}
		}
	})
	p.sendOriginsTo(answer, now, []string{o.ReplyTo})
}

// sendSpan sends what this host knows of the builds in service.
func (p *peers) sendSpan(now time.Time, to string) {
	o := &news.Origins{}
	p.origins.Update(func(l *origin.Ledger) { o.Span = l.Span(now) })
	if !o.Span.Since.IsZero() {
		p.sendOriginsTo(o, now, []string{to})
	}
}

// observeBuilds records the builds of a changed view, and forgets what engines said before it:
// some of them may be gone.
func (h *Host) observeBuilds(view *know.View) {
	h.held.drop()
	h.origins.Update(func(l *origin.Ledger) { l.Observe(time.Now(), view) })
}
