package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"gonum.org/v1/gonum/stat"
)

// SlopesArgs say which reports to fit lines to.
type SlopesArgs struct {
	Files []string `arg:"positional,required" help:"reports of run, as JSON"`
}

// point is one measurement at one size.
type point struct{ size, value float64 }

// Slope is a line through points, and how far they stray.
type Slope struct {
	Base, Each float64 // value at nothing, and for each more
	R2         float64
	// By are the mean, least and largest value at each size.
	By []atSize
}

type atSize struct {
	Size, Mean, Least, Most float64
	N                       int
}

// leastSizes is how many sizes a line needs.
const leastSizes = 3

func fit(ps []point) (s Slope, ok bool) {
	by := lo.GroupBy(ps, func(p point) float64 { return p.size })
	if len(by) < leastSizes {
		return s, false
	}
	xs := lo.Map(ps, func(p point, _ int) float64 { return p.size })
	ys := lo.Map(ps, func(p point, _ int) float64 { return p.value })
	s.Base, s.Each = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Base, s.Each)
	for size, l := range by {
		v := lo.Map(l, func(p point, _ int) float64 { return p.value })
		s.By = append(s.By, atSize{size, stat.Mean(v, nil), slices.Min(v), slices.Max(v), len(v)})
	}
	slices.SortFunc(s.By, func(a, b atSize) int { return int(a.Size - b.Size) })
	return s, true
}

// figures are what a window gives to fit lines to.
func figures(w Window) map[string]float64 {
	out := map[string]float64{}
	for _, role := range []string{"controllers", "gateways"} {
		x, ok := w.Roles[role]
		if !ok {
			continue
		}
		out[role+", % of a core"] = 100 * x.Core
		out[role+", MB"] = x.RSS
		out[role+", B/s in"], out[role+", B/s out"] = x.In, x.Out
	}
	if w.Whole.N > 0 {
		out["ms from a call to the last gateway, half"] = w.Whole.P50
		out["ms to acknowledge, half"] = w.Acked.P50
	}
	return out
}

// windowName leaves figures out, so that like goes with like.
func windowName(s string) string { return strings.TrimLeft(s, "0123456789. ") }

func (a *SlopesArgs) run(out io.Writer) error {
	var all []Report
	for _, name := range a.Files {
		rs, err := reportsOf(name)
		if err != nil {
			return err
		}
		slopes(out, rs)
		all = append(all, rs...)
	}
	if c, ok := costs(all); ok {
		c.write(out)
	}
	return nil
}

// reportsOf reads the reports of a file.
func reportsOf(name string) ([]Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	rs, err := reports(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return rs, nil
}

func reports(r io.Reader) (rs []Report, err error) {
	for dec := json.NewDecoder(r); ; {
		var x Report
		switch err := dec.Decode(&x); err {
		case nil:
			rs = append(rs, x)
		case io.EOF:
			return rs, nil
		default:
			return rs, err
		}
	}
}

// pointsOf are the figures of the cases that are named by what they vary and by its size:
// by what, then by figure.
func pointsOf(rs []Report) map[string]map[string][]point {
	by := map[string]map[string][]point{}
	for _, r := range rs {
		f := strings.Fields(r.Case.Name)
		if r.Err != "" || len(f) != 2 {
			continue
		}
		size, err := strconv.ParseFloat(f[1], 64)
		if err != nil {
			continue
		}
		if by[f[0]] == nil {
			by[f[0]] = map[string][]point{}
		}
		for _, w := range r.Windows {
			for k, v := range figures(w) {
				k = windowName(w.Name) + ": " + k
				by[f[0]][k] = append(by[f[0]][k], point{size, v})
			}
		}
	}
	return by
}

// slopes writes the lines through those figures.
func slopes(out io.Writer, rs []Report) {
	byWhat := pointsOf(rs)
	for _, what := range slices.Sorted(slices.Values(lo.Keys(byWhat))) {
		_, _ = fmt.Fprintf(out, "\n### by %s\n\n| figure | at each size: mean (least to most, runs) | at none | a thousand more | R2 |\n| --- | --- | --- | --- | --- |\n", what)
		for _, k := range slices.Sorted(slices.Values(lo.Keys(byWhat[what]))) {
			s, ok := fit(byWhat[what][k])
			if !ok {
				continue
			}
			at := lo.Map(s.By, func(x atSize, _ int) string {
				return fmt.Sprintf("%g: %.3g (%.3g to %.3g, %d)", x.Size, x.Mean, x.Least, x.Most, x.N)
			})
			_, _ = fmt.Fprintf(out, "| %s | %s | %.3g | %.3g | %.2f |\n", k, strings.Join(at, "; "), s.Base, 1000*s.Each, s.R2)
		}
	}
}
