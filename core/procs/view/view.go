// Package view tracks the state of an endpoint as one host sees it: whether it is
// cold or warm, how many slots may be in use, and its last load report.
package view

import (
	"time"

	"apricotproxy/core"
)

const (
	// A first-token delay above _slowFactor times the average is a sign that an
	// endpoint with spare capacity is cold.
	_slowFactor = 8
	// _minSlowDelay is the shortest first-token delay that counts as slow.
	_minSlowDelay = 2 * time.Second
	// _delaySmoothing is the weight of a new first-token delay in the average.
	_delaySmoothing = 0.1
	// _maxRampDoublings is the number of doublings after which the limit is the
	// warm slots in any case; it bounds the shift in Limit.
	_maxRampDoublings = 16
)

// Params holds the durations and thresholds that a View works with.
type Params struct {
	// Validity is how long a report may be acted on, from the time it was
	// requested.
	Validity time.Duration
	// FirstStep is how long the ramp stays at the cold slots. It is longer than
	// any host's view can lag, so that a host that missed a short warm period
	// cannot have missed requests above the cold limit.
	FirstStep time.Duration
	// Step is the duration of each later step of the ramp.
	Step time.Duration
	// Suspicion is how long an endpoint is treated as cold after a slow first
	// token.
	Suspicion time.Duration
	// WarmCompletions is the number of completed requests after which an
	// endpoint that reports no phase is treated as warm.
	WarmCompletions int
}

// View is one endpoint as this host sees it.
type View struct {
	Report core.Report
	// ValidUntil is when the report becomes too old to act on; zero before the
	// first report.
	ValidUntil time.Time
	// WarmSince is when the current warm period began; zero while cold.
	WarmSince time.Time
	// SuspectUntil is when the endpoint stops being treated as cold after a slow
	// first token.
	SuspectUntil time.Time
	// Completions counts completed requests since the endpoint last restarted,
	// had a slow first token, or had no valid report for more than
	// Params.Validity.
	Completions int
	// meanFirstTokenSeconds is the moving average of the first-token delay; 0
	// until one was measured.
	meanFirstTokenSeconds float64
	// provenWarm is the endpoint's incarnation that another host has seen at the
	// end of its ramp; 0 for none.
	provenWarm core.Incarnation
}

// Observe records a report. It returns false, and ignores the report, if a report
// that was requested later is already recorded.
func (v *View) Observe(now time.Time, report core.Report, params Params) bool {
	if report.AskedAt.Before(v.Report.AskedAt) {
		return false
	}
	restarted := v.Report.Incarnation != 0 && report.Incarnation != v.Report.Incarnation
	lapsed := !v.ValidUntil.IsZero() && now.After(v.ValidUntil.Add(params.Validity))
	v.Report = report
	v.ValidUntil = report.AskedAt.Add(params.Validity)
	if restarted || lapsed {
		v.resetWarm()
	}
	v.updateWarmSince(now, params)
	return true
}

// updateWarmSince begins or ends the warm period.
func (v *View) updateWarmSince(now time.Time, params Params) {
	if !v.warm(now, params) {
		// Completions is not reset: an endpoint that reports no phase becomes
		// warm by reaching Params.WarmCompletions.
		v.WarmSince = time.Time{}
		return
	}
	if v.WarmSince.IsZero() {
		v.WarmSince = now
	}
}

func (v *View) warm(now time.Time, params Params) bool {
	if !now.Before(v.ValidUntil) || now.Before(v.SuspectUntil) {
		return false
	}
	switch v.Report.Phase {
	case core.PhaseWarm:
		return true
	case core.PhaseCold:
		return false
	default:
		return v.Completions >= params.WarmCompletions
	}
}

func (v *View) resetWarm() {
	v.provenWarm = 0
	v.WarmSince = time.Time{}
	v.Completions = 0
}

// Cold reports whether the endpoint is limited to its cold slots.
func (v *View) Cold(now time.Time) bool {
	return v.WarmSince.IsZero() || !now.Before(v.ValidUntil) || now.Before(v.SuspectUntil)
}

