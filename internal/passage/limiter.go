package passage

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"walkrudder/internal/registry"
)

const (
	// slowWeight and fastWeight are the weights of the newest sample in a target's mean
	// response time: slowWeight if it is above the mean, fastWeight otherwise. Few
	// responses arrive while the concurrency limit is low, and a fast one shows that the
	// target's queue has drained.
	slowWeight = 0.1
	fastWeight = 0.4
	// usableShare is the share of a request's remaining time within which its target
	// should finish. The rest is a margin for late responses.
	usableShare = 0.8
	// unknownSpeedup is how many times faster than necessary a target without any
	// response so far is assumed to be.
	unknownSpeedup = 4
	// sharedShare of a service's limit is open to all its bindings; the rest is only for
	// bindings below their equal share of the limit (design 13.8).
	sharedShare = 0.75
	// maxRetryAfter bounds the Retry-After value given to a refused caller.
	maxRetryAfter = 10 * time.Second
)

// concurrencyLimit returns how many sends this gateway may have in flight at a target if
// each is to finish within remaining. That is the number of requests that the target's
// announced capacity completes in usableShare of that time at the measured response time,
// divided equally among all gateways. A target without any response so far is assumed to be
// unknownSpeedup times faster than necessary.
func concurrencyLimit(target *registry.Target, remaining time.Duration, gateways int) float64 {
	usable := usableShare * float64(remaining)
	latency := float64(target.MeanLatency())
	if latency <= 0 {
		latency = usable / unknownSpeedup
	}
	return float64(max(1, target.Capacity.Load())) * usable / latency / float64(max(1, gateways))
}

// ServiceLimiter counts one service's queued and running sends at this gateway, and the
// calls offered to it.
type ServiceLimiter struct {
	inFlight  atomic.Int64
	waiting   atomic.Int64 // calls waiting for capacity
	byBinding sync.Map     // by binding: *atomic.Int64

	mu        sync.Mutex
	decayedAt time.Time
	offered   float64
	admitted  float64
}

func (l *ServiceLimiter) counter(binding string) *atomic.Int64 {
	if c, ok := l.byBinding.Load(binding); ok {
		return c.(*atomic.Int64)
	}
	c, _ := l.byBinding.LoadOrStore(binding, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// acquire reserves a slot for one send of a binding if the limit of the service and the
// binding's share of it allow that; bindings is the number of bindings that share the limit.
func (l *ServiceLimiter) acquire(binding string, limit float64, bindings int) bool {
	limit = math.Min(math.Max(1, limit), maxServiceSends)
	ownCounter := l.counter(binding)
	all, own := float64(l.inFlight.Add(1)), float64(ownCounter.Add(1))
	if all > limit || all > sharedShare*limit && own > math.Max(1, limit/float64(max(1, bindings))) {
		l.release(binding)
		return false
	}
	return true
}

// startWait reserves a place among the calls that wait for capacity. There are no more
// places than the limit itself; further calls of a burst are refused at once.
func (l *ServiceLimiter) startWait(limit float64) bool {
	if float64(l.waiting.Add(1)) > math.Max(1, limit) {
		l.waiting.Add(-1)
		return false
	}
	return true
}

// release returns the slot.
func (l *ServiceLimiter) release(binding string) {
	l.inFlight.Add(-1)
	l.counter(binding).Add(-1)
}

// recordOffer counts a call that was admitted, or refused for lack of capacity.
func (l *ServiceLimiter) recordOffer(now time.Time, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elapsed := now.Sub(l.decayedAt); elapsed > time.Second {
		// Older counts decay with a half-life of one second.
		decay := math.Exp2(-elapsed.Seconds())
		l.offered, l.admitted, l.decayedAt = l.offered*decay, l.admitted*decay, now
	}
	l.offered++
	if admitted {
		l.admitted++
	}
}

// retryAfter returns when a refused caller should come back. It grows with the ratio of
// offered to admitted calls, so that about as many return per second as are admitted.
func (l *ServiceLimiter) retryAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(maxRetryAfter, max(time.Second, time.Duration(math.Ceil(l.offered/max(1, l.admitted)))*time.Second))
}
