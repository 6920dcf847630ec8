// Package budget limits retries to a share of first tries, so that a failed
// endpoint or a cold fleet causes no retry storm.
package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// _burst is the largest balance of a budget, in retries.
	_burst = 10
	// _initialBackoff is the mean pause before the first retry. It doubles with
	// each further one.
	_initialBackoff = 50 * time.Millisecond
	// _maxBackoff is the largest mean pause.
	_maxBackoff = 2 * time.Second
)

// Budget counts the retries that are allowed. It is not safe for concurrent
// use.
type Budget struct {
	share   float64 // retries allowed per first try
	balance float64 // retries allowed now
}

// New returns a budget that allows a share of retries per first try, and a burst
// of them at the start.
func New(share float64) *Budget { return &Budget{share: share, balance: _burst} }

// SetShare changes the share of retries per first try.
func (b *Budget) SetShare(share float64) { b.share = share }

// Deposit records a first try, which adds the share to the balance.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.share, _burst) }

// TryWithdraw withdraws one retry. It returns false if the budget is spent.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Refund puts back a retry that was not made.
func (b *Budget) Refund() { b.balance = min(b.balance+1, _burst) }

// Backoff returns how long to wait before the retry that follows the given try,
// counted from 1. The pause is random, between 0.5 and 1.5 times a mean that
// doubles with each try.
func Backoff(random *rand.Rand, try int) time.Duration {
	mean := _initialBackoff
	for range try - 1 {
		mean = min(2*mean, _maxBackoff)
	}
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}
