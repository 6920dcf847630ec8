package chaos

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"apricotproxy/core/procs/slots"
)

// _revisions is how many revisions a run of RunSeeds publishes.
const _revisions = 3

// Result holds the outcome of one run.
type Result struct {
	Seed uint64
	Counts
	// Violation describes a broken promise; empty if there is none.
	Violation string
}

// RunSeeds simulates a fleet with random faults for each seed from 0. With odd seeds,
// each revision replaces all hosts.
func RunSeeds(seeds uint64, span time.Duration) []Result {
	var results []Result
	for seed := range seeds {
		f := New(seed, slots.Switches{}, Configs(_revisions, seed%2 == 1))
		f.StartWithFaults()
		f.Run(span)
		results = append(results, Result{Seed: seed, Counts: f.Counts, Violation: f.Violation()})
	}
	return results
}

// FirstViolation returns the first result with a broken promise.
func FirstViolation(results []Result) (Result, bool) {
	for _, r := range results {
		if r.Violation != "" {
			return r, true
		}
	}
	return Result{}, false
}

// WriteTable writes the results as a table with a row for each run.
func WriteTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(table, "Seed\tSubmitted\tRefused\tDispatched\tColdWork\tColdOver\tWarmOver\t")
	for _, r := range results {
		if err == nil {
			_, err = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
				r.Seed, r.Submitted, r.Refused, r.Dispatched, r.ColdWork, r.ColdOver, r.WarmOver)
		}
	}
	if err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}
