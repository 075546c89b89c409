package liveness

import (
	"context"
	"sync/atomic"
	"time"

	"walkrudder/internal/clock"
)

const (
	// tick is how often the process looks whether it stood still, unless told otherwise.
	tick = 50 * time.Millisecond
	// overdue is how late a look may come before that counts as a pause of the process.
	overdue = 200 * time.Millisecond
	// long is from when on a pause is one after which those who wait for this process may have turned to another.
	long = 900 * time.Millisecond
)

// Pauses adds up the time that this process itself stood still: frozen, starved
// or suspended. A jump of the machine's wall clock is none: only the monotonic
// clock is read.
type Pauses struct {
	clock clock.Clock
	tick  time.Duration
	at    atomic.Pointer[beat]
}

// beat is the last tick and the time stood still before it.
type beat struct {
	last  time.Time
	total time.Duration
	woke  time.Time // when the last long pause ended; zero if there was none
	run   bool      // Run looks; before that nobody could tell a pause from a start
}

// NewPauses starts the count at zero.
func NewPauses(c clock.Clock) *Pauses { return NewPausesEvery(c, tick) }

// NewPausesEvery looks only every d: fewer wake-ups, and pauses are told to within d.
func NewPausesEvery(c clock.Clock, d time.Duration) *Pauses {
	p := &Pauses{clock: c, tick: d}
	p.at.Store(&beat{last: c.Now()})
	return p
}

// Run looks every tick until ctx ends.
func (p *Pauses) Run(ctx context.Context) {
	for {
		now := p.clock.Now()
		p.at.Store(&beat{last: now, total: p.At(now), woke: p.woke(now), run: true})
		if p.clock.Sleep(ctx, p.tick) != nil {
			return
		}
	}
}

// Total is the time stood still up to now.
func (p *Pauses) Total() time.Duration { return p.At(p.clock.Now()) }

// At is the time stood still up to now, including a pause that the next tick has
// yet to notice: the first look after a freeze is already right.
func (p *Pauses) At(now time.Time) time.Duration {
	b := p.at.Load()
	if d := now.Sub(b.last); d > p.tick+overdue {
		return b.total + d - p.tick
	}
	return b.total
}

// WokeWithin tells whether a long pause of this process ended within d, one that the next tick has yet to
// notice included.
func (p *Pauses) WokeWithin(d time.Duration) bool {
	now := p.clock.Now()
	woke := p.woke(now)
	return !woke.IsZero() && now.Sub(woke) < d
}

// woke is when the last long pause ended.
func (p *Pauses) woke(now time.Time) time.Time {
	b := p.at.Load()
	if b.run && now.Sub(b.last) > p.tick+long {
		return now
	}
	return b.woke
}
