package proxy

import "time"

const (
	// limitEvery is how often the limit is looked at, and fewEnds how many ended requests
	// it takes.
	limitEvery = 200 * time.Millisecond
	fewEnds    = 4
	// fullPart is the part of requests that may meet full targets: some do by chance.
	fullPart = 0.04
	// slowMost is the part of requests that may take longer at their target than their whole
	// aim, over the last slowOver or so: beyond that most of what is under way only waits
	// there. Few ends make a part by chance, hence the slow mean.
	slowMost, slowOver = 0.2, 16
	// limitDown and limitUp are by what the limit goes down and up.
	limitDown, limitUp = 0.9, 1.0
	// leastLimit is what a node may always have under way at a service.
	leastLimit = 3
)

// limit is how many requests a node may have under way at a service: less while targets
// say that they are full or are slower than the aim, slowly more while they are not
// (additive increase, multiplicative decrease). Every node meets the same targets, so that
// all come down together; what is beyond waits at this node, by rank, or is told when to come back.
type limit struct {
	most  float64 // 0 is none yet
	share float64 // this node's part of all slots: with no more under way none is full
	under int
	peak  int
	ends  int
	fulls int
	slow  float64 // part of the last ends that were slower than their aim
	at    time.Time
}

func (l *limit) room() bool { return l.most == 0 || float64(l.under) < l.most }

func (l *limit) begin() {
	l.under++
	l.peak = max(l.peak, l.under)
}

// end notes how a request ended: full where its target had no room for it, slow where it
// was there for longer than its aim.
func (l *limit) end(now time.Time, full, slow bool) {
	l.under--
	l.ends++
	if full {
		l.fulls++
	}
	l.slow -= l.slow / slowOver
	if slow {
		l.slow += 1.0 / slowOver
	}
	if now.Sub(l.at) < limitEvery || l.ends < fewEnds {
		return
	}
	switch {
	case l.slow > slowMost, float64(l.fulls) > fullPart*float64(l.ends):
		// With no more than each node's part under way nobody waits at a target: what is
		// late, turned away or reset then is not so for want of room.
		if l.most == 0 {
			l.most = max(leastLimit, float64(l.peak))
		}
		l.most = max(leastLimit, min(l.most, l.share), l.most*limitDown)
	case l.most > 0 && float64(l.peak) > 0.8*l.most:
		l.most += limitUp
	}
	l.at, l.ends, l.fulls, l.peak = now, 0, 0, l.under
}
