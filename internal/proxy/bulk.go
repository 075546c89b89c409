package proxy

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// wideMbps is the width of a link from which on large bodies do not hold small
	// messages up.
	wideMbps = 50
	// bulkPart is the part of a narrow link that large bodies use together: what is left
	// keeps the queue short in which requests, answers and news wait behind them. These need
	// no more for the link being wider, so no more than spareMbps is left.
	bulkPart  = 0.6
	spareMbps = 1.28
	// bulkFrom is the size from which a body is large, and bulkStep what of it is passed
	// on at once.
	bulkFrom, bulkStep = 16 << 10, 4 << 10
)

// bulk paces large bodies in one direction of a narrow link. A link is one queue: what
// a fast writer puts into it at once, all others wait for.
type bulk struct {
	n   *Node
	lim *rate.Limiter // nil for a wide link
}

func newBulk(n *Node, mbps float64) bulk {
	if mbps <= 0 || mbps >= wideMbps {
		return bulk{n: n}
	}
	return bulk{n, rate.NewLimiter(rate.Limit(bulkMbps(mbps)*1e6/8), 2*bulkStep)}
}

// widen gives large bodies the whole link: a node that takes no more callers has nothing else to send.
func (b bulk) widen(mbps float64) {
	if b.lim != nil {
		b.lim.SetLimit(rate.Limit(mbps * 1e6 / 8))
	}
}

// bulkMbps is what large bodies use together of a narrow link.
func bulkMbps(mbps float64) float64 { return max(bulkPart*mbps, mbps-spareMbps) }

// wait returns when k bytes more of a body of size may pass, or at until.
func (b bulk) wait(size, k int, until time.Time) {
	if b.lim == nil || size < bulkFrom {
		return
	}
	now := b.n.clock.Now()
	d := b.lim.ReserveN(now, min(k, 2*bulkStep)).DelayFrom(now)
	if d = min(d, until.Sub(now)); d > 0 {
		_ = b.n.clock.Sleep(context.Background(), d)
	}
}
