package day

import (
	"strings"
	"sync"
	"time"

	"walkrudder/internal/route"
	"walkrudder/internal/sim/simnet"
)

// crowd are the callers of one zone and one stream. Some keep connections.
type crowd struct {
	w    *World
	s    Stream
	zone string
	p    *simnet.Proc

	mu   sync.Mutex
	kept []*session
}

// callers sends a stream's requests from one zone for the length of the day.
func (w *World) callers(s Stream, zone string, length time.Duration) {
	p := w.net.Host("c-"+s.Route+"-"+zone, zone).Start(w.ctx, "caller")
	cr := &crowd{w: w, s: s, zone: zone, p: p}
	var wg sync.WaitGroup
	for end := w.now() + length; w.now() < end; {
		w.mu.Lock()
		press := w.press
		w.mu.Unlock()
		time.Sleep(time.Duration(w.exp() * float64(time.Second) * float64(w.Shape.Zones) / (s.Rate * press)))
		wg.Go(cr.call)
	}
	wg.Wait()
	p.Kill()
}

// front chooses a machine as the callers' side does: of the zone those that are in; all
// of it where fewer than half are; others where none is.
func (w *World) front(zone string) *Machine {
	var own, in, far []*Machine
	for _, m := range w.Machines {
		ok, _ := m.isIn()
		switch {
		case m.Zone == zone && ok:
			own, in = append(own, m), append(in, m)
		case m.Zone == zone:
			own = append(own, m)
		case ok:
			far = append(far, m)
		}
	}
	switch {
	case len(in) == 0 && len(far) > 0:
		return pick(w, far)
	case 2*len(in) < len(own) || len(in) == 0:
		return pick(w, own)
	}
	return pick(w, in)
}

// call is one thing that a caller wants, with its further tries.
func (cr *crowd) call() {
	w, s := cr.w, cr.s
	deadline := time.Now().Add(s.Deadline)
	path := "/" + s.Route + "/" + w.id("p")
	method, body := "GET", ""
	if s.Repeat == route.AtMostOnce {
		method, body = "POST", "order "+path+strings.Repeat(".", w.chance(300))
	}
	tries := s.Tries
	for n := 0; ; n++ {
		q := &Request{ID: w.id("q-"), Method: method, Path: path, Host: host, Body: body, Route: s.Route, Once: s.Repeat == route.AtMostOnce, Zone: cr.zone}
		unsent := cr.try(q, deadline, n > 0)
		left := time.Until(deadline)
		w.mu.Lock()
		abuse := w.abuse
		w.mu.Unlock()
		if abuse {
			tries = 3*s.Tries + 2
		}
		promised := q.Status == 429 || q.Status == 503 || q.Status == 408 || q.Status == 421
		final := q.Status >= 200 && q.Status < 300 || q.Status == 400 || q.Status == 401 || q.Status == 404 || q.Status == 413 || q.Status == 431
		if n >= tries || final || q.Left || left < 20*time.Millisecond || q.Once && !promised && !unsent {
			return
		}
		switch {
		case abuse:
			time.Sleep(w.within(10 * time.Millisecond))
		case q.RetryAfter > 0:
			time.Sleep(min(q.RetryAfter, left/3))
		default:
			time.Sleep(w.within(100 * time.Millisecond))
		}
	}
}

// try sends one request over a kept connection or a new one. unsent tells that no byte of
// it was taken.
func (cr *crowd) try(q *Request, deadline time.Time, fresh bool) (unsent bool) {
	w := cr.w
	var s *session
	if !fresh && w.chance(3) > 0 {
		s = cr.rested()
	}
	if s == nil {
		var err error
		if s, err = w.dial(cr.p, w.front(cr.zone), deadline); err != nil {
			return true
		}
	}
	if w.exchange(s, q, deadline) {
		cr.rest(s)
	}
	return false
}

func (cr *crowd) rested() *session {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for len(cr.kept) > 0 {
		s := cr.kept[len(cr.kept)-1]
		cr.kept = cr.kept[:len(cr.kept)-1]
		if time.Now().Before(s.until) && !s.c.Gone() {
			return s
		}
		_ = s.c.Close()
	}
	return nil
}

func (cr *crowd) rest(s *session) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.kept = append(cr.kept, s)
}
