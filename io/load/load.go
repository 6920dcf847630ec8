// Package load sends an open-loop load to the entry hosts of a site and
// measures what callers see.
//
// Requests arrive on a schedule that the settings fix, so slow answers do not delay
// it. All latencies are measured from the scheduled arrival. A closed loop would stop
// sending while the system stalls and so omit the very requests that would have
// waited (coordinated omission).
//
// plan.go generates the arrivals, run.go sends each request at its scheduled time,
// stream.go and calls.go read and verify the answers, record.go aggregates the
// results, and report.go prints them.
package load

import (
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"apricotproxy/core"
)

// Kind is the kind of a request.
type Kind uint8

// Kinds of request.
const (
	KindDraft  Kind = iota // a long streamed generation
	KindLookup             // a short streamed generation
	KindCall               // a repeatable call of a plain service
	KindOrder              // an unrepeatable call, with a ticket of its own
	_kindCount
)

// String returns the name used in results.
func (k Kind) String() string {
	return [...]string{"Draft", "Lookup", "Call", "Order"}[k]
}

// PlainCall names a call of a plain service.
type PlainCall struct {
	Service core.ServiceName
	Call    core.CallName
}

// Settings describes one run.
type Settings struct {
	// Targets are the addresses of entry hosts, used in rotation. A target that
	// cannot be dialled is skipped.
	Targets []string
	// TLS is the client configuration for entry hosts that serve callers over TLS;
	// nil for plain HTTP.
	TLS *tls.Config
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	// AnswerTimeout limits one request, counted from its scheduled arrival.
	AnswerTimeout time.Duration
	// Silence is the time without a byte after which a stream is resumed at
	// another target, at most Resumes times.
	Silence time.Duration
	Resumes int
	// MaxOpen limits the requests in flight. Arrivals above it are counted as
	// Skipped, so that the result shows that the limit was reached.
	MaxOpen    int
	Seed       uint64
	Workspaces []core.WorkspaceName
	// DraftShare and the others are the weights of the kinds; they need not add up
	// to 1.
	DraftShare  float64
	LookupShare float64
	CallShare   float64
	OrderShare  float64

	Service      core.ServiceName // of drafts and lookups
	DraftPrompt  string
	LookupPrompt string
	DraftTokens  int // limit on a draft's output
	LookupTokens int
	Call         PlainCall
	Order        PlainCall
}

func (s Settings) shares() [_kindCount]float64 {
	return [_kindCount]float64{s.DraftShare, s.LookupShare, s.CallShare, s.OrderShare}
}

func (s Settings) scheme() string {
	if s.TLS == nil {
		return "http://"
	}
	return "https://"
}

// Check returns an error if the settings cannot be used.
func (s Settings) Check() error {
	total := 0.0
	for kind, share := range s.shares() {
		if share < 0 {
			return fmt.Errorf("the share of %s must not be below 0", Kind(kind))
		}
		total += share
	}
	switch {
	case len(s.Targets) == 0:
		return errors.New("no target; name the address of at least one entry host")
	case len(s.Workspaces) == 0:
		return errors.New("no workspace; name at least one of the site's workspaces")
	case !(s.Rate > 0):
		return errors.New("the rate must be above 0")
	case s.Duration <= 0 || s.AnswerTimeout <= 0 || s.Silence <= 0:
		return errors.New("the duration, the answer timeout and the silence must be above 0")
	case s.MaxOpen <= 0:
		return errors.New("the limit on requests in flight must be above 0")
	case total == 0:
		return errors.New("all shares are 0; give at least one kind of request a share")
	case s.DraftShare+s.LookupShare > 0 && s.Service == "":
		return errors.New("drafts and lookups need a service; name a service of model engines")
	case s.CallShare > 0 && s.Call == PlainCall{}:
		return errors.New("calls need a plain service's call, as service/call")
	case s.OrderShare > 0 && s.Order == PlainCall{}:
		return errors.New("orders need a plain service's call, as service/call")
	}
	return nil
}
