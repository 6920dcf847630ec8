package await

import (
	"math"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/place"
)

// The load that this answers: a burst of long requests with a low priority fills the engines'
// memory, and requests with a higher priority find no room. Requests that are less urgent
// therefore leave room on each engine for one that is more urgent, and more or less of it by how
// both fared lately. In the same way the others leave room on some engines for large ones.
const (
	// _mostSpare bounds the room that is left for more urgent requests, in requests of their
	// average size: 2 of them are a sixth of an engine's memory.
	_mostSpare = 2
	// _spareGain is by how much this grows in a second for each part by which the more urgent are
	// served less often than they should.
	_spareGain = 4
	// _return is how many times as fast what is left shrinks, so that lent room comes back within
	// the time of a run.
	_return = 4
	// _advantage is by how much the share of the more urgent that are served should be above that
	// of the less urgent: half of the five percentage points by which it may be below.
	_advantage = 0.025
	// _wellServed is the share from which on a kind needs no more room: five percentage points
	// below all.
	_wellServed = 0.95
	// A large request is so many standard deviations above the average: about a tenth of them are.
	_largeDeviations = 1.3
	// Sizes are averaged over _sizesTime, and longer while fewer than _sizesCount are counted.
	_sizesTime  = 5 * time.Second
	_sizesCount = 10
	// _largeTarget is the share that large ones should be served at least, of that of their whole
	// kind: half is the least that is allowed.
	_largeTarget = 0.7
	// _mostLarge bounds the share of the engines that keep room for large ones: with 0.5, 0.07 of the
	// memory stayed empty, and no more of them were served.
	_mostLarge = 0.3
	// _largeGain is as _spareGain, in shares of the engines: a tenth in a second at a quarter too few.
	_largeGain = 0.4
	// _largeRoom is the room that is kept for a large request, in requests that are just large.
	_largeRoom = 1.2
	// _mostServed is the share of a kind that are served above which it counts as finding room. A lower one
	// would let urgent requests wait that mostly are not served, and take room from the others.
	_mostServed = 0.8
	// _priorCount is how many requests, all served, a share counts beside those it is made of.
	_priorCount = 1
	// _longerGoal is the ratio of two goals from which the longer one lets requests outlast others.
	_longerGoal = 2
	// _kindTTL is how long a kind counts that no request is known of.
	_kindTTL = time.Minute
	// _minStep is the time between steps: that between changes of what a host knows.
	_minStep = 20 * time.Millisecond
	// _maxStep bounds the time that one step of these levels counts.
	_maxStep = time.Second
)

// kindState is what a host knows of a kind.
type kindState struct {
	// typicalTokens is the average memory that a request needs, and largeTokens what a large one
	// needs.
	typicalTokens, largeTokens float64
	// spare is how many requests of more urgent kinds an engine keeps room for.
	spare float64
	// largeShare is the share of the engines that keep room for a large one.
	largeShare float64
	// soonShare is the share of its requests that are placed while they can be in time, on all hosts.
	soonShare float64
	steppedAt time.Time
	// fairParts holds, for workspaces that ask for more than their share, the part of their requests
	// that is within it.
	fairParts map[core.WorkspaceName]float64
	// shortestGoal and longestGoal are those of the kind's routes.
	shortestGoal, longestGoal time.Duration
	// seenAt is when a request of the kind was last known of.
	seenAt time.Time
}

func (l *Line) kind(k Kind) *kindState {
	s := l.kinds[k]
	if s == nil {
		s = &kindState{}
		l.kinds[k] = s
	}
	return s
}

// learn takes the sizes of the requests that were counted lately into account.
func (s *kindState) learn(c Counts, elapsed float64) {
	if c.Asked < 1 {
		return
	}
	mean := c.Tokens / c.Asked
	large := mean + _largeDeviations*math.Sqrt(max(c.Squares/c.Asked-mean*mean, 0))
	step := 1.0
	if s.typicalTokens > 0 {
		step = min(elapsed/_sizesTime.Seconds()*min(c.Asked/_sizesCount, 1), 1)
	}
	s.typicalTokens += step * (mean - s.typicalTokens)
	s.largeTokens += step * (large - s.largeTokens)
}

// recordDecision counts a request that was placed, or refused since there was no room.
func (l *Line) recordDecision(now time.Time, spec *place.Spec, isLate, placed bool) {
	request := &spec.Request
	if len(spec.Exclude) > 0 {
		return // counted at its first try
	}
	var c Counts
	need := float64(l.endpoints.Need(request).Tokens)
	if !isLate {
		c.Asked, c.Tokens, c.Squares = 1, need, need*need
	}
	if placed {
		c.Served = 1
		c.Soon = c.Asked
	}
	if k := l.kind(kindOf(request)); need > k.largeTokens && k.largeTokens > 0 {
		c.LargeAsked, c.LargeSoon = c.Asked, c.Soon
	}
	l.count(now, kindOf(request), request.Workspace, c)
}

