package route

import (
	"time"

	"apricotproxy/core"
)

// RoundRobin places requests on the open endpoints in turn, whatever their load.
type RoundRobin struct{ next int }

// Name returns the policy's name in the experiments' tables.
func (*RoundRobin) Name() string { return "RoundRobin" }

// Mode returns what limits the work that is placed.
func (*RoundRobin) Mode() core.LimitMode { return core.LimitNone }

// Pick returns the next open candidate, -1 if there is none.
func (p *RoundRobin) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	for range candidates {
		p.next = (p.next + 1) % len(candidates)
		if candidates[p.next].Open && p.next != demand.Avoid {
			return p.next
		}
	}
	return -1
}

// PickBorrow returns -1: the policy borrows no slots.
func (*RoundRobin) PickBorrow(time.Time, *core.Demand, []core.Candidate) int { return -1 }

// LeastReported places a request on the endpoint with the fewest requests
// according to the last reports, among those below their limit.
type LeastReported struct{}

// Name returns the policy's name in the experiments' tables.
func (*LeastReported) Name() string { return "LeastReported" }

// Mode returns what limits the work that is placed.
func (*LeastReported) Mode() core.LimitMode { return core.LimitReports }

// Pick returns the candidate with the fewest reported requests, -1 if there is
// none below its limit.
func (*LeastReported) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	best, bestLoad := -1, int32(0)
	for i := range candidates {
		c := &candidates[i]
		load := c.Running + c.Waiting
		if !c.Open || i == demand.Avoid || load >= c.Limit {
			continue
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// PickBorrow returns -1: the policy borrows no slots.
func (*LeastReported) PickBorrow(time.Time, *core.Demand, []core.Candidate) int { return -1 }

// StaticShare gives every host an equal share of each endpoint's slots and lends
// none. It places a request on the endpoint with the fewest requests, among those
// with a free slot.
type StaticShare struct{}

// Name returns the policy's name in the experiments' tables.
func (*StaticShare) Name() string { return "StaticShare" }

// Mode returns what limits the work that is placed.
func (*StaticShare) Mode() core.LimitMode { return core.LimitShare }

// Pick returns the candidate with a free slot and the fewest requests, reported
// ones and this host's own unreported ones. It returns -1 if there is none.
func (*StaticShare) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	best, bestLoad := -1, int32(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Open || c.Free == 0 || i == demand.Avoid {
			continue
		}
		if load := c.Running + c.Waiting + c.Unreported; best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// PickBorrow returns -1: the policy borrows no slots.
func (*StaticShare) PickBorrow(time.Time, *core.Demand, []core.Candidate) int { return -1 }

// LeastReportedOwn is LeastReported with this host's own unreported requests
// added.
type LeastReportedOwn struct{}

// Name returns the policy's name in the experiments' tables.
func (*LeastReportedOwn) Name() string { return "LeastReportedOwn" }

// Mode returns what limits the work that is placed.
func (*LeastReportedOwn) Mode() core.LimitMode { return core.LimitReports }

// Pick returns the candidate with the fewest requests, reported ones and this
// host's own unreported ones. It returns -1 if there is none below its limit.
func (*LeastReportedOwn) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	best, bestLoad := -1, int32(0)
	for i := range candidates {
		c := &candidates[i]
		load := c.Running + c.Waiting + c.Unreported
		if !c.Open || i == demand.Avoid || load >= c.Limit {
			continue
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// PickBorrow returns -1: the policy borrows no slots.
func (*LeastReportedOwn) PickBorrow(time.Time, *core.Demand, []core.Candidate) int { return -1 }
