package core_test

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

func ExampleOutcomeError() {
	err := core.NotRun(core.CauseOverload, "the queue is full; ask again later", time.Time{})
	fmt.Println(err)
	// Output: NotRun (Overload): the queue is full; ask again later
}
