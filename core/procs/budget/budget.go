// Package budget bounds retries as a share of first tries, so that a dead
// endpoint or a cold fleet causes no storm of retries.
package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// _burst is how many retries may be saved up.
	_burst = 10
	// _backoff is the mean pause before the first retry; it doubles each time.
	_backoff = 50 * time.Millisecond
	// _backoffAtMost bounds the mean pause.
	_backoffAtMost = 2 * time.Second
)

// Budget counts the retries that are allowed. It is not safe for concurrent
// use.
type Budget struct {
	share float64
	saved float64
}

// New builds a budget of so many retries per first try, with a full burst saved.
func New(share float64) *Budget { return &Budget{share: share, saved: _burst} }

// SetShare changes the share.
func (b *Budget) SetShare(share float64) { b.share = share }

// First takes in a first try.
func (b *Budget) First() { b.saved = min(b.saved+b.share, _burst) }

// Retry takes a retry out of the budget; false when it is spent.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Refund takes back a retry that was not made.
func (b *Budget) Refund() { b.saved = min(b.saved+1, _burst) }

// Pause gives the jittered pause before a retry: between half and one and a
// half of a mean that doubles with each try.
func Pause(random *rand.Rand, try int) time.Duration {
	mean := _backoff
	for range try - 1 {
		mean = min(2*mean, _backoffAtMost)
	}
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}
