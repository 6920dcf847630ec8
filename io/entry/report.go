package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
	"apricotproxy/io/links"
)

const (
	// _reportPace is how often engines are asked while the store tells nothing:
	// an engine that is reclaimed gives about two seconds of notice.
	_reportPace    = 400 * time.Millisecond
	_reportTimeout = 300 * time.Millisecond
	_reportBytes   = 64 << 10
)

// askEngines asks engines whether they are leaving, while no host learns it from the
// store, and those whose documents lapsed. One host asks an engine for all. Reports cost
// probes, so that they are not asked for otherwise.
func (h *Host) askEngines(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, _reportPace)
		level := h.facts.level()
		blind := level.AsOf > 0 && time.Since(level.FreshAt) > h.ageAtMost()
		var group sync.WaitGroup
		for _, endpoint := range h.engines(blind) {
			if !h.peers.asks(endpoint.ID) {
				continue
			}
			group.Go(func() {
				state, err := h.askEngine(ctx, endpoint)
				if err != nil {
					h.log.Info("An engine's report cannot be had.", "Endpoint", endpoint.ID, "Cause", err.Error())
				}
				gone := errors.Is(err, syscall.ECONNREFUSED)
				if (state.Leaving || gone) && h.desk.Leave(endpoint.ID) {
					h.log.Info("An engine is leaving by its own report.", "Endpoint", endpoint.ID, "Gone", gone)
					h.peers.spread()
				}
			})
		}
		group.Wait()
	}
}

// engines lists the engines that are not known to leave: all, or those in doubt.
func (h *Host) engines(all bool) []core.RoutedEndpoint {
	view := h.facts.View()
	if view == nil || view.Table == nil {
		return nil
	}
	leaving := make(map[string]bool)
	h.desk.Look(func(p *place.Placer) {
		for _, id := range p.LeavingEndpoints() {
			leaving[id] = true
		}
	})
	var engines []core.RoutedEndpoint
	for _, e := range view.Endpoints {
		if !all && e.DropAt.IsZero() {
			continue
		}
		if s, ok := view.Table.Service(e.Service); ok && s.Engine != nil && !e.Draining && !leaving[e.ID] {
			engines = append(engines, e.RoutedEndpoint)
		}
	}
	return engines
}

func (h *Host) askEngine(ctx context.Context, endpoint core.RoutedEndpoint) (core.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	answer, err := h.links.Do(ctx, endpoint, &links.Request{
		Method: http.MethodGet, Target: h.settings.Paths.Report, HostName: endpoint.Address,
		Header: http.Header{}, Own: func(*http.Response) bool { return true },
	})
	if err != nil {
		return core.EngineState{}, fmt.Errorf("ask for a report: %w", err)
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, _reportBytes))
	if err != nil {
		return core.EngineState{}, fmt.Errorf("read a report: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return core.EngineState{}, fmt.Errorf("the engine answered with status %d", answer.StatusCode)
	}
	return h.settings.DecodeReport(body)
}
