package length

import (
	"cmp"
	"slices"
)

// _sampleSize is how many lengths represent a histogram in a sample.
const _sampleSize = 64

// Sample represents a histogram by a few lengths. A new process restores it from
// another host.
type Sample struct {
	Key     Key
	Lengths []int
}

// Samples returns the shared histograms as evenly spaced quantiles, ordered by
// key. It leaves out the histograms of single workspaces, which the new process
// builds from its own completions.
func (e *Estimator) Samples() []Sample {
	var samples []Sample
	for key, s := range e.shared {
		sample := Sample{Key: key}
		for i := range _sampleSize {
			quantile := 100 * (float64(i) + 0.5) / _sampleSize
			histogram := s.recent
			if histogram.TotalCount() < _sampleSize {
				histogram = s.previous
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

// Restore adds samples to the shared histograms that have recorded fewer lengths
// than the sample has.
func (e *Estimator) Restore(samples []Sample) {
	for _, sample := range samples {
		s := e.sharedEstimate(sample.Key)
		if s.total >= int64(len(sample.Lengths)) {
			continue
		}
		for _, tokens := range sample.Lengths {
			s.record(tokens)
		}
	}
}
