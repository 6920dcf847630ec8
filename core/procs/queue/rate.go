package queue

import (
	"math"
	"time"
)

const (
	// _rateTimeConstant is the time constant of the moving average.
	_rateTimeConstant = 5 * time.Second
	// _minDepartures is how many departures must have been measured before a wait
	// is estimated.
	_minDepartures = 8
)

// Rate measures how fast requests of one class leave the queue for an endpoint,
// over the time in which some are waiting. From that it estimates waiting times.
type Rate struct {
	// perSecond is an exponentially weighted moving average, and weight the sum
	// of its weights, which is below 1 while little time has been measured. Their
	// quotient is the rate.
	perSecond  float64
	weight     float64
	departures int
	updatedAt  time.Time
	// busy is true if requests have been waiting since updatedAt.
	busy bool
}

// Departed records that a request left the queue for an endpoint, and whether
// others are still waiting.
func (r *Rate) Departed(now time.Time, waiting bool) {
	if r.busy {
		r.perSecond, r.weight = r.decayed(now)
		r.perSecond += 1 / _rateTimeConstant.Seconds()
		r.departures++
	}
	r.updatedAt = now
	r.busy = waiting
}

// Entered records that a request began to wait.
func (r *Rate) Entered(now time.Time) {
	if !r.busy {
		r.busy = true
		r.updatedAt = now
	}
}

// Emptied records that the last waiting request was removed without a departure.
func (r *Rate) Emptied() { r.busy = false }

func (r *Rate) decayed(now time.Time) (perSecond, weight float64) {
	decay := math.Exp(-now.Sub(r.updatedAt).Seconds() / _rateTimeConstant.Seconds())
	return r.perSecond * decay, r.weight*decay + 1 - decay
}

// EstimateWait estimates how long a request will wait with the given number of
// others ahead of it. It returns false if too few departures have been measured or
// no request is waiting.
func (r *Rate) EstimateWait(now time.Time, ahead int) (time.Duration, bool) {
	if r.departures < _minDepartures || !r.busy {
		return 0, false
	}
	perSecond, weight := r.decayed(now)
	if perSecond <= 0 || weight <= 0 {
		return 0, false
	}
	seconds := min(float64(ahead+1)*weight/perSecond, _maxWait.Seconds())
	return time.Duration(seconds * float64(time.Second)), true
}

// _maxWait is the longest wait that is estimated.
const _maxWait = time.Hour
