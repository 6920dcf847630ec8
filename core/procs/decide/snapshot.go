package decide

import (
	"encoding/json"
	"fmt"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/length"
)

// snapshot is what a replaced host takes over from another: it need not ramp
// up endpoints that have long been warm, and knows the usual lengths.
type snapshot struct {
	// Settled is the highest revision that every position has acknowledged.
	Settled   core.Revision
	Endpoints []endpointSnapshot
	Lengths   []length.Sample
}

// endpointSnapshot is an endpoint that has ramped up fully.
type endpointSnapshot struct {
	Name        core.EndpointName
	Incarnation core.Incarnation
}

// Snapshot carries length estimates and endpoint views to a replaced host.
func (d *Decider) Snapshot(now time.Time) ([]byte, error) {
	s := snapshot{Settled: d.settled, Lengths: d.lengths.Samples()}
	for _, e := range d.endpoints {
		if !e.view.Cold(now) && e.view.Limit(now, e.config, d.viewTerms) >= e.config.WarmSlots {
			s.Endpoints = append(s.Endpoints, endpointSnapshot{Name: e.config.Name, Incarnation: e.view.Report.Incarnation})
		}
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode the decision core's snapshot: %w", err)
	}
	return encoded, nil
}

// Restore takes in a snapshot. What this host has seen itself goes first: a warm
// spell counts only for the incarnation that its own report names.
func (d *Decider) Restore(now time.Time, encoded []byte) error {
	var s snapshot
	if err := json.Unmarshal(encoded, &s); err != nil {
		return fmt.Errorf("decode the decision core's snapshot: %w", err)
	}
	d.lengths.Restore(s.Lengths)
	if s.Settled > d.settled {
		d.settled = s.Settled
		d.acknowledge(now, d.self.Host)
	}
	for _, warm := range s.Endpoints {
		d.inherited[warm.Name] = warm.Incarnation
		if e := d.byName[warm.Name]; e != nil {
			e.view.Inherit(warm.Incarnation)
			d.update(now, e)
		}
	}
	return nil
}
