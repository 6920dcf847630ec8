package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotproxy/core"
)

var (
	_tokensDirective = regexp.MustCompile(`\[\[tokens=(\d+)\]\]`)
	_keyDirective    = regexp.MustCompile(`\[\[key=([^\]]+)\]\]`)
)

// generation is one generation that the engine holds.
type generation struct {
	id           core.GenerationID
	run          *Run
	priority     int
	promptTokens int64
	length       int // tokens that it will produce
	finishReason string
	produced     int  // tokens so far
	done         bool // it completed, was cancelled or is lost
	lost         bool // its streams break
	// changed is closed at the next change.
	changed chan struct{}
}

// memoryTokens returns the engine memory that the generation takes while it runs.
func (g *generation) memoryTokens() int64 { return g.promptTokens + int64(g.produced) }

// wake notifies the generation's streams of a change.
func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// end records that the generation has completed, was cancelled or is lost.
func (g *generation) end() {
	g.done = true
	g.run.Ended = time.Now()
	g.run.Tokens = g.produced
	g.wake()
}

// TokenText returns the text of one token. It depends on the prompt, so that a
// caller can tell its own answer from any other.
func TokenText(prompt string, id core.GenerationID, index int) string {
	sum := xxhash.Sum64String(prompt + "|" + string(id) + "|" + strconv.Itoa(index))
	return fmt.Sprintf("w%04x ", sum&0xffff)
}

// length returns the number of tokens that a generation produces: the number in
// the prompt's directive, as in "[[tokens=120]]", or else one drawn from a
// log-normal distribution, with a random generator seeded by the engine's seed and
// the id.
func (e *Engine) length(prompt string, id core.GenerationID) int {
	if match := _tokensDirective.FindStringSubmatch(prompt); match != nil {
		if n, err := strconv.Atoi(match[1]); err == nil {
			return n
		}
	}
	const sigma, longest = 1.2, 8192
	draw := rand.New(rand.NewPCG(e.config.Seed, xxhash.Sum64String(string(id))))
	mean := math.Log(float64(e.config.MeanTokens)) - sigma*sigma/2
	n := int(math.Exp(mean + sigma*draw.NormFloat64()))
	return min(max(n, 1), longest)
}

// begin adds a generation to the engine, which crashes if that exceeds its cold
// limit. It is called with mu held.
func (e *Engine) begin(g *generation) {
	e.generations[g.id] = g
	e.runs = append(e.runs, g.run)
	if e.phase == core.PhaseCold && e.coldLoad() >= e.config.ColdLimit {
		e.crash(g)
		return
	}
	e.waiting = append(e.waiting, g)
	e.admit()
	e.recordState()
	if !e.stepping {
		e.stepping = true
		go e.stepWhileBusy()
	}
}

// coldLoad returns the number of running and waiting generations that arrived
// since the engine turned cold.
func (e *Engine) coldLoad() int {
	load := 0
	for _, g := range slices.Concat(e.running, e.waiting) {
		if !g.run.Started.Before(e.coldSince) {
			load++
		}
	}
	return load
}

// crash records the generation that exceeds the cold limit, kills the engine and
// schedules its restart.
func (e *Engine) crash(g *generation) {
	e.overloads = append(e.overloads, ColdOverload{
		At:         time.Now(),
		ColdSince:  e.coldSince,
		Generation: g.id,
		Running:    e.coldLoad() + 1,
		Limit:      e.config.ColdLimit,
	})
	e.kill()
	if e.config.RestartAfter > 0 {
		time.AfterFunc(e.config.RestartAfter, e.Restart)
	}
}

// admit moves waiting generations into the batch, highest priority first, while
// there is memory for their prompts and the tokens that they have produced. A
// generation that would run alone is always admitted.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return b.priority - a.priority })
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		next := e.waiting[0]
		alone := len(e.running) == 0
		if !alone && e.usedTokens+next.memoryTokens() >= e.config.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		e.usedTokens += next.memoryTokens()
	}
}

// stepWhileBusy runs steps until no generation is left.
func (e *Engine) stepWhileBusy() {
	for {
		time.Sleep(e.stepInterval())
		if !e.step() {
			return
		}
	}
}

// stepInterval returns the time until the next step, which grows with the batch
// above BatchKnee.
func (e *Engine) stepInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	knee := e.config.BatchKnee
	if knee == 0 || len(e.running) <= knee {
		return e.config.TokenInterval
	}
	return e.config.TokenInterval * time.Duration(len(e.running)) / time.Duration(knee)
}

// step advances each running generation by one token. It reports whether any
// generation is left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range slices.Clone(e.running) {
		if slices.Contains(e.running, g) {
			e.advance(g)
		}
	}
	e.admit()
	e.recordState()
	e.stepping = len(e.running)+len(e.waiting) > 0
	return e.stepping
}

// advance produces the generation's next token or completes it. When the memory is
// full, it first preempts generations, which may include this one.
func (e *Engine) advance(g *generation) {
	if g.produced >= g.length {
		e.complete(g)
		return
	}
	for e.usedTokens >= e.config.MemoryTokens && len(e.running) > 1 {
		victim := e.victim()
		e.preempt(victim)
		if victim == g {
			return
		}
	}
	g.produced++
	e.usedTokens++
	g.wake()
}

// victim returns the running generation of the lowest priority, the one
// admitted last among equals.
func (e *Engine) victim() *generation {
	victim := e.running[0]
	for _, g := range e.running[1:] {
		if g.priority <= victim.priority {
			victim = g
		}
	}
	return victim
}

// preempt frees a generation's memory and puts it back among the waiting ones. It
// continues from the token that it had reached.
func (e *Engine) preempt(g *generation) {
	e.remove(g)
	e.waiting = append(e.waiting, g)
	e.preemptions++
}

func (e *Engine) remove(g *generation) {
	if at := slices.Index(e.running, g); at >= 0 {
		e.running = slices.Delete(e.running, at, at+1)
		e.usedTokens -= g.memoryTokens()
	}
	if at := slices.Index(e.waiting, g); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
	}
}

// complete ends a generation, which can still be resumed for the retention period.
func (e *Engine) complete(g *generation) {
	e.remove(g)
	g.run.Completed = true
	g.end()
	e.completions++
	if e.phase == core.PhaseCold && e.completions >= e.config.WarmAfter {
		e.phase = core.PhaseWarm
	}
	time.AfterFunc(e.config.Retention, func() { e.forget(g) })
}

func (e *Engine) forget(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.id] == g {
		delete(e.generations, g.id)
	}
}

// cancel ends a generation that has not completed. It is called with mu held.
func (e *Engine) cancel(id core.GenerationID) {
	g, ok := e.generations[id]
	if !ok || g.done {
		return
	}
	e.remove(g)
	g.run.Cancelled = true
	g.lost = true
	g.end()
	delete(e.generations, id)
	e.recordState()
}
