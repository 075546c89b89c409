package proxy

import (
	"math"
	"time"
)

// pace counts with a half-life of one second: what came before counts less and less.
type pace struct {
	at          time.Time
	asked, done float64
}

func (p *pace) fade(now time.Time) {
	if d := now.Sub(p.at); d > 0 {
		if !p.at.IsZero() {
			f := math.Exp2(-d.Seconds())
			p.asked, p.done = p.asked*f, p.done*f
		}
		p.at = now
	}
}

// rate is how many were done in a second.
func (p *pace) rate(now time.Time) float64 {
	p.fade(now)
	return p.done * math.Ln2
}

// crowd is how many ask for each that is done, at least 1.
func (p *pace) crowd(now time.Time) float64 {
	p.fade(now)
	return math.Max(1, p.asked/math.Max(1, p.done))
}
