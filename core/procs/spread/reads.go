package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// Bounds of the reads of the service.
const (
	// AllRead is the largest roster of which every host reads the service.
	AllRead = 12
	// Readers is the number of hosts that read it at larger rosters.
	Readers = 8
	// WatchHold is how long a watch is held before it is asked anew on
	// another connection. A connection that went silent costs no longer.
	WatchHold = 6 * time.Second
	// RereadEvery is the number of watches after which the value is read
	// without regard to its version: a service that restarted with lower
	// versions would leave a watch waiting for ever.
	RereadEvery = 4

	// Share of the read budget that the hosts which are no readers may use.
	_pollShare = 0.25
	// A poll is never rarer nor more frequent than these.
	_shortestPoll = 20 * time.Second
	_longestPoll  = 10 * time.Minute
	// Share of a period by which it is made longer or shorter at random.
	_jitter = 0.25
)

// ReadKind tells how to ask the service.
type ReadKind uint8

// Kinds of read.
const (
	ReadValue ReadKind = iota + 1
	ReadWatch
)

// Read is the next call of the service.
type Read struct {
	Kind ReadKind
	// At is when to make the call.
	At time.Time
	// HoldUntil is when a watch is given up to be asked anew.
	HoldUntil time.Time
}

// Reads decides which hosts read the service, when and how. Its state is the
// number of calls that this host has made.
type Reads struct {
	self   core.HostName
	random *rand.Rand
	// urgent asks for a plain read before anything else.
	urgent  bool
	polled  bool
	watches int
}

// NewReads builds the plan of a host that has not read yet.
func NewReads(self core.HostName, random *rand.Rand) *Reads {
	return &Reads{self: self, random: random, urgent: true}
}

// Failed takes in a failed call: the next one reads without regard to the
// version, because the service may have restarted with lower ones.
func (r *Reads) Failed() { r.urgent = true }

// IsReader tells whether this host is one of the readers among the hosts that
// it believes alive, itself included. Every host ranks them alike, so views
// that agree choose the same readers; a partition's smaller part elects its
// own.
func (r *Reads) IsReader(alive []core.HostName) bool {
	if len(alive) <= AllRead {
		return true
	}
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, func(a, b core.HostName) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return slices.Contains(ranked[:Readers], r.self)
}

func rank(host core.HostName) uint64 { return xxhash.Sum64String("reader|" + string(host)) }

// Next plans the next call. Budget is the site's reads a second; roster is the
// number of hosts that share it.
func (r *Reads) Next(now time.Time, alive []core.HostName, roster int, budget float64) Read {
	if r.urgent {
		r.urgent = false
		r.watches = 0
		return Read{Kind: ReadValue, At: now, HoldUntil: now}
	}
	if !r.IsReader(alive) {
		return Read{Kind: ReadValue, At: now.Add(r.pollWait(PollPeriod(roster, budget)))}
	}
	if r.watches == RereadEvery {
		r.watches = 0
		return Read{Kind: ReadValue, At: now}
	}
	r.watches++
	return Read{Kind: ReadWatch, At: now, HoldUntil: now.Add(r.Jitter(WatchHold))}
}

// pollWait spreads the first polls over the whole period: hosts that start
// together would poll together for many periods.
func (r *Reads) pollWait(period time.Duration) time.Duration {
	if r.polled {
		return r.Jitter(period)
	}
	r.polled = true
	return time.Duration(r.random.Float64() * float64(period))
}

// PollPeriod spreads the polls of all hosts over a share of the budget. At 360
// hosts and 20 reads a second: 360 / (0.25 * 20) = 72 s.
func PollPeriod(roster int, budget float64) time.Duration {
	if budget <= 0 {
		return _longestPoll
	}
	period := time.Duration(float64(roster) / (_pollShare * budget) * float64(time.Second))
	return min(max(period, _shortestPoll), _longestPoll)
}

// Share is a reader's own bound on its calls, so that all readers together
// stay below the rest of the budget.
func Share(roster int, budget float64) float64 {
	readers := roster
	if roster > AllRead {
		readers = Readers
	}
	return budget * (1 - _pollShare) / float64(max(readers, 1))
}

// Jitter gives a period made longer or shorter by up to a quarter.
func (r *Reads) Jitter(period time.Duration) time.Duration {
	factor := 1 + _jitter*(2*r.random.Float64()-1)
	return time.Duration(float64(period) * factor)
}
