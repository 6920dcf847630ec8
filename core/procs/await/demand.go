package await

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// The load that this answers: too few requests of a kind reach one host for it to know how each
// kind of a service fares. Hosts therefore tell each other how many they decided on lately.
const (
	// _demandHalfLife is the time in which a counted request loses half of its weight: some
	// heartbeats. With a second, what was refused in a burst of ten times the load still counted
	// most for four seconds after it.
	_demandHalfLife = 700 * time.Millisecond
	// _demandTTL is how long the counts of another host count: as long as its loads.
	_demandTTL = 2 * time.Second
	// _scarceCount is the weight of a request that was not placed in time after four half-lives.
	_scarceCount = 1.0 / 16
	// _maxKinds bounds the kinds that are counted, and reported in one datagram.
	_maxKinds = 256
	// _maxWorkspaces bounds the workspaces that are reported: one that is not among the largest
	// asks for little.
	_maxWorkspaces = 8
	// _forgottenCount is the count below which a kind is forgotten.
	_forgottenCount = 1.0 / 64
)

// Kind is the requests of a service whose routes are equally urgent. The priorities of workspaces do not count: they
// order the requests of one kind.
type Kind struct {
	Service core.ServiceName
	// Priority is that of the requests' routes; 0 is the highest.
	Priority int
	// Workspace is empty for the requests of all workspaces, which Demand holds beside those of the
	// largest ones.
	Workspace core.WorkspaceName
}

func (k Kind) isWhole() bool { return k.Workspace == "" }

func kindOf(request *core.RoutedRequest) Kind {
	kind := Kind{Service: request.Service}
	if request.Route != nil {
		kind.Priority = request.Route.Priority
	}
	return kind
}

// Counts counts a kind's requests, recent ones more than older ones.
type Counts struct {
	// Asked counts first attempts, Soon those of them that were placed while they could still be
	// in time, and Served all requests that were placed.
	Asked, Soon, Served float64
	// LargeAsked and LargeSoon count the same of the largest tenth.
	LargeAsked, LargeSoon float64
	// Tokens sums the memory that the first attempts need, and Squares its squares.
	Tokens, Squares float64
}

func (c *Counts) add(o Counts, weight float64) {
	c.Asked += weight * o.Asked
	c.Soon += weight * o.Soon
	c.Served += weight * o.Served
	c.LargeAsked += weight * o.LargeAsked
	c.LargeSoon += weight * o.LargeSoon
	c.Tokens += weight * o.Tokens
	c.Squares += weight * o.Squares
}

// Demand is what hosts tell each other of the requests for their services.
type Demand map[Kind]Counts

// add adds counts, with a weight, to those of some kinds.
func (d Demand) add(o Demand, weight float64) {
	for kind, counts := range o {
		if _, known := d[kind]; !known && len(d) >= _maxKinds {
			continue
		}
		sum := d[kind]
		sum.add(counts, weight)
		d[kind] = sum
	}
}

// report is the demand that a source reported at a time.
type report struct {
	demand Demand
	at     time.Time
}

// weight returns the weight that counted requests have kept after a time.
func weight(age time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / _demandHalfLife.Seconds())
}

// count adds a request to this host's own counts.
func (l *Line) count(now time.Time, kind Kind, workspace core.WorkspaceName, counts Counts) {
	l.own = report{l.ownDemand(now), now}
	l.own.demand.add(Demand{kind: counts}, 1)
	if workspace != "" {
		kind.Workspace = workspace
		l.own.demand.add(Demand{kind: {Asked: counts.Asked, Soon: counts.Soon}}, 1)
	}
}

func (l *Line) ownDemand(now time.Time) Demand {
	demand := make(Demand)
	demand.add(l.own.demand, weight(now.Sub(l.own.at)))
	maps.DeleteFunc(demand, func(_ Kind, c Counts) bool { return max(c.Asked, c.Served) < _forgottenCount })
	return demand
}

// largest drops the counts of all workspaces but the largest.
func (d Demand) largest() Demand {
	var kinds []Kind
	for kind := range d {
		if !kind.isWhole() {
			kinds = append(kinds, kind)
		}
	}
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(d[b].Asked, d[a].Asked), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service), a.Priority-b.Priority)
	})
	for _, kind := range kinds[min(len(kinds), _maxWorkspaces):] {
		delete(d, kind)
	}
	return d
}

// OwnDemand returns what this host tells the others of its data centre: nothing while it knows
// of no service that is short of capacity.
func (l *Line) OwnDemand(now time.Time) Demand {
	if !l.allDemand(now).isScarce() {
		return nil
	}
	return l.sharedDemand(now, l.ownDemand(now))
}

// DataCentreDemand returns what this host tells hosts of other data centres: the counts of all
// hosts of its own.
func (l *Line) DataCentreDemand(now time.Time) Demand {
	if !l.allDemand(now).isScarce() {
		return nil
	}
	return l.sharedDemand(now, l.sum(now, func(from place.Source) bool { return from.Host != "" }))
}

// sharedDemand returns the demand for the services whose capacity is shared; nil for none.
func (l *Line) sharedDemand(now time.Time, demand Demand) Demand {
	maps.DeleteFunc(demand, func(kind Kind, _ Counts) bool { return !l.isShared(now, kind.Service) })
	if len(demand) == 0 {
		return nil
	}
	return demand.largest()
}

// isScarce reports whether a request was lately not placed in time.
func (d Demand) isScarce() bool {
	for kind, counts := range d {
		if kind.isWhole() && counts.Asked-counts.Soon > _scarceCount {
			return true
		}
	}
	return false
}

// allDemand returns the counts of all hosts, as far as they are known.
func (l *Line) allDemand(now time.Time) Demand {
	return l.sum(now, func(place.Source) bool { return true })
}

func (l *Line) sum(now time.Time, counts func(place.Source) bool) Demand {
	sum := l.ownDemand(now)
	for from, r := range l.reports {
		if now.Sub(r.at) >= _demandTTL {
			delete(l.reports, from)
			continue
		}
		if counts(from) {
			sum.add(r.demand, weight(now.Sub(r.at)))
		}
	}
	return sum
}

// SetDemand replaces what a source reported.
func (l *Line) SetDemand(now time.Time, from place.Source, demand Demand) {
	l.reports[from] = report{demand, now}
}
