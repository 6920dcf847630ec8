package check_test

import (
	"fmt"

	"apricotproxy/proof/check"
)

// counter is incremented by two processes that do not synchronise.
type counter struct {
	value int
	read  [2]int // by process: the value read, -1 before the read, -2 after the write
}

func ExampleModel_Explore() {
	model := check.Model[*counter]{
		New: func() *counter { return &counter{read: [2]int{-1, -1}} },
		Actions: func(c *counter, actions []check.Action[*counter]) []check.Action[*counter] {
			for i, read := range c.read {
				switch {
				case read == -1:
					actions = append(actions, check.Action[*counter]{
						Name: fmt.Sprint("read ", i),
						Do:   func(c *counter) { c.read[i] = c.value },
					})
				case read >= 0:
					actions = append(actions, check.Action[*counter]{
						Name: fmt.Sprint("write ", i),
						Do:   func(c *counter) { c.value, c.read[i] = c.read[i]+1, -2 },
					})
				}
			}
			return actions
		},
		Key: func(c *counter) string { return fmt.Sprintf("%+v", *c) },
		Invariant: func(c *counter) string {
			if c.read == [2]int{-2, -2} && c.value != 2 {
				return "an increment is lost"
			}
			return ""
		},
	}
	fmt.Println(model.Explore(10).Violation)
	// Output:
	// an increment is lost after
	//   read 0
	//   read 1
	//   write 0
	//   write 1
}
