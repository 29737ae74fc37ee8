package loadgen

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth    = 16 * vg.Centimeter
	plotHeight   = 10 * vg.Centimeter
	plotBarWidth = 0.6 * vg.Centimeter
)

// WritePlot draws the mean goodput of each policy per scenario as a bar chart.
// The extension of the path, such as .svg or .png, selects the format.
func WritePlot(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Whole answers within both latency targets"
	p.Y.Label.Text = "answers per second"
	p.Y.Min = 0
	p.Legend.Top = true
	scenarios := distinct(results, func(r *Result) string { return r.Scenario })
	policies := distinct(results, func(r *Result) string { return r.Policy })
	for n, policy := range policies {
		bars, err := plotter.NewBarChart(goodput(results, policy, scenarios), plotBarWidth)
		if err != nil {
			return fmt.Errorf("create bars of %s: %w", policy, err)
		}
		bars.Color = plotutil.Color(n)
		bars.Offset = plotBarWidth * vg.Length(float64(n)-float64(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(scenarios...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func distinct(results []*Result, key func(*Result) string) []string {
	var keys []string
	for _, r := range results {
		if !slices.Contains(keys, key(r)) {
			keys = append(keys, key(r))
		}
	}
	return keys
}

func goodput(results []*Result, policy string, scenarios []string) plotter.Values {
	values := make(plotter.Values, len(scenarios))
	for n, scenario := range scenarios {
		var same []*Result
		for _, r := range results {
			if r.Scenario == scenario && r.Policy == policy {
				same = append(same, r)
			}
		}
		if len(same) > 0 {
			values[n] = SpreadOf(same, func(r *Result) float64 { return r.GoodputPerSecond }).Mean
		}
	}
	return values
}
