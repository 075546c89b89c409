package proxy

import (
	"math"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// fateGaps is a run's window of gaps, and fatePrior how many gaps like its peers' it
	// is taken to have had besides.
	fateGaps, fatePrior = 8, 2
	// normGaps is the window of a service, taken anew every normRefit gaps, and normEnough
	// how many must be in it.
	normGaps, normRefit, normEnough = 64, 8, 16
	// normMinBeta and normMaxBeta clamp its shape.
	normMinBeta, normMaxBeta = 1, 4
	// A failure adds ln 1/p to a silence, where p is the part of the service's requests
	// that fail, at least fewFail, with failWeight for the newest. A kept connection that
	// died adds so much less, for targets forget connections.
	fewFail, failWeight, forgot = 0.03, 1.0 / 32, 0.3
	// illAt is how many times as long as its peers' a run's gaps are from which it is ill.
	// Of these gaps fewBad must have a failure in them.
	illAt  = 1.4
	fewBad = 2
	// leastLate is the least silence that is told from chance, in expected times.
	leastLate = 3.0
	// firstHold is for how long an ill run is passed over, doubled with each relapse
	// within relapseIn up to mostHold. Then it is on trial until wellAfter proper answers.
	firstHold = 500 * time.Millisecond
	mostHold  = 4 * time.Second
	relapseIn = 10 * time.Second
	wellAfter = 3
)

// fates is what the requests to one run of a target show (docs/detector.md, "Fates of
// requests"). A proper answer is an arrival, and the gap before it the work sent to the
// run since the last one, in units of the time that the service's answers take; failures
// lengthen it. The window is judged by the Weibull fit of the service's.
type fates struct {
	gaps    [fateGaps]float32
	bad     [fateGaps]bool // whether there was a failure in the gap
	n       int            // gaps pushed so far
	silence float64        // since the last arrival, without what is under way
	failed  bool           // whether there was a failure in it

	ill   bool      // passed over until hold, then on trial
	since time.Time // the last turn to illness, or back
	hold  time.Time
	times int // of illness in a row
	good  int // proper answers on trial
}

// arrive takes the gap before a proper answer in, in place of the oldest.
func (f *fates) arrive() {
	i := f.n % fateGaps
	f.gaps[i], f.bad[i] = float32(f.silence), f.failed
	f.n++
	f.silence, f.failed = 0, false
}

// fails tells whether the gaps are too long to go on with, and not for slowness alone:
// that the choice by expected time answers by itself.
func (f *fates) fails(fit liveness.Fit) bool {
	bad := 0
	for _, b := range f.bad[:min(f.n, fateGaps)] {
		if b {
			bad++
		}
	}
	return bad >= fewBad && f.slowdown(fit) >= illAt
}

// slowdown is how many times as long as by the fit the run's gaps are: α of the window
// over α of the fit, for the fit's shape, by likelihood: (t/α)^β has the mean 1.
func (f *fates) slowdown(fit liveness.Fit) float64 {
	k := min(f.n, fateGaps)
	sum := float64(fatePrior + fateGaps - k)
	for _, g := range f.gaps[:k] {
		sum += math.Pow(float64(g)/fit.Alpha, fit.Beta)
	}
	return math.Pow(sum/(fatePrior+fateGaps), 1/fit.Beta)
}

// fall makes the run ill.
func (f *fates) fall(now time.Time) {
	if !f.ill && now.Sub(f.since) > relapseIn {
		f.times = 0
	}
	f.hold = now.Add(min(firstHold<<min(f.times, 8), mostHold))
	f.times++
	f.ill, f.since, f.good, f.silence, f.failed, f.n = true, now, 0, 0, false, 0
}

// norm is what the runs of a service have in common: the window of all their gaps.
type norm struct {
	win  *liveness.Window
	seen int
	fit  liveness.Fit
	late float64 // the silence at which suspicion reaches suspectAt; 0 is not known yet
	fail float64 // the part of requests that fail
}

// absence is how much a failure says, as a silence in expected times: the less, the more
// usual failures are.
func (m *norm) absence() float64 { return -math.Log(max(m.fail, fewFail)) }

func (m *norm) ended(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	m.fail += failWeight * (x - m.fail)
}

func (m *norm) push(gap float64) {
	if m.win == nil {
		m.win = liveness.NewWindow(normGaps)
	}
	m.win.Push(gap)
	if m.seen++; m.seen%normRefit == 0 && m.win.Len() >= normEnough {
		m.fit = m.win.FitWithin(normMinBeta, normMaxBeta)
		m.late = max(leastLate, m.fit.Quantile(suspectAt))
	}
}

// unit is the time that an answer of the run is expected to take among its peers'.
func (e *endpoint) unit(now time.Time) float64 {
	d := e.svc.usual()
	if now.Before(e.coldTill) {
		d *= coldFactor
	}
	return d.Seconds()
}

// met notes how a request ended that began at began.
func (e *endpoint) met(now, began time.Time, o outcome, took time.Duration) {
	f, m := e.fates, &e.svc.norm
	gap := 0.0
	switch o {
	case answered, cutShort:
		gap = took.Seconds() / e.unit(now)
	case erred, reset, spoilt, unreachable:
		gap = m.absence()
	case mute:
		gap = took.Seconds()/e.unit(now) + m.absence()
	case stale:
		gap = forgot * m.absence()
	default:
		return
	}
	failed := o != answered && o != cutShort
	m.ended(failed)
	if f == nil {
		f = &fates{}
		e.fates = f
	}
	if began.Before(f.since) {
		// It went out before the run was held for ill, or well, and says nothing new.
		return
	}
	f.silence += gap
	f.failed = f.failed || failed
	gap = f.silence
	if o == answered {
		f.arrive()
		m.push(gap)
	}
	late := m.late > 0 && gap > m.late
	switch {
	case m.late == 0:
	case f.ill && (late || failed && o != stale), !f.ill && o != answered && late, !f.ill && o == answered && f.fails(m.fit):
		f.fall(now)
		e.svc.n.stats.passedOver.Add(1)
	case f.ill && o == answered:
		if f.good++; f.good >= wellAfter {
			f.ill, f.since, f.n = false, now, 0
		}
	}
}

// illness is how much the run is to be passed over for what befell its requests. A silence
// is judged as it is now, with the longest under way.
func (e *endpoint) illness(now time.Time) float64 {
	f, m := e.fates, &e.svc.norm
	if f == nil || m.late == 0 {
		return 0
	}
	if f.ill && now.Before(f.hold) {
		return 1
	}
	t := f.silence
	if len(e.starts) > 0 {
		t += now.Sub(e.starts[0]).Seconds() / e.unit(now)
	}
	if t < m.late {
		return 0
	}
	return max(suspectAt, m.fit.Suspicion(t))
}

// onTrial tells whether the run is tried with repeatable requests alone, one at a time
// at first.
func (e *endpoint) onTrial() bool {
	return e.fates != nil && e.fates.ill && !e.pardoned && !e.excused
}
