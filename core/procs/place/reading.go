package place

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"apricotproxy/core"
)

// The load that this answers: prompts of unlike size and goal on the same engines. An engine
// reads prompts in the order in which it gets them, so that one with a tight goal is late behind
// a long one. The reach of a prompt is the number of unread tokens behind which it still meets its
// goal. A prompt yields to another kind of prompts if its goal and reach are much longer and it is
// not smaller, or less urgent by its priority. Prompts that yield leave a share of the engines to
// the others. Those that are not smaller queue longer on the rest, as far as their own reach
// allows; if smaller ones did so too, the largest prompts would find memory nowhere.
const (
	// _kindWeight is the weight of the latest prompt in the mix: about two minutes of a host that
	// is asked for one prompt in two seconds.
	_kindWeight = 1.0 / 64
	// _minKindWeight is the weight below which a kind leaves the mix: that of a single prompt
	// after about 100 further ones.
	_minKindWeight = _kindWeight / 5
	// _maxKinds bounds the kinds that are tracked for a service.
	_maxKinds = 32
	// _longerReach is the ratio of two goals or reaches from which one counts as much longer. It is
	// the ratio of the sizes that count as one kind.
	_longerReach = 2
	// _keptMargin scales the share of the engines that is kept for prompts of a short reach, which
	// is their share of the prompt tokens: they find a short queue only if these engines are idle at
	// times. docs/design/0004-long-and-short-prompts.md has replays with 1 and 1.5.
	_keptMargin = 1.25
	// _yieldShare is the share of its reach that a prompt must have left to yield. Without it, long
	// prompts waited until they were late while the engines read all the time.
	_yieldShare = 0.5
	// _minQueuedPrefill is the least bound for a prompt of a short reach: a prompt that is too large
	// for its goal would otherwise wait for idle engines alone.
	_minQueuedPrefill = _maxQueuedPrefill / 2
	// _closedQueue is how many times the reach of a short one an engine has unread that is closed
	// to short ones: those that are sent to a kept engine do not close it.
	_closedQueue = 2
)

// kind identifies prompts that count as alike: of one goal and priority of their routes, and of
// about one size.
type kind struct {
	goal     time.Duration
	priority int
	octave   int
}

// kindUse is what a service was asked for of a kind.
type kindUse struct {
	kind
	// weight is the share of the latest prompts; tokens is their average size.
	weight, tokens float64
}

// mix tracks the kinds of prompts that a service was asked for lately.
type mix struct{ kinds []kindUse }

// RecordPrompt counts a generation with a goal in the mix of its service.
func (p *Placer) RecordPrompt(request *core.RoutedRequest) {
	m := p.mixes[request.Service]
	if m == nil {
		m = &mix{}
		p.mixes[request.Service] = m
	}
	m.record(kind{goal: request.Route.Goal, priority: request.Route.Priority, octave: bits.Len(uint(request.Prompt.Tokens))}, float64(request.Prompt.Tokens))
}

func (m *mix) record(of kind, tokens float64) {
	found := false
	for i := range m.kinds {
		k := &m.kinds[i]
		k.weight *= 1 - _kindWeight
		if k.kind == of {
			k.weight += _kindWeight
			k.tokens += (tokens - k.tokens) * _kindWeight / k.weight
			found = true
		}
	}
	m.kinds = slices.DeleteFunc(m.kinds, func(k kindUse) bool { return k.weight < _minKindWeight })
	if found {
		return
	}
	if len(m.kinds) == _maxKinds {
		lightest := slices.MinFunc(m.kinds, func(a, b kindUse) int { return cmp.Compare(a.weight, b.weight) })
		m.kinds = slices.DeleteFunc(m.kinds, func(k kindUse) bool { return k.kind == lightest.kind })
	}
	m.kinds = append(m.kinds, kindUse{kind: of, weight: _kindWeight, tokens: tokens})
}

