package decide

import (
	"encoding/json"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/length"
)

// snapshot is the state that a replacement host takes over from another host. With it
// the host need not ramp up endpoints that have long been warm, and knows the usual
// output lengths.
type snapshot struct {
	// Settled is the highest revision that every host has acknowledged.
	Settled   core.Revision
	Endpoints []endpointSnapshot
	Lengths   []length.Sample
}

// endpointSnapshot names an endpoint at the end of its ramp.
type endpointSnapshot struct {
	Name        core.EndpointName
	Incarnation core.Incarnation
}

// Snapshot encodes the length estimates and the warm endpoints for a replacement host.
func (d *Decider) Snapshot(now time.Time) ([]byte, error) {
	s := snapshot{Settled: d.settled, Lengths: d.lengths.Samples()}
	for _, e := range d.endpoints {
		if !e.view.Cold(now) && e.view.Limit(now, e.config, d.viewParams) >= e.config.WarmSlots {
			s.Endpoints = append(s.Endpoints, endpointSnapshot{Name: e.config.Name, Incarnation: e.view.Report.Incarnation})
		}
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode decider snapshot: %w", err)
	}
	return encoded, nil
}

// Restore loads a snapshot. What this host has observed itself takes precedence: an
// endpoint is taken as warm only if this host's own report names the same incarnation.
func (d *Decider) Restore(now time.Time, encoded []byte) error {
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return fmt.Errorf("decode decider snapshot: %w", err)
	}
	d.lengths.Restore(s.Lengths)
	if s.Settled > d.settled {
		d.settled = s.Settled
		d.acknowledge(now, d.self.Host)
	}
	for _, warm := range s.Endpoints {
		d.provenWarm[warm.Name] = warm.Incarnation
		if e := d.byName[warm.Name]; e != nil {
			e.view.SetProvenWarm(warm.Incarnation)
			d.updateCandidate(now, e)
		}
	}
	return nil
}
