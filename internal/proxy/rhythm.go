package proxy

import (
	"sync/atomic"
	"time"

	"walkrudder/internal/liveness"
)

const (
	// probePart is the part of a node's requests that its probes may be, beyond those that
	// are free.
	probePart = 0.1
	// slowest is how many times as long as usual the interval of probes may become for it.
	slowest = 8
	// rhythmOver is the time over which requests are counted.
	rhythmOver = 10 * time.Second
)

// rhythm is the interval at which a node probes each run that it works with: the usual one,
// or twice, four or eight times that where probes would else be more than a part of its
// requests. Where many nodes share many services, probes at one interval for all outnumber
// the requests; and the more requests there are, the more of them stand in for probes.
type rhythm struct {
	base  time.Duration
	free  float64 // probes a second
	every atomic.Int64
	last  uint64 // requests until the last look
	asked float64
}

func (r *rhythm) interval() time.Duration { return time.Duration(r.every.Load()) }

// look counts the requests until now and the runs to be probed, a tick after the last look,
// and tells whether the interval is another from now on.
func (r *rhythm) look(tick time.Duration, requests uint64, runs int) bool {
	r.asked += min(1, tick.Seconds()/rhythmOver.Seconds()) * (float64(requests-r.last)/tick.Seconds() - r.asked)
	r.last = requests
	most := max(r.free, probePart*r.asked)
	every := r.interval()
	a := func(d time.Duration) float64 { return float64(runs) / d.Seconds() }
	switch {
	case a(every) > most && every < slowest*r.base:
		every *= 2
	case every > r.base && a(every/2) < 0.8*most:
		every /= 2
	default:
		return false
	}
	r.every.Store(int64(every))
	return true
}

// keepTime lets the interval of probes follow the requests.
func (n *Node) keepTime(now time.Time, tick time.Duration) {
	runs := 0
	all := n.all()
	for _, s := range all {
		runs += s.probed()
	}
	if !n.rhythm.look(tick, n.stats.requests.Load(), runs) {
		return
	}
	for _, s := range all {
		s.begin(now)
	}
}

// probed counts the runs that are probed.
func (s *service) probed() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.work {
		if e.probed {
			n++
		}
	}
	return n
}

// begin takes up a new interval: gaps of the old one say nothing of it, so detectors begin
// anew, and no probe is due later than an interval from now.
func (s *service) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	every := s.n.rhythm.interval()
	for _, e := range s.work {
		if !e.probed {
			continue
		}
		e.watch(now)
		e.proof = time.Time{}
		if next := now.Add(spreadProbe(float64(every))); e.nextProbe.After(next) {
			e.nextProbe = next
		}
	}
}

// watch begins to watch the run, with a detector for the rhythm that stands. Most of the
// runs known are never probed, and have none.
func (e *endpoint) watch(now time.Time) {
	n := e.svc.n
	if every := n.rhythm.interval(); e.det == nil || e.detEvery != every {
		e.det, e.detEvery = liveness.NewDetector(liveness.DefaultOptions(every), n.pauses, now), every
		return
	}
	e.det.Restart(now)
}

// interval is the time between probes to the run: the usual one where it is passed over,
// for then it has no answers that could stand in, and is to be found well soon.
func (e *endpoint) interval(now time.Time) float64 {
	r := &e.svc.n.rhythm
	if e.suspicion(now) >= suspectAt {
		return float64(r.base)
	}
	return float64(r.interval())
}

// hasten has a run that is passed over probed as usual, whenever its next probe was due.
func (e *endpoint) hasten(now time.Time) {
	if !e.probed || e.nextProbe.Sub(now) <= 2*e.svc.n.rhythm.base {
		return
	}
	if every := e.interval(now); e.nextProbe.Sub(now) > time.Duration(1.2*every) {
		e.nextProbe = now.Add(spreadProbe(every))
	}
}
