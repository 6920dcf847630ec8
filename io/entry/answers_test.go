package entry

import (
	"testing"
	"time"
)

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"3", 3 * time.Second, true},
		{"0.25", 250 * time.Millisecond, true},
		{"1e30", _maxClosed, true},
		{"Sun, 01 Mar 2026 06:00:10 GMT", 10 * time.Second, true},
		{"Sun, 01 Mar 2026 05:00:00 GMT", 0, true},
		{"-1", 0, false},
		{"NaN", 0, false},
		{"soon", 0, false},
	} {
		if got, ok := parseRetryAfter(c.value, now); got != c.want || ok != c.ok {
			t.Errorf("%q: %v, %v; want %v, %v", c.value, got, ok, c.want, c.ok)
		}
	}
}

func FuzzParseRetryAfter(f *testing.F) {
	f.Add("3")
	f.Add("Sun, 01 Mar 2026 06:00:10 GMT")
	f.Fuzz(func(t *testing.T, value string) {
		if wait, _ := parseRetryAfter(value, time.Now()); wait < 0 || wait > _maxClosed {
			t.Errorf("%q asks for %v", value, wait)
		}
	})
}
