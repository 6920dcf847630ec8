package news

import (
	"math"

	"apricotproxy/core"
	"apricotproxy/core/procs/pace"
)

// The form in which paces are sent: sums as means, in integers of few bytes.
type (
	wirePaces struct {
		_          struct{} `cbor:",toarray"`
		Host       string
		DataCentre string
		Paces      []wirePace
	}

	wirePace struct {
		_        struct{} `cbor:",toarray"`
		Endpoint wireIncarnation
		// Pauses, Exceeded and Expected are numbers, in hundredths.
		Pauses, Exceeded, Expected int64
		// LogPause, Runs and Reading are means, in hundredths.
		LogPause, Runs, Reading int64
	}
)

// _paceUnits is the number of units in which paces are sent that make one.
const _paceUnits = 100

func pacesToWire(p *Paces) *wirePaces {
	w := &wirePaces{Host: string(p.Host), DataCentre: string(p.DataCentre)}
	units := func(v float64) int64 { return int64(math.Round(v * _paceUnits)) }
	for _, r := range p.Reports[:min(len(p.Reports), pace.MaxReports)] {
		s := r.Sums
		if s.Pauses <= 0 {
			continue
		}
		w.Paces = append(w.Paces, wirePace{
			Endpoint: keyToWire(r.Key), Pauses: units(s.Pauses), Exceeded: units(s.Exceeded), Expected: units(s.Expected),
			LogPause: units(s.LogPause / s.Pauses), Runs: units(s.Runs / s.Pauses), Reading: units(s.Reading / s.Pauses),
		})
	}
	return w
}

func pacesFromWire(w *wirePaces) *Paces {
	p := &Paces{Host: core.HostName(w.Host), DataCentre: core.DataCentreName(w.DataCentre)}
	for _, s := range w.Paces[:min(len(w.Paces), pace.MaxReports)] {
		pauses := float64(s.Pauses) / _paceUnits
		sum := func(mean int64) float64 { return pauses * float64(mean) / _paceUnits }
		p.Reports = append(p.Reports, pace.Report{Key: keyFromWire(s.Endpoint), Sums: pace.Sums{
			Pauses: pauses, Exceeded: float64(s.Exceeded) / _paceUnits, Expected: float64(s.Expected) / _paceUnits,
			LogPause: sum(s.LogPause), Runs: sum(s.Runs), Reading: sum(s.Reading),
		}})
	}
	return p
}
