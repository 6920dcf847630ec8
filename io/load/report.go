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
	// FirstTokenP99 is from the start of the run.
	FirstTokenP99 time.Duration
}

// String gives the progress line.
func (p Progress) String() string {
	return fmt.Sprintf("%4ds sent %d open %d done %d not run %d other %d, first token p99 %s",
		int(p.Elapsed.Seconds()), p.Sent, p.Open, p.Done, p.NotRun, p.Other, p.FirstTokenP99.Round(time.Millisecond))
}

func (r *recorder) progress(elapsed time.Duration, open int) Progress {
	kinds, _ := r.sums()
	total := newFigures()
	for _, f := range kinds {
		total.add(f)
	}
	p := Progress{Elapsed: elapsed, Sent: total.sent, Open: open, Done: total.outcomes[Done], NotRun: total.outcomes[NotRun]}
	for outcome := Interrupted; outcome < _outcomes; outcome++ {
		p.Other += total.outcomes[outcome]
	}
	p.FirstTokenP99 = time.Duration(total.firstToken.ValueAtQuantile(99)) * time.Microsecond
	return p
}

// Times are quantiles of a time, in milliseconds.
type Times struct {
	Count     int64
	P50Millis float64
	P95Millis float64
	P99Millis float64
	MaxMillis float64
}

func timesOf(histogram *hdrhistogram.Histogram) Times {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return Times{
		Count:     histogram.TotalCount(),
		P50Millis: millis(histogram.ValueAtQuantile(50)),
		P95Millis: millis(histogram.ValueAtQuantile(95)),
		P99Millis: millis(histogram.ValueAtQuantile(99)),
		MaxMillis: millis(histogram.Max()),
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
	// Resumes counts the connections after the first of all streams.
	Resumes int
	// FirstToken and Whole are counted from the scheduled arrival.
	FirstToken Times
	Between    Times
	Whole      Times
}

// Detail tells how often a request did not end as Done, and why.
type Detail struct {
	Text  string
	Count int
}

// Result is the result of a run; it encodes to JSON.
type Result struct {
	ElapsedSeconds float64
	Kinds          []KindResult
	Details        []Detail
}

func (r *recorder) result(elapsed time.Duration) Result {
	kinds, details := r.sums()
	result := Result{ElapsedSeconds: elapsed.Seconds()}
	for kind, f := range kinds {
		if f.sent > 0 {
			result.Kinds = append(result.Kinds, f.result(Kind(kind)))
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

func (f *figures) result(kind Kind) KindResult {
	return KindResult{
		Kind:        kind.String(),
		Sent:        f.sent,
		Done:        f.outcomes[Done],
		NotRun:      f.outcomes[NotRun],
		Interrupted: f.outcomes[Interrupted],
		Unknown:     f.outcomes[Unknown],
		Broken:      f.outcomes[Broken],
		Unreached:   f.outcomes[Unreached],
		Skipped:     f.outcomes[Skipped],
		Abandoned:   f.outcomes[Abandoned],
		Tokens:      f.tokens,
		Resumes:     f.resumes,
		FirstToken:  timesOf(f.firstToken),
		Between:     timesOf(f.between),
		Whole:       timesOf(f.whole),
	}
}

// Faulty counts the requests that the system or the load failed: answers that
// contradict themselves, no answer, or not sent. A refusal is no fault.
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
		// Errors of the writer show at Flush.
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
				row(k.Kind, t.name, t.times.Count, millis(t.times.P50Millis), millis(t.times.P95Millis), millis(t.times.P99Millis), millis(t.times.MaxMillis))
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

func millis(value float64) string { return fmt.Sprintf("%.1f", value) }
