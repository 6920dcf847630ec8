package place

import (
	"math"

	"apricotproxy/core"
)

// Lengths and callers' errors about them spread over orders of magnitude, so that
// both are learnt as means and variances of logarithms. Until enough generations
// ended, these stand in.
const (
	// _firstShare is the median length as a share of the callers' bound.
	_firstShare = 0.3
	// _firstSpread and _firstError are the variances of a length's logarithm and
	// of the error of a caller's estimate: factors of about 2.3 and 3.
	_firstSpread = 0.7
	_firstError  = 1.2
	// _firstCount is how many generations these count as.
	_firstCount = 10
	// _lengthMemory is how many generations the estimates remember.
	_lengthMemory = 300
)

// lengths learns, for each route, how long generations are and what callers'
// estimates are worth.
type lengths struct{ routes map[string]*routeLengths }

type routeLengths struct {
	count  float64
	mean   float64 // of the length's logarithm
	spread float64 // its variance
	error  float64 // variance of the estimate's error
}

func (l *lengths) route(request *core.RoutedRequest) *routeLengths {
	if l.routes == nil {
		l.routes = make(map[string]*routeLengths)
	}
	name := ""
	if request.Route != nil {
		name = request.Route.Prefix
	}
	r := l.routes[name]
	if r == nil {
		bound := float64(max(request.Prompt.MaxOutput, request.Prompt.Expected, 1))
		r = &routeLengths{count: _firstCount, mean: math.Log(bound * _firstShare), spread: _firstSpread, error: _firstError}
		l.routes[name] = r
	}
	return r
}

// expect gives the mean of the tokens that a request will produce: what its route
// produces, and the caller's estimate as far as such estimates were worth
// anything.
func (l *lengths) expect(request *core.RoutedRequest) int {
	prompt := request.Prompt
	r := l.route(request)
	mean, spread := r.mean, r.spread
	if prompt.Expected > 0 {
		trust := r.spread / (r.spread + r.error)
		mean += trust * (math.Log(float64(prompt.Expected)) - r.mean)
		spread *= 1 - trust
	}
	expected := int(math.Exp(mean + spread/2))
	if prompt.MaxOutput > 0 {
		expected = min(expected, prompt.MaxOutput)
	}
	return max(expected, 1)
}

// Produced takes in how many tokens a request produced in the end.
func (p *Placer) Produced(request *core.RoutedRequest, tokens int) {
	if tokens <= 0 {
		return
	}
	r := p.lengths.route(request)
	r.count = min(r.count+1, _lengthMemory)
	weight := 1 / r.count
	length := math.Log(float64(tokens))
	off := length - r.mean
	r.mean += weight * off
	r.spread += weight * (off*off - r.spread)
	if expected := request.Prompt.Expected; expected > 0 {
		miss := length - math.Log(float64(expected))
		r.error += weight * (miss*miss - r.error)
	}
}