// Valid reports whether the last report is recent enough to act on.
func (v *View) Valid(now time.Time) bool { return now.Before(v.ValidUntil) }

// Limit returns how many slots may be in use: the cold slots while the endpoint
// is cold, then a ramp that doubles at each step of the warm period, up to the
// warm slots.
//
// Example: 2 cold and 24 warm slots give 2, 4, 8, 16, 24.
func (v *View) Limit(now time.Time, endpoint core.Endpoint, params Params) int {
	if v.Cold(now) {
		return endpoint.ColdSlots
	}
	limit := max(endpoint.ColdSlots, 1)
	if v.provenWarm != 0 && v.provenWarm == v.Report.Incarnation && !now.Before(v.WarmSince.Add(params.FirstStep)) {
		return endpoint.WarmSlots
	}
	rampTime := now.Sub(v.WarmSince) - params.FirstStep
	if rampTime < 0 {
		return min(limit, endpoint.WarmSlots)
	}
	steps := rampTime/params.Step + 1
	if steps > _maxRampDoublings {
		return endpoint.WarmSlots
	}
	return min(limit<<steps, endpoint.WarmSlots)
}

// hasSpareCapacity reports whether the last report shows no waiting request and
// spare memory, so that load does not explain a slow first token.
func (v *View) hasSpareCapacity() bool {
	return v.Report.Waiting == 0 && _spareMemoryDivisor*v.Report.FreeTokens >= v.Report.TotalTokens
}

// An engine has spare memory when at least 1/_spareMemoryDivisor of it is free.
const _spareMemoryDivisor = 10

// NextChange returns the next time at which Limit or Cold may change without a
// report; zero when only a report can change them.
func (v *View) NextChange(now time.Time, endpoint core.Endpoint, params Params) time.Time {
	if !now.Before(v.ValidUntil) {
		return time.Time{}
	}
	next := v.ValidUntil
	if now.Before(v.SuspectUntil) && v.SuspectUntil.Before(next) {
		next = v.SuspectUntil
	}
	if v.Cold(now) || v.Limit(now, endpoint, params) >= endpoint.WarmSlots {
		return next
	}
	step := v.WarmSince.Add(params.FirstStep)
	for !step.After(now) {
		step = step.Add(params.Step)
	}
	if step.Before(next) {
		return step
	}
	return next
}

// Completed counts a completed request. Enough of them make an endpoint that
// reports no phase warm.
func (v *View) Completed() { v.Completions++ }

// FirstToken records the delay of a request's first token. It reports whether the
// delay shows that a warm endpoint may have turned cold: it is far above the
// average although the engine reports spare memory and no waiting request. Such an
// endpoint is treated as cold for Params.Suspicion.
func (v *View) FirstToken(now time.Time, delay time.Duration, params Params) bool {
	average := time.Duration(v.meanFirstTokenSeconds * float64(time.Second))
	slow := delay >= _minSlowDelay && average > 0 && delay > _slowFactor*average
	if slow && v.hasSpareCapacity() && !v.Cold(now) {
		v.SuspectUntil = now.Add(params.Suspicion)
		v.resetWarm()
		return true
	}
	if v.meanFirstTokenSeconds == 0 {
		v.meanFirstTokenSeconds = delay.Seconds()
		return false
	}
	v.meanFirstTokenSeconds += _delaySmoothing * (delay.Seconds() - v.meanFirstTokenSeconds)
	return false
}

// RestartRamp restarts the ramp of an endpoint whose data centre is back in
// service: its caches and connections may have been lost in the meantime.
func (v *View) RestartRamp(now time.Time) {
	if !v.WarmSince.IsZero() {
		v.WarmSince = now
	}
}

// SetProvenWarm records that another host has seen the incarnation at the end of
// its ramp. For this incarnation the ramp goes from the first step straight to the
// warm slots. The first step is not skipped: other hosts rely on it when they
// conclude from reports that a cold endpoint is idle.
func (v *View) SetProvenWarm(incarnation core.Incarnation) { v.provenWarm = incarnation }
