package liveness

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

// stopClock sleeps longer once, as a frozen process does.
type stopClock struct {
	clock.Wall
	extra atomic.Int64
}

func (c *stopClock) Sleep(ctx context.Context, d time.Duration) error {
	return c.Wall.Sleep(ctx, d+time.Duration(c.extra.Swap(0)))
}

func TestPausesAreSeenAtAnyTick(t *testing.T) {
	for _, every := range []time.Duration{tick, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			c := &stopClock{}
			c.extra.Store(int64(3 * time.Second))
			p := NewPausesEvery(c, every)
			go p.Run(ctx)
			time.Sleep(10 * time.Second)
			if d := p.Total(); d < 3*time.Second-every || d > 3*time.Second+every {
				t.Errorf("tick %v: a pause of 3s counted as %v", every, d)
			}
			// A look that is a little late is no pause.
			before := p.Total()
			c.extra.Store(int64(overdue / 2))
			time.Sleep(5 * time.Second)
			if d := p.Total(); d != before {
				t.Errorf("tick %v: %v of lateness counted as a pause", every, d-before)
			}
			end()
		})
	}
}

// A long pause is told of from the first look after it on, and for as long as is asked; a short one is not.
func TestALongPauseIsToldOfForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		p := NewPauses(clock.Wall{})
		if p.WokeWithin(time.Hour) {
			t.Error("told of a pause before any")
		}
		time.Sleep(long - tick)
		if p.WokeWithin(time.Second) {
			t.Error("told of a short pause")
		}
		time.Sleep(time.Second)
		if !p.WokeWithin(time.Second) {
			t.Error("not told of at the first look after it")
		}
		go p.Run(ctx)
		time.Sleep(900 * time.Millisecond)
		if !p.WokeWithin(time.Second) {
			t.Error("not told of 0.9 s after it")
		}
		time.Sleep(200 * time.Millisecond)
		if p.WokeWithin(time.Second) {
			t.Error("told of 1.1 s after it")
		}
	})
}
