package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/gossip"
	"apricotproxy/core/procs/place"
	"apricotproxy/core/procs/reach"
	"apricotproxy/io/front"
	"apricotproxy/io/links"
)

const (
	// _maxIdlePerHost limits the idle connections to another host, over which requests are relayed.
	_maxIdlePerHost = 16
	// _confirmDials is to how many other endpoints a connection is tried before an endpoint that refuses
	// connections is taken to have ended.
	_confirmDials = 2
)

// _reach counts changes of whether hosts of this process reach the endpoints, by the new state.
var _reach = expvar.NewMap("apricotproxy.Routed.Reach")

// newReach creates what tells whether this host reaches the endpoints, and the connections to other
// hosts.
func (h *Host) newReach(random *rand.Rand) {
	s := h.settings
	h.reach = front.NewSharedReach(reach.New(s.Name, s.DataCentre, random), h.reachChanged)
	h.relayLinks = links.New(links.Settings{Dialer: s.Dialer, DialTimeout: _endpointDialTimeout, MaxIdle: _maxIdlePerHost})
}

// reachChanged carries out what follows from a change of whether this host reaches the endpoints.
func (h *Host) reachChanged(before, now reach.State, lasted time.Duration) {
	_reach.Add(now.String(), 1)
	switch {
	case now == reach.CutOff:
		h.log.Info("This host reaches no endpoint.", "Suspected", lasted.Milliseconds(), "Running", h.front.Running())
		h.links.CloseIdle()
	case before == reach.CutOff:
		h.log.Info("This host reaches endpoints again.", "CutOff", lasted.Milliseconds(), "Running", h.front.Running(), "State", now.String())
		h.sharedPlacer.Update(func(p *place.Placer) { p.LiftBackoffs(time.Now()) })
	}
	h.peers.scheduleHeartbeat()
}

// runProbes opens connections to endpoints while it is in question whether this host reaches any.
func (h *Host) runProbes(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		for _, probe := range h.dueProbes() {
			group.Go(func() { h.probe(ctx, probe) })
		}
		var next <-chan time.Time
		if h.reach.State() != reach.Reaching {
			next = time.After(reach.PollInterval)
		}
		select {
		case <-ctx.Done():
		case <-h.reach.Due():
		case <-next:
		}
	}
}

// endpointProbe is a probe of an endpoint.
type endpointProbe struct {
	core.RoutedEndpoint
	needsAnswer bool
}

// dueProbes returns the probes to make now.
func (h *Host) dueProbes() []endpointProbe {
	due := h.reach.DueProbes()
	view := h.docState.View()
	if len(due) == 0 || view == nil {
		return nil
	}
	needsAnswer := make(map[core.EndpointKey]bool, len(due))
	for _, probe := range due {
		needsAnswer[probe.Key] = probe.Answer
	}
	var probes []endpointProbe
	for _, e := range view.Endpoints {
		if answer, ok := needsAnswer[e.Key()]; ok {
			probes = append(probes, endpointProbe{e.RoutedEndpoint, answer})
		}
	}
	return probes
}

// probe makes a probe. The pool reports whether a connection was opened. Without a path for reports there is no request that
// is safe to send, and the connection alone counts.
func (h *Host) probe(ctx context.Context, probe endpointProbe) {
	if !probe.needsAnswer {
		_ = h.links.Probe(ctx, probe.RoutedEndpoint)
		return
	}
	err := h.requestAnswer(ctx, probe.RoutedEndpoint)
	if ctx.Err() == nil {
		h.reach.RecordProbe(probe.RoutedEndpoint, err)
	}
}

func (h *Host) requestAnswer(ctx context.Context, endpoint core.RoutedEndpoint) error {
	if h.settings.Paths.Report == "" {
		return h.links.Probe(ctx, endpoint)
	}
	return h.links.ProbeAnswer(ctx, endpoint, h.engineCall(endpoint, h.settings.Paths.Report))
}

// reachesOther reports whether this host can open a connection to an endpoint other than the given one.
// If not, a refusal tells nothing of that endpoint. It is true if there is no other one to ask.
func (h *Host) reachesOther(ctx context.Context, id string) bool {
	if h.reach.State() != reach.Reaching {
		return false
	}
	var others []core.RoutedEndpoint
	for _, e := range h.docState.View().Endpoints {
		if e.ID != id && !e.Draining {
			others = append(others, e.RoutedEndpoint)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), _confirmDials)] {
		if h.links.Probe(ctx, other) == nil {
			return true
		}
	}
	return len(others) == 0
}

// recordHost records what another host says in a heartbeat of whether it reaches the endpoints.
func (h *Host) recordHost(heartbeat *gossip.Heartbeat) {
	from, regions := heartbeat.From, h.settings.Regions
	h.reach.RecordHost(reach.Host{
		Name: from.Host, DataCentre: from.DataCentre, SameRegion: regions[from.DataCentre] == regions[h.settings.DataCentre],
		Address: from.Documents, Reaches: heartbeat.Reaches, Stopping: heartbeat.Stopping, Incarnation: heartbeat.Incarnation,
	})
}
