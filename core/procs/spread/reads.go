package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

// Limits on reading the configuration service.
const (
	// AllReadersLimit is the largest fleet in which every host is a reader.
	AllReadersLimit = 12
	// ReaderCount is the number of readers in larger fleets.
	ReaderCount = 8
	// WatchTimeout is how long a watch waits for a change before it is restarted
	// on another connection. It bounds the delay that a silently broken
	// connection causes.
	WatchTimeout = 6 * time.Second
	// WatchesPerReread is the number of watches after which the value is read
	// whatever its version is. After a restart of the service with lower versions
	// a watch would wait for ever.
	WatchesPerReread = 4

	// Share of the read budget for the polls of hosts that are not readers.
	_pollShare = 0.25
	// Bounds of the time between two polls of a host.
	_minPollPeriod = 20 * time.Second
	_maxPollPeriod = 10 * time.Minute
	// Greatest random change of a period, up or down, as a share of the period.
	_jitter = 0.25
)

// ReadKind is the kind of a call to the service.
type ReadKind uint8

// Read kinds: ReadValue returns the value at once, ReadWatch waits until it
// changes.
const (
	ReadValue ReadKind = iota + 1
	ReadWatch
)

// Read is the next call to the service.
type Read struct {
	Kind ReadKind
	// At is when to make the call.
	At time.Time
	// HoldUntil is the deadline of a watch, which is then restarted.
	HoldUntil time.Time
}

// ReadPlanner plans one host's calls to the configuration service: whether the host is
// one of the readers, which watch the value, or polls it now and then, and when the
// next call is due.
type ReadPlanner struct {
	self   core.HostName
	random *rand.Rand
	// readValueNext is true if the next call must be a ReadValue without delay.
	readValueNext bool
	polled        bool
	watches       int
}

// NewReadPlanner returns the plan of a host that has not read the service yet.
func NewReadPlanner(self core.HostName, random *rand.Rand) *ReadPlanner {
	return &ReadPlanner{self: self, random: random, readValueNext: true}
}

// Failed records a failed call. The next call reads the value whatever its version
// is, because the service may have restarted with lower versions.
func (r *ReadPlanner) Failed() { r.readValueNext = true }

// IsReader reports whether this host is one of the readers. Alive lists the hosts
// that it believes alive, itself included. All hosts rank hosts by the same hash,
// so hosts with the same view choose the same readers, and each side of a network
// partition chooses its own.
func (r *ReadPlanner) IsReader(alive []core.HostName) bool {
	if len(alive) <= AllReadersLimit {
		return true
	}
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, func(a, b core.HostName) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return slices.Contains(ranked[:ReaderCount], r.self)
}

func rank(host core.HostName) uint64 { return xxhash.Sum64String("reader|" + string(host)) }

// Next plans the next call. The budget, in reads per second, is shared by the given
// number of hosts of the site.
func (r *ReadPlanner) Next(now time.Time, alive []core.HostName, hosts int, budget float64) Read {
	if r.readValueNext {
		r.readValueNext = false
		r.watches = 0
		return Read{Kind: ReadValue, At: now, HoldUntil: now}
	}
	if !r.IsReader(alive) {
		return Read{Kind: ReadValue, At: now.Add(r.pollDelay(PollPeriod(hosts, budget)))}
	}
	if r.watches == WatchesPerReread {
		r.watches = 0
		return Read{Kind: ReadValue, At: now}
	}
	r.watches++
	return Read{Kind: ReadWatch, At: now, HoldUntil: now.Add(r.Jitter(WatchTimeout))}
}

// pollDelay returns the delay of the next poll. The first one is drawn from the whole
// period, since hosts that start together would otherwise poll together for many
// periods.
func (r *ReadPlanner) pollDelay(period time.Duration) time.Duration {
	if r.polled {
		return r.Jitter(period)
	}
	r.polled = true
	return time.Duration(r.random.Float64() * float64(period))
}

// PollPeriod returns the time between two polls of a host at which the polls of all
// hosts use the polls' share of the budget. With 360 hosts and 20 reads per second:
// 360 / (0.25 * 20) = 72 s.
func PollPeriod(hosts int, budget float64) time.Duration {
	if budget <= 0 {
		return _maxPollPeriod
	}
	period := time.Duration(float64(hosts) / (_pollShare * budget) * float64(time.Second))
	return min(max(period, _minPollPeriod), _maxPollPeriod)
}

// ReaderBudget returns the most reads per second that one reader may make, so that all
// readers of a site with this number of hosts together stay within the budget that
// the polls leave.
func ReaderBudget(hosts int, budget float64) float64 {
	readers := hosts
	if hosts > AllReadersLimit {
		readers = ReaderCount
	}
	return budget * (1 - _pollShare) / float64(max(readers, 1))
}

// Jitter returns the period, changed at random by up to a quarter up or down.
func (r *ReadPlanner) Jitter(period time.Duration) time.Duration {
	factor := 1 + _jitter*(2*r.random.Float64()-1)
	return time.Duration(float64(period) * factor)
}
