package day

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// Target is one run of a service instance.
type Target struct {
	world       *World
	ID          string
	Service     string
	Zone        string
	Version     string // of its software
	defect      Defect // of that version
	host        *simnet.Host
	proc        *simnet.Proc
	startedAt   time.Duration
	warmup      time.Duration // how long it is slow after its start
	workFactor  float64
	idleSeconds int // keep-alive timeout of idle connections

	mu             sync.Mutex
	fault          TargetFault
	state          target.State
	usedSlots      int
	queue          []chan struct{}
	connCount      int
	seq            uint64
	homeController string
	reportedGone   bool          // it has reported that it is gone but keeps serving
	ackedBy        string        // the machine that acknowledged the last report
	drainStarted   chan struct{} // closed when it begins to drain
	drainAcked     chan struct{} // closed when the drain was acknowledged
	ended          chan struct{}
}

// kill ends the run immediately.
func (t *Target) kill() {
	t.mu.Lock()
	alreadyEnded := t.state == target.Ended
	t.state = target.Ended
	t.mu.Unlock()
	t.proc.Kill()
	if alreadyEnded {
		return
	}
	close(t.ended)
	h := t.world.targets
	h.mu.Lock()
	h.running = slices.DeleteFunc(h.running, func(x *Target) bool { return x == t })
	h.mu.Unlock()
}

// drainAndStop ends the run in order: it reports that it drains, keeps serving for a while after the
// acknowledgement, reports that it has ended, and ends.
func (t *Target) drainAndStop() {
	t.mu.Lock()
	if t.state != target.Ready {
		t.mu.Unlock()
		return
	}
	t.state = target.Draining
	close(t.drainStarted)
	t.mu.Unlock()
	pause := time.NewTimer(8 * time.Second)
	defer pause.Stop()
	select {
	case <-t.drainAcked:
	case <-pause.C:
	case <-t.ended:
		return
	}
	time.Sleep(t.world.Deployment.Bounds.Drain + 1500*time.Millisecond)
	for range 3 {
		if t.sendReport(true) {
			break
		}
	}
	t.kill()
}

// stopWithoutDrain ends the run without a drain: it reports that it is gone, keeps serving for as long as
// a draining target would, and ends.
func (t *Target) stopWithoutDrain() {
	t.mu.Lock()
	if t.state != target.Ready || t.reportedGone {
		t.mu.Unlock()
		return
	}
	t.reportedGone = true
	t.mu.Unlock()
	for range 6 {
		if t.proc.Ended() || t.sendReport(true) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(t.world.Deployment.Bounds.Drain + 4*time.Second)
	t.kill()
}

// hasReportedGone reports whether it has reported that it is gone.
func (t *Target) hasReportedGone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportedGone
}

// sendHeartbeats sends a heartbeat to the control plane every second, and immediately when it begins to
// drain.
func (t *Target) sendHeartbeats() {
	wait := t.world.randDuration(heartbeatInterval)
	for {
		draining := t.currentState() == target.Draining
		var immediate <-chan struct{}
		if !draining {
			immediate = t.drainStarted
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-immediate:
		case <-t.proc.Context().Done():
		}
		timer.Stop()
		if t.proc.Ended() {
			return
		}
		if t.hasReportedGone() {
			return
		}
		draining = t.currentState() == target.Draining
		ok := t.sendReport(false)
		wait = heartbeatInterval*95/100 + t.world.randDuration(heartbeatInterval/10)
		switch {
		case draining && ok:
			t.markDrainAcked()
		case draining:
			wait = 50 * time.Millisecond
		}
	}
}

func (t *Target) markDrainAcked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.drainAcked:
	default:
		close(t.drainAcked)
	}
}

// sendReport sends one heartbeat or end report to the home controller or, if that fails, to others in turn. It
// returns whether one was acknowledged.
func (t *Target) sendReport(ending bool) bool {
	w := t.world
	t.mu.Lock()
	t.seq++
	b := target.Heartbeat{ID: t.ID, Service: t.Service, Addr: t.proc.Addr, Zone: t.Zone, Version: t.Version, Slots: w.Deployment.Slots, Draining: t.state == target.Draining, Seq: t.seq,
		Cold: max(0, t.warmup-(w.now()-t.startedAt))}
	home := t.homeController
	t.mu.Unlock()
	var departure *Departure
	if ending || b.Draining {
		departure = &Departure{Run: t.ID, State: target.Draining, SentAt: w.now()}
		if ending {
			departure.State = target.Ended
		}
	}
	controllers := pickN(w, w.controllers(), 3)
	if home != "" {
		if m := w.machine(home); m != nil {
			controllers = append([]*Machine{m}, controllers...)
		}
	}
	for _, m := range controllers {
		ctx, cancel := context.WithTimeout(t.proc.Context(), time.Second)
		next, err := simnet.RemoteCall(ctx, t.proc, m.internalAddr(), func(ctx context.Context, _ *simnet.Proc) (string, error) {
			n := m.controllerNode()
			if n == nil {
				return "", net.ErrClosed
			}
			ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			defer cancel()
			if ending {
				return "", n.Leave(ctx, t.ID)
			}
			if err := n.Beat(ctx, b); err != nil {
				return "", err
			}
			x, _ := n.HomeMember(b.Service, b.Zone)
			return x.ID, nil
		})
		cancel()
		if t.proc.Ended() {
			return false
		}
		if err != nil {
			continue
		}
		t.mu.Lock()
		t.homeController, t.ackedBy = next, m.ID
		t.mu.Unlock()
		if departure != nil {
			w.updateRecord(func(r *Record) {
				departure.Acknowledged, departure.AckedAt, departure.AckedBy = true, w.now(), m.ID
				r.Departures = append(r.Departures, departure)
			})
		}
		return true
	}
	t.mu.Lock()
	t.homeController = ""
	t.mu.Unlock()
	return false
}

// injectFault sets the target's fault; the returned function clears it.
func (t *Target) injectFault(f TargetFault) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.fault = TargetFault{}
	}
}

func (t *Target) currentFault() TargetFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

func (t *Target) accept(ln *simnet.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := nc.(*simnet.Conn)
		t.mu.Lock()
		t.connCount++
		full := t.connCount > t.world.Deployment.MaxConns
		t.mu.Unlock()
		t.world.targets.wg.Go(func() {
			defer func() {
				t.mu.Lock()
				t.connCount--
				t.mu.Unlock()
			}()
			if full {
				c.Abort()
				return
			}
			t.serve(c)
			_ = c.Close()
		})
	}
}

// serve answers the requests of one connection in sequence.
func (t *Target) serve(c *simnet.Conn) {
	r := bufio.NewReader(c)
	previous := ""
	for {
		idle := time.Duration(t.idleSeconds) * time.Second
		if t.currentFault().ClosesIdleEarly {
			idle = t.world.randDuration(time.Second)
		}
		if c.SetReadDeadline(time.Now().Add(idle)) != nil {
			return
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		if c.SetReadDeadline(time.Now().Add(10*time.Second)) != nil {
			return
		}
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x := &targetRequest{target: t, conn: c, request: q, body: string(b), previous: previous}
		if !x.serve() {
			return
		}
		previous = x.response
	}
}
