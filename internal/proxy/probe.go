package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/http1"
	"walkrudder/internal/target"
)

// probeTick is the interval at which idle connections are swept and the probe interval and the
// subsets are adjusted; the node checks for due probes at least as often.
const probeTick = 500 * time.Millisecond

// minProbeWait is the least time between two checks for due probes: short enough that each probe
// is sent about when it is due, long enough that one wake-up serves many endpoints.
const minProbeWait = 50 * time.Millisecond

// runProbes sends health probes alongside the requests: to the endpoints of its own zone that the
// node uses or, if there are none, to those of other zones. Probes are numbered, and reply j that
// names the target is arrival j for the endpoint's failure detector, whose suspicion is
// evaluated at each choice. A valid answer to a request substitutes for the reply to the probe
// that would be due.
func (n *Node) runProbes(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var swept time.Time
	for wait := probeTick; n.clock.Sleep(ctx, wait) == nil; {
		now := n.clock.Now()
		next := now.Add(probeTick)
		for _, s := range n.allServices() {
			due, at := s.dueProbes(now)
			for _, p := range due {
				wg.Go(func() { n.sendProbe(ctx, p) })
			}
			if at.Before(next) {
				next = at
			}
		}
		wait = max(minProbeWait, next.Sub(now))
		if now.Sub(swept) < probeTick {
			continue
		}
		if !swept.IsZero() {
			n.adjustProbeInterval(now, now.Sub(swept))
		}
		swept = now
		for _, s := range n.allServices() {
			s.sweep(now)
		}
		n.mu.Lock()
		n.dropEndedRuns(now)
		n.mu.Unlock()
	}
}

// sweep closes expired idle connections, adapts the subset size, and brings forward the probes of
// suspected endpoints.
func (s *service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		e.closeExpired(now)
	}
	s.resizeSubset()
	for _, e := range s.subset {
		e.advanceProbe(now)
	}
}

// dueProbes returns the probes to send now, and when to check again.
func (s *service) dueProbes(now time.Time) (out []probeRequest, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next = now.Add(probeTick)
	local := false
	for _, e := range s.subset {
		local = local || e.sameZone && e.available()
	}
	every := float64(s.node.probePacer.interval())
	inUse := s.config.Health != "" && !s.lastUsed.IsZero() && now.Sub(s.lastUsed) < probeAfterUse
	for _, e := range s.subset {
		want := inUse && e.available() && (e.sameZone || !local)
		if want != e.probed {
			// It was not probed before, so the silence until now means nothing.
			if e.probed = want; want {
				e.startDetector(now)
			}
			e.validAnswerAt = time.Time{}
			e.nextProbe = now.Add(time.Duration(rand.Float64() * every))
		}
		if !want || e.probeInFlight {
			continue
		}
		if late := now.Sub(e.nextProbe); late > 2*probeTick {
			// This node was paused: the probes that fell due meanwhile are spread out.
			e.nextProbe = now.Add(time.Duration(rand.Float64() * every / 4))
		}
		if !now.Before(e.nextProbe) && !e.validAnswerAt.IsZero() {
			// The answer counts as the arrival, and the next probe is due an interval after it.
			e.nextProbe = e.validAnswerAt.Add(jitterProbe(every))
			e.substituteProbe()
		}
		if now.Before(e.nextProbe) {
			if e.nextProbe.Before(next) {
				next = e.nextProbe
			}
			continue
		}
		e.nextProbe = now.Add(jitterProbe(e.probeInterval(now)))
		e.probeInFlight = true
		e.probeSeq++
		out = append(out, probeRequest{e, e.probeSeq, s.config.Health, e.run.ID, e.run.Addr, e.run.Seq})
	}
	return out, next
}

// jitterProbe draws a random time to the next probe, so that nodes and endpoints do not probe in
// lockstep.
func jitterProbe(every float64) time.Duration {
	return time.Duration((0.8 + 0.4*rand.Float64()) * every)
}

