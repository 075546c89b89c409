package proxy

import "time"

const (
	// limitEvery is how often the limit is looked at, and fewEnds how many ended requests
	// it takes.
	limitEvery = 200 * time.Millisecond
	fewEnds    = 4
	// fullPart is the part of requests that may meet full targets: some do by chance.
	fullPart = 0.04
	// limitDown and limitUp are by what the limit goes down and up.
	limitDown, limitUp = 0.9, 1.0
	// leastLimit is what a node may always have under way at a service.
	leastLimit = 3
)

// limit is how many requests a node may have under way at a service: less while targets
// say that they are full, slowly more while they do not (additive increase, multiplicative
// decrease). Every node meets the same targets, so that all come down together; what is
// beyond waits at this node, by rank, or is told when to come back.
type limit struct {
	most  float64 // 0 is none yet
	under int
	peak  int
	ends  int
	fulls int
	at    time.Time
}

func (l *limit) room() bool { return l.most == 0 || float64(l.under) < l.most }

func (l *limit) begin() {
	l.under++
	l.peak = max(l.peak, l.under)
}

// end notes how a request ended.
func (l *limit) end(now time.Time, full bool) {
	l.under--
	l.ends++
	if full {
		l.fulls++
	}
	if now.Sub(l.at) < limitEvery || l.ends < fewEnds {
		return
	}
	switch {
	case float64(l.fulls) > fullPart*float64(l.ends):
		if l.most == 0 {
			l.most = float64(l.peak)
		}
		l.most = max(leastLimit, l.most*limitDown)
	case l.most > 0 && float64(l.peak) > 0.8*l.most:
		l.most += limitUp
	}
	l.at, l.ends, l.fulls, l.peak = now, 0, 0, l.under
}
