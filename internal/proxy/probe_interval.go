package proxy

import (
	"sync/atomic"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// probeRatio is the number of probes that a node may send per request, unless freeRate allows
	// more.
	probeRatio = 0.1
	// maxIntervalFactor is how many times the base interval the probe interval may become.
	maxIntervalFactor = 8
	// requestRateWindow is the time over which the request rate is averaged.
	requestRateWindow = 10 * time.Second
)

// probePacer determines the interval at which a node probes each endpoint that it uses: the base
// interval, or two, four or eight times that if probes would exceed a fraction of its requests.
// Where many nodes share many services, probes at a fixed interval would outnumber the requests;
// and the more requests there are, the more of them substitute for probes.
type probePacer struct {
	base         time.Duration
	freeRate     float64 // probes per second that are always allowed
	current      atomic.Int64
	lastRequests uint64  // total of requests at the last call of adjust
	requestRate  float64 // requests per second, averaged
}

func (r *probePacer) interval() time.Duration { return time.Duration(r.current.Load()) }

// adjust takes the total number of requests and the number of probed endpoints, a tick after the
// last call, and reports whether the interval has changed.
func (r *probePacer) adjust(tick time.Duration, requests uint64, runs int) bool {
	r.requestRate += min(1, tick.Seconds()/requestRateWindow.Seconds()) * (float64(requests-r.lastRequests)/tick.Seconds() - r.requestRate)
	r.lastRequests = requests
	maxRate := max(r.freeRate, probeRatio*r.requestRate)
	every := r.interval()
	probeRate := func(d time.Duration) float64 { return float64(runs) / d.Seconds() }
	switch {
	case probeRate(every) > maxRate && every < maxIntervalFactor*r.base:
		every *= 2
	case every > r.base && probeRate(every/2) < 0.8*maxRate:
		every /= 2
	default:
		return false
	}
	r.current.Store(int64(every))
	return true
}

// adjustProbeInterval adapts the probe interval to the request rate.
func (n *Node) adjustProbeInterval(now time.Time, tick time.Duration) {
	runs := 0
	all := n.allServices()
	for _, s := range all {
		runs += s.probedCount()
	}
	if !n.probePacer.adjust(tick, n.stats.requests.Load(), runs) {
		return
	}
	for _, s := range all {
		s.restartDetectors(now)
	}
}

// probedCount returns the number of endpoints that are probed.
func (s *service) probedCount() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.subset {
		if e.probed {
			n++
		}
	}
	return n
}

// restartDetectors starts new failure detectors after a change of the probe interval, for which
// the old arrival gaps say nothing, and brings forward probes due later than an interval from now.
func (s *service) restartDetectors(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	every := s.node.probePacer.interval()
	for _, e := range s.subset {
		if !e.probed {
			continue
		}
		e.startDetector(now)
		e.validAnswerAt = time.Time{}
		if next := now.Add(jitterProbe(float64(every))); e.nextProbe.After(next) {
			e.nextProbe = next
		}
	}
}

// startDetector starts or restarts the failure detector of the endpoint for the present probe
// interval. Most known endpoints are never probed and have none.
func (e *endpoint) startDetector(now time.Time) {
	n := e.svc.node
	if every := n.probePacer.interval(); e.detector == nil || e.detectorInterval != every {
		e.detector, e.detectorInterval = liveness.NewDetector(liveness.DefaultOptions(every), n.pauses, now), every
		return
	}
	e.detector.Restart(now)
}

// probeInterval is the time between probes to the endpoint. A suspected one is probed at the base
// interval: it gets no requests whose answers could substitute, and its recovery is to be noticed
// soon.
func (e *endpoint) probeInterval(now time.Time) float64 {
	r := &e.svc.node.probePacer
	if e.suspicion(now) >= suspicionThreshold {
		return float64(r.base)
	}
	return float64(r.interval())
}

// advanceProbe brings forward the next probe of an endpoint that has become suspected.
func (e *endpoint) advanceProbe(now time.Time) {
	if !e.probed || e.nextProbe.Sub(now) <= 2*e.svc.node.probePacer.base {
		return
	}
	if every := e.probeInterval(now); e.nextProbe.Sub(now) > time.Duration(1.2*every) {
		e.nextProbe = now.Add(jitterProbe(every))
	}
}
