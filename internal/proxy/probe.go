package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/target"
)

// probeTick is how often the node looks whose probe is due, and what lies idle.
const probeTick = 500 * time.Millisecond

// probeStep is the least time between two looks for probes that are due: each goes out
// about when it is due, and few wake-ups serve many runs.
const probeStep = 50 * time.Millisecond

// probe sends health probes beside the requests: to the runs of its own zone that the
// node works with or, where there are none, to those of others. They are numbered, and
// a reply that names the run is arrival j for the run's detector; what a choice reads is
// its fresh suspicion. A proper answer to a request stands in for the reply to the probe
// that would be due.
func (n *Node) probe(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var swept time.Time
	for wait := probeTick; n.clock.Sleep(ctx, wait) == nil; {
		now := n.clock.Now()
		next := now.Add(probeTick)
		for _, s := range n.all() {
			ps, at := s.due(now)
			for _, p := range ps {
				wg.Go(func() { n.ask(ctx, p) })
			}
			if at.Before(next) {
				next = at
			}
		}
		wait = max(probeStep, next.Sub(now))
		if now.Sub(swept) < probeTick {
			continue
		}
		if !swept.IsZero() {
			n.keepTime(now, now.Sub(swept))
		}
		swept = now
		for _, s := range n.all() {
			s.sweep(now)
		}
		n.mu.Lock()
		n.forget(now)
		n.mu.Unlock()
	}
}

// sweep closes idle connections and looks with how many runs to work.
func (s *service) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.all {
		e.sweep(now)
	}
	s.fit()
	for _, e := range s.work {
		e.hasten(now)
	}
}

// due lists the runs to be probed now, and tells when to look again.
func (s *service) due(now time.Time) (out []probing, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next = now.Add(probeTick)
	near := false
	for _, e := range s.work {
		near = near || e.near && e.takes()
	}
	every := float64(s.n.rhythm.interval())
	used := s.def.Health != "" && !s.usedAt.IsZero() && now.Sub(s.usedAt) < usedFor
	for _, e := range s.work {
		want := used && e.takes() && (e.near || !near)
		if want != e.probed {
			// Nobody looked before: silence until now says nothing.
			if e.probed = want; want {
				e.watch(now)
			}
			e.proof = time.Time{}
			e.nextProbe = now.Add(time.Duration(rand.Float64() * every))
		}
		if !want || e.probing {
			continue
		}
		if late := now.Sub(e.nextProbe); late > 2*probeTick {
			// This node stood still; what fell due meanwhile is spread anew.
			e.nextProbe = now.Add(time.Duration(rand.Float64() * every / 4))
		}
		if !now.Before(e.nextProbe) && !e.proof.IsZero() {
			// The answer is the arrival, and the next probe is due an interval after it.
			e.nextProbe = e.proof.Add(spreadProbe(every))
			e.arrive()
		}
		if now.Before(e.nextProbe) {
			if e.nextProbe.Before(next) {
				next = e.nextProbe
			}
			continue
		}
		e.nextProbe = now.Add(spreadProbe(e.interval(now)))
		e.probing = true
		e.seq++
		out = append(out, probing{e, e.seq, s.def.Health, e.run.ID, e.run.Addr, e.run.Seq})
	}
	return out, next
}

// spreadProbe draws the time to the next probe anew each time, so that nodes and runs
// don't fall into step.
func spreadProbe(every float64) time.Duration {
	return time.Duration((0.8 + 0.4*rand.Float64()) * every)
}

// prove notes a proper answer. It is taken in at once where the run is suspected, else
// when a probe is due.
func (e *endpoint) prove(now time.Time) {
	if e.svc.n.noStandIn || !e.probed {
		return
	}
	e.proof = now
	if e.det.Suspicion(now) >= suspectAt {
		e.arrive()
	}
}

// arrive takes the last proper answer for the reply to the probe that it saves.
func (e *endpoint) arrive() {
	e.seq++
	e.svc.n.stats.probesSaved.Add(1)
	e.det.RecordArrival(e.seq, e.proof)
	e.proof = time.Time{}
}

// probing is one probe.
type probing struct {
	e              *endpoint
	seq            uint64
	path, id, addr string
	beat           uint64
}

// ask sends one probe and takes in its reply.
func (n *Node) ask(ctx context.Context, p probing) {
	e, s := p.e, p.e.svc
	n.stats.probes.Add(1)
	now := n.clock.Now()
	c, _, err := e.connect(now, now.Add(n.set.ProbeEvery), false, false)
	if err != nil {
		s.mu.Lock()
		e.probing = false
		e.failed(n.clock.Now(), now, firstPenalty)
		s.mu.Unlock()
		return
	}
	stop := context.AfterFunc(ctx, c.giveUp)
	well, other, keep := n.health(c, p)
	if !stop() {
		keep = 0
	}
	s.mu.Lock()
	e.probing = false
	if other && e.run.State == target.Ready && e.run.ID == p.id && e.run.Addr == p.addr {
		e.gone, e.goneSeq = true, p.beat
		e.closeIdle()
	}
	s.mu.Unlock()
	if well {
		n.stats.probesAnswered.Add(1)
		s.mu.Lock()
		if e.det.RecordArrival(p.seq, n.clock.Now()) {
			// Answers before it are no news any more.
			e.proof = time.Time{}
		}
		s.mu.Unlock()
	}
	if keep > 0 {
		e.keep(c, keep)
	} else {
		e.discard(c, true)
	}
}

// health asks over one connection: well says that the run answered that it is, other
// that another run did; keep is how long the connection may be kept.
func (n *Node) health(c *conn, p probing) (well, other bool, keep time.Duration) {
	b := append(c.buf[:0], "GET "...)
	b = append(b, p.path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", p.addr)
	c.buf = append(b, "\r\n"...)
	if _, err := c.nc.Write(c.buf); err != nil {
		return false, false, 0
	}
	h := &c.h
	h.Reset()
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	if oneLength(c.r) != nil || h.Read(c.r) != nil {
		return false, false, 0
	}
	keep = idleTime
	closes := h.ConnectionClose()
	var name string
	for k, v := range h.All() {
		switch {
		case same(k, n.set.Dialect.Instance):
			name = string(v)
		case same(k, n.set.Dialect.RequestID):
			// A surplus answer to some request.
			return false, false, 0
		case same(k, "Connection"):
			closes = closes || lists(v, "close")
		case same(k, "Keep-Alive"):
			keep = keepAlive(v)
		}
	}
	size := h.ContentLength()
	if size < chunked || h.StatusCode() < 200 {
		return false, false, 0
	}
	body, err := readBody(c.r, size, step, getBuffer(), func(int) bool { return true })
	putBuffer(body)
	if err != nil {
		return false, false, 0
	}
	if closes || c.r.Buffered() > 0 {
		keep = 0
	}
	return h.StatusCode() == 200 && name == p.id, name != "" && name != p.id, keep
}
