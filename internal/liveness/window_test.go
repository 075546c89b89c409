package liveness

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The expected values were computed by hand from the formulas, independently of this code.
func TestWindowFitAgainstFiguresWorkedOutApart(t *testing.T) {
	for _, c := range []struct {
		gaps              []float64
		alpha, beta, at25 float64
	}{
		{[]float64{3, 1, 2}, 2.3098435440, 2.0635449514, 0.6918996645},
		{[]float64{1.3, 0.9, 1.1, 1.0}, 1.1430428418, 7.2777734411, 1},
	} {
		w := NewWindow(10)
		for _, g := range c.gaps {
			w.Push(g)
		}
		f, ok := w.Fit()
		if !ok || !almostEqual(f.Alpha, c.alpha) || !almostEqual(f.Beta, c.beta) || !almostEqual(f.Suspicion(2.5), c.at25) {
			t.Errorf("%v: alpha %.6f beta %.6f w(2.5) %.6f, want %v", c.gaps, f.Alpha, f.Beta, f.Suspicion(2.5), c)
		}
		if g := f.Quantile(0.99); !almostEqual(f.Suspicion(g), 0.99) {
			t.Errorf("Quantile is not the inverse of Suspicion: %v", f.Suspicion(g))
		}
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 2e-6 }

func TestWindowKeepsTheLastGapsInOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	w := NewWindow(16)
	var all []float64
	for range 200 {
		g := 0.01 + r.Float64()
		all = append(all, g)
		w.Push(g)
		last := slices.Clone(all[max(0, len(all)-16):])
		slices.Sort(last)
		for i, v := range last {
			if !almostEqual(math.Exp(w.sorted[i]), v) {
				t.Fatalf("gap %d is %v, want %v", i, math.Exp(w.sorted[i]), v)
			}
		}
		if w.Len() != len(last) {
			t.Fatalf("holds %d, want %d", w.Len(), len(last))
		}
	}
}

func TestWindowWithoutSpreadHasNoFit(t *testing.T) {
	w := NewWindow(8)
	for range 8 {
		if _, ok := w.Fit(); ok {
			t.Fatal("got a fit from equal gaps")
		}
		w.Push(1)
	}
}

// The shape stays within its bounds, and the fitted line passes through the mean point.
func TestFitWithin(t *testing.T) {
	w := NewWindow(20)
	for range 20 {
		w.Push(2)
	}
	if f := w.FitWithin(1, 4); f.Beta != 4 || f.Alpha < 2 || f.Alpha > 2.5 {
		t.Errorf("equal gaps: %+v", f)
	}
	for i := range 20 {
		w.Push(math.Pow(10, float64(i%5)))
	}
	if f, ok := w.Fit(); !ok || f.Beta >= 1 {
		t.Fatalf("%+v: the shape should be below 1", f)
	}
	if f := w.FitWithin(1, 4); f.Beta != 1 {
		t.Errorf("wide gaps: %+v", f)
	}
	for i := range 20 {
		w.Push(Fit{3, 2}.Quantile((float64(i) + 0.5) / 20))
	}
	plain, _ := w.Fit()
	if f := w.FitWithin(1, 4); math.Abs(f.Beta-plain.Beta) > 1e-9 || math.Abs(f.Alpha-plain.Alpha) > 1e-9 {
		t.Errorf("%+v, plain %+v", f, plain)
	}
}
