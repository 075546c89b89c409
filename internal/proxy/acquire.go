package proxy

import (
	"slices"
	"time"
)

const (
	// maxWaitDivisor: a request waits for capacity for at most its latency target divided by
	// this. A refusal must reach the caller within a quarter of the target.
	maxWaitDivisor = 5
	// minQueuedPerRank is how many requests of each priority may queue even if their expected wait is too long.
	minQueuedPerRank = 2
	// minRetryAfter is the shortest delay in the Retry-After field of a refusal.
	minRetryAfter = 100 * time.Millisecond
)

// grant is a slot for one request at a run, held from startedAt; e is nil if there is none.
type grant struct {
	e         *endpoint
	startedAt time.Time
}

// reserve adds a request in flight at an endpoint and returns its grant.
func (s *service) reserve(e *endpoint, now time.Time) grant {
	e.inFlight = append(e.inFlight, now)
	s.limit.begin()
	return grant{e, now}
}

// tryAcquire selects an endpoint without waiting; the grant is empty if none has capacity.
func (s *service) tryAcquire(x *exchange) grant {
	now := s.node.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue.waiters) > 0 {
		// Queued requests go first.
		return grant{}
	}
	if e, _ := s.pick(now, x); e != nil {
		return s.reserve(e, now)
	}
	return grant{}
}

// acquire selects an endpoint, and waits for capacity if none has any. It waits for at most a
// quarter of the remaining time, and ends early enough in the latency target for a refusal to be
// useful. If there is no grant, retry is the delay after which capacity is likely.
func (s *service) acquire(x *exchange) (g grant, retry time.Duration) {
	now := s.node.clock.Now()
	left := x.deadline.Sub(now)
	limit := left / 4
	if x.latencyTarget > 0 {
		limit = min(limit, x.latencyTarget/maxWaitDivisor-now.Sub(x.receivedAt))
	}
	s.mu.Lock()
	s.lastUsed = now
	s.rates.decay(now)
	s.rates.requested++
	if len(s.queue.waiters) > 0 {
		s.dispatch(now)
	}
	e, known := s.pick(now, x)
	if e != nil {
		g = s.reserve(e, now)
		s.mu.Unlock()
		return g, 0
	}
	w := &waiter{x: x, priority: x.priority, arrived: now, granted: make(chan grant, 1), index: -1}
	before, peers := s.queue.position(w)
	// Requests that would wait in vain are refused at once, except a few of each priority: they
	// may get the grant that goes to the request that has waited longest (oldestEvery).
	displaced := w
	if known && limit > 0 && (s.expectedWait(now, before) <= limit || peers < minQueuedPerRank) {
		displaced = s.queue.push(w)
	}
	if displaced == w {
		retry = s.retryAfter(now, left)
		s.mu.Unlock()
		return g, retry
	}
	if displaced != nil {
		displaced.granted <- grant{}
	}
	s.mu.Unlock()
	s.node.stats.waited.Add(1)
	c, stop := s.node.clock.After(limit)
	select {
	case g = <-w.granted:
		stop()
	case <-c:
	case <-s.node.sendsClosed:
		stop()
	}
	if g.e != nil {
		return g, 0
	}
	now = s.node.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.remove(w) {
		select {
		case g = <-w.granted:
			if g.e != nil {
				return g, 0
			}
		default:
		}
	}
	return g, s.retryAfter(now, x.deadline.Sub(now))
}

// expectedWait estimates the wait of a request with the given number of others before it. It uses the
// completion rate of the last second or, if that is higher, the rate that this node should get from the
// endpoints in its zone.
func (s *service) expectedWait(now time.Time, before int) time.Duration {
	slots := 0.0
	for _, e := range s.subset {
		if e.sameZone && e.available() && e.suspicion(now) < suspicionThreshold {
			slots += float64(e.slots())
		}
	}
	expectedRate := slots / s.typicalLatencyLocked().Seconds() / float64(max(1, s.node.gatewaysNear.Load()))
	rate := max(s.rates.completionRate(now), expectedRate, 1)
	return time.Duration(float64(before+1) / rate * float64(time.Second))
}

// retryAfter is the delay after which a refused caller should retry. It lasts until capacity is likely,
// grows with the number of requests per completed one, and is short enough for the retry to succeed.
func (s *service) retryAfter(now time.Time, left time.Duration) time.Duration {
	eta := s.expectedWait(now, len(s.queue.waiters))
	d := time.Duration(float64(max(eta, minRetryAfter)) * s.rates.overloadRatio(now))
	return min(d, max(minRetryAfter, left/3))
}

// dispatch assigns free capacity to queued requests, in order.
func (s *service) dispatch(now time.Time) {
	var kept []*waiter
	for len(s.queue.waiters) > 0 && len(kept) < 4 {
		w := s.queue.next()
		s.queue.remove(w)
		e, _ := s.pick(now, w.x)
		if e == nil {
			kept = append(kept, w)
			continue
		}
		s.queue.grants++
		w.granted <- s.reserve(e, now)
	}
	for _, w := range kept {
		s.queue.push(w)
	}
}

// release ends a request at an endpoint, records its outcome and assigns the freed capacity.
func (s *service) release(g grant, o outcome, took, latencyTarget time.Duration) {
	e, began := g.e, g.startedAt
	now := s.node.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(e.inFlight, began.Equal); i >= 0 {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
	}
	s.limit.end(now, o == outcomeRejected || o == outcomeReset || o == outcomeStaleConn, latencyTarget > 0 && took > latencyTarget)
	if !s.node.noPassiveHealth {
		e.recordOutcome(now, began, o, took)
	} else if o == outcomeServerError {
		o = outcomeAnswered
	}
	switch o {
	case outcomeServerError:
		e.resetBackoff()
		s.rates.decay(now)
		s.rates.completed++
	case outcomeAnswered:
		e.recordAnswer(now, took)
		e.recordValidAnswer(now)
		w := riseWeight / 4
		if s.latency == 0 {
			w = 1
		}
		s.latency += time.Duration(w * float64(took-s.latency))
		s.rates.decay(now)
		s.rates.completed++
	case outcomeRejected:
		e.resetBackoff()
		e.fullUntil = now.Add(max(20*time.Millisecond, s.typicalLatencyLocked()/2))
	case outcomeMisdirected:
		e.replaced, e.replacedSeq = true, e.run.Seq
		e.closeIdle()
	case outcomeUnreachable, outcomeSilent:
		e.recordFailure(now, began, initialBackoff)
		e.closeIdle()
	case outcomeInvalid, outcomeReset:
		e.recordFailure(now, began, shortBackoff)
		e.closeIdle()
	case outcomeStaleConn:
		s.lastStaleConn = now
		e.closeIdle()
	}
	if len(s.queue.waiters) > 0 {
		s.dispatch(now)
	}
}