// recordGoal records that a request of the kind arrived, and its goal.
func (s *kindState) recordGoal(now time.Time, goal time.Duration) {
	if s.shortestGoal == 0 || goal < s.shortestGoal {
		s.shortestGoal = goal
	}
	s.longestGoal = max(s.longestGoal, goal)
	s.seenAt = now
}

// isShared reports whether the capacity of a service is shared between kinds, sizes and workspaces
// while it is scarce: only where requests that are less urgent have much longer goals than more urgent
// ones, so that they outlast these in the queue. Elsewhere the order of the queue suffices.
func (l *Line) isShared(now time.Time, service core.ServiceName) bool {
	if l.switches.ServeByArrival || l.switches.ServeAlike {
		return false
	}
	for urgent, of := range l.kinds {
		if urgent.Service != service || of.shortestGoal == 0 || now.Sub(of.seenAt) > _kindTTL {
			continue
		}
		for other, less := range l.kinds {
			if other.Service == service && other.Priority > urgent.Priority && now.Sub(less.seenAt) <= _kindTTL && less.longestGoal > _longerGoal*of.shortestGoal {
				return true
			}
		}
	}
	return false
}

func share(part, whole float64) float64 {
	return min((part+_priorCount)/(whole+_priorCount), 1)
}

// step adapts what a kind leaves to others by how they fared.
func (l *Line) step(now time.Time, kind Kind) *kindState {
	s := l.kind(kind)
	since := now.Sub(s.steppedAt)
	if since < _minStep {
		return s
	}
	elapsed := min(since, _maxStep).Seconds()
	s.steppedAt = now
	demand := l.allDemand(now)
	own := demand[kind]
	s.learn(own, elapsed)
	soon, served := share(own.Soon, own.Asked), share(own.Served, own.Asked)
	s.soonShare = soon
	s.fairParts = fairParts(kind, demand, soon)
	gap := -1.0
	for other, of := range demand {
		if !other.isWhole() {
			continue
		}
		l.kind(other).seenAt = now
		if other.Service == kind.Service && other.Priority < kind.Priority {
			gap = max(gap, min(soon+_advantage, _wellServed)-share(of.Soon, of.Asked), min(served+_advantage, _wellServed)-share(of.Served, of.Asked))
		}
	}
	large := share(own.LargeSoon, own.LargeAsked)
	s.spare = adapted(s.spare, _spareGain*elapsed*gap, _mostSpare)
	s.largeShare = adapted(s.largeShare, _largeGain*elapsed*(_largeTarget*soon-large), _mostLarge)
	return s
}

// adapted returns a level that grows by a step, or shrinks faster.
func adapted(level, step, most float64) float64 {
	if step < 0 {
		step *= _return
	}
	return min(max(level+step, 0), most)
}

// spare returns the room that a request leaves on engines for requests that are more urgent or
// larger.
func (l *Line) spare(now time.Time, request *core.RoutedRequest) []place.Spare {
	if !hasGoal(request) || !l.isShared(now, request.Service) {
		return nil
	}
	kind := kindOf(request)
	own := l.step(now, kind)
	var spare []place.Spare
	isOnly, isUrgent := true, false
	for other, of := range l.kinds {
		if other.Service != kind.Service || other == kind || now.Sub(of.seenAt) > _kindTTL {
			continue
		}
		isOnly, isUrgent = false, isUrgent || other.Priority > kind.Priority
		if other.Priority < kind.Priority {
			l.step(now, other)
			spare = append(spare,
				place.Spare{Tokens: int(max(own.spare, 1) * of.typicalTokens), Share: min(own.spare, 1)},
				place.Spare{Tokens: int(_largeRoom * of.largeTokens), Share: of.largeShare})
		}
	}
	if need := float64(l.endpoints.Need(request).Tokens); !isOnly && need <= own.largeTokens {
		spare = append(spare, place.Spare{Tokens: int(_largeRoom*own.largeTokens - need), Share: own.largeShare})
	}
	if part, asksMuch := own.fairParts[request.Workspace]; asksMuch && !isOnly && sample(request.ID) >= part && (!isUrgent || own.soonShare < _dividedShare) {
		spare = append(spare, place.Spare{Tokens: int(_beyondRoom * own.typicalTokens), Share: 1})
	}
	return spare
}

// findsRoom reports whether less urgent requests leave room for a request, and most of its kind find
// it. It then waits as long as it can be in time, and is served though its caller comes back late.
// Otherwise this would only add to the load.
func (l *Line) findsRoom(now time.Time, request *core.RoutedRequest) bool {
	if !l.isShared(now, request.Service) {
		return false
	}
	kind := kindOf(request)
	for other, of := range l.kinds {
		if other.Service == kind.Service && other.Priority > kind.Priority && now.Sub(of.seenAt) <= _kindTTL {
			return l.step(now, kind).soonShare > _mostServed
		}
	}
	return false
}
