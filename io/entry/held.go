package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/origin"
)

const (
	// _heldTimeout bounds the time in which an engine says which parts of prompts it holds.
	_heldTimeout = 300 * time.Millisecond
	// _maxHeldBytes bounds its answer: tens of thousands of parts.
	_maxHeldBytes = 4 << 20
)

// askEngines asks all engines of services whether they hold a part of a prompt, but those that are out of service.
// The caller may leave meanwhile, but others share the answers.
func (h *Host) askEngines(ctx context.Context, arrived time.Time, services []core.ServiceName, part string) []origin.Holder {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _heldTimeout)
	defer cancel()
	endpoints := h.endpointsOf(services)
	holders := make([]origin.Holder, len(endpoints))
	var group sync.WaitGroup
	for i, e := range endpoints {
		holders[i].Origin = origin.Origin{Service: e.Service, Build: e.Build}
		if e.canBeAsked {
			group.Go(func() {
				holders[i].Holds, holders[i].HasAnswered = h.held.of(e.Key()).contains(ctx, h, e.RoutedEndpoint, arrived, part)
			})
		}
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
	// hasAnswered is false if the engine did not answer when it was last asked.
	hasAnswered bool
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

// contains reports whether an engine holds a part, and whether it has answered. It asks the engine unless that was done since
// the request arrived.
func (l *heldList) contains(ctx context.Context, h *Host, engine core.RoutedEndpoint, arrived time.Time, part string) (holds, hasAnswered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.askedAt.Before(arrived) {
		l.askedAt = time.Now()
		parts, err := h.requestHeld(ctx, engine)
		if err != nil {
			h.log.Info("An engine did not say which parts of prompts it holds.", "Endpoint", engine.ID, "Cause", err.Error())
		}
		l.parts, l.hasAnswered = parts, err == nil
	}
	return slices.Contains(l.parts, part), l.hasAnswered
}

// possibleHolder is an endpoint that may hold a part of a prompt.
type possibleHolder struct {
	core.RoutedEndpoint
	// canBeAsked is true for an engine that is in service.
	canBeAsked bool
}

// endpointsOf returns the endpoints of services, including those that are leaving.
func (h *Host) endpointsOf(services []core.ServiceName) []possibleHolder {
	view := h.docState.View()
	if view == nil || view.Table == nil {
		return nil
	}
	var endpoints []possibleHolder
	for _, e := range view.Endpoints {
		if slices.Contains(services, e.Service) {
			s, ok := view.Table.Service(e.Service)
			endpoints = append(endpoints, possibleHolder{e.RoutedEndpoint, ok && s.Engine != nil && !view.OutOfService[e.DataCentre]})
		}
	}
	return endpoints
}

// requestHeld returns the parts of prompts that an engine holds.
func (h *Host) requestHeld(ctx context.Context, engine core.RoutedEndpoint) ([]string, error) {
	body, err := h.callEngine(ctx, engine, h.settings.Paths.Held, _maxHeldBytes)
	if err != nil {
		return nil, fmt.Errorf("request the parts: %w", err)
	}
	return h.settings.DecodeHeld(body)
}
