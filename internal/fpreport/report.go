package fpreport

import (
	"fmt"
	"image/color"
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/fescuepoint/fescuepoint/internal/fpexperiment"
	"github.com/fescuepoint/fescuepoint/internal/fpworkload"
	"github.com/fescuepoint/fescuepoint/pkg/fproute"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
	// sampleIntervalSeconds is the interval between the values of PolicyResult.HitRateSamples.
	sampleIntervalSeconds = 5
)

// Write writes Markdown tables that compare the placement policies and the sources from
// which the router learns cache contents, and saves the plots in a folder, for the given seeds.
func Write(w io.Writer, folder string, seeds []uint64) error {
	for _, name := range []string{fpworkload.TinggiSelamat, fpworkload.Roostwell} {
		shape, err := fpworkload.ShapeByName(name)
		if err != nil {
			return err
		}
		for _, f := range fpexperiment.Faults() {
			rows := measurePolicies(shape, f, fpexperiment.Policies(), seeds)
			writeTable(w, fmt.Sprintf("%s, %s", name, f), rows)
			if err := drawPlots(folder, name, f, rows); err != nil {
				return err
			}
		}
		writeTable(w, name+", sources of cache information", measurePolicies(shape, fpexperiment.NoFault, fpexperiment.IndexSourcePolicies(), seeds))
	}
	return nil
}

// measurePolicies runs the experiment with each policy.
func measurePolicies(shape fpworkload.Shape, f fpexperiment.Fault, policies []fpexperiment.NamedPolicy, seeds []uint64) []fpexperiment.PolicyResult {
	var rows []fpexperiment.PolicyResult
	for _, p := range policies {
		rows = append(rows, fpexperiment.RunSeeds(shape, f, p, seeds))
	}
	return rows
}

// writeTable writes one row for each policy as a Markdown table.
func writeTable(w io.Writer, title string, rows []fpexperiment.PolicyResult) {
	_, _ = fmt.Fprintf(w, "### %s\n\n| policy | hit rate | recomputed tokens | first token p99 interactive, standard, bulk (ms) | refused | between regions | messages |\n| --- | --- | --- | --- | --- | --- | --- |\n", title)
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %.3f | %d | %d, %d, %d | %d | %.2f %% | %d |\n", r.Policy, r.HitRate, r.RecomputedTokens,
			r.FirstTokenP99[fproute.Interactive].Milliseconds(), r.FirstTokenP99[fproute.Standard].Milliseconds(),
			r.FirstTokenP99[fproute.Bulk].Milliseconds(), r.Refused, 100*r.RemoteByteShare, r.CacheUpdates)
	}
	_, _ = fmt.Fprintln(w)
}

// drawPlots plots the hit rate over time and, without a fault, the recomputed tokens.
func drawPlots(folder, name string, f fpexperiment.Fault, rows []fpexperiment.PolicyResult) error {
	lines := plot.New()
	lines.Title.Text = fmt.Sprintf("%s, %s: prefix hit rate over time", name, f)
	lines.X.Label.Text = "seconds"
	lines.Y.Label.Text = "hit rate"
	for i, r := range rows {
		points := make(plotter.XYs, len(r.HitRateSamples))
		for j, h := range r.HitRateSamples {
			points[j] = plotter.XY{X: float64((j + 1) * sampleIntervalSeconds), Y: h}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "line of hit rates")
		}
		l.Color = seriesColor(i)
		lines.Add(l)
		lines.Legend.Add(r.Policy, l)
	}
	if err := lines.Save(plotWidth, plotHeight, filepath.Join(folder, fmt.Sprintf("%s-%s-hit.svg", name, f))); err != nil {
		return errors.Wrap(err, "save plot")
	}
	if f != fpexperiment.NoFault {
		return nil
	}
	return drawBars(folder, name, rows)
}

// drawBars plots the recomputed tokens of each policy as bars.
func drawBars(folder, name string, rows []fpexperiment.PolicyResult) error {
	bars := plot.New()
	bars.Title.Text = name + ": tokens recomputed"
	values := make(plotter.Values, len(rows))
	labels := make([]string, len(rows))
	for i, r := range rows {
		values[i] = float64(r.RecomputedTokens)
		labels[i] = r.Policy
	}
	b, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return errors.Wrap(err, "bars of recomputed tokens")
	}
	b.Color = seriesColor(3)
	bars.Add(b)
	bars.NominalX(labels...)
	return errors.Wrap(bars.Save(plotWidth, plotHeight, filepath.Join(folder, name+"-recomputed.svg")), "save plot")
}

// seriesColor returns the color of the i-th series.
func seriesColor(i int) color.Color {
	colors := []color.RGBA{{R: 150, G: 150, B: 150, A: 255}, {R: 200, G: 120, B: 40, A: 255}, {R: 120, G: 80, B: 160, A: 255}, {R: 30, G: 110, B: 180, A: 255}, {R: 30, G: 140, B: 70, A: 255}}
	return colors[i%len(colors)]
}
