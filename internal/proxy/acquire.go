package proxy

import (
	"slices"
	"time"
)

const (
	// waitPart is the part of its aim for which a request waits for room. A refusal is
	// to be back at its caller within a quarter.
	waitPart = 5
	// fewPeers is how many of each rank may wait though it seems in vain.
	fewPeers = 2
	// minRetry is the least that a refused caller is told to wait.
	minRetry = 100 * time.Millisecond
)

// grant is a place for one request at a run, from at on; none where e is nil.
type grant struct {
	e  *endpoint
	at time.Time
}

// hold counts a request at a run.
func (s *service) hold(e *endpoint, now time.Time) grant {
	e.inFlight = append(e.inFlight, now)
	s.limit.begin()
	return grant{e, now}
}

// take chooses a run at once, or none.
func (s *service) take(x *exchange) grant {
	now := s.node.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue.waiters) > 0 {
		// Who waits goes first.
		return grant{}
	}
	if e, _ := s.pick(now, x); e != nil {
		return s.hold(e, now)
	}
	return grant{}
}

// acquire chooses a run, and waits for room where none has any: in all no longer than
// is worth a refusal still early in the aim, and a quarter of the time left. Where it has none to give, retry is when room is likely.
func (s *service) acquire(x *exchange) (g grant, retry time.Duration) {
	now := s.node.clock.Now()
	left := x.deadline.Sub(now)
	limit := left / 4
	if x.aim > 0 {
		limit = min(limit, x.aim/waitPart-now.Sub(x.came))
	}
	s.mu.Lock()
	s.lastUsed = now
	s.pace.fade(now)
	s.pace.asked++
	if len(s.queue.waiters) > 0 {
		s.dispatch(now)
	}
	e, known := s.pick(now, x)
	if e != nil {
		g = s.hold(e, now)
		s.mu.Unlock()
		return g, 0
	}
	w := &waiter{x: x, priority: x.priority, arrived: now, granted: make(chan grant, 1), index: -1}
	before, peers := s.queue.position(w)
	// Who would wait in vain is told so at once, but for some of each rank: the turn of
	// the longest waiting may come to them.
	out := w
	if known && limit > 0 && (s.eta(now, before) <= limit || peers < fewPeers) {
		out = s.queue.push(w)
	}
	if out == w {
		retry = s.retry(now, left)
		s.mu.Unlock()
		return g, retry
	}
	if out != nil {
		out.granted <- grant{}
	}
	s.mu.Unlock()
	s.node.stats.waited.Add(1)
	c, stop := s.node.clock.After(limit)
	select {
	case g = <-w.granted:
		stop()
	case <-c:
	case <-s.node.lastCall:
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
	return g, s.retry(now, x.deadline.Sub(now))
}

// eta is how long a request waits that so many go before: by what was done in the last second
// or, where that is more, by what the runs at hand should do for this node.
func (s *service) eta(now time.Time, before int) time.Duration {
	slots := 0.0
	for _, e := range s.subset {
		if e.sameZone && e.available() && e.suspicion(now) < suspicionThreshold {
			slots += float64(e.slots())
		}
	}
	should := slots / s.typicalLatencyLocked().Seconds() / float64(max(1, s.node.gatewaysNear.Load()))
	rate := max(s.pace.rate(now), should, 1)
	return time.Duration(float64(before+1) / rate * float64(time.Second))
}

// retry is what a refused caller is told: when room is likely, later the more ask for
// each that is done, and in time for a try that can still succeed.
func (s *service) retry(now time.Time, left time.Duration) time.Duration {
	eta := s.eta(now, len(s.queue.waiters))
	d := time.Duration(float64(max(eta, minRetry)) * s.pace.crowd(now))
	return min(d, max(minRetry, left/3))
}

// dispatch hands free room to those who wait, in their order.
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
		w.granted <- s.hold(e, now)
	}
	for _, w := range kept {
		s.queue.push(w)
	}
}

// release ends the counting of a request at a run, notes what it showed, and hands
// the room on.
func (s *service) release(g grant, o outcome, took, aim time.Duration) {
	e, began := g.e, g.at
	now := s.node.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(e.inFlight, began.Equal); i >= 0 {
		e.inFlight = slices.Delete(e.inFlight, i, i+1)
	}
	s.limit.end(now, o == turnedAway || o == reset || o == stale, aim > 0 && took > aim)
	if !s.node.noFates {
		e.recordOutcome(now, began, o, took)
	} else if o == erred {
		o = answered
	}
	switch o {
	case erred:
		e.resetBackoff()
		s.pace.fade(now)
		s.pace.done++
	case answered:
		e.recordAnswer(now, took)
		e.recordValidAnswer(now)
		w := riseWeight / 4
		if s.latency == 0 {
			w = 1
		}
		s.latency += time.Duration(w * float64(took-s.latency))
		s.pace.fade(now)
		s.pace.done++
	case turnedAway:
		e.resetBackoff()
		e.fullUntil = now.Add(max(20*time.Millisecond, s.typicalLatencyLocked()/2))
	case misdirected:
		e.replaced, e.replacedSeq = true, e.run.Seq
		e.closeIdle()
	case unreachable, mute:
		e.recordFailure(now, began, initialBackoff)
		e.closeIdle()
	case spoilt, reset:
		e.recordFailure(now, began, shortBackoff)
		e.closeIdle()
	case stale:
		s.lastStaleConn = now
		e.closeIdle()
	}
	if len(s.queue.waiters) > 0 {
		s.dispatch(now)
	}
}
