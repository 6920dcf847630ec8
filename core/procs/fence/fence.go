// Package fence decides which engine orders an entry host gives: to load the
// model, adapter and version of a service, or to take its role.
//
// Each endpoint has one steward, computed from the revision alone. An order
// carries a fencing number that is higher for a higher revision and rises
// within one. Endpoints that check it refuse a steward with an old view. The
// others get only loads, which do no harm when they come late or twice, after
// a fresh report and before a stored deadline.
package fence

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

const (
	// counterBits is the part of a fencing number that counts within a
	// revision.
	counterBits = 20
	counterMask = 1<<counterBits - 1

	// A report is fresh enough to order by for this long after it was asked for.
	reportTerm = 5 * time.Second
	// After an order the endpoint is left alone, longer each time.
	firstHold   = 2 * time.Minute
	longestHold = 10 * time.Minute
	// An endpoint that has lost what it was ordered to hold this many times
	// under one revision is left alone until the next: somebody else orders it
	// to hold something else.
	undoneAtMost = 2
)

// Steward gives the host that orders an endpoint, by rendezvous hashing over
// the roster; empty for an empty roster. It does not depend on who is alive.
func Steward(endpoint core.EndpointName, hosts []core.Host) core.HostName {
	var best core.HostName
	var bestRank uint64
	for _, host := range hosts {
		rank := xxhash.Sum64String("steward|" + string(endpoint) + "|" + string(host.Name))
		if best == "" || rank > bestRank || (rank == bestRank && host.Name < best) {
			best, bestRank = host.Name, rank
		}
	}
	return best
}

// Number gives the fencing number of the counter within a revision. A number
// of a higher revision is higher than all of a lower one:
// Number(7, 1) = 7*2^20 + 1 < Number(8, 1).
func Number(revision core.Revision, counter uint64) uint64 {
	return uint64(revision)<<counterBits | counter&counterMask
}

// RevisionOf gives the revision that a fencing number comes from.
func RevisionOf(number uint64) core.Revision { return core.Revision(number >> counterBits) }

// Order is one order to give.
type Order struct {
	Endpoint core.Endpoint
	Order    core.EngineOrder
	// Deadline is when the order may no longer be sent. The shell reads its
	// clock again right before it sends.
	Deadline time.Time
}

// stewarded is an endpoint that this host is the steward of.
type stewarded struct {
	endpoint core.Endpoint
	wanted   core.LoadedModel
	role     string
	// opensAt is when the steward before this one has learned of the revision.
	opensAt   time.Time
	report    core.Report
	counter   uint64
	hold      time.Duration
	heldUntil time.Time
	loaded    bool // the last report showed what is wanted
	undone    int
}

// Keeper is the state machine of a host's engine orders. It is not safe for
// concurrent use.
type Keeper struct {
	self      core.HostName
	random    *rand.Rand
	revision  core.Revision
	spread    time.Duration
	engines   int
	endpoints []*stewarded // in the order of the configuration

	configured float64 // loads a minute, whole site
	published  float64
	nextLoadAt time.Time
	viewUntil  time.Time
}

// New builds a keeper without endpoints.
func New(self core.HostName, random *rand.Rand) *Keeper {
	return &Keeper{self: self, random: random}
}

// Apply takes the endpoints that a revision makes this host the steward of. A
// gained endpoint gets no order until the revision has spread.
func (k *Keeper) Apply(now time.Time, config core.Config) {
	if config.Revision < k.revision {
		return
	}
	before := make(map[core.EndpointName]*stewarded, len(k.endpoints))
	for _, known := range k.endpoints {
		before[known.endpoint.Name] = known
	}
	k.revision = config.Revision
	k.spread = config.Limits.ConfigSpread
	k.configured = config.Limits.WeightLoads
	k.endpoints = nil
	k.engines = 0
	for _, endpoint := range config.Endpoints {
		service, ok := config.Service(endpoint.Service)
		if !ok || service.Kind != core.ServiceEngine {
			continue
		}
		k.engines++
		if Steward(endpoint.Name, config.Hosts) == k.self {
			k.endpoints = append(k.endpoints, k.adopt(now, before[endpoint.Name], endpoint, service))
		}
	}
	if wait := k.interval(); k.nextLoadAt.IsZero() && wait > 0 {
		// The incarnation before this one may have ordered a load just now.
		k.nextLoadAt = now.Add(wait + time.Duration(k.random.Float64()*float64(wait)))
	}
}

func (k *Keeper) adopt(now time.Time, before *stewarded, endpoint core.Endpoint, service core.Service) *stewarded {
	w := &stewarded{opensAt: now.Add(k.spread)}
	if before != nil {
		w = before
		w.undone = 0
		w.counter = 0
	}
	w.endpoint = endpoint
	w.wanted = core.LoadedModel{Model: service.Model, Adapter: service.Adapter, Version: service.Version}
	w.role = service.Role
	w.loaded = holds(w.report, w.wanted)
	return w
}

// SetPublishedRate takes the weight store's rate, in loads a minute.
func (k *Keeper) SetPublishedRate(loadsPerMinute float64) { k.published = loadsPerMinute }

