package proxy

import (
	"math"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// passiveWindow is the number of recent gaps kept per endpoint. priorGaps is the number of
	// gaps of the service's average length that are assumed in addition.
	passiveWindow, priorGaps = 8, 2
	// baselineWindow is the number of gaps kept per service. The baseline is refitted every
	// baselineRefit gaps once the window holds minBaselineGaps.
	baselineWindow, baselineRefit, minBaselineGaps = 64, 8, 16
	// baselineMinBeta and baselineMaxBeta clamp the shape of the fitted distribution.
	baselineMinBeta, baselineMaxBeta = 1, 4
	// A failure adds ln 1/p to a gap, p being the fraction of the service's requests that fail:
	// a moving average with weight failureRateWeight, and at least minFailureRate. A dead idle
	// connection adds only staleConnWeight of that, because targets also close idle connections
	// without a fault.
	minFailureRate, failureRateWeight, staleConnWeight = 0.03, 1.0 / 32, 0.3
	// ejectSlowdown is the ratio of an endpoint's gaps to those of its peers from which it is
	// ejected. At least minFailedGaps of its gaps must contain a failure.
	ejectSlowdown = 1.4
	minFailedGaps = 2
	// minSilence is the shortest silence that is not attributed to chance, in expected latencies.
	minSilence = 3.0
	// initialEjection is how long an unhealthy endpoint is ejected; it doubles with each relapse
	// within relapseWindow up to maxEjection. Then the endpoint is on probation until it has given
	// recoverAfter valid answers.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	relapseWindow   = 10 * time.Second
	recoverAfter    = 3
)

// passiveHealth tracks the outcomes of requests to one endpoint (docs/detector.md, "Fates of
// requests"). A valid answer is an arrival. The gap before it is the time that the target spent
// on requests since the previous arrival, in units of the service's typical latency; failures
// lengthen it. The window of gaps is compared with the Weibull fit of the service's gaps.
type passiveHealth struct {
	gaps         [passiveWindow]float32
	failedGaps   [passiveWindow]bool // whether the gap contained a failure
	gapCount     int                 // gaps stored so far
	silence      float64             // length of the current gap, without requests in flight
	failureInGap bool                // whether the current gap contains a failure

	unhealthy        bool      // ejected until ejectedUntil, then on probation
	changedAt        time.Time // the last ejection or recovery
	ejectedUntil     time.Time
	ejectionsInRow   int
	probationAnswers int // valid answers while on probation
}

// closeGap stores the gap that a valid answer ends in place of the oldest.
func (f *passiveHealth) closeGap() {
	i := f.gapCount % passiveWindow
	f.gaps[i], f.failedGaps[i] = float32(f.silence), f.failureInGap
	f.gapCount++
	f.silence, f.failureInGap = 0, false
}

// isOutlier reports whether the gaps are too long for the endpoint to stay in use, and not only
// because it is slow: the choice by expected latency already handles slowness.
func (f *passiveHealth) isOutlier(fit liveness.Fit) bool {
	failed := 0
	for _, b := range f.failedGaps[:min(f.gapCount, passiveWindow)] {
		if b {
			failed++
		}
	}
	return failed >= minFailedGaps && f.slowdown(fit) >= ejectSlowdown
}

// slowdown is the ratio of the endpoint's gaps to those of the fit: the maximum-likelihood α of
// the window over α of the fit, both with the fit's shape; (t/α)^β has mean 1.
func (f *passiveHealth) slowdown(fit liveness.Fit) float64 {
	k := min(f.gapCount, passiveWindow)
	sum := float64(priorGaps + passiveWindow - k)
	for _, g := range f.gaps[:k] {
		sum += math.Pow(float64(g)/fit.Alpha, fit.Beta)
	}
	return math.Pow(sum/(priorGaps+passiveWindow), 1/fit.Beta)
}

// eject marks the endpoint unhealthy and starts an ejection.
func (f *passiveHealth) eject(now time.Time) {
	if !f.unhealthy && now.Sub(f.changedAt) > relapseWindow {
		f.ejectionsInRow = 0
	}
	f.ejectedUntil = now.Add(min(initialEjection<<min(f.ejectionsInRow, 8), maxEjection))
	f.ejectionsInRow++
	f.unhealthy, f.changedAt, f.probationAnswers, f.silence, f.failureInGap, f.gapCount = true, now, 0, 0, false, 0
}

