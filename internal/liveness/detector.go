package liveness

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the free choices of the detector; docs/detector.md gives figures
// for each.
type Options struct {
	// Size of the window.
	Size int
	// Warm is how many gaps the prior stands in for until they have arrived.
	Warm int
	// Every is the interval between arrivals that the prior expects.
	Every time.Duration
	// Plain leaves out every extension, for measurement: no clamp, no floor, no
	// prior, no discount of own pauses.
	Plain bool
	// NoFill leaves lost arrivals unfilled.
	NoFill bool
	// MinBeta and MaxBeta clamp the fitted shape.
	MinBeta, MaxBeta float64
	// Floor is the least spread in time that is ever believed.
	Floor time.Duration
}

// Defaults are the options for arrivals about every d.
func Defaults(d time.Duration) Options {
	return Options{Size: 100, Warm: 10, Every: d, MinBeta: 1, MaxBeta: 12, Floor: 60 * time.Millisecond}
}

// backlog is how long after an own pause arrivals may have waited to be read.
const backlog = 150 * time.Millisecond

// maxFill bounds the arrivals filled in for one gap.
const maxFill = 16

// priorBeta is the shape that the prior expects.
const priorBeta = 3

// Detector watches one run of one target. Arrivals take its lock; a choice reads
// an atomic snapshot (design 10.3).
type Detector struct {
	o     Options
	pause *Pauses

	mu   sync.Mutex
	win  *Window
	seq  uint64
	last time.Time
	woke time.Time // first arrival after an own pause
	seen int

	now atomic.Pointer[snapshot]
}

type snapshot struct {
	fit    Fit
	last   time.Time
	paused time.Duration // own pauses up to last
	judge  bool
}

// New makes a detector for a target run first met at t. p may be nil.
func New(o Options, p *Pauses, t time.Time) *Detector {
	d := &Detector{o: o, pause: p, win: NewWindow(o.Size), last: t}
	if !o.Plain {
		m := o.Every.Seconds() / math.Gamma(1+1/float64(priorBeta))
		for i := range o.Warm {
			q := (float64(i) + 0.5) / float64(o.Warm)
			d.win.Push(Fit{m, priorBeta}.After(q))
		}
	}
	d.publish()
	return d
}

// Arrive notes arrival j at time t; one that is not newer than the largest yet
// is no news. It tells whether it was.
func (d *Detector) Arrive(j uint64, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j <= d.seq {
		return false
	}
	gap := t.Sub(d.last)
	old := d.now.Load()
	pausedIn := time.Duration(0)
	if d.pause != nil && !d.o.Plain {
		pausedIn = d.pause.Total() - old.paused
	}
	switch {
	case d.seen == 0:
		// The first arrival has no gap before it.
	case gap < 0 || pausedIn > 0:
		// The gap measures this process's own pause, not the target.
		d.woke = t
	case !d.woke.IsZero() && t.Sub(d.woke) < backlog:
		// What came during the pause is read all at once after it.
	default:
		d.push(gap.Seconds(), j-d.seq-1)
	}
	d.seen++
	d.seq, d.last = j, t
	d.publish()
	return true
}

// Restart begins the watch anew at t, with what was learnt: nobody looked before.
func (d *Detector) Restart(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last, d.seen = t, 0
	d.publish()
}

// push takes one gap in which lost arrivals were missed. Each of them is placed
// a mean gap after the one before, d_i = Δ + d_{i-1}, as long as that leaves the
// last gap longer than nothing; else they share the gap evenly.
func (d *Detector) push(gap float64, lost uint64) {
	if lost == 0 || d.o.NoFill || d.win.Len() == 0 {
		d.win.Push(gap)
		return
	}
	k := int(min(lost, maxFill))
	m := d.win.Mean()
	if m*float64(k) >= gap {
		m = gap / float64(k+1)
	}
	for range k {
		d.win.Push(m)
	}
	d.win.Push(gap - m*float64(k))
}

// publish refits and replaces the snapshot.
func (d *Detector) publish() {
	s := &snapshot{last: d.last}
	if d.pause != nil {
		s.paused = d.pause.Total()
	}
	f, ok := d.win.Fit()
	switch {
	case d.o.Plain:
		s.fit, s.judge = f, ok && d.win.Len() == d.o.Size
	default:
		s.fit, s.judge = d.tame(f, ok), d.win.Len() > 0
	}
	d.now.Store(s)
}

// tame keeps the fit sound where gaps are nearly equal: the shape is clamped, and
// its spread never believed to be below the floor. α is then taken again for the
// clamped shape, so that the line still runs through the mean point.
func (d *Detector) tame(f Fit, ok bool) Fit {
	ml := d.win.MeanLog()
	hi := d.o.MaxBeta
	if fl := d.o.Floor.Seconds(); fl > 0 {
		// A Weibull's ln t has the standard deviation π/(√6·β).
		hi = min(hi, math.Exp(ml)/fl*math.Pi/math.Sqrt(6))
	}
	return d.win.clamp(f, ok, d.o.MinBeta, hi)
}

// Suspicion is w_d now; it is worked out afresh at each call. Time that this
// process itself stood still does not count as silence.
func (d *Detector) Suspicion(now time.Time) float64 {
	s := d.now.Load()
	if !s.judge {
		return 0
	}
	t := now.Sub(s.last)
	if d.pause != nil && !d.o.Plain {
		t -= d.pause.At(now) - s.paused
	}
	return s.fit.Suspicion(t.Seconds())
}

// Fitted tells the fit and the last arrival, for people.
func (d *Detector) Fitted() (Fit, time.Time) {
	s := d.now.Load()
	return s.fit, s.last
}

// Seq is the largest sequence number yet.
func (d *Detector) Seq() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}
