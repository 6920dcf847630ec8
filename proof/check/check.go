// Package check explores state machines exhaustively, breadth first, so that
// the first violation found has a shortest trace. It drives the real decision
// code: a state is reached again by replaying its steps, so that the machine
// needs no copying.
package check

import (
	"fmt"
	"strings"
)

// Action is one transition that a machine offers in its present state. Do acts
// on the machine that it is given, which is another one in the same state.
type Action[M any] struct {
	Name string
	Do   func(machine M)
}

// Model is a state machine with an invariant. All functions are deterministic.
type Model[M any] struct {
	// New builds the machine in its initial state.
	New func() M
	// Actions appends the transitions that the present state allows.
	Actions func(machine M, actions []Action[M]) []Action[M]
	// Key identifies a state: two states with the same key are the same.
	Key func(machine M) string
	// Broken tells what is wrong with a state; empty when nothing is.
	Broken func(machine M) string
}

// Result is what an exploration found.
type Result struct {
	States int
	// Depth is the longest distance from the initial state that was explored.
	Depth int
	// Complete is true when no state is left beyond that depth.
	Complete bool
	// Violation is nil when the invariant holds in all states.
	Violation *Violation
}

// Violation is a broken invariant with the steps that lead to it.
type Violation struct {
	Detail string
	Trace  []string
}

// Error gives the detail and one line a step.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s after\n  %s", v.Detail, strings.Join(v.Trace, "\n  "))
}

// node is a state that was reached by an action from its parent.
type node[M any] struct {
	parent int
	action Action[M]
}

// explorer holds one exploration.
type explorer[M any] struct {
	model Model[M]
	nodes []node[M]
	known map[string]struct{}
}

// Explore visits every state within depth steps of the initial one.
func (m Model[M]) Explore(depth int) Result {
	e := &explorer[M]{model: m, known: map[string]struct{}{}}
	first := m.New()
	e.nodes = []node[M]{{parent: -1}}
	e.known[m.Key(first)] = struct{}{}
	begin, level := 0, 0
	for ; level < depth; level++ {
		end := len(e.nodes)
		if begin == end {
			return Result{States: end, Depth: level, Complete: true}
		}
		for at := begin; at < end; at++ {
			if violation := e.expand(at); violation != nil {
				return Result{States: len(e.nodes), Depth: level + 1, Violation: violation}
			}
		}
		begin = end
	}
	return Result{States: len(e.nodes), Depth: level, Complete: begin == len(e.nodes)}
}

// expand visits the successors of a state.
func (e *explorer[M]) expand(at int) *Violation {
	for _, action := range e.model.Actions(e.reach(at), nil) {
		machine := e.reach(at)
		action.Do(machine)
		key := e.model.Key(machine)
		if _, ok := e.known[key]; ok {
			continue
		}
		e.known[key] = struct{}{}
		e.nodes = append(e.nodes, node[M]{parent: at, action: action})
		if detail := e.model.Broken(machine); detail != "" {
			return &Violation{Detail: detail, Trace: e.trace(len(e.nodes) - 1)}
		}
	}
	return nil
}

// reach builds a machine in the state of a node.
func (e *explorer[M]) reach(at int) M {
	if e.nodes[at].parent < 0 {
		return e.model.New()
	}
	machine := e.reach(e.nodes[at].parent)
	e.nodes[at].action.Do(machine)
	return machine
}

func (e *explorer[M]) trace(at int) []string {
	if e.nodes[at].parent < 0 {
		return nil
	}
	return append(e.trace(e.nodes[at].parent), e.nodes[at].action.Name)
}
