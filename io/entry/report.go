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
	// _reportInterval is the pause between two rounds of polling.
	// An engine that is about to be reclaimed gives about two seconds of notice.
	_reportInterval = 400 * time.Millisecond
	_reportTimeout  = 300 * time.Millisecond
	_maxReportBytes = 64 << 10
)

var (
	errNotOffered = errors.New("the engine does not offer the call")
	errReborn     = errors.New("the endpoint has started again")
)

// pollEngines polls engines for reports that show whether they are leaving: all engines
// while the documents are too old, as when no host can read the store, otherwise only
// those whose documents expired. One host polls an engine on behalf of all. The
// deployment charges each request for a report like a health check of the endpoint, so
// there is no polling at other times.
func (h *Host) pollEngines(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, _reportInterval)
		var group sync.WaitGroup
		for _, endpoint := range h.enginesToPoll(h.documentsOutdated()) {
			if !h.peers.shouldPoll(endpoint.ID) {
				continue
			}
			group.Go(func() {
				state, err := h.requestReport(ctx, endpoint)
				if err != nil {
					h.log.Info("Failed to get an engine's report.", "Endpoint", endpoint.ID, "Cause", err.Error())
				}
				gone := errors.Is(err, syscall.ECONNREFUSED) && h.reachesOther(ctx, endpoint.ID)
				if state.Leaving && h.sharedPlacer.NoteLeaving(endpoint.Key()) || gone && h.sharedPlacer.RecordLeaving(endpoint.Key()) {
					h.log.Info("An engine is leaving, or refuses connections.", "Endpoint", endpoint.ID, "Gone", gone)
					h.peers.scheduleHeartbeat()
				}
			})
		}
		group.Wait()
	}
}

// documentsOutdated reports whether changes of the documents may be missing, as while the store is
// down.
func (h *Host) documentsOutdated() bool {
	status := h.docState.syncStatus()
	return status.AsOf > 0 && time.Since(status.FreshAt) > h.maxAge()
}

// enginesToPoll returns the engines that are not known to be leaving: all of them, or
// only those whose documents expired.
func (h *Host) enginesToPoll(all bool) []core.RoutedEndpoint {
	view := h.docState.View()
	if view == nil || view.Table == nil {
		return nil
	}
	leaving := make(map[string]bool)
	for _, key := range h.leavingEndpoints() {
		leaving[key.ID] = true
	}
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

// leavingEndpoints lists the endpoints that are leaving although their documents do not say so.
func (h *Host) leavingEndpoints() (keys []core.EndpointKey) {
	h.sharedPlacer.WithLock(func(p *place.Placer) { keys = p.LeavingEndpoints() })
	return keys
}

func (h *Host) requestReport(ctx context.Context, endpoint core.RoutedEndpoint) (core.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, _reportTimeout)
	defer cancel()
	body, err := h.callEngine(ctx, endpoint, h.settings.Paths.Report, _maxReportBytes)
	if err != nil {
		return core.EngineState{}, fmt.Errorf("request a report: %w", err)
	}
	return h.settings.DecodeReport(body)
}

// callEngine returns the body of an engine's answer to a call that has no request id. The error
// wraps errNotOffered if its status is not 200.
func (h *Host) callEngine(ctx context.Context, engine core.RoutedEndpoint, target string, maxBytes int64) ([]byte, error) {
	answer, err := h.links.Do(ctx, engine, h.engineCall(engine, target))
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxBytes))
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errNotOffered, answer.StatusCode)
	}
	return body, nil
}

// engineCall returns a call that has no request id.
func (h *Host) engineCall(engine core.RoutedEndpoint, target string) *links.Request {
	return &links.Request{
		Method: http.MethodGet, Target: target, HostName: engine.Address,
		Header: http.Header{}, Identify: func(answer *http.Response, _ bool) links.Ownership {
			return links.IdentifyCall(answer, h.settings.Names.RequestID)
		},
	}
}

// confirmIncarnation asks an engine whether it still is the incarnation that the host knows. One
// that came back under its ID may be of another build before the host's documents tell so. An
// engine that does not tell when it started is taken for the same.
func (h *Host) confirmIncarnation(ctx context.Context, endpoint core.RoutedEndpoint) error {
	if endpoint.Born.IsZero() || h.settings.DecodeReport == nil {
		return nil
	}
	state, err := h.requestReport(ctx, endpoint)
	switch {
	case errors.Is(err, errNotOffered):
		return nil
	case err != nil:
		return fmt.Errorf("ask when the engine started: %w", err)
	case !state.Born.IsZero() && !state.Born.Equal(endpoint.Born):
		return errReborn
	}
	return nil
}
