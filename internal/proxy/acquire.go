package proxy

import (
	"slices"
	"time"
)

const (
	// maxWaitDivisor: a request waits for capacity for at most its latency target divided by
	// this. A refusal must reach the caller within a quarter of the target.
	maxWaitDivisor = 5
	// minQueuedPerRank is how many requests of each rank may queue even if their expected wait is too long.
	minQueuedPerRank = 2
	// minRetryAfter is the shortest delay that a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
)

// grant is a slot for one request at a run, held from startedAt; e is nil if there is none.
type grant struct {
	e         *endpoint
	startedAt time.Time
}

// reserve counts a request at a run.
func (s *service) reserve(e *endpoint, now time.Time) grant {
	e.inFlight = append(e.inFlight, now)
	s.limit.begin()
	return grant{e, now}
}

// tryAcquire selects a run without waiting; the grant is empty if there is none.
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

// acquire selects a run and waits for capacity if none has any: early enough in the latency
// target for a refusal to be useful, and at most a quarter of the remaining time. If there is
// no grant, retry is when capacity is likely.
func (s *service) acquire(x *exchange) (g grant, retry time.Duration) {
	now := s.node.clock.Now()
	left := x.deadline.Sub(now)
	limit := left / 4
	if x.latencyTarget > 0 {
		limit = min(limit, x.latencyTarget/maxWaitDivisor-now.Sub(x.receivedAt))
	}
	s.mu.Lock()
	s.lastUsed = now
	s.pace.decay(now)
	s.pace.requested++
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
	// Requests that would wait in vain are refused at once, except a few of each rank: these
	// may get the turn that goes to the request that has waited longest.
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

// expectedWait estimates the wait of a request behind so many others, from the completion rate of the last
// second or, if that is higher, the rate this node should get from the runs in its zone.
func (s *service) expectedWait(now time.Time, before int) time.Duration {
	slots := 0.0
	for _, e := range s.subset {
		if e.sameZone && e.available() && e.suspicion(now) < suspicionThreshold {
			slots += float64(e.slots())
		}
	}
	expectedRate := slots / s.typicalLatencyLocked().Seconds() / float64(max(1, s.node.gatewaysNear.Load()))
	rate := max(s.pace.completionRate(now), expectedRate, 1)
	return time.Duration(float64(before+1) / rate * float64(time.Second))
}

// retryAfter is the delay told to a refused caller: when capacity is likely, longer the more requests
// arrive per completed one, and short enough for a retry that can still succeed.
func (s *service) retryAfter(now time.Time, left time.Duration) time.Duration {
	eta := s.expectedWait(now, len(s.queue.waiters))
	d := time.Duration(float64(max(eta, minRetryAfter)) * s.pace.overloadRatio(now))
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

// release ends a request at a run, records its outcome and assigns the freed
// capacity.
func (s *service) release(g grant, o outcome, took, aim time.Duration) {
	e, began := g.e, g.startedAt
	now := s.node.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(e.inFlight, began.Equal); i >= 0 {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
	}
	s.limit.end(now, o == outcomeRejected || o == outcomeReset || o == outcomeStaleConn, aim > 0 && took > aim)
	if !s.node.noFates {
		e.recordOutcome(now, began, o, took)
	} else if o == outcomeServerError {
		o = outcomeAnswered
	}
	switch o {
	case outcomeServerError:
		e.resetBackoff()
		s.pace.decay(now)
		s.pace.completed++
	case outcomeAnswered:
		e.recordAnswer(now, took)
		e.recordValidAnswer(now)
		w := riseWeight / 4
		if s.latency == 0 {
			w = 1
		}
		s.latency += time.Duration(w * float64(took-s.latency))
		s.pace.decay(now)
		s.pace.completed++
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
