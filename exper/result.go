package exper

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotproxy/core"
)

// _stallThreshold is the longest gap between two tokens of a request that is not a
// stall. The excess above it counts as stall time.
const _stallThreshold = 100 * time.Millisecond

// Quantiles are the quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64
	P95 float64
	P99 float64
	// P999 is the 99.9th percentile.
	P999 float64
}

// Result holds the measurements of one run, or of several runs that differ only by
// the seed.
type Result struct {
	Site        string
	Policy      string
	Load        float64
	Seeds       int
	Submitted   int
	Completed   int
	Refusals    int
	RefusedLate int // refused because the deadline passed while they waited
	// RefusedWithRoom counts refusals while an engine had a free slot and enough
	// memory to run the request to its end.
	RefusedWithRoom int
	Lost            int // failed tries
	// CompletedTokens is the output tokens of completed requests per second.
	CompletedTokens float64
	Preemptions     int
	// StallSeconds is the total time by which gaps between tokens exceed 100 ms.
	StallSeconds float64
	// OverWarm and OverCold count requests that arrived at an engine above its warm
	// or cold slots. Falls counts crashes of engines, including injected ones and those
	// in the warm-up.
	OverWarm int
	OverCold int
	Falls    int
	// Between is the gap between tokens; FirstShort and FirstLong are the time from
	// arrival to the first token, for short and long requests.
	Between    Quantiles
	FirstShort Quantiles
	FirstLong  Quantiles
	// Borrowings counts requests for a slot of another host, Leases those that were
	// granted. Both include the warm-up.
	Borrowings int
	Leases     int

	tokens, seconds                float64
	between, firstShort, firstLong *hdrhistogram.Histogram
}

func newResult(setting Setting) *Result {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)
	}
	return &Result{
		Site: setting.Site.Name, Policy: setting.Policy.Name, Load: setting.Load, Seeds: 1,
		between: histogram(), firstShort: histogram(), firstLong: histogram(),
	}
}

func (r *Result) recordToken(now time.Time, t *try, first bool) {
	if first {
		histogram := r.firstLong
		if t.request.short {
			histogram = r.firstShort
		}
		recordDuration(histogram, now.Sub(t.request.Arrived))
		return
	}
	gap := now.Sub(t.lastToken)
	recordDuration(r.between, gap)
	if gap > _stallThreshold {
		r.StallSeconds += (gap - _stallThreshold).Seconds()
	}
}

// recordDuration ignores the error of RecordValue, which occurs only for durations
// above the histogram's limit of an hour; those of a run are far shorter.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(max(int64(duration/time.Microsecond), 1))
}

func (r *Result) recordCompletion(t *try) {
	r.Completed++
	r.tokens += float64(t.produced)
}

func (r *Result) recordRefusal(cause core.Cause) {
	r.Refusals++
	if cause == core.CauseDeadline {
		r.RefusedLate++
	}
}

func (r *Result) finish(length time.Duration) {
	r.seconds = length.Seconds()
	r.summarize()
}

func (r *Result) summarize() {
	r.CompletedTokens = r.tokens / r.seconds
	r.Between = quantiles(r.between)
	r.FirstShort = quantiles(r.firstShort)
	r.FirstLong = quantiles(r.firstLong)
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), P999: at(99.9)}
}

// WriteTable writes the results as a table.
func WriteTable(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "Site\tPolicy\tLoad\tDone\tRefused\tLate\tRoom\tLost\tTokens/s\tPreempt\tStall s\tOverWarm\tOverCold\tFalls\t" +
		"Between p50\tp95\tp99\tp99.9\tShort p50\tp95\tp99\tLong p50\tp95\tp99\tAsked\tLeases\t\n"
	if _, err := io.WriteString(table, header); err != nil {
		return fmt.Errorf("write the table's header: %w", err)
	}
	for _, r := range results {
		_, err := fmt.Fprintf(table, "%s\t%s\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%.0f\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t\n",
			r.Site, r.Policy, r.Load, r.Completed, r.Refusals, r.RefusedLate, r.RefusedWithRoom, r.Lost, r.CompletedTokens, r.Preemptions, r.StallSeconds,
			r.OverWarm, r.OverCold, r.Falls, r.Between.P50, r.Between.P95, r.Between.P99, r.Between.P999,
			r.FirstShort.P50, r.FirstShort.P95, r.FirstShort.P99, r.FirstLong.P50, r.FirstLong.P95, r.FirstLong.P99, r.Borrowings, r.Leases)
		if err != nil {
			return fmt.Errorf("write a row of the table: %w", err)
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("flush the table: %w", err)
	}
	return nil
}

// WriteJSON writes the results as JSON.
func WriteJSON(out io.Writer, results []*Result) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(results); err != nil {
		return fmt.Errorf("encode the results: %w", err)
	}
	return nil
}

func (r *Result) sameSetting(other *Result) bool {
	return r.Site == other.Site && r.Policy == other.Policy && r.Load == other.Load
}

// merge adds the measurements of a run with another seed.
func (r *Result) merge(other *Result) {
	r.Seeds += other.Seeds
	r.Submitted += other.Submitted
	r.Completed += other.Completed
	r.Refusals += other.Refusals
	r.RefusedLate += other.RefusedLate
	r.RefusedWithRoom += other.RefusedWithRoom
	r.Lost += other.Lost
	r.Preemptions += other.Preemptions
	r.StallSeconds += other.StallSeconds
	r.OverWarm += other.OverWarm
	r.OverCold += other.OverCold
	r.Falls += other.Falls
	r.Borrowings += other.Borrowings
	r.Leases += other.Leases
	r.tokens += other.tokens
	r.between.Merge(other.between)
	r.firstShort.Merge(other.firstShort)
	r.firstLong.Merge(other.firstLong)
	r.seconds += other.seconds
	r.summarize()
}
