package exper

import (
	"slices"
	"time"

	"apricotproxy/core"
)

// Parameters of the fake engine. It batches continuously: each step computes some
// prompt tokens and produces one output token for each request of the batch whose
// prompt is computed.
const (
	_stepBase             = 20 * time.Millisecond
	_stepPerRequest       = 200 * time.Microsecond
	_stepPerPromptToken   = 30 * time.Microsecond
	_prefillTokensPerStep = 512
	_maxBatchSize         = 256
	// _coldSlowdown multiplies the time of a step while the engine is cold.
	_coldSlowdown = 4
	// _warmCompletions is how many completed requests turn a cold engine warm.
	_warmCompletions = 4
	// _restartTime is how long an engine is down after a crash.
	_restartTime = 5 * time.Second
	// _publishInterval is how often an engine updates its report.
	_publishInterval = 500 * time.Millisecond
	// Cache events arrive _cacheEventLag late, and one in _cacheEventLossInterval is
	// lost.
	_cacheEventLag          = 2 * time.Second
	_cacheEventLossInterval = 5
	// _maxCachedPrefixes is how many prefixes an engine caches.
	_maxCachedPrefixes = 4
)

// try is one attempt to run a request on an engine.
type try struct {
	request      *arrival
	placement    core.Placement
	host         *host
	promptTokens int
	prefillLeft  int // tokens still to be computed before the next output token
	produced     int
	lastToken    time.Time
}

// engine is a fake model engine.
type engine struct {
	run                *run
	config             core.Endpoint
	phase              core.Phase
	incarnation        core.Incarnation
	completions        int // requests completed since the last crash
	running            []*try
	waiting            []*try
	usedTokens         int
	stepping           bool
	down               bool
	preemptions        uint64
	report             core.Report
	cachedPrefixes     []uint64 // most recently used last
	cacheEventSequence uint64
}

func newEngine(r *run, config core.Endpoint) *engine {
	e := &engine{run: r, config: config, phase: core.PhaseWarm, incarnation: 1}
	e.publish()
	return e
}

// publish updates the report that hosts receive and schedules the next update.
func (e *engine) publish() {
	e.report = core.Report{
		Endpoint:    e.config.Name,
		Incarnation: e.incarnation,
		Phase:       e.phase,
		FreeTokens:  e.config.MemoryTokens - int64(e.usedTokens),
		TotalTokens: e.config.MemoryTokens,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Preemptions: e.preemptions,
	}
	e.run.After(_publishInterval, e.publish)
}

// receive adds a request to the engine's queue. A cold engine crashes when it gets
// more requests than it has cold slots.
func (e *engine) receive(t *try) {
	if e.down {
		e.run.After(_networkDelay, func() { t.host.handleFailure(t, core.ResultDialFailed) })
		return
	}
	inFlight := len(e.running) + len(e.waiting) + 1
	e.run.countOverLimit(e, inFlight)
	e.enqueue(t, len(e.waiting))
	if e.phase == core.PhaseCold && inFlight > e.config.ColdSlots {
		e.crash()
		return
	}
	e.step()
}

// enqueue inserts a request into the queue at the position, or earlier if those
// directly before it have a lower priority.
func (e *engine) enqueue(t *try, position int) {
	for position > 0 && e.waiting[position-1].placement.Priority < t.placement.Priority {
		position--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = t
}

// crash fails all requests on the engine, which restarts cold.
func (e *engine) crash() {
	e.run.result.Falls++
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.usedTokens, e.cachedPrefixes = nil, nil, 0, nil
	e.down, e.phase, e.completions = true, core.PhaseCold, 0
	e.incarnation++
	for _, t := range lost {
		result := core.ResultLost
		if t.produced > 0 {
			result = core.ResultCut
		}
		e.run.After(_networkDelay, func() { t.host.handleFailure(t, result) })
	}
	e.run.After(_restartTime, func() { e.down = false })
}

// step starts the next batch step unless one is running or the engine is idle.
func (e *engine) step() {
	if e.stepping {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	prefilled := e.prefill()
	duration := _stepBase + time.Duration(len(e.running))*_stepPerRequest + time.Duration(prefilled)*_stepPerPromptToken
	if e.phase == core.PhaseCold {
		duration *= _coldSlowdown
	}
	incarnation := e.incarnation
	e.run.After(duration, func() {
		e.stepping = false
		if e.incarnation == incarnation {
			e.produce()
		}
		e.step()
	})
}

// admit moves requests from the engine's own queue into the batch while their
// tokens fit into memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < _maxBatchSize {
		t := e.waiting[0]
		need := t.promptTokens + t.produced
		if e.usedTokens+need > int(e.config.MemoryTokens) {
			return
		}
		e.waiting = e.waiting[1:]
		e.usedTokens += need
		t.prefillLeft = need
		if t.produced == 0 {
			t.prefillLeft -= e.lookUpPrefix(t)
		}
		e.running = append(e.running, t)
	}
}

