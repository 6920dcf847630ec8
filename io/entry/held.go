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
	body, err := h.callEngine(ctx, engine, h.settings.Paths.Held, _maxHeldBytes)
	if err != nil {
		return nil, fmt.Errorf("request the parts: %w", err)
	}
	return h.settings.DecodeHeld(body)
}
