package confg

import (
	"fmt"
	"sort"
	"strings"
)

// Origin tells where a value was written. The zero Origin stands for a default.
type Origin struct {
	File string
	Line int // from 1; 0 for the file as a whole
}

// String gives "texas.ini:12", "texas.ini" or "default".
func (o Origin) String() string {
	switch {
	case o.File == "":
		return "default"
	case o.Line == 0:
		return o.File
	default:
		return fmt.Sprintf("%s:%d", o.File, o.Line)
	}
}

// Fault is one reason why a configuration is rejected.
type Fault struct {
	Origin   Origin
	Problem  string
	Expected string
	Remedy   string
}

// String gives three lines: place and problem, expectation, remedy.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s\n  expected: %s\n  remedy:   %s", f.Origin, f.Problem, f.Expected, f.Remedy)
}

// FaultsError rejects a configuration whole. It holds at least one fault, and
// at most the first 200 found, in order of file and line.
type FaultsError struct {
	Faults []Fault
}

// Error gives the first fault's place and problem, and how many there are.
func (e *FaultsError) Error() string {
	first := e.Faults[0]
	text := fmt.Sprintf("%s: %s (%s)", first.Origin, first.Problem, first.Remedy)
	if len(e.Faults) == 1 {
		return text
	}
	return fmt.Sprintf("%s, and %d more", text, len(e.Faults)-1)
}

// Page gives every fault in full.
func (e *FaultsError) Page() string {
	pages := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		pages[i] = fault.String() + "\n"
	}
	return strings.Join(pages, "")
}

// _faultsKept bounds what a text of nothing but faults makes of itself.
const _faultsKept = 200

// faultList collects faults, so that one run reports all of them.
type faultList struct {
	faults []Fault
}

func (l *faultList) add(origin Origin, problem, expected, remedy string) {
	if len(l.faults) == _faultsKept {
		return
	}
	l.faults = append(l.faults, Fault{Origin: origin, Problem: problem, Expected: expected, Remedy: remedy})
}

// err gives nil or a *FaultsError in order of file and line.
func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	sort.SliceStable(l.faults, func(i, j int) bool {
		a, b := l.faults[i].Origin, l.faults[j].Origin
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return &FaultsError{Faults: l.faults}
}
