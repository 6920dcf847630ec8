// Package admit predicts the peak memory use of an engine's current requests, so
// that a request is admitted only where it will fit.
package admit

import "math"

// Load is the load of an engine's current requests, in tokens.
type Load struct {
	// Used is the memory in use.
	Used float32
	// Remaining is how many tokens the requests are still expected to produce,
	// all together.
	Remaining float32
}

// Peak returns the largest memory use that the load is expected to reach. The
// model: each request grows by one token per step, its remaining length is
// exponentially distributed, and it frees all its memory when it ends. Then n
// requests that hold c tokens each, with a mean remaining length of m, are
// expected to hold n*(c+t)*exp(-t/m) tokens after t steps, which is largest at
// t = m-c.
//
// Example: 10 requests of 500 tokens that are expected to produce 1000 more each
// reach 10*1000*exp(-0.5) = 6065 tokens. The sum of their final sizes would be
// 15000.
func (l Load) Peak() float32 {
	if l.Remaining <= l.Used {
		return l.Used
	}
	return l.Remaining * exp(l.Used/l.Remaining-1)
}

const (
	// _expIntervals is the number of intervals that _expTable divides [-1, 0]
	// into.
	_expIntervals = 64
)

// _expTable holds the values of exp from -1 to 0, and one more for the
// interpolation at 0.
var _expTable = buildExpTable()

func buildExpTable() [_expIntervals + 2]float32 {
	var table [_expIntervals + 2]float32
	for i := range table {
		table[i] = float32(math.Exp(float64(i)/_expIntervals - 1))
	}
	return table
}

// exp returns exp(x) for x in [-1, 0] to four digits. It interpolates a table to
// be fast: a routing decision calls it once for each candidate.
func exp(x float32) float32 {
	position := max((x+1)*_expIntervals, 0)
	i := min(int(position), _expIntervals)
	fraction := position - float32(i)
	return _expTable[i] + fraction*(_expTable[i+1]-_expTable[i])
}
