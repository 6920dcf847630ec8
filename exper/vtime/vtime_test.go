package vtime_test

import (
	"fmt"
	"time"

	"apricotproxy/exper/vtime"
)

func ExampleClock() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := vtime.NewClock(start)
	printer := func(text string) func() { return func() { fmt.Println(clock.Now.Sub(start), text) } }
	clock.After(2*time.Second, printer("second"))
	clock.After(time.Second, func() {
		printer("first")()
		clock.After(time.Second, printer("third, scheduled later"))
	})
	clock.RunUntil(start.Add(3 * time.Second))
	fmt.Println(clock.Now.Sub(start))
	// Output:
	// 1s first
	// 2s second
	// 2s third, scheduled later
	// 3s
}
