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
	// bulkEach is the width that each of the downloads under way at once is to have.
	bulkEach = 1.6
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

// bulkMbps is what large bodies use together of a narrow link.
func bulkMbps(mbps float64) float64 { return max(bulkPart*mbps, mbps-spareMbps) }

// newBulkGate bounds the downloads under way at once on a narrow link; nil is no bound.
// Reading slowly holds a sender back only when its window is full, and many windows make
// a long queue before this machine: behind it the control plane's news come late.
func newBulkGate(mbps float64) chan struct{} {
	if mbps <= 0 || mbps >= wideMbps {
		return nil
	}
	return make(chan struct{}, max(2, int(mbps/bulkEach)))
}

// enterBulk takes a place for a download, waiting so long at most.
func (n *Node) enterBulk(d time.Duration) bool {
	if n.gate == nil {
		return true
	}
	select {
	case n.gate <- struct{}{}:
		return true
	default:
	}
	c, stop := n.clock.After(d)
	defer stop()
	select {
	case n.gate <- struct{}{}:
		return true
	case <-c:
		return false
	}
}

func (n *Node) leaveBulk() {
	if n.gate != nil {
		<-n.gate
	}
}

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
