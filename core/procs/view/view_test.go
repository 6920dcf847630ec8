package view_test

import (
	"fmt"
	"testing"
	"time"

	"apricotproxy/core"
	"apricotproxy/core/procs/view"
)

var (
	_start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	_terms = view.Terms{Validity: 4 * time.Second, FirstStep: 5 * time.Second, Step: time.Second, Suspicion: 5 * time.Second, Proof: 3}
)

func report(now time.Time, phase core.Phase, incarnation core.Incarnation) core.Report {
	return core.Report{Phase: phase, Incarnation: incarnation, AskedAt: now, FreeTokens: 100, TotalTokens: 100}
}

// warm gives a view that has ramped up fully.
func warm() (*view.View, time.Time) {
	v := &view.View{}
	now := _start
	for range 20 {
		now = now.Add(time.Second)
		v.Observe(now, report(now, core.PhaseWarm, 1), _terms)
	}
	return v, now
}

func ExampleView_Limit() {
	endpoint := core.Endpoint{ColdSlots: 2, WarmSlots: 24}
	v := &view.View{}
	for second := range 10 {
		now := _start.Add(time.Duration(second) * time.Second)
		v.Observe(now, report(now, core.PhaseWarm, 1), _terms)
		fmt.Print(v.Limit(now, endpoint, _terms), " ")
	}
	// Output: 2 2 2 2 2 4 8 16 24 24
}

func TestSignsOfCold(t *testing.T) {
	endpoint := core.Endpoint{ColdSlots: 2, WarmSlots: 24}
	signs := map[string]func(v *view.View, now time.Time) time.Time{
		"phase": func(v *view.View, now time.Time) time.Time {
			v.Observe(now, report(now, core.PhaseCold, 1), _terms)
			return now
		},
		"incarnation": func(v *view.View, now time.Time) time.Time {
			v.Observe(now, report(now, core.PhaseWarm, 2), _terms)
			return now
		},
		"no report": func(_ *view.View, now time.Time) time.Time { return now.Add(_terms.Validity) },
		"first token": func(v *view.View, now time.Time) time.Time {
			for range 10 {
				v.FirstToken(now, 50*time.Millisecond, _terms)
			}
			if !v.FirstToken(now, 3*time.Second, _terms) {
				t.Error("a first token after 3 s is no sign")
			}
			return now
		},
	}
	for name, sign := range signs {
		v, now := warm()
		if got := v.Limit(now, endpoint, _terms); got != 24 {
			t.Fatalf("the limit of a warm endpoint is %d", got)
		}
		now = sign(v, now.Add(time.Second))
		if got := v.Limit(now, endpoint, _terms); got != 2 {
			t.Errorf("%s: the limit is %d, 2 cold slots wanted", name, got)
		}
	}
}

func TestBusyEngineIsNotSuspect(t *testing.T) {
	v, now := warm()
	full := report(now, core.PhaseWarm, 1)
	full.FreeTokens = 5
	v.Observe(now, full, _terms)
	v.FirstToken(now, 50*time.Millisecond, _terms)
	if v.FirstToken(now, 3*time.Second, _terms) {
		t.Error("an engine with full memory is taken for cold")
	}
}

func TestHintsAreBoundedAndAge(t *testing.T) {
	hints := view.NewHints[string]()
	seen := func(now time.Time, prefix uint64) (endpoints []string) {
		hints.Each(now, prefix, func(e string) { endpoints = append(endpoints, e) })
		return endpoints
	}
	hints.Stored(_start, 1, "a")
	hints.Stored(_start, 1, "b")
	if got := seen(_start, 1); len(got) != 2 {
		t.Errorf("hints %v", got)
	}
	hints.Evicted(1, "a")
	if got := seen(_start, 1); len(got) != 1 || got[0] != "b" {
		t.Errorf("after the eviction %v", got)
	}
	if got := seen(_start.Add(time.Hour), 1); len(got) != 0 {
		t.Errorf("after an hour %v", got)
	}
	for prefix := range uint64(1 << 17) {
		hints.Stored(_start, prefix+2, "c")
	}
	if got := seen(_start, 1); len(got) != 0 {
		t.Errorf("the oldest prefix is kept beyond the bound: %v", got)
	}
}
