package load

import (
	"math/rand/v2"
	"time"

	"apricotproxy/core"
)

// arrival is one scheduled request.
type arrival struct {
	Serial    int
	Offset    time.Duration // from the start of the run
	Kind      Kind
	Workspace core.WorkspaceName
}

// plan generates the arrivals as a Poisson process: independent requests at a mean
// rate, with exponentially distributed gaps. The same seed gives the same arrivals.
type plan struct {
	settings Settings
	random   *rand.Rand
	last     arrival
}

func newPlan(settings Settings) *plan {
	return &plan{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1))}
}

// next returns the next arrival, or false after the end of the run.
func (p *plan) next() (arrival, bool) {
	gap := p.random.ExpFloat64() / p.settings.Rate
	offset := p.last.Offset + time.Duration(gap*float64(time.Second))
	if offset >= p.settings.Duration {
		return arrival{}, false
	}
	serial := p.last.Serial + 1
	p.last = arrival{
		Serial:    serial,
		Offset:    offset,
		Kind:      p.drawKind(),
		Workspace: p.settings.Workspaces[p.random.IntN(len(p.settings.Workspaces))],
	}
	return p.last, true
}

// drawKind picks a kind at random by the shares.
func (p *plan) drawKind() Kind {
	shares := p.settings.shares()
	total := 0.0
	for _, share := range shares {
		total += share
	}
	draw := p.random.Float64() * total
	last := KindDraft
	for kind, share := range shares {
		if share == 0 {
			continue
		}
		last = Kind(kind)
		if draw < share {
			break
		}
		draw -= share
	}
	return last
}
