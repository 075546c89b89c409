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

// probe sends health probes beside the requests: to the runs of its own zone that the
// node works with or, where there are none, to those of others. They are numbered, and
// a reply that names the run is arrival j for the run's detector; what a choice reads is
// its fresh suspicion.
func (n *Node) probe(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n.clock.Sleep(ctx, probeTick) == nil {
		now := n.clock.Now()
		for _, s := range n.all() {
			for _, p := range s.due(now) {
				wg.Go(func() { n.ask(ctx, p) })
			}
		}
		n.mu.Lock()
		n.forget(now)
		n.mu.Unlock()
	}
}

// due lists the runs to be probed now, and closes idle connections.
func (s *service) due(now time.Time) []probing {
	s.mu.Lock()
	defer s.mu.Unlock()
	near := false
	for _, e := range s.all {
		e.sweep(now)
	}
	for _, e := range s.work {
		near = near || e.near && e.takes()
	}
	used := s.def.Health != "" && !s.usedAt.IsZero() && now.Sub(s.usedAt) < usedFor
	var out []probing
	for _, e := range s.work {
		want := used && e.takes() && (e.near || !near)
		if want != e.probed {
			// Nobody looked before: silence until now says nothing.
			e.probed = want
			e.det.Restart(now)
			e.nextProbe = now.Add(time.Duration(rand.Float64() * float64(s.n.set.ProbeEvery)))
		}
		if !want || e.probing || now.Before(e.nextProbe) {
			continue
		}
		e.nextProbe = now.Add(time.Duration((0.8 + 0.4*rand.Float64()) * float64(s.n.set.ProbeEvery)))
		e.probing = true
		e.seq++
		out = append(out, probing{e, e.seq, s.def.Health, e.run.ID, e.run.Addr, e.run.Seq})
	}
	return out
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
		e.det.Arrive(p.seq, n.clock.Now())
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
