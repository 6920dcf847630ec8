package core

import (
	"math"
	"time"
)

// MaxSpan is the longest time that Seconds and Milliseconds return. It is beyond any limit, and so short that it can be added to a
// time, and multiplied by a small factor.
const MaxSpan = 10 * 365 * 24 * time.Hour

// Seconds returns a number of seconds that something outside names as a time of at most MaxSpan, before or after; 0 if it is not
// a number. The conversion of a number beyond the range of a time.Duration differs by processor.
func Seconds(n float64) time.Duration {
	const most = float64(MaxSpan / time.Second)
	if math.IsNaN(n) {
		return 0
	}
	return time.Duration(min(max(n, -most), most) * float64(time.Second))
}

// Milliseconds returns a number of milliseconds that something outside names as a time of at most MaxSpan, before or after.
func Milliseconds(n int64) time.Duration {
	const most = int64(MaxSpan / time.Millisecond)
	return time.Duration(min(max(n, -most), most)) * time.Millisecond
}
