// Package fence decides which engine orders an entry host sends. An engine order
// tells an endpoint's engine to load the model, adapter and version of its service,
// or to take the role of its service.
//
// Each endpoint has one steward: the host that sends it engine orders. The steward
// follows from the configuration revision alone. An order carries a fencing token,
// which is higher for a higher revision and increases within a revision. Endpoints
// that check fencing tokens refuse a steward with an old configuration. Endpoints
// that do not check them get only orders to load, which do no harm if they arrive
// late or twice. An order follows a recent report and is sent before a deadline.
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
	// counterBits is the number of low bits of a fencing token that count the
	// orders within a revision.
	counterBits = 20
	counterMask = 1<<counterBits - 1

	// An order may follow a report for this long after the report was requested.
	maxReportAge = 5 * time.Second
	// After an order the endpoint gets no other for a time that doubles with each
	// order, from minBackoff to maxBackoff.
	minBackoff = 2 * time.Minute
	maxBackoff = 10 * time.Minute
	// An endpoint that has dropped the ordered model this many times under one
	// revision gets no more orders until the next revision, because somebody else
	// is ordering it to load another model.
	maxReverts = 2
)

// Steward returns the host that sends engine orders to an endpoint, chosen by
// rendezvous hashing over all configured hosts whether they are alive or not. It
// returns an empty name if there are no hosts.
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

// Token returns the fencing token for a counter within a revision. A token of a
// higher revision is higher than all tokens of a lower one:
// Token(7, 1) = 7*2^20 + 1 < Token(8, 1).
func Token(revision core.Revision, counter uint64) uint64 {
	return uint64(revision)<<counterBits | counter&counterMask
}

// RevisionOf returns the revision that a fencing token belongs to.
func RevisionOf(token uint64) core.Revision { return core.Revision(token >> counterBits) }

// Order is an engine order to send.
type Order struct {
	Endpoint core.Endpoint
	Order    core.EngineOrder
	// Deadline is the time from which the order must not be sent any more. The
	// sender reads the clock again right before it sends.
	Deadline time.Time
}

// target is the state of an endpoint that this host is the steward of.
type target struct {
	endpoint core.Endpoint
	wanted   core.LoadedModel
	role     string
	// notBefore is the time by which the previous steward has the revision too and
	// sends no more orders.
	notBefore    time.Time
	report       core.Report
	counter      uint64
	backoff      time.Duration
	backoffUntil time.Time
	loaded       bool // whether the last report lists the wanted model
	reverts      int
}

// Scheduler is the state machine that schedules a host's engine orders. It is not safe
// for concurrent use.
type Scheduler struct {
	self     core.HostName
	random   *rand.Rand
	revision core.Revision
	spread   time.Duration
	engines  int       // engines of the whole site
	targets  []*target // in the order of the configuration

	configuredRate float64 // loads per minute of the whole site
	publishedRate  float64
	nextLoadAt     time.Time
	viewValidUntil time.Time
}

// New returns a state machine without endpoints.
func New(self core.HostName, random *rand.Rand) *Scheduler {
	return &Scheduler{self: self, random: random}
}

// Apply puts a configuration in force and adopts the endpoints that this host is
// the steward of. A newly gained endpoint gets no order until ConfigSpread has
// passed, after which all hosts have the revision.
func (s *Scheduler) Apply(now time.Time, config core.Config) {
	if config.Revision < s.revision {
		return
	}
	before := make(map[core.EndpointName]*target, len(s.targets))
	for _, known := range s.targets {
		before[known.endpoint.Name] = known
	}
	s.revision = config.Revision
	s.spread = config.Limits.ConfigSpread
	s.configuredRate = config.Limits.WeightLoads
	s.targets = nil
	s.engines = 0
	for _, endpoint := range config.Endpoints {
		service, ok := config.Service(endpoint.Service)
		if !ok || service.Kind != core.ServiceEngine {
			continue
		}
		s.engines++
		if Steward(endpoint.Name, config.Hosts) == s.self {
			s.targets = append(s.targets, s.newTarget(now, before[endpoint.Name], endpoint, service))
		}
	}
	if wait := s.loadInterval(); s.nextLoadAt.IsZero() && wait > 0 {
		// The previous incarnation of this host may have just ordered a load.
		s.nextLoadAt = now.Add(wait + time.Duration(s.random.Float64()*float64(wait)))
	}
}

// newTarget returns the state of an endpoint under a new revision. Before is its
// state under the previous one, or nil.
func (s *Scheduler) newTarget(now time.Time, before *target, endpoint core.Endpoint, service core.Service) *target {
	t := &target{notBefore: now.Add(s.spread)}
	if before != nil {
		t = before
		t.reverts = 0
		t.counter = 0
	}
	t.endpoint = endpoint
	t.wanted = core.LoadedModel{Model: service.Model, Adapter: service.Adapter, Version: service.Version}
	t.role = service.Role
	t.loaded = hasModel(t.report, t.wanted)
	return t
}

// SetPublishedRate sets the rate that the weight store publishes, in loads per
// minute. The lower of the published and the configured rate applies.
func (s *Scheduler) SetPublishedRate(loadsPerMinute float64) { s.publishedRate = loadsPerMinute }

// ExtendView extends the time until which this host's view of the fleet is recent enough
// for orders.
func (s *Scheduler) ExtendView(until time.Time) {
	if until.After(s.viewValidUntil) {
		s.viewValidUntil = until
	}
}

