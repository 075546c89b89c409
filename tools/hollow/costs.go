package main

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Costs split the processor time of controllers by what they were asked.
type Costs struct {
	Windows   int
	Base      float64 // part of a core that goes without being asked
	Ask, Beat float64 // seconds for each
	R2        float64
}

// costs fits the processor time of the controllers in all windows to the asks for news and the
// beats that came; ok is false where the windows can't tell these apart.
func costs(rs []Report) (c Costs, ok bool) {
	var rows, core, guess []float64
	for _, r := range rs {
		if r.Err != "" {
			continue
		}
		for _, w := range r.Windows {
			asks := w.Messages["gateway in news.WatchAsk"][0] + w.Messages["controller in news.WatchAsk"][0]
			rows = append(rows, 1, asks, w.Messages["target in http"][0])
			core = append(core, w.Roles["controllers"].Core)
		}
	}
	const unknown = 3
	c.Windows = len(core)
	if c.Windows <= unknown {
		return c, false
	}
	a := mat.NewDense(c.Windows, unknown, rows)
	var x mat.Dense
	if err := x.Solve(a, mat.NewDense(c.Windows, 1, core)); err != nil {
		return c, false
	}
	c.Base, c.Ask, c.Beat = x.At(0, 0), x.At(1, 0), x.At(2, 0)
	for i := range core {
		guess = append(guess, c.Base+c.Ask*rows[unknown*i+1]+c.Beat*rows[unknown*i+2])
	}
	c.R2 = stat.RSquaredFrom(guess, core, nil)
	return c, !math.IsNaN(c.R2)
}

func (c Costs) write(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\nOver %d windows a controller takes %.2f %% of a core, %.0f us for each ask for news and %.0f us for each beat (R2 %.2f).\n", c.Windows, 100*c.Base, 1e6*c.Ask, 1e6*c.Beat, c.R2)
}
