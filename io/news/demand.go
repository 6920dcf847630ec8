package news

import (
	"cmp"
	"math"
	"slices"

	"apricotproxy/core"
	"apricotproxy/core/procs/await"
)

type (
	wireDemand struct {
		_           struct{} `cbor:",toarray"`
		Host        string
		DataCentre  string
		Incarnation int64
		Kinds       []wireKind
	}

	// wireKind has the counts of a kind in units of 1/_countUnit.
	wireKind struct {
		_          struct{} `cbor:",toarray"`
		Service    string
		Priority   int
		Workspace  string
		Asked      uint32
		Soon       uint32
		Served     uint32
		LargeAsked uint32
		LargeSoon  uint32
		// Tokens is the average size in tokens, and Deviation how much sizes deviate from it.
		Tokens    uint32
		Deviation uint32
	}
)

const (
	// _countUnit is by how much counts are multiplied: a request that was counted a few half-lives
	// ago still tells that capacity was short.
	_countUnit = 64
	// _maxDemandKinds bounds the kinds in one datagram, so that they fit into it. Those with the
	// most requests are kept.
	_maxDemandKinds = 64
)

func demandToWire(d *Demand) *wireDemand {
	w := &wireDemand{Host: string(d.Host), DataCentre: string(d.DataCentre), Incarnation: d.Incarnation}
	for kind, c := range d.Demand {
		mean := c.Tokens / max(c.Asked, 1e-9)
		w.Kinds = append(w.Kinds, wireKind{
			Service: string(kind.Service), Priority: kind.Priority, Workspace: string(kind.Workspace),
			Asked: countToWire(c.Asked), Soon: countToWire(c.Soon), Served: countToWire(c.Served),
			LargeAsked: countToWire(c.LargeAsked), LargeSoon: countToWire(c.LargeSoon),
			Tokens: bounded(mean), Deviation: bounded(math.Sqrt(max(c.Squares/max(c.Asked, 1e-9)-mean*mean, 0))),
		})
	}
	slices.SortFunc(w.Kinds, func(a, b wireKind) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Service, b.Service), a.Priority-b.Priority, cmp.Compare(a.Workspace, b.Workspace))
	})
	w.Kinds = w.Kinds[:min(len(w.Kinds), _maxDemandKinds)]
	return w
}

func demandFromWire(w *wireDemand) *Demand {
	d := &Demand{Host: core.HostName(w.Host), DataCentre: core.DataCentreName(w.DataCentre), Incarnation: w.Incarnation, Demand: make(await.Demand)}
	for _, k := range w.Kinds[:min(len(w.Kinds), _maxDemandKinds)] {
		asked, mean, deviation := countFromWire(k.Asked), float64(k.Tokens), float64(k.Deviation)
		d.Demand[await.Kind{Service: core.ServiceName(k.Service), Priority: k.Priority, Workspace: core.WorkspaceName(k.Workspace)}] = await.Counts{
			Asked: asked, Soon: countFromWire(k.Soon), Served: countFromWire(k.Served),
			LargeAsked: countFromWire(k.LargeAsked), LargeSoon: countFromWire(k.LargeSoon),
			Tokens: asked * mean, Squares: asked * (mean*mean + deviation*deviation),
		}
	}
	return d
}

func countToWire(count float64) uint32 { return bounded(count * _countUnit) }

func countFromWire(count uint32) float64 { return float64(count) / _countUnit }

func bounded(x float64) uint32 { return uint32(min(max(math.Round(x), 0), math.MaxUint32)) }
