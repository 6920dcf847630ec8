package place

import (
	"math"
	"time"

	"apricotproxy/core"
)

// The time from the start of a run to its first event is taken as proportional to the prompt
// tokens that are read in it: the run's own and those queued before. Engines differ in speed
// and read prompts between the tokens of other runs, so mean and variance of the ratio's
// logarithm are tracked. The constants are the values until enough runs have begun.
const (
	// _initialReadTime is the time per prompt token of an engine that reads 14 tokens in a
	// millisecond and spends half of its time on the output of other runs.
	_initialReadTime = time.Millisecond / 7
	// _initialReadVariance is that of a factor of about 1.5.
	_initialReadVariance = 0.16
	_initialReadCount    = 10
	_maxReadCount        = 100
)

// readEstimate tracks how long a service's engines take for a prompt token.
type readEstimate struct{ count, mean, variance float64 }

func (p *Placer) readEstimate(service core.ServiceName) *readEstimate {
	r := p.readEstimates[service]
	if r == nil {
		r = &readEstimate{count: _initialReadCount, mean: math.Log(float64(_initialReadTime)), variance: _initialReadVariance}
		p.readEstimates[service] = r
	}
	return r
}

// record adds the time in which prompt tokens were read.
func (r *readEstimate) record(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	r.count = min(r.count+1, _maxReadCount)
	deviation := math.Log(float64(took)/float64(tokens)) - r.mean
	r.mean += deviation / r.count
	r.variance += (deviation*deviation - r.variance) / r.count
}

// firstEventTime returns the time in which five of six prompts of that many tokens have their
// first event: one standard deviation above the mean.
func (r *readEstimate) firstEventTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * math.Exp(r.mean+math.Sqrt(r.variance)))
}

// _minStartShare is the share of its goal for which a generation may wait at least before it
// counts as late: a prompt that is too large for its goal would otherwise get nothing under
// load.
const _minStartShare = 0.3

// LatestStart returns the last time at which a generation can start on an engine that reads no
// other prompt and is still expected to have its first event within its route's goal, which
// counts from the caller's first attempt. It is zero for other requests.
func (p *Placer) LatestStart(request *core.RoutedRequest) time.Time {
	if request.Prompt.Tokens == 0 || request.Route == nil || request.Route.Goal <= 0 {
		return time.Time{}
	}
	goal := request.Route.Goal
	spare := goal - p.readEstimate(request.Service).firstEventTime(request.Prompt.Tokens)
	return firstAsked(request).Add(max(spare, time.Duration(_minStartShare*float64(goal))))
}

// firstAsked returns when the caller of a request sent its first attempt, as far as that is known.
func firstAsked(request *core.RoutedRequest) time.Time {
	if request.FirstAsked.IsZero() {
		return request.Arrived
	}
	return request.FirstAsked
}
