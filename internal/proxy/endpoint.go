package proxy

import (
	"time"

	"walkrudder/internal/liveness"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

const (
	// suspicionThreshold is the suspicion from which an endpoint is ejected.
	suspicionThreshold = 0.99
	// The backoff doubles with each consecutive failure up to maxBackoff. Silence and a failed
	// connect are strong signs of failure. A reset or a malformed answer is a weaker one
	// (shortBackoff): some targets reset connections when full, and some spoil one answer in a few.
	initialBackoff = time.Second
	shortBackoff   = 125 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// defaultLatency is assumed for a target while nothing is known of its latency.
	defaultLatency = 100 * time.Millisecond
	// coldLatencyFactor is how much slower a target that has just started is assumed to be.
	coldLatencyFactor = 2
	// riseWeight and fallWeight are the weights of a new sample in the moving average of the
	// latency, for samples above and below it.
	riseWeight, fallWeight = 0.3, 0.15
	// latencyWindow is the number of latency samples kept per endpoint. The 99th percentile is
	// recomputed every refitEvery samples once the window holds minLatencySamples.
	latencyWindow, refitEvery, minLatencySamples = 50, 8, 10
)

// endpoint is one target as this node sees it. The lock of its service guards it.
//
// Three signals determine its health. The failure detector (docs/detector.md) watches the replies to
// this node's numbered probes, for which valid answers to requests may substitute; its suspicion
// is evaluated at each choice. Passive health compares the outcomes of requests with those at
// the service's other endpoints (passiveHealth). The third is backoff: a failed connect, a reset,
// silence until the deadline or a malformed answer starts one, which doubles with consecutive
// failures; any answer ends it. After a backoff of initialBackoff or more, the endpoint gets one
// request at a time until one is answered.
type endpoint struct {
	svc          *service
	run          target.Run
	sameZone     bool    // in this node's zone
	zoneFactor   float64 // cost factor of the distance to its zone
	rank         float64 // position in this node's own order, 0 to 1
	trafficClass upgrade.TrafficClass

	coldUntil time.Time
	inFlight  []time.Time // start times of the requests in flight, ascending
	conns     int         // connections, including those being opened
	idle      []*conn     // most recently used last

	latency   time.Duration // moving average; 0 means unknown
	latencies *liveness.Window
	answers   int // recorded so far
	p99       time.Duration

	failures         int  // consecutive
	singleRequest    bool // limited to one request in flight until one is answered
	failedAt         time.Time
	backoffUntil     time.Time
	overEjectionCap  bool      // in use despite its suspicion, as too many are suspected
	fullUntil        time.Time // it reported that it has no capacity
	replaced         bool      // another target answers at its address
	replacedSeq      uint64
	probed           bool
	probeInFlight    bool
	nextProbe        time.Time
	probeSeq         uint64
	detector         *liveness.Detector // nil until the endpoint is to be probed
	detectorInterval time.Duration      // probe interval that the detector was made for
	validAnswerAt    time.Time          // last valid answer that has not counted as an arrival yet
	passive          *passiveHealth     // nil until a request to it has ended
	ignorePassive    bool               // passive health is ignored, as too many are unhealthy by it
}

// available reports whether requests may be sent to the endpoint at all.
func (e *endpoint) available() bool {
	return e.run.State == target.Ready && !e.replaced && e.trafficClass != upgrade.NoTraffic
}

// suspicion combines active and passive suspicion; from suspicionThreshold on, the endpoint is
// ejected.
func (e *endpoint) suspicion(now time.Time) float64 {
	w := e.activeSuspicion(now)
	if !e.ignorePassive {
		w = max(w, e.passiveSuspicion(now))
	}
	return w
}

// activeSuspicion is the suspicion without passive health: by backoff, by the control plane and by
// the probes of this node.
func (e *endpoint) activeSuspicion(now time.Time) float64 {
	if d := e.backoffUntil.Sub(now); d > 0 {
		return 1 + d.Seconds()
	}
	if e.run.Suspected() {
		return 1
	}
	if e.probed {
		return e.detector.Suspicion(now)
	}
	return 0
}

// expectedLatency estimates how long an answer will take. The oldest request in flight raises
// it: if it has waited for longer than usual, that is better evidence than past answers.
func (e *endpoint) expectedLatency(now time.Time) time.Duration {
	d := e.latency
	if d == 0 {
		d = e.svc.typicalLatencyLocked()
		if now.Before(e.coldUntil) {
			d *= coldLatencyFactor
		}
	}
	if len(e.inFlight) > 0 {
		d = max(d, now.Sub(e.inFlight[0]))
	}
	return d
}

// silenceLimit is the time without an answer after which, by this endpoint's own latencies, a
// normal answer has become unlikely: the 99th percentile, but at least three average latencies and
// a quarter of the latency target. Without a latency target, the remaining time replaces it.
func (e *endpoint) silenceLimit(latencyTarget, left time.Duration) time.Duration {
	d := e.latency
	if d == 0 {
		d = e.svc.typicalLatencyLocked()
	}
	if latencyTarget <= 0 {
		latencyTarget = left
	}
	return max(e.p99, 3*d, latencyTarget/4)
}

// recordAnswer records an answer that took d, and ends a backoff.
func (e *endpoint) recordAnswer(now time.Time, d time.Duration) {
	e.resetBackoff()
	w := fallWeight
	if d > e.latency {
		w = riseWeight
	}
	if e.latency == 0 {
		w = 1
	}
	e.latency += time.Duration(w * float64(d-e.latency))
	if e.latencies == nil {
		e.latencies = liveness.NewWindow(latencyWindow)
	}
	e.latencies.Push(d.Seconds())
	if e.answers++; e.answers%refitEvery == 0 && e.latencies.Len() >= minLatencySamples {
		if f, ok := e.latencies.Fit(); ok {
			e.p99 = time.Duration(min(f.Quantile(suspicionThreshold), 60) * float64(time.Second))
		}
	}
}

// recordFailure starts or doubles the backoff. A request that began before the last failure is
// ignored: it gives no new information.
func (e *endpoint) recordFailure(now, began time.Time, initial time.Duration) {
	if e.failures > 0 && began.Before(e.failedAt) {
		return
	}
	e.failedAt = now
	d := min(initial<<min(e.failures, 6), maxBackoff)
	e.backoffUntil = now.Add(d)
	e.failures++
	e.singleRequest = e.singleRequest || d >= initialBackoff
}

// resetBackoff ends the backoff.
func (e *endpoint) resetBackoff() {
	e.failures, e.singleRequest, e.backoffUntil = 0, false, time.Time{}
}

// headroom is how many more requests this node may send to the endpoint now, up to limit.
func (e *endpoint) headroom(now time.Time, limit int) int {
	if now.Before(e.fullUntil) {
		return 0
	}
	if e.singleRequest && !e.overEjectionCap {
		limit = 1
	}
	if e.onProbation() {
		limit = min(limit, 1+e.passive.probationAnswers)
	}
	return min(limit, e.svc.maxConns()) - len(e.inFlight)
}

func (e *endpoint) slots() int { return max(1, e.run.Slots) }
