package day

import (
	"strings"
	"sync"
	"time"

	"walkrudder/internal/route"
	"walkrudder/internal/sim/simnet"
)

// callerPool simulates the callers of one zone and one stream. Some reuse connections.
type callerPool struct {
	world  *World
	stream Stream
	zone   string
	proc   *simnet.Proc

	mu   sync.Mutex
	idle []*callerConn
}

// runCallers sends a stream's requests from one zone until the given length of time has passed.
func (w *World) runCallers(s Stream, zone string, length time.Duration) {
	p := w.net.Host("c-"+s.Route+"-"+zone, zone).Start(w.ctx, "caller")
	callers := &callerPool{world: w, stream: s, zone: zone, proc: p}
	var wg sync.WaitGroup
	for end := w.now() + length; w.now() < end; {
		w.mu.Lock()
		loadFactor := w.loadFactor
		w.mu.Unlock()
		time.Sleep(time.Duration(w.randExp() * float64(time.Second) * float64(w.Deployment.Zones) / (s.Rate * loadFactor)))
		wg.Go(callers.call)
	}
	wg.Wait()
	p.Kill()
}

// chooseMachine selects a machine as a load balancer for the callers does: one of the zone that is in rotation;
// any of the zone if fewer than half are in rotation; one of another zone if the zone has none in rotation.
func (w *World) chooseMachine(zone string) *Machine {
	var zoneAll, zoneReady, otherReady []*Machine
	for _, m := range w.Machines {
		ok, _ := m.rotationState()
		switch {
		case m.Zone == zone && ok:
			zoneAll, zoneReady = append(zoneAll, m), append(zoneReady, m)
		case m.Zone == zone:
			zoneAll = append(zoneAll, m)
		case ok:
			otherReady = append(otherReady, m)
		}
	}
	switch {
	case len(zoneReady) == 0 && len(otherReady) > 0:
		return pickOne(w, otherReady)
	case 2*len(zoneReady) < len(zoneAll) || len(zoneReady) == 0:
		return pickOne(w, zoneAll)
	}
	return pickOne(w, zoneReady)
}

// call performs one call of a caller, including retries.
func (cr *callerPool) call() {
	w, s := cr.world, cr.stream
	deadline := time.Now().Add(s.Deadline)
	path := "/" + s.Route + "/" + w.newID("p")
	method, body := "GET", ""
	if s.Repeat == route.AtMostOnce {
		method, body = "POST", "order "+path+strings.Repeat(".", w.randIntN(300))
	}
	retries := s.Retries
	for n := 0; ; n++ {
		q := &Request{ID: w.newID("q-"), Method: method, Path: path, Host: requestHost, Body: body, Route: s.Route, AtMostOnce: s.Repeat == route.AtMostOnce, Zone: cr.zone}
		unsent := cr.attempt(q, deadline, n > 0)
		left := time.Until(deadline)
		w.mu.Lock()
		aggressive := w.aggressiveRetries
		w.mu.Unlock()
		if aggressive {
			retries = 3*s.Retries + 2
		}
		notRun := q.Status == 429 || q.Status == 503 || q.Status == 408 || q.Status == 421
		final := q.Status >= 200 && q.Status < 300 || q.Status == 400 || q.Status == 401 || q.Status == 404 || q.Status == 413 || q.Status == 431
		if n >= retries || final || q.Disconnected || left < 20*time.Millisecond || q.AtMostOnce && !notRun && !unsent {
			return
		}
		switch {
		case aggressive:
			time.Sleep(w.randDuration(10 * time.Millisecond))
		case q.RetryAfter > 0:
			time.Sleep(min(q.RetryAfter, left/3))
		default:
			time.Sleep(w.randDuration(100 * time.Millisecond))
		}
	}
}

// attempt sends one request over an idle connection or a new one. unsent reports that no byte of
// it was accepted.
func (cr *callerPool) attempt(q *Request, deadline time.Time, newConn bool) (unsent bool) {
	w := cr.world
	var s *callerConn
	if !newConn && w.randIntN(3) > 0 {
		s = cr.takeIdle()
	}
	if s == nil {
		var err error
		if s, err = w.dial(cr.proc, w.chooseMachine(cr.zone), deadline); err != nil {
			return true
		}
	}
	if w.exchange(s, q, deadline) {
		cr.putIdle(s)
	}
	return false
}

func (cr *callerPool) takeIdle() *callerConn {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for len(cr.idle) > 0 {
		s := cr.idle[len(cr.idle)-1]
		cr.idle = cr.idle[:len(cr.idle)-1]
		if time.Now().Before(s.idleUntil) && !s.conn.Closed() {
			return s
		}
		_ = s.conn.Close()
	}
	return nil
}

func (cr *callerPool) putIdle(s *callerConn) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.idle = append(cr.idle, s)
}
