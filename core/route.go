package core

import "time"

// LimitMode is what limits the requests that a host has in flight on an
// endpoint.
type LimitMode uint8

// Limit modes. Production uses LimitLeases; the others are baselines for
// experiments.
const (
	LimitLeases  LimitMode = iota // own slots and slots borrowed from other hosts
	LimitShare                    // own slots only
	LimitReports                  // the last report only
	LimitNone                     // no limit
)

// Candidate describes one endpoint to a RoutePolicy.
type Candidate struct {
	// Open is false while the endpoint takes no new work: its data centre is
	// out of service, it is leaving, or its last report is too old.
	Open bool
	// Remote is true when the endpoint is in another data centre.
	Remote bool
	// Cold is true while the endpoint is limited to its cold slots.
	Cold bool
	// BorrowPending is true while a request to borrow one of its slots is pending, and
	// for a pause after all its owners have refused.
	BorrowPending bool
	// Role is the class of requests that the endpoint takes.
	Role EndpointRole
	// Free counts the free slots that this host owns or has borrowed, and
	// FreeLong those of them that long requests may take.
	Free     int32
	FreeLong int32
	// Limit is the most requests that all hosts together may have in flight.
	Limit int32
	// Running and Waiting are as reported. Unreported counts this host's
	// requests in flight that the report may lack.
	Running    int32
	Waiting    int32
	Unreported int32
	// TotalTokens is the engine's memory, 0 for a plain service. UsedTokens is
	// the part expected to be in use now; RemainingTokens is the output that the
	// running requests are still expected to produce.
	TotalTokens     float32
	UsedTokens      float32
	RemainingTokens float32
}

// EndpointRole is the class of requests that an endpoint takes.
type EndpointRole uint8

// Roles of endpoints. RoleMixed takes both classes.
const (
	RoleMixed EndpointRole = iota
	RoleShort
	RoleLong
)

// PrefixHint estimates how many tokens of the prompt a candidate has cached.
type PrefixHint struct {
	Candidate int // index into the candidates
	Tokens    int
}

// Demand is the load that a request would put on an endpoint.
type Demand struct {
	// Short is true for requests of the short class.
	Short bool
	// PromptTokens is the memory taken at the start, ExpectedTokens the memory
	// taken over time.
	PromptTokens   float32
	ExpectedTokens float32
	// Avoid is the candidate that failed last, or -1.
	Avoid int
	Hints []PrefixHint
}

// RoutePolicy picks endpoints. It is deterministic for a given source of random
// numbers. Candidates and demand are valid only during the call.
type RoutePolicy interface {
	Name() string
	Mode() LimitMode
	// Pick returns the index of the candidate that gets the request, or -1 to
	// let the request wait.
	Pick(now time.Time, demand *Demand, candidates []Candidate) int
	// PickBorrow returns the index of the candidate to borrow a slot of, or -1.
	PickBorrow(now time.Time, demand *Demand, candidates []Candidate) int
}
