package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Progress is the state of a run.
type Progress struct {
	Elapsed time.Duration
	Sent    int
	Open    int
	Done    int
	NotRun  int
	Other   int // all other outcomes
	// FirstTokenP99 covers the run so far.
	FirstTokenP99 time.Duration
}

// String returns the progress line.
func (p Progress) String() string {
	return fmt.Sprintf("%4ds sent %d open %d done %d not run %d other %d, first token p99 %s",
		int(p.Elapsed.Seconds()), p.Sent, p.Open, p.Done, p.NotRun, p.Other, p.FirstTokenP99.Round(time.Millisecond))
}

func (r *recorder) progress(elapsed time.Duration, open int) Progress {
	kinds, _ := r.totals()
	total := newKindStats()
	for _, k := range kinds {
		total.add(k)
	}
	p := Progress{Elapsed: elapsed, Sent: total.sent, Open: open, Done: total.outcomes[Done], NotRun: total.outcomes[NotRun]}
	for outcome := Interrupted; outcome < _outcomeCount; outcome++ {
		p.Other += total.outcomes[outcome]
	}
	p.FirstTokenP99 = time.Duration(total.firstToken.ValueAtQuantile(99)) * time.Microsecond
	return p
}

// Times holds quantiles of a duration in milliseconds.
type Times struct {
	Count     int64
	P50Millis float64
	P95Millis float64
	P99Millis float64
	MaxMillis float64
}

func newTimes(histogram *hdrhistogram.Histogram) Times {
	toMillis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Times{
		Count:     histogram.TotalCount(),
		P50Millis: toMillis(histogram.ValueAtQuantile(50)),
		P95Millis: toMillis(histogram.ValueAtQuantile(95)),
		P99Millis: toMillis(histogram.ValueAtQuantile(99)),
		MaxMillis: toMillis(histogram.Max()),
	}
}

// KindResult is the result of one kind of request.
type KindResult struct {
	Kind        string
	Sent        int
	Done        int
	NotRun      int
	Interrupted int
	Unknown     int
	Broken      int
	Unreached   int
	Skipped     int
	Abandoned   int
	Tokens      int
	// Resumes counts how often streams were resumed.
	Resumes int
	// FirstToken is the time from the scheduled arrival to the first token, Between
	// the time between two consecutive tokens, and Whole the time from the scheduled
	// arrival to the end of an answer with the outcome Done.
	FirstToken Times
	Between    Times
	Whole      Times
}

// Detail is a reason why requests did not end as Done, with their number.
type Detail struct {
	Text  string
	Count int
}

// Result is the result of a run. It is also written as JSON with these field names.
type Result struct {
	ElapsedSeconds float64
	Kinds          []KindResult
	Details        []Detail
}

func (r *recorder) result(elapsed time.Duration) Result {
	kinds, details := r.totals()
	result := Result{ElapsedSeconds: elapsed.Seconds()}
	for kind, k := range kinds {
		if k.sent > 0 {
			result.Kinds = append(result.Kinds, k.result(Kind(kind)))
		}
	}
	for text, count := range details {
		result.Details = append(result.Details, Detail{Text: text, Count: count})
	}
	sort.Slice(result.Details, func(i, j int) bool {
		a, b := result.Details[i], result.Details[j]
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		return a.Text < b.Text
	})
	return result
}

func (k *kindStats) result(kind Kind) KindResult {
	return KindResult{
		Kind:        kind.String(),
		Sent:        k.sent,
		Done:        k.outcomes[Done],
		NotRun:      k.outcomes[NotRun],
		Interrupted: k.outcomes[Interrupted],
		Unknown:     k.outcomes[Unknown],
		Broken:      k.outcomes[Broken],
		Unreached:   k.outcomes[Unreached],
		Skipped:     k.outcomes[Skipped],
		Abandoned:   k.outcomes[Abandoned],
		Tokens:      k.tokens,
		Resumes:     k.resumes,
		FirstToken:  newTimes(k.firstToken),
		Between:     newTimes(k.tokenGaps),
		Whole:       newTimes(k.total),
	}
}

// Faulty returns the number of requests that the system failed to answer properly
// (Broken, Unreached) or that the load did not send (Skipped). Refusals do not count.
func (r Result) Faulty() int {
	count := 0
	for _, kind := range r.Kinds {
		count += kind.Broken + kind.Unreached + kind.Skipped
	}
	return count
}

// WriteTable prints the result as tables.
func (r Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		// Flush returns the error of a failed write.
		_, _ = fmt.Fprintln(table, strings.Join(texts, "\t")+"\t")
	}
	row("Kind", "Sent", "Done", "NotRun", "Interrupted", "Unknown", "Broken", "Unreached", "Skipped", "Abandoned", "Tokens", "Resumes")
	for _, k := range r.Kinds {
		row(k.Kind, k.Sent, k.Done, k.NotRun, k.Interrupted, k.Unknown, k.Broken, k.Unreached, k.Skipped, k.Abandoned, k.Tokens, k.Resumes)
	}
	row()
	row("Milliseconds", "", "Count", "p50", "p95", "p99", "Max")
	for _, k := range r.Kinds {
		for _, t := range []struct {
			name  string
			times Times
		}{{"FirstToken", k.FirstToken}, {"Between", k.Between}, {"Whole", k.Whole}} {
			if t.times.Count > 0 {
				row(k.Kind, t.name, t.times.Count, formatMillis(t.times.P50Millis), formatMillis(t.times.P95Millis), formatMillis(t.times.P99Millis), formatMillis(t.times.MaxMillis))
			}
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("printing the result: %w", err)
	}
	for _, detail := range r.Details {
		if _, err := fmt.Fprintf(w, "%6d %s\n", detail.Count, detail.Text); err != nil {
			return fmt.Errorf("printing the result: %w", err)
		}
	}
	return nil
}

func formatMillis(value float64) string { return fmt.Sprintf("%.1f", value) }
