package liveness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// oversleepClock sleeps longer once, like the clock of a frozen process.
type oversleepClock struct {
	clock.Wall
	extra atomic.Int64
}

func (c *oversleepClock) Sleep(ctx context.Context, d time.Duration) error {
	return c.Wall.Sleep(ctx, d+time.Duration(c.extra.Swap(0)))
}

func TestPausesAreSeenAtAnyTick(t *testing.T) {
	for _, every := range []time.Duration{defaultInterval, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			c := &oversleepClock{}
			c.extra.Store(int64(3 * time.Second))
			p := NewPauseMonitorEvery(c, every)
			go p.Run(ctx)
			time.Sleep(10 * time.Second)
			if d := p.Total(); d < 3*time.Second-every || d > 3*time.Second+every {
				t.Errorf("tick %v: a pause of 3s counted as %v", every, d)
			}
			// A check that is only a little late does not count as a pause.
			before := p.Total()
			c.extra.Store(int64(pauseThreshold / 2))
			time.Sleep(5 * time.Second)
			if d := p.Total(); d != before {
				t.Errorf("tick %v: %v of lateness counted as a pause", every, d-before)
			}
			end()
		})
	}
}

// A long pause is reported from the first reading after it on, for as long as the caller asks. A
// short pause is not, nor is the time before the monitor runs.
func TestALongPauseIsToldOfForAWhile(t *testing.T) {
	for pause, want := range map[time.Duration]bool{longPause / 2: false, 2 * longPause: true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			c := &oversleepClock{}
			p := NewPauseMonitor(c)
			time.Sleep(time.Minute)
			if p.ResumedWithin(time.Hour) {
				t.Error("reported a pause before the monitor ran")
			}
			go p.Run(ctx)
			time.Sleep(time.Second)
			if p.ResumedWithin(time.Hour) {
				t.Error("reported a pause before any")
			}
			c.extra.Store(int64(pause))
			time.Sleep(defaultInterval + pause + defaultInterval)
			if got := p.ResumedWithin(time.Second); got != want {
				t.Errorf("after %v: %v, want %v", pause, got, want)
			}
			time.Sleep(1100 * time.Millisecond)
			if p.ResumedWithin(time.Second) {
				t.Errorf("reported a pause of %v a second later", pause)
			}
			end()
		})
	}
}
