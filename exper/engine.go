package exper

import (
	"slices"
	"time"

	"apricotproxy/core"
)

// The fake engine batches continuously: each step prefills some prompt tokens
// and produces one token for every request in the batch.
const (
	_stepBase       = 20 * time.Millisecond
	_stepPerRequest = 200 * time.Microsecond
	_stepPerPrompt  = 30 * time.Microsecond
	_prefillPerStep = 512
	_batchAtMost    = 256
	// _coldFactor is how much slower a cold engine is.
	_coldFactor = 4
	// _warmAfter is how many completions warm an engine up.
	_warmAfter = 4
	// _restartTime is how long an engine is away after it fell over.
	_restartTime = 5 * time.Second
	// _publishEvery is how often an engine renews its report.
	_publishEvery = 500 * time.Millisecond
	// _cacheEventLag is how late cache events are, and one in _cacheEventGap is
	// never sent.
	_cacheEventLag = 2 * time.Second
	_cacheEventGap = 5
	// _prefixesCached is how many prefixes an engine keeps.
	_prefixesCached = 4
)

// work is one request on an engine.
type work struct {
	request   *arrival
	placement core.Placement
	host      *host
	prompt    int
	prefill   int // prompt tokens still to be computed
	produced  int
	lastToken time.Time
}

// engine is a fake model engine.
type engine struct {
	run         *run
	config      core.Endpoint
	phase       core.Phase
	incarnation core.Incarnation
	completions int
	running     []*work
	waiting     []*work
	used        int
	stepping    bool
	down        bool
	preemptions uint64
	report      core.Report
	prefixes    []uint64 // most recently used last
	sequence    uint64
}

func newEngine(r *run, config core.Endpoint) *engine {
	e := &engine{run: r, config: config, phase: core.PhaseWarm, incarnation: 1}
	e.publish()
	return e
}

// publish renews the report that hosts are given.
func (e *engine) publish() {
	e.report = core.Report{
		Endpoint:    e.config.Name,
		Incarnation: e.incarnation,
		Phase:       e.phase,
		FreeTokens:  e.config.MemoryTokens - int64(e.used),
		TotalTokens: e.config.MemoryTokens,
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		Preemptions: e.preemptions,
	}
	e.run.After(_publishEvery, e.publish)
}

// receive takes a request in. A cold engine falls over under more than its
// cold slots.
func (e *engine) receive(w *work) {
	if e.down {
		e.run.After(_networkDelay, func() { w.host.failed(w, core.ResultDialFailed) })
		return
	}
	inFlight := len(e.running) + len(e.waiting) + 1
	e.run.count(e, inFlight)
	e.enqueue(w, len(e.waiting))
	if e.phase == core.PhaseCold && inFlight > e.config.ColdSlots {
		e.fall()
		return
	}
	e.step()
}

// enqueue inserts a request by priority, behind those of the same one that are
// before the position.
func (e *engine) enqueue(w *work, position int) {
	for position > 0 && e.waiting[position-1].placement.Priority < w.placement.Priority {
		position--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[position+1:], e.waiting[position:])
	e.waiting[position] = w
}

// fall loses all work; the engine comes back cold.
func (e *engine) fall() {
	e.run.result.Falls++
	lost := slices.Concat(e.running, e.waiting)
	e.running, e.waiting, e.used, e.prefixes = nil, nil, 0, nil
	e.down, e.phase, e.completions = true, core.PhaseCold, 0
	e.incarnation++
	for _, w := range lost {
		result := core.ResultLost
		if w.produced > 0 {
			result = core.ResultCut
		}
		e.run.After(_networkDelay, func() { w.host.failed(w, result) })
	}
	e.run.After(_restartTime, func() { e.down = false })
}

// step runs one batch step unless one is running.
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
	duration := _stepBase + time.Duration(len(e.running))*_stepPerRequest + time.Duration(prefilled)*_stepPerPrompt
	if e.phase == core.PhaseCold {
		duration *= _coldFactor
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

// admit moves requests from the engine's own queue into the batch.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < _batchAtMost {
		w := e.waiting[0]
		need := w.prompt + w.produced
		if e.used+need > int(e.config.MemoryTokens) {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += need
		w.prefill = need
		if w.produced == 0 {
			w.prefill -= e.cached(w)
		}
		e.running = append(e.running, w)
	}
}

// cached gives the prompt tokens that the prefix cache has.
func (e *engine) cached(w *work) int {
	prefix := w.request.prefix
	for i, known := range e.prefixes {
		if known == prefix {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), prefix)
			return w.request.prefixTokens
		}
	}
	e.prefixes = append(e.prefixes, prefix)
	e.announce(prefix, true)
	if len(e.prefixes) > _prefixesCached {
		e.announce(e.prefixes[0], false)
		e.prefixes = e.prefixes[1:]
	}
	return 0
}

// announce publishes a cache event, late and with gaps.
func (e *engine) announce(prefix uint64, stored bool) {
	e.sequence++
	if e.sequence%_cacheEventGap == 0 {
		return
	}
	event := core.CacheEvent{Endpoint: e.config.Name, Sequence: e.sequence, Prefix: prefix, Stored: stored}
	e.run.After(_cacheEventLag, func() {
		for _, h := range e.run.hosts {
			h.decider.ObserveCache(e.run.Now, []core.CacheEvent{event})
		}
	})
}

// prefill computes prompt tokens up to the step's budget.
func (e *engine) prefill() int {
	left := _prefillPerStep
	for _, w := range e.running {
		part := min(w.prefill, left)
		w.prefill -= part
		left -= part
	}
	return _prefillPerStep - left
}

// produce gives a token to every request whose prompt is computed.
func (e *engine) produce() {
	kept := e.running[:0]
	for _, w := range e.running {
		if w.prefill > 0 {
			kept = append(kept, w)
			continue
		}
		w.produced++
		e.used++
		e.run.token(w)
		if w.produced < w.request.length {
			kept = append(kept, w)
			continue
		}
		e.used -= w.prompt + w.produced
		e.completed()
		e.run.After(_networkDelay, func() { w.host.completed(w) })
	}
	clear(e.running[len(kept):])
	e.running = kept
	for e.used > int(e.config.MemoryTokens) && len(e.running) > 1 {
		e.preempt()
	}
}

func (e *engine) completed() {
	e.completions++
	if e.completions >= _warmAfter {
		e.phase = core.PhaseWarm
	}
}

// preempt puts the last request of the lowest priority back into the queue; its
// tokens are computed again later.
func (e *engine) preempt() {
	victim := len(e.running) - 1
	for i := victim - 1; i >= 0; i-- {
		if e.running[i].placement.Priority < e.running[victim].placement.Priority {
			victim = i
		}
	}
	w := e.running[victim]
	e.running = append(e.running[:victim], e.running[victim+1:]...)
	e.used -= w.prompt + w.produced
	e.preemptions++
	e.run.preempted()
	e.enqueue(w, 0)
}