// lookUpPrefix returns how many tokens of the prompt are in the prefix cache. It
// caches a missing prefix and, if the cache is full, evicts the least recently used one.
func (e *engine) lookUpPrefix(t *try) int {
	prefix := t.request.prefix
	for i, known := range e.cachedPrefixes {
		if known == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i:i], e.cachedPrefixes[i+1:]...), prefix)
			return t.request.prefixTokens
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	e.publishCacheEvent(prefix, true)
	if len(e.cachedPrefixes) > _maxCachedPrefixes {
		e.publishCacheEvent(e.cachedPrefixes[0], false)
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return 0
}

// publishCacheEvent sends a cache event to all hosts after _cacheEventLag. Some
// events are lost.
func (e *engine) publishCacheEvent(prefix uint64, stored bool) {
	e.cacheEventSequence++
	if e.cacheEventSequence%_cacheEventLossInterval == 0 {
		return
	}
	event := core.CacheEvent{Endpoint: e.config.Name, Sequence: e.cacheEventSequence, Prefix: prefix, Stored: stored}
	e.run.After(_cacheEventLag, func() {
		for _, h := range e.run.hosts {
			h.decider.ObserveCache(e.run.Now, []core.CacheEvent{event})
		}
	})
}

// prefill computes prompt tokens up to the step's budget and returns how many.
func (e *engine) prefill() int {
	budget := _prefillTokensPerStep
	for _, t := range e.running {
		computed := min(t.prefillLeft, budget)
		t.prefillLeft -= computed
		budget -= computed
	}
	return _prefillTokensPerStep - budget
}

// produce produces one token for each request whose prompt is computed, and
// preempts requests if the memory is exceeded.
func (e *engine) produce() {
	kept := e.running[:0]
	for _, t := range e.running {
		if t.prefillLeft > 0 {
			kept = append(kept, t)
			continue
		}
		t.produced++
		e.usedTokens++
		e.run.recordToken(t)
		if t.produced < t.request.outputTokens {
			kept = append(kept, t)
			continue
		}
		e.usedTokens -= t.promptTokens + t.produced
		e.countCompletion()
		e.run.After(_networkDelay, func() { t.host.handleCompletion(t) })
	}
	clear(e.running[len(kept):])
	e.running = kept
	for e.usedTokens > int(e.config.MemoryTokens) && len(e.running) > 1 {
		e.preempt()
	}
}

func (e *engine) countCompletion() {
	e.completions++
	if e.completions >= _warmCompletions {
		e.phase = core.PhaseWarm
	}
}

// preempt moves the request with the lowest priority, or the last such request in the
// batch, back to the front of the queue. Its tokens have to be computed again.
func (e *engine) preempt() {
	victim := len(e.running) - 1
	for i := victim - 1; i >= 0; i-- {
		if e.running[i].placement.Priority < e.running[victim].placement.Priority {
			victim = i
		}
	}
	t := e.running[victim]
	e.running = append(e.running[:victim], e.running[victim+1:]...)
	e.usedTokens -= t.promptTokens + t.produced
	e.preemptions++
	e.run.recordPreemption()
	e.enqueue(t, 0)
}
