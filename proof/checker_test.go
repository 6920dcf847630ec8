package proof_test

import (
	"fmt"
	"sort"
	"strings"
)

// checkPromises compares the requests that ran on the fakes with the outcomes that
// the callers received.
func (c *cluster) checkPromises(cs *callers) {
	c.checkOutcomes(cs)
	c.checkOrders(cs)
	c.checkColdLimit()
	c.checkExclusions()
	if cs.plannedFaultsOnly {
		c.checkNoInterruptions(cs)
	}
}

// checkOutcomes requires that no request with the outcome NotRun ran on an engine.
func (c *cluster) checkOutcomes(cs *callers) {
	ran := map[string]string{}
	for machine, e := range c.engines {
		for _, run := range e.Runs() {
			ran[run.Key] = fmt.Sprintf("%s as %s", machine, run.Generation)
		}
	}
	for _, result := range cs.results {
		if where, ok := ran[result.key]; ok && result.outcome == "NotRun" && result.kind != "order" {
			c.recordViolation("%s %s has the outcome NotRun (%s) but ran on %s", result.kind, result.key, result.cause, where)
		}
	}
}

// checkOrders requires that each order ran at most once, that it did not run if
// its outcome is NotRun, and that it ran if its outcome is Done.
func (c *cluster) checkOrders(cs *callers) {
	runs := map[string]int{}
	for _, service := range c.plainServices {
		for key, count := range service.RunsPerKey() {
			if count > 1 {
				c.recordViolation("ticket %s ran %d times on one endpoint", key, count)
			}
		}
		for _, run := range service.Runs() {
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
	for _, result := range cs.results {
		if result.kind != "order" {
			continue
		}
		ran := count(result.key)
		if ran > 1 || ran == 1 && result.outcome == "NotRun" || ran == 0 && result.outcome == "Done" {
			c.recordViolation("order %s has the outcome %s (%s) but ran %d times", result.key, result.outcome, result.cause, ran)
		}
	}
}

// checkColdLimit requires that no cold engine received more requests than its cold
// limit. Requests within the reaction time after it turned cold do not count, since
// hosts may not have seen the change yet.
func (c *cluster) checkColdLimit() {
	for machine, e := range c.engines {
		for _, o := range e.ColdOverloads() {
			if since := o.At.Sub(o.ColdSince); since > c.reactionTime() {
				c.recordViolation("engine %s, cold for %v, had %d requests in flight; its limit is %d (%s)", machine, since, o.Running, o.Limit, o.Generation)
			}
		}
	}
}

// checkExclusions requires that no request started on an engine while it was
// excluded.
func (c *cluster) checkExclusions() {
	for _, x := range c.exclusions {
		for _, machine := range x.machines {
			for _, run := range c.engines[machine].Runs() {
				if run.Started.After(x.from) && (x.until.IsZero() || run.Started.Before(x.until)) {
					c.recordViolation("engine %s, excluded for %v, started %s", machine, run.Started.Sub(x.from), run.Generation)
				}
			}
		}
	}
}

// _maxRefusedPercent is the largest share of requests that a fleet with free
// capacity may refuse while only planned faults take place.
const _maxRefusedPercent = 10

// checkNoInterruptions requires that each request was completed or refused as not
// run, and that few were refused. It applies to runs with only planned faults.
func (c *cluster) checkNoInterruptions(cs *callers) {
	refused := 0
	for _, result := range cs.results {
		switch result.outcome {
		case "Done", _unsent:
		case "NotRun":
			refused++
		default:
			c.recordViolation("%s %s has the outcome %q (%s) although only planned faults took place", result.kind, result.key, result.outcome, result.cause)
		}
	}
	if refused*100 > _maxRefusedPercent*len(cs.results) {
		c.recordViolation("%d of %d requests were refused", refused, len(cs.results))
	}
}

// summary lists how many requests had each kind, outcome and cause, for the log.
func (cs *callers) summary() string {
	counts := map[string]int{}
	for _, result := range cs.results {
		counts[result.kind+" "+result.outcome+" "+result.cause]++
	}
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", strings.TrimSpace(name), n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "; ")
}
