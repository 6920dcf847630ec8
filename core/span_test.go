package core_test

import (
	"math"
	"testing"
	"time"

	"apricotproxy/core"
)

// A number beyond the range of a time.Duration became a negative time, or another one on another processor.
func TestSpansOfAnyNumber(t *testing.T) {
	for n, want := range map[float64]time.Duration{
		0: 0, 1.5: 1500 * time.Millisecond, -2: -2 * time.Second, 1e-300: 0, 1e10: core.MaxSpan, math.MaxFloat64: core.MaxSpan,
		math.Inf(1): core.MaxSpan, math.Inf(-1): -core.MaxSpan, math.NaN(): 0,
	} {
		if got := core.Seconds(n); got != want {
			t.Errorf("%g s is %v, want %v", n, got, want)
		}
	}
	for n, want := range map[int64]time.Duration{
		0: 0, 1500: 1500 * time.Millisecond, math.MaxInt64: core.MaxSpan, math.MinInt64: -core.MaxSpan,
	} {
		if got := core.Milliseconds(n); got != want {
			t.Errorf("%d ms is %v, want %v", n, got, want)
		}
	}
}