// Reading bounds the unread prompt tokens of the engines that a prompt may be sent to.
type Reading struct {
	// Limit is the number of unread tokens at which an engine does not get the prompt.
	Limit int
	// Short is the number of unread tokens up to which an engine is open to the prompts that this
	// one yields to; 0 if it yields to none.
	Short int
	// Kept is the number of engines that are kept open, Open of those that are.
	Kept, Open int

	tokens int
	yields bool
}

// allows reports whether an engine with so many unread prompt tokens may get the prompt.
func (r *Reading) allows(unread int) bool {
	if unread >= r.Limit {
		return false
	}
	return !r.yields || unread+r.tokens <= r.Short || unread > _closedQueue*r.Short || r.Open > r.Kept
}

// Reading returns the bound for a request's prompt. It is the same for all unless the service's
// engines are bounded by kind, and while the service is asked for one kind only.
func (p *Placer) Reading(now time.Time, spec *Spec) Reading {
	request := &spec.Request
	r, m := Reading{Limit: _maxQueuedPrefill, tokens: request.Prompt.Tokens}, p.mixes[request.Service]
	engine := p.engineOf(request.Service)
	if m == nil || engine == nil || !engine.BoundByKind || p.switches.ReadAlike || spec.Continues || request.Prompt.Tokens == 0 || request.Route == nil || request.Route.Goal <= 0 {
		return r
	}
	perToken := float64(p.readEstimate(request.Service).firstEventTime(1000)) / 1000
	reach := reachOf(request.Route.Goal, float64(request.Prompt.Tokens), perToken)
	others := m.compare(request, reach, perToken)
	if others.isShort {
		r.Limit = min(r.Limit, max(int(reach), _minQueuedPrefill))
	}
	if others.share == 0 {
		return r
	}
	left := reach - float64(now.Sub(firstAsked(request)))/perToken
	r.Short, r.yields = int(others.reach), left >= _yieldShare*reach || now.After(p.LatestStart(request))
	if float64(request.Prompt.Tokens) >= others.size {
		r.Limit = max(r.Limit, int(left))
	}
	engines := 0
	for _, e := range p.services[request.Service] {
		if e.engine == nil || !p.accepts(now, e) {
			continue
		}
		engines++
		if e.ownLoad.Prefill+e.peerLoad.Prefill <= r.Short {
			r.Open++
		}
	}
	r.Kept = int(math.Ceil(_keptMargin * others.share * float64(engines)))
	return r
}

// comparison is how a request compares with the mix.
type comparison struct {
	// share is the share of the prompt tokens of the kinds that the request yields to, size their
	// average size and reach the shortest reach.
	share, size, reach float64
	// isShort is true if other kinds yield to the request.
	isShort bool
}

func (m *mix) compare(request *core.RoutedRequest, reach, perToken float64) comparison {
	own, weight, tokens, all := float64(request.Prompt.Tokens), 0.0, 0.0, 0.0
	c := comparison{reach: math.Inf(1)}
	for _, k := range m.kinds {
		other := reachOf(k.goal, k.tokens, perToken)
		all += k.weight * k.tokens
		if isLonger(request.Route.Goal, reach, k.goal, other) && (k.priority < request.Route.Priority || k.priority == request.Route.Priority && k.tokens <= own) {
			weight += k.weight
			tokens += k.weight * k.tokens
			c.reach = min(c.reach, other)
		}
		if isLonger(k.goal, other, request.Route.Goal, reach) && (k.priority > request.Route.Priority || k.priority == request.Route.Priority && k.tokens >= own) {
			c.isShort = true
		}
	}
	if weight > 0 {
		c.share, c.size = tokens/all, tokens/weight
	}
	return c
}

// isLonger reports whether a prompt can wait for much longer than another one, by goal and reach. A
// reach alone tells little where it is near 0: prompts of almost the same goal would differ.
func isLonger(goal time.Duration, reach float64, otherGoal time.Duration, otherReach float64) bool {
	return goal > _longerReach*otherGoal && reach > _longerReach*otherReach
}

// reachOf returns the number of unread tokens behind which a prompt still meets its goal.
func reachOf(goal time.Duration, tokens, perToken float64) float64 {
	return max(float64(goal)/perToken-tokens, 0)
}
