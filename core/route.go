package core

import "time"

// LimitMode tells what bounds a host's work on an endpoint.
type LimitMode uint8

// Limit modes. Serving uses LimitLeases; the others are baselines.
const (
	LimitLeases  LimitMode = iota // own slots and leases of other hosts' slots
	LimitShare                    // own slots only
	LimitReports                  // the last report's figures alone
)

// Candidate is one endpoint that a request may be placed on.
type Candidate struct {
	// Index identifies the endpoint within the configuration.
	Index int
	// Slots in hand, and the most that may be in use by all hosts.
	Free  int
	Limit int
	// Running and Waiting are as reported; Own is this host's work in flight
	// and Unreported the part of it that the report may lack.
	Running    int
	Waiting    int
	Own        int
	Unreported int
	// TotalTokens is the engine's memory, 0 for a plain service. PeakTokens is
	// what is expected to be in use when the present work is at its largest.
	TotalTokens int64
	PeakTokens  int64
	// NeedTokens is what the request is expected to take at its largest.
	NeedTokens int64
	// PrefixBlocks counts the prompt's blocks that the engine seems to have.
	PrefixBlocks int
	// Remote is true when the endpoint is in another data centre.
	Remote bool
}

// Candidates gives the endpoints of a request, without a copy of them all.
type Candidates interface {
	Len() int
	At(i int) Candidate
}

// RoutePolicy picks an endpoint. It is deterministic for a given source of
// random numbers.
type RoutePolicy interface {
	Name() string
	Mode() LimitMode
	// Pick gives the position in the candidates, or -1 to let the request wait.
	Pick(now time.Time, request *Request, candidates Candidates) int
	// Want gives the position of the endpoint to borrow a slot of, or -1.
	Want(now time.Time, request *Request, candidates Candidates) int
}
