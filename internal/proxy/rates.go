package proxy

import (
	"math"
	"time"
)

// requestRates counts requests and completions with an exponential decay; the half-life is one second.
type requestRates struct {
	updatedAt            time.Time
	requested, completed float64
}

func (p *requestRates) decay(now time.Time) {
	if d := now.Sub(p.updatedAt); d > 0 {
		if !p.updatedAt.IsZero() {
			f := math.Exp2(-d.Seconds())
			p.requested, p.completed = p.requested*f, p.completed*f
		}
		p.updatedAt = now
	}
}

// completionRate is the number of completed requests per second.
func (p *requestRates) completionRate(now time.Time) float64 {
	p.decay(now)
	return p.completed * math.Ln2
}

// overloadRatio is the number of requests per completed one, at least 1.
func (p *requestRates) overloadRatio(now time.Time) float64 {
	p.decay(now)
	return math.Max(1, p.requested/math.Max(1, p.completed))
}
