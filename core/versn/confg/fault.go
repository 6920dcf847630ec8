package confg

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Origin is the place where a value was written. The zero Origin marks a default.
type Origin struct {
	File string
	Line int // from 1; 0 for the file as a whole
	// Column counts bytes from 1; 0 for the line as a whole.
	Column int
}

// String returns text such as "texas.ini:12", "texas.ini" or "default".
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

// Compare orders origins by file, line and column.
func (o Origin) Compare(other Origin) int {
	return cmp.Or(cmp.Compare(o.File, other.File), cmp.Compare(o.Line, other.Line), cmp.Compare(o.Column, other.Column))
}

// Position returns text such as "texas.ini:12:9", or as String if the column is unknown.
func (o Origin) Position() string {
	if o.Line == 0 || o.Column == 0 {
		return o.String()
	}
	return fmt.Sprintf("%s:%d", o, o.Column)
}

// Fault is one validation error in a configuration.
type Fault struct {
	Origin   Origin
	Problem  string
	Expected string
	Remedy   string
}

// String returns three lines: origin and problem, expectation, remedy.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s\n  expected: %s\n  remedy:   %s", f.Origin.Position(), f.Problem, f.Expected, f.Remedy)
}

// FaultsError reports that a configuration was rejected as a whole. It holds at
// least one fault and at most the first 200 found, in order of file, line and column.
type FaultsError struct {
	Faults []Fault
}

// Error returns the first fault's origin, problem and remedy, and the number of
// further faults.
func (e *FaultsError) Error() string {
	first := e.Faults[0]
	text := fmt.Sprintf("%s: %s (%s)", first.Origin.Position(), first.Problem, first.Remedy)
	if len(e.Faults) == 1 {
		return text
	}
	return fmt.Sprintf("%s, and %d more", text, len(e.Faults)-1)
}

// Details returns every fault in full.
func (e *FaultsError) Details() string {
	texts := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		texts[i] = fault.String() + "\n"
	}
	return strings.Join(texts, "")
}

// _maxFaults bounds the size of the report on a text that is mostly invalid.
const _maxFaults = 200

// faultList collects faults, so that all of them are reported at once.
type faultList struct {
	faults []Fault
}

func (l *faultList) add(origin Origin, problem, expected, remedy string) {
	if len(l.faults) == _maxFaults {
		return
	}
	l.faults = append(l.faults, Fault{Origin: origin, Problem: problem, Expected: expected, Remedy: remedy})
}

// err returns nil, or a *FaultsError in order of file, line and column.
func (l *faultList) err() error {
	if len(l.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(l.faults, func(a, b Fault) int { return a.Origin.Compare(b.Origin) })
	return &FaultsError{Faults: l.faults}
}
