package passage

import (
	"time"

	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
)

// Try is one sending of a trip to one target. A request that may be repeated can
// have several under way (design 13.14).
type Try struct {
	Trip   *Trip
	Stand  *registry.Target
	No     int // of the trip's tries, from 1
	Table  *spec.Table
	Bound  *spec.Bound
	Answer *Answer
	Sent   time.Time

	lane   *Lane
	paused time.Duration // this process's own pauses before the sending
	end    chan struct{} // closed once the courier is back
}

// timed takes in how long the target took, unless this process itself stood still
// meanwhile.
func (p *Passage) timed(x *Try) {
	if p.Roster.Pauses.Total() == x.paused {
		x.Stand.ObserveLatency(p.Clock.Now().Sub(x.Sent), slower, sooner)
	}
}

// landed ends the counting of a sending.
func (x *Try) landed() {
	x.Stand.InFlight.Add(-1)
	x.lane.leave(x.Bound.Name)
}

// lookEvery is how often the suspicion of a target is read while a request that may
// be repeated waits for it: it grows over hundreds of milliseconds. Where the
// allowance gave nothing, it is asked again after lookAgain: it grows with requests.
const (
	lookEvery = 20 * time.Millisecond
	lookAgain = 200 * time.Millisecond
)

// look reads the target's suspicion afresh while a request that may be repeated
// waits for it, and sends the request elsewhere when the target is suspected, let go,
// or has taken half of the time that was left. It gives the sending up when the trip
// has its answer.
func (p *Passage) look(x *Try, limit float64, half time.Time, giveUp func()) {
	var next time.Time
	for {
		c, stop := p.Clock.After(lookEvery)
		select {
		case <-x.end:
			stop()
			return
		case <-x.Trip.done:
			stop()
			giveUp()
			return
		case <-c:
		}
		now := p.Clock.Now()
		why := ""
		switch w := x.Stand.Detector.Suspicion(now); {
		case now.Before(next):
		case w >= limit:
			why = "the target is suspected while it is waited for"
		case x.Stand.Gone.Load():
			why = "the target was let go while it was waited for"
		case !now.Before(half):
			why = "the target has taken half of the time left"
		}
		if why != "" {
			next = now.Add(lookAgain)
			p.elsewhere(x, why)
		}
	}
}

// elsewhere sends a trip that is under way to the choice once more, unless another
// sending has taken the place of x already.
func (p *Passage) elsewhere(x *Try, why string) {
	t := x.Trip
	t.mu.Lock()
	ok := !t.over.Load() && !t.electing && (t.open == 1 || x.No == t.Tries) && t.Tries < maxTries && t.Left(p.Clock.Now()) > slack
	t.electing = t.electing || ok
	t.mu.Unlock()
	if !ok {
		return
	}
	p.step(t, "elsewhere", "", why)
	if !p.choose.Put(t) {
		p.unelect(t)
		p.refuse(t, why)
	}
}

// unelect ends a choice that gave no sending.
func (p *Passage) unelect(t *Trip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.electing = false
}

// shut ends the counting of a sending under way.
func (p *Passage) shut(t *Trip) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
}
