package proxy

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// wideLinkMbps is the link rate from which large bodies no longer delay small
	// messages.
	wideLinkMbps = 50
	// largeBodyShare is the part of a narrow link that all large bodies use together. The rest keeps
	// the link queue short, in which requests, answers and updates wait behind them. Their demand does
	// not grow with the link rate, so at most maxReservedMbps is kept free.
	largeBodyShare  = 0.6
	maxReservedMbps = 1.28
	// largeBodySize is the size from which a body is large; largeBodyStep is how much of it is
	// transferred at once.
	largeBodySize, largeBodyStep = 16 << 10, 4 << 10
)

// bodyPacer limits the rate of large bodies in one direction of a narrow link. The link is a single
// queue: everything waits behind what a fast writer puts into it at once.
type bodyPacer struct {
	n       *Node
	limiter *rate.Limiter // nil for a wide link
}

func newBodyPacer(n *Node, mbps float64) bodyPacer {
	if mbps <= 0 || mbps >= wideLinkMbps {
		return bodyPacer{n: n}
	}
	return bodyPacer{n, rate.NewLimiter(rate.Limit(largeBodyMbps(mbps)*1e6/8), 2*largeBodyStep)}
}

// useWholeLink lets large bodies use the whole link, once a node accepts no more callers and has nothing else to send.
func (b bodyPacer) useWholeLink(mbps float64) {
	if b.limiter != nil {
		b.limiter.SetLimit(rate.Limit(mbps * 1e6 / 8))
	}
}

// largeBodyMbps is the rate that all large bodies together may use on a narrow link.
func largeBodyMbps(mbps float64) float64 { return max(largeBodyShare*mbps, mbps-maxReservedMbps) }

// wait returns when the next k bytes of a body with the given size may be transferred, or at until.
func (b bodyPacer) wait(size, k int, until time.Time) {
	if b.limiter == nil || size < largeBodySize {
		return
	}
	now := b.n.clock.Now()
	d := b.limiter.ReserveN(now, min(k, 2*largeBodyStep)).DelayFrom(now)
	if d = min(d, until.Sub(now)); d > 0 {
		_ = b.n.clock.Sleep(context.Background(), d)
	}
}
