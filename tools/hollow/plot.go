package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// PlotArgs say which reports to draw, and where to.
type PlotArgs struct {
	Files []string `arg:"positional,required" help:"reports of run, as JSON"`
	Out   string   `arg:"--out,required" help:"folder for the pictures"`
	Only  []string `arg:"--only" help:"figures to draw, by their names in slopes; all by default"`
}

// picture size.
const (
	plotWide = 14 * vg.Centimeter
	plotHigh = 9 * vg.Centimeter
)

func (a *PlotArgs) run(out io.Writer) error {
	var all []Report
	for _, name := range a.Files {
		rs, err := reportsOf(name)
		if err != nil {
			return err
		}
		all = append(all, rs...)
	}
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return err
	}
	drawn := 0
	by := pointsOf(all)
	for _, what := range slices.Sorted(slices.Values(lo.Keys(by))) {
		for _, k := range slices.Sorted(slices.Values(lo.Keys(by[what]))) {
			s, ok := fit(by[what][k])
			if !ok || len(a.Only) > 0 && !slices.Contains(a.Only, k) {
				continue
			}
			path := filepath.Join(a.Out, fileName(what+" "+k)+".svg")
			if err := draw(path, what, k, s); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(out, path)
			drawn++
		}
	}
	if drawn == 0 {
		return fmt.Errorf("no figure at %d sizes or more", leastSizes)
	}
	return nil
}

// spread are the means at each size, with bars from the least to the most.
type spread struct {
	plotter.XYs
	plotter.YErrors
}

// draw writes one figure over its sizes: means, spread and the fitted line.
func draw(path, what, figure string, s Slope) error {
	p := plot.New()
	p.Title.Text = figure
	p.X.Label.Text = what
	p.X.Min, p.Y.Min = 0, 0
	var at spread
	for _, x := range s.By {
		at.XYs = append(at.XYs, plotter.XY{X: x.Size, Y: x.Mean})
		at.YErrors = append(at.YErrors, struct{ Low, High float64 }{x.Mean - x.Least, x.Most - x.Mean})
	}
	dots, err := plotter.NewScatter(at.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(at)
	if err != nil {
		return err
	}
	first, last := s.By[0].Size, s.By[len(s.By)-1].Size
	line, err := plotter.NewLine(plotter.XYs{{X: first, Y: s.Base + s.Each*first}, {X: last, Y: s.Base + s.Each*last}})
	if err != nil {
		return err
	}
	line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(plotter.NewGrid(), line, bars, dots)
	p.Legend.Add("a thousand more: "+strconv.FormatFloat(1000*s.Each, 'g', 3, 64)+", R2 "+strconv.FormatFloat(s.R2, 'f', 2, 64), line)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWide, plotHigh, path)
}

// fileName turns a figure's name into one for a file.
func fileName(s string) string {
	s = strings.NewReplacer("%", "part", "/", "-per-").Replace(strings.ToLower(s))
	return strings.Join(strings.FieldsFunc(s, func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' }), "-")
}