// Confirm extends the time for which the view of this host may be ordered
// from.
func (k *Keeper) Confirm(until time.Time) {
	if until.After(k.viewUntil) {
		k.viewUntil = until
	}
}

// interval is the time between two loads of this host. Its share of the rate
// is its share of the engines, so the shares of all hosts add up to the rate:
// 2 of 20 engines at 6 loads a minute give 20/(6*2) minutes = 100 s.
func (k *Keeper) interval() time.Duration {
	rate := k.configured
	if k.published > 0 && (rate <= 0 || k.published < rate) {
		rate = k.published
	}
	if rate <= 0 || len(k.endpoints) == 0 {
		return 0
	}
	minutes := float64(k.engines) / (rate * float64(len(k.endpoints)))
	return time.Duration(minutes * float64(time.Minute))
}

// Observe takes in an endpoint's report.
func (k *Keeper) Observe(now time.Time, report core.Report) {
	for _, w := range k.endpoints {
		if w.endpoint.Name == report.Endpoint {
			w.observe(now, report)
		}
	}
}

func (w *stewarded) observe(now time.Time, report core.Report) {
	restarted := report.Incarnation != w.report.Incarnation
	loaded := holds(report, w.wanted)
	if w.loaded && !loaded && !restarted {
		w.undone++
		w.heldUntil = now.Add(max(w.hold, firstHold))
	}
	if restarted {
		// A new process of the endpoint holds nothing, which is nobody's doing.
		w.hold = 0
		w.heldUntil = time.Time{}
	}
	w.report = report
	w.loaded = loaded
}

func holds(report core.Report, wanted core.LoadedModel) bool {
	return slices.ContainsFunc(report.Models, func(m core.LoadedModel) bool {
		return m.Model == wanted.Model && m.Adapter == wanted.Adapter &&
			(wanted.Version == "" || m.Version == wanted.Version)
	})
}

// Next gives the order that is due, if any. Call Sent when it was sent.
func (k *Keeper) Next(now time.Time) (Order, bool) {
	candidates := slices.Clone(k.endpoints)
	slices.SortStableFunc(candidates, func(a, b *stewarded) int { return a.heldUntil.Compare(b.heldUntil) })
	for _, w := range candidates {
		if order, ok := k.due(now, w); ok {
			return order, true
		}
	}
	return Order{}, false
}

func (k *Keeper) due(now time.Time, w *stewarded) (Order, bool) {
	if !k.mayOrder(now, w) {
		return Order{}, false
	}
	order := core.EngineOrder{Fence: k.number(w)}
	load := w.wanted.Model != "" && !w.loaded && k.mayLoad(now)
	if load {
		order.Model, order.Adapter, order.Version = w.wanted.Model, w.wanted.Adapter, w.wanted.Version
	}
	// A late change of role could undo a newer one, so it needs the check.
	role := w.role != "" && w.report.Role != w.role && w.endpoint.ChecksFencing
	if role {
		order.Role = w.role
	}
	if !load && !role {
		return Order{}, false
	}
	deadline := w.report.AskedAt.Add(reportTerm)
	if k.viewUntil.Before(deadline) {
		deadline = k.viewUntil
	}
	return Order{Endpoint: w.endpoint, Order: order, Deadline: deadline}, true
}

// mayOrder tells whether this host's view of an endpoint is good enough. A
// report with a fencing number of a higher revision proves that it is not.
func (k *Keeper) mayOrder(now time.Time, w *stewarded) bool {
	fresh := now.Before(w.report.AskedAt.Add(reportTerm)) && now.Before(k.viewUntil)
	settled := !now.Before(w.opensAt) && !now.Before(w.heldUntil)
	superseded := RevisionOf(w.report.FencingToken) > k.revision
	return fresh && settled && !superseded && !w.endpoint.Leaving && !w.report.Leaving && w.undone < undoneAtMost
}

func (k *Keeper) mayLoad(now time.Time) bool {
	return k.interval() > 0 && !now.Before(k.nextLoadAt)
}

// number gives the next fencing number: higher than all that this host has
// given under the revision and than what the endpoint has seen under it.
func (k *Keeper) number(w *stewarded) uint64 {
	counter := w.counter
	if RevisionOf(w.report.FencingToken) == k.revision {
		counter = max(counter, w.report.FencingToken&counterMask)
	}
	return Number(k.revision, counter+1)
}

// Sent records that an order left. The endpoint is left alone for a while, and
// the next load waits for this host's share of the rate.
func (k *Keeper) Sent(now time.Time, order Order) {
	for _, w := range k.endpoints {
		if w.endpoint.Name != order.Endpoint.Name {
			continue
		}
		w.counter = max(w.counter, order.Order.Fence&counterMask)
		w.hold = min(cmp.Or(2*w.hold, firstHold), longestHold)
		w.heldUntil = now.Add(w.hold)
	}
	if order.Order.Model != "" {
		k.nextLoadAt = now.Add(k.interval())
	}
}

// Endpoints gives the endpoints that this host is the steward of.
func (k *Keeper) Endpoints() []core.EndpointName {
	var names []core.EndpointName
	for _, w := range k.endpoints {
		names = append(names, w.endpoint.Name)
	}
	return names
}
