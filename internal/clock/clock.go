// Package clock is the only source of time in walkrudder (design 2.4). Daemons use
// Wall; the simulator substitutes a clock that pauses and jumps.
package clock

import (
	"context"
	"time"
)

// Clock reads monotonic time and waits.
type Clock interface {
	// Now returns the current time. Only differences between two readings have a
	// meaning; they use the monotonic reading.
	Now() time.Time
	// Sleep waits for d, or until ctx ends, and then returns ctx.Err().
	Sleep(ctx context.Context, d time.Duration) error
	// After returns a channel that receives once after d, unless stop is called first.
	After(d time.Duration) (c <-chan time.Time, stop func())
}

// Wall is the Clock of the operating system.
type Wall struct{}

// Now returns time.Now, which carries a monotonic reading.
func (Wall) Now() time.Time { return time.Now() }

// Sleep waits on a timer of the operating system.
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

// After starts a timer of the operating system.
func (Wall) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// Every calls f after each interval d until ctx ends.
func Every(ctx context.Context, c Clock, d time.Duration, f func()) {
	for c.Sleep(ctx, d) == nil {
		f()
	}
}
