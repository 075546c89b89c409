package liveness

import (
	"context"
	"sync/atomic"
	"time"

	"walkrudder/internal/clock"
)

const (
	// defaultInterval is the time between two checks for a pause of the process.
	defaultInterval = 50 * time.Millisecond
	// pauseThreshold is how late a check may come before the delay counts as a pause.
	pauseThreshold = 200 * time.Millisecond
	// longPause is the length from which a pause counts as long: clients of this process may have
	// turned to another one meanwhile.
	longPause = 900 * time.Millisecond
)

// PauseMonitor adds up the time for which this process did not run: frozen, without CPU
// time or suspended. A step of the wall clock does not count, because only the monotonic
// clock is read.
type PauseMonitor struct {
	clock    clock.Clock
	interval time.Duration
	state    atomic.Pointer[pauseState]
}

// pauseState holds the time of the last check and the sum of the pauses before it.
type pauseState struct {
	lastCheck time.Time
	total     time.Duration
	resumed   time.Time // when the last long pause ended; zero if there was none
	running   bool      // Run has begun; before, a pause can't be told from the time before the start
}

// NewPauseMonitor returns a monitor with a sum of zero.
func NewPauseMonitor(c clock.Clock) *PauseMonitor { return NewPauseMonitorEvery(c, defaultInterval) }

// NewPauseMonitorEvery checks only every d: fewer wake-ups, and pauses measured to within d.
func NewPauseMonitorEvery(c clock.Clock, d time.Duration) *PauseMonitor {
	p := &PauseMonitor{clock: c, interval: d}
	p.state.Store(&pauseState{lastCheck: c.Now()})
	return p
}

// Run checks for pauses at each interval until ctx ends.
func (p *PauseMonitor) Run(ctx context.Context) {
	for {
		now := p.clock.Now()
		p.state.Store(&pauseState{lastCheck: now, total: p.TotalAt(now), resumed: p.resumedAt(now), running: true})
		if p.clock.Sleep(ctx, p.interval) != nil {
			return
		}
	}
}

// Total returns the sum of the pauses up to now.
func (p *PauseMonitor) Total() time.Duration { return p.TotalAt(p.clock.Now()) }

// TotalAt returns the sum of the pauses up to now. It includes a pause that the next check has
// yet to record, so the first reading after a freeze is already right.
func (p *PauseMonitor) TotalAt(now time.Time) time.Duration {
	b := p.state.Load()
	if d := now.Sub(b.lastCheck); d > p.interval+pauseThreshold {
		return b.total + d - p.interval
	}
	return b.total
}

// ResumedWithin reports whether a long pause of this process ended within the last d. It
// counts a pause that the next check has yet to record.
func (p *PauseMonitor) ResumedWithin(d time.Duration) bool {
	now := p.clock.Now()
	resumed := p.resumedAt(now)
	return !resumed.IsZero() && now.Sub(resumed) < d
}

// resumedAt returns when the last long pause ended.
func (p *PauseMonitor) resumedAt(now time.Time) time.Time {
	b := p.state.Load()
	if b.running && now.Sub(b.lastCheck) > p.interval+longPause {
		return now
	}
	return b.resumed
}
