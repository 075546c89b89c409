// Package liveness implements a Weibull accrual failure detector: it computes a suspicion
// from the gaps between arrivals and the present silence (design 10; docs/detector.md lists
// what is kept and what is changed of the published algorithm).
package liveness

import (
	"math"
	"slices"
	"sync"
)

// minGap, in seconds, keeps logarithms finite when two arrivals have the same time.
const minGap = 1e-4

// Window is a sliding window of gaps. Their logarithms are kept both in order of arrival
// and in ascending order, so that a refit sorts nothing.
type Window struct {
	logs   []float64 // logarithms of the gaps in seconds: a ring buffer in order of arrival
	next   int       // the ring's next write position
	count  int       // the gaps held
	sorted []float64 // the same logarithms, ascending
}

// NewWindow returns an empty window with room for n gaps.
func NewWindow(n int) *Window {
	return &Window{logs: make([]float64, n), sorted: make([]float64, 0, n)}
}

// Push adds a gap, in seconds. A full window drops its oldest gap.
func (w *Window) Push(gap float64) {
	v := math.Log(max(gap, minGap))
	if w.count == len(w.logs) {
		i, _ := slices.BinarySearch(w.sorted, w.logs[w.next])
		w.sorted = slices.Delete(w.sorted, i, i+1)
	} else {
		w.count++
	}
	w.logs[w.next] = v
	w.next = (w.next + 1) % len(w.logs)
	i, _ := slices.BinarySearch(w.sorted, v)
	w.sorted = slices.Insert(w.sorted, i, v)
}

// Len returns the number of gaps held.
func (w *Window) Len() int { return w.count }

// Mean returns the mean gap in seconds.
func (w *Window) Mean() float64 {
	s := 0.0
	for _, v := range w.sorted {
		s += math.Exp(v)
	}
	return s / float64(max(1, len(w.sorted)))
}

// Fit holds the scale (Alpha, in seconds) and the shape (Beta) of a Weibull distribution.
type Fit struct{ Alpha, Beta float64 }

// Fit fits y = ln(-ln(1-F)) over x = ln t by least squares, with 1-F = 1-(i-0.5)/n for the
// i-th gap in ascending order. ok is false if the slope is undefined: with fewer than two
// gaps, or only equal ones.
func (w *Window) Fit() (f Fit, ok bool) {
	n := len(w.sorted)
	if n < 2 {
		return f, false
	}
	r := positionsFor(n)
	var sx float64
	for _, v := range w.sorted {
		sx += v
	}
	mx := sx / float64(n)
	var sxx, sxy float64
	for i, v := range w.sorted {
		d := v - mx
		sxx += d * d
		sxy += d * r.y[i]
	}
	if sxx < 1e-12 || sxy <= 0 {
		return Fit{Alpha: math.Exp(mx)}, false
	}
	f.Beta = sxy / sxx
	f.Alpha = math.Exp(mx - r.mean/f.Beta)
	return f, true
}

// FitWithin returns the fit with its shape clamped to lo..hi; equal gaps get the shape hi.
// The window must hold a gap.
func (w *Window) FitWithin(lo, hi float64) Fit {
	f, ok := w.Fit()
	return w.clampShape(f, ok, lo, hi)
}

// clampShape limits the shape to lo..hi and computes α anew for the limited shape, so that
// the fitted line still passes through the mean point.
func (w *Window) clampShape(f Fit, ok bool, lo, hi float64) Fit {
	b := hi
	if ok {
		b = min(f.Beta, hi)
	}
	b = max(b, lo)
	return Fit{Alpha: math.Exp(w.MeanLog() - positionsFor(w.Len()).mean/b), Beta: b}
}

// MeanLog returns the mean of the logarithms of the gaps.
func (w *Window) MeanLog() float64 {
	s := 0.0
	for _, v := range w.sorted {
		s += v
	}
	return s / float64(max(1, len(w.sorted)))
}

// plotPositions holds the ordinates ln(-ln(1-F)) of n ordered gaps, and their mean.
type plotPositions struct {
	y    []float64
	mean float64
}

var positionsByCount sync.Map // n -> *plotPositions

// positionsFor returns the ordinates of n ordered gaps. They depend on n only and are cached.
func positionsFor(n int) *plotPositions {
	if r, ok := positionsByCount.Load(n); ok {
		return r.(*plotPositions)
	}
	r := &plotPositions{y: make([]float64, n)}
	for i := range n {
		rel := 1 - (float64(i+1)-0.5)/float64(n)
		r.y[i] = math.Log(-math.Log(rel))
		r.mean += r.y[i] / float64(n)
	}
	positionsByCount.Store(n, r)
	return r
}

// Suspicion returns w_d, the probability of a gap shorter than t seconds, after a silence of t.
func (f Fit) Suspicion(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return -math.Expm1(-math.Pow(t/f.Alpha, f.Beta))
}

// Quantile returns the silence, in seconds, at which the suspicion reaches w.
func (f Fit) Quantile(w float64) float64 {
	return f.Alpha * math.Pow(-math.Log1p(-w), 1/f.Beta)
}
