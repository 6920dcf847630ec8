package core

import "time"

// LimitMode tells what bounds a host's work on an endpoint.
type LimitMode uint8

// Limit modes. Serving uses LimitLeases; the others are baselines.
const (
	LimitLeases  LimitMode = iota // own slots and leases of other hosts' slots
	LimitShare                    // own slots only
	LimitReports                  // the last report's figures alone
	LimitNone                     // nothing
)

// Candidate is one endpoint as a policy sees it.
type Candidate struct {
	// Open is false while the endpoint takes no new work: its data centre is
	// out of service, it is leaving, or its last report is too old.
	Open bool
	// Remote is true when the endpoint is in another data centre.
	Remote bool
	// Cold is true while the endpoint is limited to its cold slots.
	Cold bool
	// Asking is true when its owners are being asked for a slot, or have all
	// refused lately.
	Asking bool
	// Role is what the endpoint takes when classes are separated.
	Role EndpointRole
	// Free counts the free slots in hand, and FreeLong those of them that long
	// requests may take.
	Free     int32
	FreeLong int32
	// Limit is the most that all hosts together may have in flight.
	Limit int32
	// Running and Waiting are as reported; Unreported is this host's work in
	// flight that the report may lack.
	Running    int32
	Waiting    int32
	Unreported int32
	// TotalTokens is the engine's memory, 0 for a plain service. UsedTokens is
	// what is expected to be in use now; RemainingTokens is the sum of what
	// the requests are expected to produce.
	TotalTokens     float32
	UsedTokens      float32
	RemainingTokens float32
}

// EndpointRole tells which class of requests an endpoint takes.
type EndpointRole uint8

// Roles of endpoints.
const (
	RoleMixed EndpointRole = iota
	RoleShort
	RoleLong
)

// PrefixHint tells that a candidate seems to have blocks of the prompt cached.
type PrefixHint struct {
	Candidate int
	Tokens    int
}

// Demand is what a request asks of an endpoint.
type Demand struct {
	// Short is true for requests of the short class.
	Short bool
	// PromptTokens is taken at once, ExpectedTokens over time.
	PromptTokens   float32
	ExpectedTokens float32
	// Avoid is the candidate that failed last, or -1.
	Avoid int
	Hints []PrefixHint
}

// RoutePolicy picks an endpoint. It is deterministic for a given source of
// random numbers. Candidates and demand are valid during the call only.
type RoutePolicy interface {
	Name() string
	Mode() LimitMode
	// Pick gives the candidate to place on, or -1 to let the request wait.
	Pick(now time.Time, demand *Demand, candidates []Candidate) int
	// Want gives the candidate to borrow a slot of, or -1.
	Want(now time.Time, demand *Demand, candidates []Candidate) int
}