// recordValidAnswer records a valid answer to a request. It counts at once if the endpoint is
// suspected, otherwise when a probe is due.
func (e *endpoint) recordValidAnswer(now time.Time) {
	if e.svc.node.noAnswerEvidence || !e.probed {
		return
	}
	e.validAnswerAt = now
	if e.detector.Suspicion(now) >= suspicionThreshold {
		e.substituteProbe()
	}
}

// substituteProbe counts the last valid answer as the reply to the probe that it saves.
func (e *endpoint) substituteProbe() {
	e.probeSeq++
	e.svc.node.stats.probesSaved.Add(1)
	e.detector.RecordArrival(e.probeSeq, e.validAnswerAt)
	e.validAnswerAt = time.Time{}
}

// probeRequest is one probe to be sent.
type probeRequest struct {
	e              *endpoint
	seq            uint64
	path, id, addr string
	runSeq         uint64
}

// sendProbe sends one probe and evaluates its reply.
func (n *Node) sendProbe(ctx context.Context, p probeRequest) {
	e, s := p.e, p.e.svc
	n.stats.probes.Add(1)
	now := n.clock.Now()
	c, _, err := e.getConn(now, now.Add(n.settings.ProbeInterval), false, false)
	if err != nil {
		s.mu.Lock()
		e.probeInFlight = false
		e.recordFailure(n.clock.Now(), now, initialBackoff)
		s.mu.Unlock()
		return
	}
	stop := context.AfterFunc(ctx, c.abort)
	healthy, replaced, keep := n.exchangeProbe(c, p)
	if !stop() {
		keep = 0
	}
	s.mu.Lock()
	e.probeInFlight = false
	if replaced && e.run.State == target.Ready && e.run.ID == p.id && e.run.Addr == p.addr {
		e.replaced, e.replacedSeq = true, p.runSeq
		e.closeIdle()
	}
	s.mu.Unlock()
	if healthy {
		n.stats.probesAnswered.Add(1)
		s.mu.Lock()
		if e.detector.RecordArrival(p.seq, n.clock.Now()) {
			// Earlier answers carry no new information.
			e.validAnswerAt = time.Time{}
		}
		s.mu.Unlock()
	}
	if keep > 0 {
		e.putIdle(c, keep)
	} else {
		e.discard(c, true)
	}
}

// exchangeProbe sends a probe over one connection and reads the reply. healthy means that the
// target reported itself healthy, replaced that another target replied; keep is how long the
// connection may be reused.
func (n *Node) exchangeProbe(c *conn, p probeRequest) (healthy, replaced bool, keep time.Duration) {
	b := append(c.buf[:0], "GET "...)
	b = append(b, p.path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", p.addr)
	c.buf = append(b, "\r\n"...)
	if _, err := c.nc.Write(c.buf); err != nil {
		return false, false, 0
	}
	head, err := c.readHead()
	if err != nil {
		return false, false, 0
	}
	keep = defaultIdleTimeout
	closes := c.h.ConnectionClose()
	var targetID string
	for k, v := range c.h.All() {
		switch {
		case http1.EqualName(k, n.settings.Headers.Instance):
			targetID = string(v)
		case http1.EqualName(k, n.settings.Headers.RequestID):
			// An extra answer to some request.
			return false, false, 0
		case http1.EqualName(k, "Connection"):
			closes = closes || listContains(v, "close")
		case http1.EqualName(k, "Keep-Alive"):
			keep = keepAliveTimeout(v)
		}
	}
	if head.Length == http1.Unframed {
		return false, false, 0
	}
	body, err := http1.ReadBody(c.r, head.Length, http1.ReadStep, getBuffer(), func(int) bool { return true })
	putBuffer(body)
	if err != nil {
		return false, false, 0
	}
	if closes || c.r.Buffered() > 0 {
		keep = 0
	}
	return head.Status == 200 && targetID == p.id, targetID != "" && targetID != p.id, keep
}
