// Package check explores the states of a state machine exhaustively. The search
// is breadth first, so the first violation found has a shortest trace. A state is
// rebuilt by replaying the actions that led to it, so the machine can be the real
// decision code and need not support copying.
package check

import (
	"fmt"
	"strings"
)

// Action is one transition that is possible in a machine's current state. Do
// performs it on the machine passed to it, which is another instance in the same
// state.
type Action[M any] struct {
	Name string
	Do   func(machine M)
}

// Model is a state machine with an invariant. All of its functions must be
// deterministic.
type Model[M any] struct {
	// New builds the machine in its initial state.
	New func() M
	// Actions appends the transitions that are possible in the current state.
	Actions func(machine M, actions []Action[M]) []Action[M]
	// Key identifies a state: states with the same key are treated as equal.
	Key func(machine M) string
	// Invariant describes how the current state violates the invariant. It returns
	// an empty string if the invariant holds.
	Invariant func(machine M) string
}

// Result is the result of an exploration.
type Result struct {
	States int
	// Depth is the largest distance from the initial state that was explored.
	Depth int
	// Complete is true if no reachable state is farther away than Depth.
	Complete bool
	// Violation is nil if the invariant holds in all explored states.
	Violation *Violation
}

// Violation is a state that violates the invariant.
type Violation struct {
	Detail string
	// Trace lists the names of the actions that lead to the state.
	Trace []string
}

// Error returns the detail and the trace, one action per line.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s after\n  %s", v.Detail, strings.Join(v.Trace, "\n  "))
}

// node is a state that was reached by an action from its parent.
type node[M any] struct {
	parent int
	action Action[M]
}

// explorer holds the state of one exploration.
type explorer[M any] struct {
	model   Model[M]
	nodes   []node[M]
	visited map[string]struct{}
}

// Explore visits every state within depth actions of the initial state.
func (m Model[M]) Explore(depth int) Result {
	e := &explorer[M]{model: m, visited: map[string]struct{}{}}
	initial := m.New()
	e.nodes = []node[M]{{parent: -1}}
	e.visited[m.Key(initial)] = struct{}{}
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

// expand visits the successors of a node.
func (e *explorer[M]) expand(at int) *Violation {
	for _, action := range e.model.Actions(e.replay(at), nil) {
		machine := e.replay(at)
		action.Do(machine)
		key := e.model.Key(machine)
		if _, ok := e.visited[key]; ok {
			continue
		}
		e.visited[key] = struct{}{}
		e.nodes = append(e.nodes, node[M]{parent: at, action: action})
		if detail := e.model.Invariant(machine); detail != "" {
			return &Violation{Detail: detail, Trace: e.trace(len(e.nodes) - 1)}
		}
	}
	return nil
}

// replay builds a machine in the state of a node by repeating the actions that
// lead to it.
func (e *explorer[M]) replay(at int) M {
	if e.nodes[at].parent < 0 {
		return e.model.New()
	}
	machine := e.replay(e.nodes[at].parent)
	e.nodes[at].action.Do(machine)
	return machine
}

func (e *explorer[M]) trace(at int) []string {
	if e.nodes[at].parent < 0 {
		return nil
	}
	return append(e.trace(e.nodes[at].parent), e.nodes[at].action.Name)
}
