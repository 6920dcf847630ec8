// Package admit predicts the memory of an engine when its present work is at
// its largest, so that a request is admitted only where it will fit.
package admit

import "math"

// Load is an engine's present work, in tokens.
type Load struct {
	// Used is the memory in use.
	Used float32
	// Remaining is the sum of what the requests are expected to produce.
	Remaining float32
}

// Peak gives the largest memory that the load is expected to reach. Requests
// grow by a token a step and end at random with the mean remainder, and an
// ended one frees all that it holds, so that n requests of c tokens with a mean
// remainder of m hold n*(c+t)*exp(-t/m) after t steps. That is largest at
// t = m-c.
//
// Example: 10 requests of 500 tokens with 1000 tokens to go each reach
// 10*1000*exp(-0.5) = 6065 tokens. The sum of their final sizes would be 15000.
func (l Load) Peak() float32 {
	if l.Remaining <= l.Used {
		return l.Used
	}
	return l.Remaining * exp(l.Used/l.Remaining-1)
}

const (
	// _expSteps is the number of intervals of the table of exp on [-1, 0].
	_expSteps = 64
)

// _expTable holds exp(-1), ..., exp(0).
var _expTable = buildExpTable()

func buildExpTable() [_expSteps + 2]float32 {
	var table [_expSteps + 2]float32
	for i := range table {
		table[i] = float32(math.Exp(float64(i)/_expSteps - 1))
	}
	return table
}

// exp interpolates exp on [-1, 0] to four digits; it is called once per
// candidate of each decision.
func exp(x float32) float32 {
	at := max((x+1)*_expSteps, 0)
	i := min(int(at), _expSteps)
	part := at - float32(i)
	return _expTable[i] + part*(_expTable[i+1]-_expTable[i])
}
