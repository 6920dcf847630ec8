package pace

import "math"

const (
	// _offsets is the number of bins of the offsets of engines, _offsetWidth their width and
	// _firstOffset where they begin: from a fifth to seven times the usual pause, as logarithms.
	_offsets     = 36
	_offsetWidth = 0.1
	_firstOffset = -1.6
	// _minEngines is the number of engines from which their distribution is used. Fewer don't tell
	// how frequent slow ones are.
	_minEngines = 8
	// _pastEngines caps the number of engines that are gone and still count.
	_pastEngines = 100
	// _flatEngines is the number of engines that the assumption counts for that all offsets are
	// as frequent.
	_flatEngines = 0.5
	// _pausesTogether is the number of successive pauses of a stream that tell as much as one: a
	// disturbance lasts some hundred milliseconds.
	_pausesTogether = 3
	// _offsetError is the standard deviation of an engine's offset however many pauses were
	// seen: the usual pause at its load is an estimate.
	_offsetError = 0.05
	// _minClassWeight is the probability below which a class of engines is left out.
	_minClassWeight = 0.005
	// _clearWeight is the probability from which it is clear of which class an engine is.
	_clearWeight = 0.9
)

// offsetShares is a distribution of offsets; its sum is 1 or a number of engines.
type offsetShares [_offsets]float64

func (o *offsetShares) add(p *offsetShares, factor float64) {
	for i := range o {
		o[i] += factor * p[i]
	}
}

// offsetOf returns the offset in the middle of a bin.
func offsetOf(bin int) float64 { return _firstOffset + (float64(bin)+0.5)*_offsetWidth }

// population is how the offsets of the engines of a service are distributed. Each engine counts
// once, with the distribution that its pauses let expect.
type population struct {
	// present holds the engines that are there, past those that are gone.
	present, past           offsetShares
	presentCount, pastCount float64
}

func (p *population) isKnown() bool { return p.presentCount+p.pastCount >= _minEngines }

// retire lets an engine that is gone count further, until others take its place.
func (p *population) retire(e *Engine) {
	p.present.add(&e.posterior, -e.counted)
	p.presentCount -= e.counted
	p.past.add(&e.posterior, e.counted)
	p.pastCount += e.counted
	if p.pastCount > _pastEngines {
		keep := _pastEngines / p.pastCount
		for i := range p.past {
			p.past[i] *= keep
		}
		p.pastCount = _pastEngines
	}
}

// update derives the distribution of an engine's offset from that of the others, the mean
// deviation of its pauses from the usual ones and how many independent pauses that is of.
func (p *population) update(e *Engine, mean, pauses, variance float64) {
	p.present.add(&e.posterior, -e.counted)
	p.presentCount -= e.counted
	if e.counted = min(pauses, 1); pauses > 0 {
		variance = variance/pauses + _offsetError*_offsetError
		mean = min(max(mean, _firstOffset), _firstOffset+_offsets*_offsetWidth)
	}
	total := 0.0
	for i := range e.posterior {
		share := max(p.present[i], 0) + p.past[i] + _flatEngines/_offsets
		if pauses > 0 {
			of := offsetOf(i) - mean
			share *= math.Exp(-of * of / (2 * variance))
		}
		e.posterior[i] = share
		total += share
	}
	for i := range e.posterior {
		e.posterior[i] /= total
	}
	p.present.add(&e.posterior, e.counted)
	p.presentCount += e.counted
}

// split returns the bin at which the offsets are best divided into two classes: where the
// variance between their means is largest.
func (p *population) split() int {
	total, sum := 0.0, 0.0
	var shares offsetShares
	for i := range shares {
		shares[i] = max(p.present[i], 0) + p.past[i]
		total += shares[i]
		sum += shares[i] * offsetOf(i)
	}
	best, bestVariance := _offsets/2, 0.0
	below, sumBelow := 0.0, 0.0
	for i := range _offsets - 1 {
		below += shares[i]
		sumBelow += shares[i] * offsetOf(i)
		above := total - below
		if below <= 0 || above <= 0 {
			continue
		}
		distance := sumBelow/below - (sum-sumBelow)/above
		if variance := below * above * distance * distance; variance > bestVariance*(1+1e-9) {
			best, bestVariance = i+1, variance
		}
	}
	return best
}

// classes divides an engine's distribution at a bin.
func (o *offsetShares) classes(split int) []Class {
	classes := make([]Class, 0, _maxClasses)
	for _, bins := range [...][2]int{{0, split}, {split, _offsets}} {
		var c Class
		for i := bins[0]; i < bins[1]; i++ {
			c.Weight += o[i]
			c.offset += o[i] * offsetOf(i)
		}
		if c.Weight >= _minClassWeight {
			c.offset /= c.Weight
			classes = append(classes, c)
		}
	}
	sum := 0.0
	for _, c := range classes {
		sum += c.Weight
	}
	for i := range classes {
		classes[i].Weight /= sum
	}
	return classes
}

// _maxClasses is the number of classes of engines.
const _maxClasses = 2

// Class is a pace that an engine may have: that of the usual engines or of slow ones.
type Class struct {
	// Weight is the probability that the engine has it.
	Weight float64
	// offset is the logarithm of how much slower than usual such an engine is.
	offset float64
}

// Slowness returns by what factor an engine of the class is slower than usual.
func (c Class) Slowness() float64 { return math.Exp(c.offset) }
