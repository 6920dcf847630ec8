package exper

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

func short(site int, policy int, load float64) Setting {
	return Setting{
		Site: Sites()[site], Policy: Policies()[policy], Load: load,
		Length: 120 * time.Second, WarmUp: 40 * time.Second, Seed: 1,
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	setting := short(1, 0, 0.9)
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

// The goals that the product is held to against the least reported load.
func TestGoalsAtNineTenthsOfCapacity(t *testing.T) {
	results := RunAll([]Setting{short(0, 0, 0.9), short(0, 2, 0.9)}, 2)
	product, least := results[0], results[1]
	if product.StallSeconds > least.StallSeconds/2 {
		t.Errorf("stall time %.0f s against %.0f s, at most half wanted", product.StallSeconds, least.StallSeconds)
	}
	if product.Preemptions > least.Preemptions/5 {
		t.Errorf("%d preemptions against %d, at most a fifth wanted", product.Preemptions, least.Preemptions)
	}
	if product.OverCold+product.OverWarm > 0 {
		t.Errorf("%d requests above cold slots and %d above warm slots", product.OverCold, product.OverWarm)
	}
}

// Engines that fall over in turn come back cold: nothing above the cold slots
// may reach them, and so none may fall over by load.
func TestColdEnginesDoNotFallOver(t *testing.T) {
	setting := short(0, 0, 0.7)
	setting.Fault = fallInTurn
	result := Run(setting)
	if result.OverCold > 0 {
		t.Errorf("%d requests came to cold engines above their slots", result.OverCold)
	}
	if result.Completed == 0 {
		t.Error("nothing was completed")
	}
}

func TestUnknownStudy(t *testing.T) {
	_, err := NewStudy("none", time.Minute, 1)
	var unknown *UnknownStudyError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v", err)
	}
}
