package proof_test

import (
	"fmt"
	"sort"
	"strings"
)

// judge compares what ran at the fakes with what callers were told.
func (c *cluster) judge(cs *callers) {
	c.judgeOutcomes(cs)
	c.judgeOrders(cs)
	c.judgeCold()
	c.judgeMoves()
	if cs.strict {
		c.judgeStrict(cs)
	}
}

// judgeOutcomes requires that what was told NotRun did not run.
func (c *cluster) judgeOutcomes(cs *callers) {
	ran := map[string]string{}
	for machine, e := range c.engines {
		for _, run := range e.Runs() {
			ran[run.Key] = fmt.Sprintf("%s as %s", machine, run.Generation)
		}
	}
	for _, t := range cs.told {
		if where, did := ran[t.key]; did && t.outcome == "NotRun" && t.kind != "order" {
			c.fail("%s %s was told NotRun (%s) and ran on %s", t.kind, t.key, t.cause, where)
		}
	}
}

// judgeOrders requires that an order ran at most once, not at all when the
// caller was told so, and once when it was told Done.
func (c *cluster) judgeOrders(cs *callers) {
	runs := map[string]int{}
	for _, desk := range c.desks {
		for key, count := range desk.RunsPerKey() {
			if count > 1 {
				c.fail("ticket %s ran %d times on one worker", key, count)
			}
		}
		for _, run := range desk.Runs() {
			runs[run.Body]++
		}
	}
	count := func(key string) int {
		total := 0
		for body, n := range runs {
			if strings.Contains(body, `"`+key+`"`) {
				total += n
			}
		}
		return total
	}
	for _, t := range cs.told {
		if t.kind != "order" {
			continue
		}
		ran := count(t.key)
		if ran > 1 || ran == 1 && t.outcome == "NotRun" || ran == 0 && t.outcome == "Done" {
			c.fail("order %s was told %s (%s) and ran %d times", t.key, t.outcome, t.cause, ran)
		}
	}
}

// judgeCold requires that no cold engine got more than it bears, once the
// change of its phase can have been seen.
func (c *cluster) judgeCold() {
	for machine, e := range c.engines {
		for _, o := range e.ColdOverloads() {
			if since := o.At.Sub(o.ColdSince); since > c.settle() {
				c.fail("engine %s, cold for %v, got %d requests at a limit of %d (%s)", machine, since, o.Running, o.Limit, o.Generation)
			}
		}
	}
}

// judgeMoves requires that no work came to an endpoint after it was taken out.
func (c *cluster) judgeMoves() {
	for _, m := range c.moves {
		for _, machine := range m.machines {
			for _, run := range c.engines[machine].Runs() {
				if run.Started.After(m.from) && (m.until.IsZero() || run.Started.Before(m.until)) {
					c.fail("engine %s, out since %v, got %s", machine, run.Started.Sub(m.from), run.Generation)
				}
			}
		}
	}
}

// _refusedPercent is the share of requests that a fleet with room may refuse
// while only planned stops take place.
const _refusedPercent = 10

// judgeStrict requires that each answer came whole or was honestly refused, and
// few were refused.
func (c *cluster) judgeStrict(cs *callers) {
	refused := 0
	for _, t := range cs.told {
		switch t.outcome {
		case "Done", _unsent:
		case "NotRun":
			refused++
		default:
			c.fail("%s %s was told %q (%s) though only planned stops took place", t.kind, t.key, t.outcome, t.cause)
		}
	}
	if refused*100 > _refusedPercent*len(cs.told) {
		c.fail("%d of %d requests were refused", refused, len(cs.told))
	}
}

// summary counts the outcomes, for a look at what a run did.
func (cs *callers) summary() string {
	counts := map[string]int{}
	for _, t := range cs.told {
		counts[t.kind+" "+t.outcome+" "+t.cause]++
	}
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", strings.TrimSpace(name), n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "; ")
}