// loadInterval returns the time between two loads that this host orders. Its share
// of the rate is its share of the engines, so the shares of all hosts add up to the
// rate. For 2 of 20 engines at 6 loads per minute it is 20/(6*2) minutes = 100 s.
func (s *Scheduler) loadInterval() time.Duration {
	rate := s.configuredRate
	if s.publishedRate > 0 && (rate <= 0 || s.publishedRate < rate) {
		rate = s.publishedRate
	}
	if rate <= 0 || len(s.targets) == 0 {
		return 0
	}
	minutes := float64(s.engines) / (rate * float64(len(s.targets)))
	return time.Duration(minutes * float64(time.Minute))
}

// Observe processes an endpoint's report.
func (s *Scheduler) Observe(now time.Time, report core.Report) {
	for _, t := range s.targets {
		if t.endpoint.Name == report.Endpoint {
			t.observe(now, report)
		}
	}
}

func (t *target) observe(now time.Time, report core.Report) {
	restarted := report.Incarnation != t.report.Incarnation
	loaded := hasModel(report, t.wanted)
	if t.loaded && !loaded && !restarted {
		t.reverts++
		t.backoffUntil = now.Add(max(t.backoff, minBackoff))
	}
	if restarted {
		// A new process of the endpoint has no model loaded, which says nothing
		// about other stewards.
		t.backoff = 0
		t.backoffUntil = time.Time{}
	}
	t.report = report
	t.loaded = loaded
}

// hasModel reports whether a report lists the wanted model. Without a wanted version
// any version matches.
func hasModel(report core.Report, wanted core.LoadedModel) bool {
	return slices.ContainsFunc(report.Models, func(m core.LoadedModel) bool {
		return m.Model == wanted.Model && m.Adapter == wanted.Adapter &&
			(wanted.Version == "" || m.Version == wanted.Version)
	})
}

// Next returns an order that is due, if there is one. The caller sends the order and
// calls Sent.
func (s *Scheduler) Next(now time.Time) (Order, bool) {
	candidates := slices.Clone(s.targets)
	slices.SortStableFunc(candidates, func(a, b *target) int { return a.backoffUntil.Compare(b.backoffUntil) })
	for _, t := range candidates {
		if order, ok := s.dueOrder(now, t); ok {
			return order, true
		}
	}
	return Order{}, false
}

// dueOrder returns the order that is due for an endpoint, if there is one.
func (s *Scheduler) dueOrder(now time.Time, t *target) (Order, bool) {
	if !s.mayOrder(now, t) {
		return Order{}, false
	}
	order := core.EngineOrder{Fence: s.nextToken(t)}
	load := t.wanted.Model != "" && !t.loaded && s.mayLoad(now)
	if load {
		order.Model, order.Adapter, order.Version = t.wanted.Model, t.wanted.Adapter, t.wanted.Version
	}
	// A delayed change of the role could undo a newer one, so it is ordered only if
	// the endpoint checks fencing tokens.
	role := t.role != "" && t.report.Role != t.role && t.endpoint.ChecksFencing
	if role {
		order.Role = t.role
	}
	if !load && !role {
		return Order{}, false
	}
	deadline := t.report.AskedAt.Add(maxReportAge)
	if s.viewValidUntil.Before(deadline) {
		deadline = s.viewValidUntil
	}
	return Order{Endpoint: t.endpoint, Order: order, Deadline: deadline}, true
}

// mayOrder reports whether an order may be sent to an endpoint: the report and this
// host's view are recent, the endpoint is not in backoff, is not leaving and did not
// drop the ordered model too often. A report with a fencing token of a higher
// revision proves that this host's configuration is old.
func (s *Scheduler) mayOrder(now time.Time, t *target) bool {
	fresh := now.Before(t.report.AskedAt.Add(maxReportAge)) && now.Before(s.viewValidUntil)
	settled := !now.Before(t.notBefore) && !now.Before(t.backoffUntil)
	superseded := RevisionOf(t.report.FencingToken) > s.revision
	return fresh && settled && !superseded && !t.endpoint.Leaving && !t.report.Leaving && t.reverts < maxReverts
}

func (s *Scheduler) mayLoad(now time.Time) bool {
	return s.loadInterval() > 0 && !now.Before(s.nextLoadAt)
}

// nextToken returns the next fencing token for an endpoint: higher than all that
// this host has sent it under the revision, and than the highest that the endpoint
// reports under the revision.
func (s *Scheduler) nextToken(t *target) uint64 {
	counter := t.counter
	if RevisionOf(t.report.FencingToken) == s.revision {
		counter = max(counter, t.report.FencingToken&counterMask)
	}
	return Token(s.revision, counter+1)
}

// Sent records that an order was sent. The endpoint gets no other order during its
// backoff, and after an order to load this host orders no other load for
// loadInterval.
func (s *Scheduler) Sent(now time.Time, order Order) {
	for _, t := range s.targets {
		if t.endpoint.Name != order.Endpoint.Name {
			continue
		}
		t.counter = max(t.counter, order.Order.Fence&counterMask)
		t.backoff = min(cmp.Or(2*t.backoff, minBackoff), maxBackoff)
		t.backoffUntil = now.Add(t.backoff)
	}
	if order.Order.Model != "" {
		s.nextLoadAt = now.Add(s.loadInterval())
	}
}

// Endpoints returns the endpoints that this host is the steward of.
func (s *Scheduler) Endpoints() []core.EndpointName {
	var names []core.EndpointName
	for _, t := range s.targets {
		names = append(names, t.endpoint.Name)
	}
	return names
}
