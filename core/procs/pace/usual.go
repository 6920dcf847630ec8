package pace

// _maxUsualPauses caps the number of pauses that the usual pause is learnt from.
const _maxUsualPauses = _shapePauses

// usual is how long an engine of the usual pace pauses, in milliseconds: a part that is always
// there, one for each run and one while prompts are read. The parts are fitted by least squares,
// in which a pause counts relative to its length, since pauses spread by factors.
type usual struct {
	count float64
	// moments holds the sums of the products of the features, target those of the features and the
	// pause.
	moments [_features][_features]float64
	target  [_features]float64
	parts   [_features]float64
	// unfitted is the number of pauses since the last fit.
	unfitted float64
}

const (
	// _features is the number of parts of a pause.
	_features = 3
	// _fitInterval is how many pauses are added between two fits.
	_fitInterval = 8
	// _slopePrior is the weight of the assumption that a pause does not depend on the load, as a
	// number of pauses.
	_slopePrior = 1
	// _minPartShare is the share of the mean pause that the part that is always there has at
	// least.
	_minPartShare = 0.05
)

// record adds a number of pauses of a length at a load.
func (u *usual) record(pause float64, load Load, number float64) {
	if u.count == 0 {
		u.parts[0] = pause
	}
	if u.count+number > _maxUsualPauses {
		keep := max(_maxUsualPauses-number, 0) / u.count
		u.count *= keep
		for i := range u.moments {
			u.target[i] *= keep
			for j := range u.moments[i] {
				u.moments[i][j] *= keep
			}
		}
	}
	expected := u.pause(load)
	weight := number / (expected * expected)
	features := [_features]float64{1, float64(load.Runs), load.Reading}
	for i, f := range features {
		u.target[i] += weight * f * pause
		for j, g := range features {
			u.moments[i][j] += weight * f * g
		}
	}
	u.count += number
	if u.unfitted += number; u.unfitted >= _fitInterval {
		u.unfitted = 0
		u.fit()
	}
}

// fit finds the parts. None is below zero: what would be is left out.
func (u *usual) fit() {
	perPause := u.moments[0][0] / u.count
	used := [_features]bool{true, true, true}
	for {
		parts := u.solve(used, perPause*_slopePrior)
		negative := false
		for i := 1; i < _features; i++ {
			if parts[i] < 0 {
				used[i], negative = false, true
			}
		}
		if negative {
			continue
		}
		parts[0] = max(parts[0], _minPartShare*u.target[0]/u.moments[0][0])
		u.parts = parts
		return
	}
}

// solve solves the equations of the used parts by elimination. The equations are positive
// definite.
func (u *usual) solve(used [_features]bool, prior float64) [_features]float64 {
	m, t := u.moments, u.target
	for i := range _features {
		if i > 0 {
			m[i][i] += prior
		}
		if !used[i] {
			for j := range _features {
				m[i][j], m[j][i] = 0, 0
			}
			m[i][i], t[i] = 1, 0
		}
	}
	for i := range _features {
		for j := i + 1; j < _features; j++ {
			factor := m[j][i] / m[i][i]
			for k := i; k < _features; k++ {
				m[j][k] -= factor * m[i][k]
			}
			t[j] -= factor * t[i]
		}
	}
	var parts [_features]float64
	for i := _features - 1; i >= 0; i-- {
		parts[i] = t[i]
		for k := i + 1; k < _features; k++ {
			parts[i] -= m[i][k] * parts[k]
		}
		parts[i] /= m[i][i]
	}
	return parts
}

// pause returns the usual pause at a load.
func (u *usual) pause(load Load) float64 {
	return u.parts[0] + u.parts[1]*float64(load.Runs) + u.parts[2]*load.Reading
}

// reading returns the share of the latest pauses during which prompts were read.
func (u *usual) reading() float64 {
	if u.count == 0 {
		return 0
	}
	return u.moments[0][2] / u.moments[0][0]
}
