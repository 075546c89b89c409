// Package liveness is the Weibull accrual detector: from the gaps between
// arrivals it tells how much a silence is to be suspected (design 10, and
// docs/detector.md for what was kept and changed of its source).
package liveness

import (
	"math"
	"slices"
	"sync"
)

// minGap keeps logarithms finite where two arrivals share an instant.
const minGap = 1e-4

// Window is a sliding window of gaps in seconds, kept in order of arrival and in
// order of size, so that a refit sorts nothing.
type Window struct {
	ring []float64 // logarithms, by arrival
	at   int
	full int
	x    []float64 // the same, ascending
}

// NewWindow makes a window of n gaps.
func NewWindow(n int) *Window {
	return &Window{ring: make([]float64, n), x: make([]float64, 0, n)}
}

// Push takes a gap in and lets the oldest go once the window is full.
func (w *Window) Push(gap float64) {
	v := math.Log(max(gap, minGap))
	if w.full == len(w.ring) {
		i, _ := slices.BinarySearch(w.x, w.ring[w.at])
		w.x = slices.Delete(w.x, i, i+1)
	} else {
		w.full++
	}
	w.ring[w.at] = v
	w.at = (w.at + 1) % len(w.ring)
	i, _ := slices.BinarySearch(w.x, v)
	w.x = slices.Insert(w.x, i, v)
}

// Len is the number of gaps held.
func (w *Window) Len() int { return w.full }

// Mean is the mean gap in seconds.
func (w *Window) Mean() float64 {
	s := 0.0
	for _, v := range w.x {
		s += math.Exp(v)
	}
	return s / float64(max(1, len(w.x)))
}

// Fit is the Weibull distribution fitted to a window.
type Fit struct{ Alpha, Beta float64 }

// Fit is the least-squares fit of y = ln(-ln(1-F)) over x = ln t, with
// 1-F = 1-(i-0.5)/n for the i-th gap in ascending order. ok is false where fewer
// than two gaps, or only equal ones, leave the slope undefined.
func (w *Window) Fit() (f Fit, ok bool) {
	n := len(w.x)
	if n < 2 {
		return f, false
	}
	r := ranks(n)
	var sx float64
	for _, v := range w.x {
		sx += v
	}
	mx := sx / float64(n)
	var sxx, sxy float64
	for i, v := range w.x {
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

// FitWithin is the fit with its shape clamped to lo..hi; equal gaps get hi. The window
// must hold a gap.
func (w *Window) FitWithin(lo, hi float64) Fit {
	f, ok := w.Fit()
	return w.clamp(f, ok, lo, hi)
}

// clamp takes α again for the clamped shape, so that the line still runs through the
// mean point.
func (w *Window) clamp(f Fit, ok bool, lo, hi float64) Fit {
	b := hi
	if ok {
		b = min(f.Beta, hi)
	}
	b = max(b, lo)
	return Fit{Alpha: math.Exp(w.MeanLog() - ranks(w.Len()).mean/b), Beta: b}
}

// MeanLog is the mean of the gaps' logarithms.
func (w *Window) MeanLog() float64 {
	s := 0.0
	for _, v := range w.x {
		s += v
	}
	return s / float64(max(1, len(w.x)))
}

type rankY struct {
	y    []float64
	mean float64
}

var rankTab sync.Map // n -> *rankY

// ranks are the y of n ordered gaps; they depend on n alone.
func ranks(n int) *rankY {
	if r, ok := rankTab.Load(n); ok {
		return r.(*rankY)
	}
	r := &rankY{y: make([]float64, n)}
	for i := range n {
		rel := 1 - (float64(i+1)-0.5)/float64(n)
		r.y[i] = math.Log(-math.Log(rel))
		r.mean += r.y[i] / float64(n)
	}
	rankTab.Store(n, r)
	return r
}

// Suspicion is w_d after a silence of t seconds.
func (f Fit) Suspicion(t float64) float64 {
	if t <= 0 {
		return 0
	}
	return -math.Expm1(-math.Pow(t/f.Alpha, f.Beta))
}

// After is the silence at which the suspicion reaches w.
func (f Fit) After(w float64) float64 {
	return f.Alpha * math.Pow(-math.Log1p(-w), 1/f.Beta)
}
