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

// Result is one run.
type Result struct {
	Seed uint64
	Counts
	// Broken describes a broken promise; empty for none.
	Broken string
}

// RunSeeds runs fleets through random faults, one for each seed from 0. Every
// second one replaces all hosts with each revision.
func RunSeeds(seeds uint64, length time.Duration) []Result {
	var results []Result
	for seed := range seeds {
		f := New(seed, slots.Switches{}, Configs(_revisions, seed%2 == 1))
		f.Chaos()
		f.Run(length)
		results = append(results, Result{Seed: seed, Counts: f.Counts, Broken: f.Broken()})
	}
	return results
}

// FirstBroken gives the first result with a broken promise.
func FirstBroken(results []Result) (Result, bool) {
	for _, r := range results {
		if r.Broken != "" {
			return r, true
		}
	}
	return Result{}, false
}

// WriteTable prints a row for each run.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
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
