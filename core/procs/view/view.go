// Package view keeps what one host believes about an endpoint: its phase, how
// much of its capacity may be used, its memory and load as last reported.
package view

import (
	"time"

	"apricotproxy/core"
)

const (
	// _slowFactor is how many times the usual first-token delay makes an idle
	// endpoint suspect of being cold.
	_slowFactor = 8
	// _slowAtLeast is the smallest first-token delay that counts as slow.
	_slowAtLeast = 2 * time.Second
	// _delaySmoothing is the weight of a new first-token delay in the average.
	_delaySmoothing = 0.1
	// _mostSteps is how often the ramp doubles at most.
	_mostSteps = 16
)

// Terms are the durations that a view's deadlines are computed from.
type Terms struct {
	// Validity is how long a report is acted on after it was asked for.
	Validity time.Duration
	// FirstStep is how long the ramp stays on the cold slots. It is longer than
	// any host's view can lag, so that a host that missed a short warm spell
	// cannot have missed work above the cold limit.
	FirstStep time.Duration
	// Step is how long the ramp stays on each later step.
	Step time.Duration
	// Suspicion is how long a sign of cold holds.
	Suspicion time.Duration
	// Proof is the number of completions that prove an endpoint warm that
	// reports no phase.
	Proof int
}

// View is one endpoint as this host sees it.
type View struct {
	Report core.Report
	// ValidUntil is when the report is too old to act on; zero before the
	// first report.
	ValidUntil time.Time
	// WarmSince is when the present warm spell began; zero while cold.
	WarmSince time.Time
	// SuspectUntil is when a sign of cold is forgotten.
	SuspectUntil time.Time
	// Completions counts completions since the last sign of cold.
	Completions int
	// firstDelay is the usual first-token delay in seconds; 0 for unknown.
	firstDelay float64
	// provenWarm is the incarnation that another host has seen fully ramped.
	provenWarm core.Incarnation
}

// Observe takes in a report. It ignores one that was asked for earlier than the
// last.
func (v *View) Observe(now time.Time, report core.Report, terms Terms) bool {
	if report.AskedAt.Before(v.Report.AskedAt) {
		return false
	}
	restarted := v.Report.Incarnation != 0 && report.Incarnation != v.Report.Incarnation
	blind := !v.ValidUntil.IsZero() && now.After(v.ValidUntil.Add(terms.Validity))
	v.Report = report
	v.ValidUntil = report.AskedAt.Add(terms.Validity)
	if restarted || blind {
		v.turnCold()
	}
	v.judge(now, terms)
	return true
}

// judge begins or ends the warm spell.
func (v *View) judge(now time.Time, terms Terms) {
	if !v.warm(now, terms) {
		// Completions go on counting: they are the proof that is awaited.
		v.WarmSince = time.Time{}
		return
	}
	if v.WarmSince.IsZero() {
		v.WarmSince = now
	}
}

func (v *View) warm(now time.Time, terms Terms) bool {
	if !now.Before(v.ValidUntil) || now.Before(v.SuspectUntil) {
		return false
	}
	switch v.Report.Phase {
	case core.PhaseWarm:
		return true
	case core.PhaseCold:
		return false
	default:
		return v.Completions >= terms.Proof
	}
}

func (v *View) turnCold() {
	v.provenWarm = 0
	v.WarmSince = time.Time{}
	v.Completions = 0
}

// Cold tells whether the endpoint may bear no more than its cold slots.
func (v *View) Cold(now time.Time) bool {
	return v.WarmSince.IsZero() || !now.Before(v.ValidUntil) || now.Before(v.SuspectUntil)
}

// Valid tells whether the report is recent enough to act on.
func (v *View) Valid(now time.Time) bool { return now.Before(v.ValidUntil) }

// Limit gives the number of slots in use at most: the cold slots, then a ramp
// that doubles at each step of the warm spell up to the warm slots.
//
// Example: 2 cold and 24 warm slots give 2, 4, 8, 16, 24.
func (v *View) Limit(now time.Time, endpoint core.Endpoint, terms Terms) int {
	if v.Cold(now) {
		return endpoint.ColdSlots
	}
	limit := max(endpoint.ColdSlots, 1)
	if v.provenWarm != 0 && v.provenWarm == v.Report.Incarnation && !now.Before(v.WarmSince.Add(terms.FirstStep)) {
		return endpoint.WarmSlots
	}
	beyond := now.Sub(v.WarmSince) - terms.FirstStep
	if beyond < 0 {
		return min(limit, endpoint.WarmSlots)
	}
	steps := beyond/terms.Step + 1
	if steps > _mostSteps {
		return endpoint.WarmSlots
	}
	return min(limit<<steps, endpoint.WarmSlots)
}

// idle tells whether the report explains no wait for a first token.
func (v *View) idle() bool {
	return v.Report.Waiting == 0 && _spareMemory*v.Report.FreeTokens >= v.Report.TotalTokens
}

// _spareMemory is the part of the memory, one in so many, that an engine with
// memory to spare has free.
const _spareMemory = 10

// NextChange gives the next time at which Limit or Cold may change by itself;
// zero when only a report changes them.
func (v *View) NextChange(now time.Time, endpoint core.Endpoint, terms Terms) time.Time {
	if !now.Before(v.ValidUntil) {
		return time.Time{}
	}
	next := v.ValidUntil
	if now.Before(v.SuspectUntil) && v.SuspectUntil.Before(next) {
		next = v.SuspectUntil
	}
	if v.Cold(now) || v.Limit(now, endpoint, terms) >= endpoint.WarmSlots {
		return next
	}
	step := v.WarmSince.Add(terms.FirstStep)
	for !step.After(now) {
		step = step.Add(terms.Step)
	}
	if step.Before(next) {
		return step
	}
	return next
}

// Completed counts a completion as proof of warmth.
func (v *View) Completed() { v.Completions++ }

// FirstToken takes in the delay of a request's first token. It reports whether
// the delay makes a warm endpoint suspect of being cold: it is far above the
// usual although the engine reports no request waiting and memory to spare.
func (v *View) FirstToken(now time.Time, delay time.Duration, terms Terms) bool {
	usual := time.Duration(v.firstDelay * float64(time.Second))
	slow := delay >= _slowAtLeast && usual > 0 && delay > _slowFactor*usual
	if slow && v.idle() && !v.Cold(now) {
		v.SuspectUntil = now.Add(terms.Suspicion)
		v.turnCold()
		return true
	}
	if v.firstDelay == 0 {
		v.firstDelay = delay.Seconds()
		return false
	}
	v.firstDelay += _delaySmoothing * (delay.Seconds() - v.firstDelay)
	return false
}

// Rejoin starts the ramp anew: the endpoint's data centre is back in service,
// and its caches and connections may have gone in the meantime.
func (v *View) Rejoin(now time.Time) {
	if !v.WarmSince.IsZero() {
		v.WarmSince = now
	}
}

// Inherit takes over that another host has seen the incarnation warm for long:
// the ramp then has its first step only. That step stays, since it is what other
// hosts' proofs of an idle cold endpoint rest on.
func (v *View) Inherit(incarnation core.Incarnation) { v.provenWarm = incarnation }
