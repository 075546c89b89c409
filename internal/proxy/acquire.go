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
	e.starts = append(e.starts, now)
	s.limit.begin()
	return grant{e, now}
}

// tryAcquire selects a run without waiting; the grant is empty if there is none.
func (s *service) tryAcquire(x *exchange) grant {
	now := s.n.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue.list) > 0 {
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
	now := s.n.clock.Now()
	left := x.deadline.Sub(now)
	limit := left / 4
	if x.latencyTarget > 0 {
		limit = min(limit, x.latencyTarget/maxWaitDivisor-now.Sub(x.receivedAt))
	}
	s.mu.Lock()
	s.usedAt = now
	s.pace.decay(now)
	s.pace.requested++
	if len(s.queue.list) > 0 {
		s.dispatch(now)
	}
	e, known := s.pick(now, x)
	if e != nil {
		g = s.reserve(e, now)
		s.mu.Unlock()
		return g, 0
	}
	w := &waiter{x: x, rank: x.priority, came: now, got: make(chan grant, 1), index: -1}
	before, peers := s.queue.ahead(w)
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
		displaced.got <- grant{}
	}
	s.mu.Unlock()
	s.n.stats.waited.Add(1)
	c, stop := s.n.clock.After(limit)
	select {
	case g = <-w.got:
		stop()
	case <-c:
	case <-s.n.sendsClosed:
		stop()
	}
	if g.e != nil {
		return g, 0
	}
	now = s.n.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.remove(w) {
		select {
		case g = <-w.got:
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
	for _, e := range s.work {
		if e.near && e.takes() && e.suspicion(now) < suspectAt {
			slots += float64(e.slots())
		}
	}
	expectedRate := slots / s.usual().Seconds() / float64(max(1, s.n.gatewaysNear.Load()))
	rate := max(s.pace.completionRate(now), expectedRate, 1)
	return time.Duration(float64(before+1) / rate * float64(time.Second))
}

// retryAfter is the delay told to a refused caller: when capacity is likely, longer the more requests
// arrive per completed one, and short enough for a retry that can still succeed.
func (s *service) retryAfter(now time.Time, left time.Duration) time.Duration {
	eta := s.expectedWait(now, len(s.queue.list))
	d := time.Duration(float64(max(eta, minRetryAfter)) * s.pace.overloadRatio(now))
	return min(d, max(minRetryAfter, left/3))
}

// dispatch assigns free capacity to queued requests, in order.
func (s *service) dispatch(now time.Time) {
	var kept []*waiter
	for len(s.queue.list) > 0 && len(kept) < 4 {
		w := s.queue.next()
		s.queue.remove(w)
		e, _ := s.pick(now, w.x)
		if e == nil {
			kept = append(kept, w)
			continue
		}
		s.queue.given++
		w.got <- s.reserve(e, now)
	}
	for _, w := range kept {
		s.queue.push(w)
	}
}

// release ends a request at a run, records its outcome and assigns the freed
// capacity.
func (s *service) release(g grant, o outcome, took, aim time.Duration) {
	e, began := g.e, g.startedAt
	now := s.n.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(e.starts, began.Equal); i >= 0 {
		e.starts = slices.Delete(e.starts, i, i+1)
	}
	s.limit.end(now, o == outcomeRejected || o == outcomeReset || o == outcomeStaleConn, aim > 0 && took > aim)
	if !s.n.noFates {
		e.met(now, began, o, took)
	} else if o == outcomeServerError {
		o = outcomeAnswered
	}
	switch o {
	case outcomeServerError:
		e.cleared()
		s.pace.decay(now)
		s.pace.completed++
	case outcomeAnswered:
		e.answered(now, took)
		e.prove(now)
		w := slower / 4
		if s.took == 0 {
			w = 1
		}
		s.took += time.Duration(w * float64(took-s.took))
		s.pace.decay(now)
		s.pace.completed++
	case outcomeRejected:
		e.cleared()
		e.fullTill = now.Add(max(20*time.Millisecond, s.usual()/2))
	case outcomeMisdirected:
		e.gone, e.goneSeq = true, e.run.Seq
		e.closeIdle()
	case outcomeUnreachable, outcomeSilent:
		e.failed(now, began, firstPenalty)
		e.closeIdle()
	case outcomeInvalid, outcomeReset:
		e.failed(now, began, shortPenalty)
		e.closeIdle()
	case outcomeStaleConn:
		s.staleAt = now
		e.closeIdle()
	}
	if len(s.queue.list) > 0 {
		s.dispatch(now)
	}
}
