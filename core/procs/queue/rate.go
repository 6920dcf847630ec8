package queue

import (
	"math"
	"time"
)

const (
	// _rateMemory is the time constant of the measured rate.
	_rateMemory = 5 * time.Second
	// _rateTrusted is how many departures a rate is trusted from.
	_rateTrusted = 8
)

// Rate measures how fast a class's requests leave the queue for an endpoint
// while some are waiting. It is the base of honest waiting times.
type Rate struct {
	// perSecond and weight decay alike; their quotient is the rate, also before
	// the memory is full.
	perSecond float64
	weight    float64
	departed  int
	last      time.Time
	// busy tells that requests were waiting since last.
	busy bool
}

// Departed takes in that a request was placed, and whether others still wait.
func (r *Rate) Departed(now time.Time, waiting bool) {
	if r.busy {
		r.perSecond, r.weight = r.decayed(now)
		r.perSecond += 1 / _rateMemory.Seconds()
		r.departed++
	}
	r.last = now
	r.busy = waiting
}

// Entered takes in that a request began to wait.
func (r *Rate) Entered(now time.Time) {
	if !r.busy {
		r.busy = true
		r.last = now
	}
}

// Emptied takes in that none waits any more without a departure.
func (r *Rate) Emptied() { r.busy = false }

func (r *Rate) decayed(now time.Time) (perSecond, weight float64) {
	decay := math.Exp(-now.Sub(r.last).Seconds() / _rateMemory.Seconds())
	return r.perSecond * decay, r.weight*decay + 1 - decay
}

// Wait estimates how long a request with so many others ahead of it waits. It
// is false while too little was seen.
func (r *Rate) Wait(now time.Time, ahead int) (time.Duration, bool) {
	if r.departed < _rateTrusted || !r.busy {
		return 0, false
	}
	perSecond, weight := r.decayed(now)
	if perSecond <= 0 || weight <= 0 {
		return 0, false
	}
	seconds := min(float64(ahead+1)*weight/perSecond, _longestWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// _longestWait bounds an estimate.
const _longestWait = time.Hour
