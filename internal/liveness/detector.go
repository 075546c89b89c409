package liveness

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the tunable parameters of the detector; docs/detector.md gives measurements
// for each of them.
type Options struct {
	// WindowSize is the number of gaps in the window.
	WindowSize int
	// PriorGaps is how many gaps drawn from the prior fill the window at first.
	PriorGaps int
	// Interval is the interval between arrivals that the prior expects.
	Interval time.Duration
	// NoExtensions turns off every extension of the published algorithm, for
	// measurements: clamp, floor, prior and the discount of own pauses.
	NoExtensions bool
	// NoLossFill turns off the filling in of lost arrivals.
	NoLossFill bool
	// MinBeta and MaxBeta limit the fitted shape.
	MinBeta, MaxBeta float64
	// MinSpread is a lower bound for the spread of arrivals that the fit assumes.
	MinSpread time.Duration
}

// DefaultOptions returns the options for arrivals about every d.
func DefaultOptions(d time.Duration) Options {
	return Options{WindowSize: 100, PriorGaps: 10, Interval: d, MinBeta: 1, MaxBeta: 12, MinSpread: 60 * time.Millisecond}
}

// backlogTime is how long after a pause of this process arrivals that waited in buffers
// may still be read.
const backlogTime = 150 * time.Millisecond

// maxFilled bounds the arrivals filled in for one gap.
const maxFilled = 16

// priorBeta is the shape of the prior.
const priorBeta = 3

// Detector computes the suspicion of one run of one target. RecordArrival takes its lock; a request
// that chooses a target reads an atomic snapshot (design 10.3).
type Detector struct {
	opts   Options
	pauses *PauseMonitor

	mu       sync.Mutex
	window   *Window
	seq      uint64
	last     time.Time
	resumed  time.Time // first arrival after a pause of this process
	arrivals int

	current atomic.Pointer[snapshot]
}

type snapshot struct {
	fit    Fit
	last   time.Time
	paused time.Duration // sum of own pauses up to last
	ready  bool
}

// NewDetector returns a detector for a target run first seen at t. p may be nil.
func NewDetector(o Options, p *PauseMonitor, t time.Time) *Detector {
	d := &Detector{opts: o, pauses: p, window: NewWindow(o.WindowSize), last: t}
	if !o.NoExtensions {
		alpha := o.Interval.Seconds() / math.Gamma(1+1/float64(priorBeta))
		for i := range o.PriorGaps {
			q := (float64(i) + 0.5) / float64(o.PriorGaps)
			d.window.Push(Fit{alpha, priorBeta}.Quantile(q))
		}
	}
	d.refit()
	return d
}

// RecordArrival records arrival number seq at time t and reports whether it is newer than
// all before it; an older one is ignored.
func (d *Detector) RecordArrival(seq uint64, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if seq <= d.seq {
		return false
	}
	gap := t.Sub(d.last)
	old := d.current.Load()
	pausedIn := time.Duration(0)
	if d.pauses != nil && !d.opts.NoExtensions {
		pausedIn = d.pauses.Total() - old.paused
	}
	switch {
	case d.arrivals == 0:
		// There is no gap before the first arrival.
	case gap < 0 || pausedIn > 0:
		// The gap measures a pause of this process, not the target.
		d.resumed = t
	case !d.resumed.IsZero() && t.Sub(d.resumed) < backlogTime:
		// Arrivals of the pause are read all at once after it: their gaps mean nothing.
	default:
		d.pushGap(gap.Seconds(), seq-d.seq-1)
	}
	d.arrivals++
	d.seq, d.last = seq, t
	d.refit()
	return true
}

// Restart resumes judging at t, after a time without probes, and keeps the learnt gaps.
func (d *Detector) Restart(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last, d.arrivals = t, 0
	d.refit()
}

// pushGap adds one gap in which lost arrivals went missing. Each of these is placed a mean
// gap after the one before, d_i = Δ + d_{i-1}, if that leaves a positive last gap; else they
// divide the gap evenly.
func (d *Detector) pushGap(gap float64, lost uint64) {
	if lost == 0 || d.opts.NoLossFill || d.window.Len() == 0 {
		d.window.Push(gap)
		return
	}
	filled := int(min(lost, maxFilled))
	mean := d.window.Mean()
	if mean*float64(filled) >= gap {
		mean = gap / float64(filled+1)
	}
	for range filled {
		d.window.Push(mean)
	}
	d.window.Push(gap - mean*float64(filled))
}

// refit fits the window anew and replaces the snapshot.
func (d *Detector) refit() {
	s := &snapshot{last: d.last}
	if d.pauses != nil {
		s.paused = d.pauses.Total()
	}
	f, ok := d.window.Fit()
	switch {
	case d.opts.NoExtensions:
		s.fit, s.ready = f, ok && d.window.Len() == d.opts.WindowSize
	default:
		s.fit, s.ready = d.boundFit(f, ok), d.window.Len() > 0
	}
	d.current.Store(s)
}

// boundFit keeps the fit usable if gaps are nearly equal: it limits the shape, so that the
// spread is not assumed to be below MinSpread. α is then computed anew for the limited
// shape, so that the fitted line still passes through the mean point.
func (d *Detector) boundFit(f Fit, ok bool) Fit {
	meanLog := d.window.MeanLog()
	maxBeta := d.opts.MaxBeta
	if minSpread := d.opts.MinSpread.Seconds(); minSpread > 0 {
		// ln t has the standard deviation π/(√6·β) for a Weibull-distributed t.
		maxBeta = min(maxBeta, math.Exp(meanLog)/minSpread*math.Pi/math.Sqrt(6))
	}
	return d.window.clampShape(f, ok, d.opts.MinBeta, maxBeta)
}

// Suspicion returns w_d at now, computed anew at each call. Pauses of this process do not
// count as silence of the target.
func (d *Detector) Suspicion(now time.Time) float64 {
	s := d.current.Load()
	if !s.ready {
		return 0
	}
	t := now.Sub(s.last)
	if d.pauses != nil && !d.opts.NoExtensions {
		t -= d.pauses.TotalAt(now) - s.paused
	}
	return s.fit.Suspicion(t.Seconds())
}

// LastFit returns the latest fit and the time of the last arrival, for display.
func (d *Detector) LastFit() (Fit, time.Time) {
	s := d.current.Load()
	return s.fit, s.last
}

// LastSeq returns the largest sequence number received.
func (d *Detector) LastSeq() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}
