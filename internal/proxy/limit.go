package proxy

import "time"

const (
	// limitInterval is the least time between adjustments of the limit, and minLimitSamples the
	// number of completed requests that an adjustment needs.
	limitInterval   = 200 * time.Millisecond
	minLimitSamples = 4
	// maxFullRatio is the tolerated fraction of requests that meet a full target: some do by chance.
	maxFullRatio = 0.04
	// maxSlowRatio is the tolerated fraction of requests that take longer at their target than
	// their whole latency target, as a moving average over about slowWindow requests. Beyond it, most
	// of what is in flight only waits at the targets. A few requests exceed it by chance, hence
	// the slow average.
	maxSlowRatio, slowWindow = 0.2, 16
	// limitDecrease is the factor by which the limit goes down, limitIncrease the step by which it
	// goes up.
	limitDecrease, limitIncrease = 0.9, 1.0
	// minLimit is the lowest limit: so many requests may always be in flight at a service.
	minLimit = 3
)

// concurrencyLimit bounds the requests that a node may have in flight at a service. It decreases
// while targets report that they are full or are slower than the latency target, and slowly increases
// otherwise (additive increase, multiplicative decrease). All nodes see the same targets, so their
// limits decrease together. Excess requests queue at this node by priority, or are refused with a
// delay for the retry.
type concurrencyLimit struct {
	max        float64 // 0 means no limit
	share      float64 // this node's share of all slots: below it, this node fills no target
	inFlight   int
	peak       int
	completed  int
	rejected   int
	slowRatio  float64 // moving average of the requests slower than their latency target
	adjustedAt time.Time
}

func (l *concurrencyLimit) allows() bool { return l.max == 0 || float64(l.inFlight) < l.max }

func (l *concurrencyLimit) begin() {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
}

// end records a completed request: full if its target had no capacity for it, slow if it took
// longer than its latency target there.
func (l *concurrencyLimit) end(now time.Time, full, slow bool) {
	l.inFlight--
	l.completed++
	if full {
		l.rejected++
	}
	l.slowRatio -= l.slowRatio / slowWindow
	if slow {
		l.slowRatio += 1.0 / slowWindow
	}
	if now.Sub(l.adjustedAt) < limitInterval || l.completed < minLimitSamples {
		return
	}
	switch {
	case l.slowRatio > maxSlowRatio, float64(l.rejected) > maxFullRatio*float64(l.completed):
		// While each node has no more than its share in flight, no request queues at a target:
		// late, rejected or reset requests then have a cause other than lack of capacity.
		if l.max == 0 {
			l.max = max(minLimit, float64(l.peak))
		}
		l.max = max(minLimit, min(l.max, l.share), l.max*limitDecrease)
	case l.max > 0 && float64(l.peak) > 0.8*l.max:
		l.max += limitIncrease
	}
	l.adjustedAt, l.completed, l.rejected, l.peak = now, 0, 0, l.inFlight
}
