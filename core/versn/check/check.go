// Package check examines a configuration before it is sent. It finds entries that hosts accept
// but that are most likely mistakes: entries that can never match and limits that contradict
// each other. It also describes the differences between two routed sites. What hosts reject is
// found by the packages that read the files, confg and local.
package check

import (
	"fmt"
	"slices"

	"apricotproxy/core/versn/confg"
)

// Severity tells what hosts do with a configuration that has a finding.
type Severity uint8

// Severities.
const (
	// Error is a finding for which hosts reject the configuration.
	Error Severity = iota + 1
	// Warning is a finding in a configuration that hosts put in force as it is written.
	Warning
)

// Finding is something wrong in a configuration.
type Finding struct {
	confg.Fault
	Severity Severity
}

// String returns three lines like those of a fault. The first one of a warning says so.
func (f Finding) String() string {
	if f.Severity == Warning {
		f.Problem = "warning: " + f.Problem
	}
	return f.Fault.String()
}

// Sort orders findings by file, line and column.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int { return a.Origin.Compare(b.Origin) })
}

// Count returns the numbers of errors and warnings.
func Count(findings []Finding) (errors, warnings int) {
	for _, f := range findings {
		if f.Severity == Error {
			errors++
		} else {
			warnings++
		}
	}
	return errors, warnings
}

// list collects warnings.
type list struct {
	findings []Finding
}

func (l *list) warn(origin confg.Origin, expected, remedy, problem string, arguments ...any) {
	l.findings = append(l.findings, Finding{
		Severity: Warning,
		Fault:    confg.Fault{Origin: origin, Problem: fmt.Sprintf(problem, arguments...), Expected: expected, Remedy: remedy},
	})
}
