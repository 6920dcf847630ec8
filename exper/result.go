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

// _stallAfter is the gap between two tokens from which on it counts as a stall;
// the excess is stall time.
const _stallAfter = 100 * time.Millisecond

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64
	P95 float64
	P99 float64
	// P999 is the quantile 99.9 %.
	P999 float64
}

// Result holds the figures of one run.
type Result struct {
	Site        string
	Policy      string
	Load        float64
	Seeds       int
	Submitted   int
	Completed   int
	Refusals    int
	RefusedLate int // by their deadline, not on arrival
	// RefusedWithRoom counts refusals while some engine could have taken the
	// request and run it to its end.
	RefusedWithRoom int
	Lost            int
	// CompletedTokens counts the output tokens of completed requests a second.
	CompletedTokens float64
	Preemptions     int
	// StallSeconds is the sum of the gaps' excess over 100 ms.
	StallSeconds float64
	// OverWarm and OverCold count requests that came to an engine above its
	// limit; Falls counts cold engines that fell over.
	OverWarm int
	OverCold int
	Falls    int
	// Between is the gap between tokens; FirstShort and FirstLong the time from
	// arrival to the first token.
	Between    Quantiles
	FirstShort Quantiles
	FirstLong  Quantiles
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

func (r *Result) token(now time.Time, w *work, first bool) {
	if first {
		histogram := r.firstLong
		if w.request.short {
			histogram = r.firstShort
		}
		record(histogram, now.Sub(w.request.Arrived))
		return
	}
	gap := now.Sub(w.lastToken)
	record(r.between, gap)
	if gap > _stallAfter {
		r.StallSeconds += (gap - _stallAfter).Seconds()
	}
}

// record cannot fail: no duration in a run is near an hour.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(max(int64(duration/time.Microsecond), 1))
}

func (r *Result) completed(w *work) {
	r.Completed++
	r.tokens += float64(w.produced)
}

func (r *Result) refused(cause core.Cause) {
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

// merge adds the figures of a run with another seed.
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
