package view_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/view"
)

var (
	_start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	_params = view.Params{Validity: 4 * time.Second, FirstStep: 5 * time.Second, Step: time.Second, Suspicion: 5 * time.Second, WarmCompletions: 3}
)

func report(now time.Time, phase core.Phase, incarnation core.Incarnation) core.Report {
	return core.Report{Phase: phase, Incarnation: incarnation, AskedAt: now, FreeTokens: 100, TotalTokens: 100}
}

// warm returns a view at the end of its ramp.
func warm() (*view.View, time.Time) {
	v := &view.View{}
	now := _start
	for range 20 {
		now = now.Add(time.Second)
		v.Observe(now, report(now, core.PhaseWarm, 1), _params)
	}
	return v, now
}

func ExampleView_Limit() {
	endpoint := core.Endpoint{ColdSlots: 2, WarmSlots: 24}
	v := &view.View{}
	for second := range 10 {
		now := _start.Add(time.Duration(second) * time.Second)
		v.Observe(now, report(now, core.PhaseWarm, 1), _params)
		fmt.Print(v.Limit(now, endpoint, _params), " ")
	}
	// Output: 2 2 2 2 2 4 8 16 24 24
}

func TestColdSignsResetTheLimit(t *testing.T) {
	endpoint := core.Endpoint{ColdSlots: 2, WarmSlots: 24}
	signs := map[string]func(v *view.View, now time.Time) time.Time{
		"phase": func(v *view.View, now time.Time) time.Time {
			v.Observe(now, report(now, core.PhaseCold, 1), _params)
			return now
		},
		"incarnation": func(v *view.View, now time.Time) time.Time {
			v.Observe(now, report(now, core.PhaseWarm, 2), _params)
			return now
		},
		"no report": func(_ *view.View, now time.Time) time.Time { return now.Add(_params.Validity) },
		"first token": func(v *view.View, now time.Time) time.Time {
			for range 10 {
				v.FirstToken(now, 50*time.Millisecond, _params)
			}
			if !v.FirstToken(now, 3*time.Second, _params) {
				t.Error("FirstToken reports false for a delay of 3 s; want true")
			}
			return now
		},
	}
	for name, sign := range signs {
		v, now := warm()
		if got := v.Limit(now, endpoint, _params); got != 24 {
			t.Fatalf("limit of a warm endpoint is %d; want 24", got)
		}
		now = sign(v, now.Add(time.Second))
		if got := v.Limit(now, endpoint, _params); got != 2 {
			t.Errorf("%s: limit is %d; want the 2 cold slots", name, got)
		}
	}
}

func TestBusyEngineIsNotSuspect(t *testing.T) {
	v, now := warm()
	full := report(now, core.PhaseWarm, 1)
	full.FreeTokens = 5
	v.Observe(now, full, _params)
	v.FirstToken(now, 50*time.Millisecond, _params)
	if v.FirstToken(now, 3*time.Second, _params) {
		t.Error("FirstToken reports an engine with full memory as possibly cold")
	}
}

func TestHintsAreBoundedAndExpire(t *testing.T) {
	hints := view.NewHints[string]()
	endpointsOf := func(now time.Time, prefix uint64) (endpoints []string) {
		hints.Each(now, prefix, func(e string) { endpoints = append(endpoints, e) })
		return endpoints
	}
	hints.Stored(_start, 1, "a")
	hints.Stored(_start, 1, "b")
	if got := endpointsOf(_start, 1); len(got) != 2 {
		t.Errorf("endpoints %v; want a and b", got)
	}
	hints.Evicted(1, "a")
	if got := endpointsOf(_start, 1); len(got) != 1 || got[0] != "b" {
		t.Errorf("endpoints after an eviction %v; want b", got)
	}
	if got := endpointsOf(_start.Add(time.Hour), 1); len(got) != 0 {
		t.Errorf("endpoints after an hour %v; want none", got)
	}
	for prefix := range uint64(1 << 17) {
		hints.Stored(_start, prefix+2, "c")
	}
	if got := endpointsOf(_start, 1); len(got) != 0 {
		t.Errorf("endpoints of the oldest prefix in a full table %v; want none", got)
	}
}
