// Package clock is the only source of time in walkrudder (design 2.4). Daemons
// use Wall; the simulator puts a clock with pauses and jumps in its place.
package clock

import (
	"context"
	"time"
)

// Clock tells monotonic time and waits.
type Clock interface {
	// Now is read for lengths of time only; its monotonic part counts.
	Now() time.Time
	// Sleep waits for d or until ctx ends, then tells which.
	Sleep(ctx context.Context, d time.Duration) error
	// After ticks once after d, unless stop is called first.
	After(d time.Duration) (c <-chan time.Time, stop func())
}

// Wall is the machine's clock.
type Wall struct{}

// Now tells the machine's time.
func (Wall) Now() time.Time { return time.Now() }

// Sleep waits on the machine's clock.
func (Wall) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// After ticks once on the machine's clock.
func (Wall) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// Every calls f each d until ctx ends.
func Every(ctx context.Context, c Clock, d time.Duration, f func()) {
	for c.Sleep(ctx, d) == nil {
		f()
	}
}
