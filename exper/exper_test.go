package exper

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func shortRun(site int, policy int, load float64) Setting {
	return Setting{
		Site: Sites()[site], Policy: Policies()[policy], Load: load,
		Length: 120 * time.Second, WarmUp: 40 * time.Second, Seed: 1,
	}
}

func TestSameSeedGivesSameResults(t *testing.T) {
	setting := shortRun(1, 0, 0.9)
	var texts [2]string
	for i := range texts {
		var out bytes.Buffer
		if err := WriteJSON(&out, []*Result{Run(setting)}); err != nil {
			t.Fatal(err)
		}
		texts[i] = out.String()
	}
	if texts[0] != texts[1] {
		t.Errorf("two runs differ:\n%s\n%s", texts[0], texts[1])
	}
}

// At 90 % of the capacity, the production policy must have at most half of the stall
// time and a fifth of the preemptions of LeastReported, and never exceed the slots.
func TestProductBeatsLeastReportedAtHighLoad(t *testing.T) {
	results := RunAll([]Setting{shortRun(0, 0, 0.9), shortRun(0, 2, 0.9)}, 2)
	product, leastReported := results[0], results[1]
	if product.StallSeconds > leastReported.StallSeconds/2 {
		t.Errorf("stall time is %.0f s against %.0f s with LeastReported; want at most half", product.StallSeconds, leastReported.StallSeconds)
	}
	if product.Preemptions > leastReported.Preemptions/5 {
		t.Errorf("%d preemptions against %d with LeastReported; want at most a fifth", product.Preemptions, leastReported.Preemptions)
	}
	if product.OverCold+product.OverWarm > 0 {
		t.Errorf("%d requests above the cold slots and %d above the warm slots", product.OverCold, product.OverWarm)
	}
}

// Engines that crash in turn restart cold. They must not receive more requests than
// they have cold slots, since that would crash them again.
func TestColdEnginesStayWithinTheirSlots(t *testing.T) {
	setting := shortRun(0, 0, 0.7)
	setting.Fault = crashInTurn
	result := Run(setting)
	if result.OverCold > 0 {
		t.Errorf("%d requests arrived at cold engines above their slots", result.OverCold)
	}
	if result.Completed == 0 {
		t.Error("no request was completed")
	}
}

func TestUnknownStudy(t *testing.T) {
	_, err := NewStudy("none", time.Minute, 1)
	var unknown *UnknownStudyError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v; want an UnknownStudyError", err)
	}
}
