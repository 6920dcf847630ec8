package place

import "apricotproxy/core"

// _lengthWeight is the weight of one finished generation in the mean ratio of
// its length to what was expected.
const _lengthWeight = 0.05

// lengths learns how callers' estimates of output lengths relate to the lengths.
type lengths struct{ ratio float64 }

// expect gives the tokens that a request is expected to produce: the caller's
// estimate, corrected by what earlier estimates were worth, within its bound.
func (l *lengths) expect(request *core.RoutedRequest) int {
	prompt := request.Prompt
	expected := prompt.MaxOutput
	if prompt.Expected > 0 {
		expected = int(float64(prompt.Expected) * max(l.ratio, 1))
	}
	if prompt.MaxOutput > 0 {
		expected = min(expected, prompt.MaxOutput)
	}
	return expected
}

// Produced takes in how many tokens a request produced in the end.
func (p *Placer) Produced(request *core.RoutedRequest, tokens int) {
	if request.Prompt.Expected <= 0 || tokens <= 0 {
		return
	}
	ratio := float64(tokens) / float64(request.Prompt.Expected)
	p.lengths.ratio += _lengthWeight * (ratio - p.lengths.ratio)
}
