package place

import (
	"math"

	"apricotproxy/core"
)

// Output lengths, and the errors of callers' estimates of them, spread over orders of
// magnitude, so both are tracked as means and variances of logarithms. The constants
// are the initial values, used until enough generations have ended.
const (
	// _initialLengthShare is the assumed median length as a share of the caller's
	// bound.
	_initialLengthShare = 0.3
	// _initialVariance and _initialErrorVariance are the variances of a length's
	// logarithm and of the error of a caller's estimate. Their standard deviations are
	// factors of about 2.3 and 3.
	_initialVariance      = 0.7
	_initialErrorVariance = 1.2
	// _initialCount is the number of generations that the initial values count as.
	_initialCount = 10
	// _maxCount caps the count, so that the estimates follow about that many of the
	// latest generations.
	_maxCount = 300
)

// lengthEstimator tracks, for each route, how long generations are and how accurate
// callers' estimates are.
type lengthEstimator struct{ routes map[string]*lengthEstimate }

type lengthEstimate struct {
	count         float64
	mean          float64 // of the logarithm of lengths
	variance      float64 // of the logarithm of lengths
	errorVariance float64 // of the errors of callers' estimates
}

func (l *lengthEstimator) forRoute(request *core.RoutedRequest) *lengthEstimate {
	if l.routes == nil {
		l.routes = make(map[string]*lengthEstimate)
	}
	name := ""
	if request.Route != nil {
		name = request.Route.Prefix
	}
	r := l.routes[name]
	if r == nil {
		bound := float64(max(request.Prompt.MaxOutput, request.Prompt.Expected, 1))
		r = &lengthEstimate{count: _initialCount, mean: math.Log(bound * _initialLengthShare), variance: _initialVariance, errorVariance: _initialErrorVariance}
		l.routes[name] = r
	}
	return r
}

// expectedTokens returns the mean number of tokens that a request is expected to
// produce. It combines the lengths of its route with the caller's estimate, which is
// weighted by how accurate such estimates have been.
func (l *lengthEstimator) expectedTokens(request *core.RoutedRequest) int {
	prompt := request.Prompt
	r := l.forRoute(request)
	mean, variance := r.mean, r.variance
	if prompt.Expected > 0 {
		trust := r.variance / (r.variance + r.errorVariance)
		mean += trust * (math.Log(float64(prompt.Expected)) - r.mean)
		variance *= 1 - trust
	}
	expected := int(math.Exp(mean + variance/2))
	if prompt.MaxOutput > 0 {
		expected = min(expected, prompt.MaxOutput)
	}
	return max(expected, 1)
}

// RecordOutputLength records how many tokens a request produced in total.
func (p *Placer) RecordOutputLength(request *core.RoutedRequest, tokens int) {
	if tokens <= 0 {
		return
	}
	r := p.lengths.forRoute(request)
	r.count = min(r.count+1, _maxCount)
	weight := 1 / r.count
	length := math.Log(float64(tokens))
	deviation := length - r.mean
	r.mean += weight * deviation
	r.variance += weight * (deviation*deviation - r.variance)
	if expected := request.Prompt.Expected; expected > 0 {
		estimateError := length - math.Log(float64(expected))
		r.errorVariance += weight * (estimateError*estimateError - r.errorVariance)
	}
}
