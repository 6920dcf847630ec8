// Package load sends an open-loop load to the entry hosts of a site and
// measures what callers see.
//
// Arrivals follow a schedule that is drawn before the run and that slow
// answers do not delay; every time is counted from the scheduled arrival. A
// closed loop would stop sending while the system stalls and so leave out the
// very requests that would have waited (coordinated omission).
//
// The phases: plan.go draws arrivals, run.go sends each one when it is due,
// stream.go and calls.go read and verify its answer, record.go counts the
// results, report.go prints them.
package load

import (
	"crypto/tls"
	"errors"
	"fmt"
	"time"

	"apricotproxy/core"
)

// Kind tells what a request asks for.
type Kind uint8

// Kinds of request.
const (
	KindDraft  Kind = iota // a long streamed generation
	KindLookup             // a short streamed generation
	KindCall               // a repeatable call of a plain service
	KindOrder              // an unrepeatable call, with a ticket of its own
	_kinds
)

// String names the kind.
func (k Kind) String() string {
	return [...]string{"Draft", "Lookup", "Call", "Order"}[k]
}

// PlainCall names a call of a plain service.
type PlainCall struct {
	Service core.ServiceName
	Call    core.CallName
}

// Settings describe one run.
type Settings struct {
	// Targets are addresses of entry hosts, taken in turn; one that cannot be
	// dialled is passed over.
	Targets []string
	// TLS is how to meet entry hosts with caller TLS; nil for plain HTTP.
	TLS *tls.Config
	// Rate is the mean number of arrivals a second.
	Rate     float64
	Duration time.Duration
	// AnswerTimeout bounds one request, from its scheduled arrival.
	AnswerTimeout time.Duration
	// Silence is how long a stream may be without a byte before it is resumed
	// at another target, at most Resumes times.
	Silence time.Duration
	Resumes int
	// MaxOpen bounds the requests in flight; arrivals above it are counted as
	// Skipped, so that the result shows the bound was met.
	MaxOpen    int
	Seed       uint64
	Workspaces []core.WorkspaceName
	// Shares of the kinds; they need not add up to 1.
	DraftShare  float64
	LookupShare float64
	CallShare   float64
	OrderShare  float64

	Service      core.ServiceName // of drafts and lookups
	DraftPrompt  string
	LookupPrompt string
	DraftTokens  int // the caller's bound on a draft's output
	LookupTokens int
	Call         PlainCall
	Order        PlainCall
}

func (s Settings) shares() [_kinds]float64 {
	return [_kinds]float64{s.DraftShare, s.LookupShare, s.CallShare, s.OrderShare}
}

func (s Settings) scheme() string {
	if s.TLS == nil {
		return "http://"
	}
	return "https://"
}

// Check gives what is wrong with the settings, or nil.
func (s Settings) Check() error {
	total := 0.0
	for kind, share := range s.shares() {
		if share < 0 {
			return fmt.Errorf("the share of %s is below 0", Kind(kind))
		}
		total += share
	}
	switch {
	case len(s.Targets) == 0:
		return errors.New("no target; name the address of at least one entry host")
	case len(s.Workspaces) == 0:
		return errors.New("no workspace; name at least one of the site's workspaces")
	case !(s.Rate > 0):
		return errors.New("the rate is not above 0")
	case s.Duration <= 0 || s.AnswerTimeout <= 0 || s.Silence <= 0:
		return errors.New("the duration, the answer timeout and the silence must be above 0")
	case s.MaxOpen <= 0:
		return errors.New("the bound on open requests is not above 0")
	case total == 0:
		return errors.New("all shares are 0; give at least one kind of request a share")
	case s.DraftShare+s.LookupShare > 0 && s.Service == "":
		return errors.New("drafts and lookups need a service; name a model engines' service")
	case s.CallShare > 0 && s.Call == PlainCall{}:
		return errors.New("calls need a plain service's call, as service/call")
	case s.OrderShare > 0 && s.Order == PlainCall{}:
		return errors.New("orders need a plain service's call, as service/call")
	}
	return nil
}
