package route

import (
	"time"

	"apricotproxy/core"
)

// RoundRobin places on each open endpoint in turn, whatever its load.
type RoundRobin struct{ next int }

// Name gives the policy's name in tables.
func (*RoundRobin) Name() string { return "RoundRobin" }

// Mode gives what bounds the work.
func (*RoundRobin) Mode() core.LimitMode { return core.LimitNone }

// Pick takes the next open candidate.
func (p *RoundRobin) Pick(_ time.Time, demand *core.Demand, candidates []core.Candidate) int {
	for range candidates {
		p.next = (p.next + 1) % len(candidates)
		if candidates[p.next].Open && p.next != demand.Avoid {
			return p.next
		}
	}
	return -1
}

// Want borrows nothing.
func (*RoundRobin) Want(time.Time, *core.Demand, []core.Candidate) int { return -1 }

// LeastReported places on the endpoint with the least reported work while that
// is below the endpoint's limit.
type LeastReported struct{}

// Name gives the policy's name in tables.
func (*LeastReported) Name() string { return "LeastReported" }

// Mode gives what bounds the work.
func (*LeastReported) Mode() core.LimitMode { return core.LimitReports }

// Pick takes the candidate with the least reported work.
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

// Want borrows nothing.
func (*LeastReported) Want(time.Time, *core.Demand, []core.Candidate) int { return -1 }

// StaticShare gives every host an equal share of each endpoint's slots and
// lends none; among those it takes the least reported work.
type StaticShare struct{}

// Name gives the policy's name in tables.
func (*StaticShare) Name() string { return "StaticShare" }

// Mode gives what bounds the work.
func (*StaticShare) Mode() core.LimitMode { return core.LimitShare }

// Pick takes the candidate with a free slot and the least reported work.
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

// Want borrows nothing.
func (*StaticShare) Want(time.Time, *core.Demand, []core.Candidate) int { return -1 }

// LeastReportedOwn is LeastReported with this host's own unreported work added.
type LeastReportedOwn struct{}

// Name gives the policy's name in tables.
func (*LeastReportedOwn) Name() string { return "LeastReportedOwn" }

// Mode gives what bounds the work.
func (*LeastReportedOwn) Mode() core.LimitMode { return core.LimitReports }

// Pick takes the candidate with the least reported and own work.
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

// Want borrows nothing.
func (*LeastReportedOwn) Want(time.Time, *core.Demand, []core.Candidate) int { return -1 }
