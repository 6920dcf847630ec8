package exper

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// metric is one plotted value of a result.
type metric struct {
	name  string
	label string
	value func(*Result) float64
}

func metrics() []metric {
	return []metric{
		{"stall", "stall time (s)", func(r *Result) float64 { return r.StallSeconds }},
		{"preemptions", "preemptions", func(r *Result) float64 { return float64(r.Preemptions) }},
		{"short-first-token", "short requests, p99 to the first token (ms)", func(r *Result) float64 { return r.FirstShort.P99 }},
		{"tokens", "completed tokens a second", func(r *Result) float64 { return r.CompletedTokens }},
	}
}

const (
	_plotWidth  = 16 * vg.Centimeter
	_plotHeight = 10 * vg.Centimeter
)

// Plot writes one SVG file per site and metric. It shows the metric against the load,
// with one line per policy.
func Plot(directory string, results []*Result) error {
	for _, site := range siteNames(results) {
		for _, m := range metrics() {
			path := filepath.Join(directory, site+"-"+m.name+".svg")
			if err := plotMetric(path, site, m, results); err != nil {
				return fmt.Errorf("plot %s: %w", path, err)
			}
		}
	}
	return nil
}

func siteNames(results []*Result) []string {
	var sites []string
	for _, r := range results {
		if len(sites) == 0 || sites[len(sites)-1] != r.Site {
			sites = append(sites, r.Site)
		}
	}
	return sites
}

func plotMetric(path, site string, m metric, results []*Result) error {
	chart := plot.New()
	chart.Title.Text = site
	chart.X.Label.Text = "load, as a share of capacity"
	chart.Y.Label.Text = m.label
	chart.Legend.Top, chart.Legend.Left = true, true
	lines := make(map[string]plotter.XYs)
	var names []string
	for _, r := range results {
		if r.Site != site {
			continue
		}
		if lines[r.Policy] == nil {
			names = append(names, r.Policy)
		}
		lines[r.Policy] = append(lines[r.Policy], plotter.XY{X: r.Load, Y: m.value(r)})
	}
	for i, name := range names {
		line, points, err := plotter.NewLinePoints(lines[name])
		if err != nil {
			return fmt.Errorf("draw the line of %s: %w", name, err)
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		chart.Add(line, points)
		chart.Legend.Add(name, line, points)
	}
	if err := chart.Save(_plotWidth, _plotHeight, path); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}