// serviceBaseline describes what is normal for a service: the window of all its endpoints' gaps.
type serviceBaseline struct {
	gaps        *liveness.Window
	gapCount    int
	fit         liveness.Fit
	maxSilence  float64 // the silence at which suspicion reaches suspicionThreshold; 0 means unknown
	failureRate float64 // moving average of the fraction of requests that fail
}

// failureCost is the length that a failure adds to a gap, in expected latencies: the more common
// failures are in the service, the less it is.
func (m *serviceBaseline) failureCost() float64 { return -math.Log(max(m.failureRate, minFailureRate)) }

func (m *serviceBaseline) recordRequest(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	m.failureRate += failureRateWeight * (x - m.failureRate)
}

func (m *serviceBaseline) recordGap(gap float64) {
	if m.gaps == nil {
		m.gaps = liveness.NewWindow(baselineWindow)
	}
	m.gaps.Push(gap)
	if m.gapCount++; m.gapCount%baselineRefit == 0 && m.gaps.Len() >= minBaselineGaps {
		m.fit = m.gaps.FitWithin(baselineMinBeta, baselineMaxBeta)
		m.maxSilence = max(minSilence, m.fit.Quantile(suspicionThreshold))
	}
}

// gapUnit is the latency in seconds that the endpoint is expected to have among its peers.
func (e *endpoint) gapUnit(now time.Time) float64 {
	d := e.svc.typicalLatencyLocked()
	if now.Before(e.coldUntil) {
		d *= coldLatencyFactor
	}
	return d.Seconds()
}

// recordOutcome records the outcome of a request that began at the given time and took so long.
func (e *endpoint) recordOutcome(now, began time.Time, o outcome, took time.Duration) {
	f, m := e.passive, &e.svc.baseline
	gap := 0.0
	switch o {
	case outcomeAnswered, outcomeCanceled:
		gap = took.Seconds() / e.gapUnit(now)
	case outcomeServerError, outcomeReset, outcomeInvalid, outcomeUnreachable:
		gap = m.failureCost()
	case outcomeSilent:
		gap = took.Seconds()/e.gapUnit(now) + m.failureCost()
	case outcomeStaleConn:
		gap = staleConnWeight * m.failureCost()
	default:
		return
	}
	failed := o != outcomeAnswered && o != outcomeCanceled
	m.recordRequest(failed)
	if f == nil {
		f = &passiveHealth{}
		e.passive = f
	}
	if began.Before(f.changedAt) {
		// Sent before the endpoint was ejected or recovered: no new information.
		return
	}
	f.silence += gap
	f.failureInGap = f.failureInGap || failed
	gap = f.silence
	if o == outcomeAnswered {
		f.closeGap()
		m.recordGap(gap)
	}
	tooLong := m.maxSilence > 0 && gap > m.maxSilence
	switch {
	case m.maxSilence == 0:
	case f.unhealthy && (tooLong || failed && o != outcomeStaleConn), !f.unhealthy && o != outcomeAnswered && tooLong, !f.unhealthy && o == outcomeAnswered && f.isOutlier(m.fit):
		f.eject(now)
		e.svc.node.stats.passedOver.Add(1)
	case f.unhealthy && o == outcomeAnswered:
		if f.probationAnswers++; f.probationAnswers >= recoverAfter {
			f.unhealthy, f.changedAt, f.gapCount = false, now, 0
		}
	}
}

// passiveSuspicion is the suspicion by the outcomes of requests. The current gap is extended by
// the time for which the oldest request in flight has waited.
func (e *endpoint) passiveSuspicion(now time.Time) float64 {
	f, m := e.passive, &e.svc.baseline
	if f == nil || m.maxSilence == 0 {
		return 0
	}
	if f.unhealthy && now.Before(f.ejectedUntil) {
		return 1
	}
	t := f.silence
	if len(e.inFlight) > 0 {
		t += now.Sub(e.inFlight[0]).Seconds() / e.gapUnit(now)
	}
	if t < m.maxSilence {
		return 0
	}
	return max(suspicionThreshold, m.fit.Suspicion(t))
}

// onProbation reports whether the endpoint gets only repeatable requests, at first one at a time.
func (e *endpoint) onProbation() bool {
	return e.passive != nil && e.passive.unhealthy && !e.overEjectionCap && !e.ignorePassive
}
