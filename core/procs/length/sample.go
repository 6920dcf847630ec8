package length

import (
	"cmp"
	"slices"
)

// _sampleValues is how many lengths stand for a histogram in a sample.
const _sampleValues = 64

// Sample is a histogram in few values, for a host that is replaced.
type Sample struct {
	Key     Key
	Lengths []int
}

// Samples gives the shared histograms as evenly spaced quantiles, in the order
// of their keys. Those of single workspaces are learned anew.
func (e *Estimates) Samples() []Sample {
	var samples []Sample
	for key, s := range e.shared {
		sample := Sample{Key: key}
		for i := range _sampleValues {
			quantile := 100 * (float64(i) + 0.5) / _sampleValues
			histogram := s.recent
			if histogram.TotalCount() < _sampleValues {
				histogram = s.before
			}
			if histogram.TotalCount() > 0 {
				sample.Lengths = append(sample.Lengths, int(histogram.ValueAtQuantile(quantile)))
			}
		}
		samples = append(samples, sample)
	}
	slices.SortFunc(samples, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Model, b.Key.Model))
	})
	return samples
}

// Restore takes in samples for histograms that have seen less themselves.
func (e *Estimates) Restore(samples []Sample) {
	for _, sample := range samples {
		s := e.sharedOf(sample.Key)
		if s.total >= int64(len(sample.Lengths)) {
			continue
		}
		for _, tokens := range sample.Lengths {
			s.record(tokens)
		}
	}
}
