package simnet

import (
	"context"
	"time"

	"walkrudder/internal/clock"
)

// Clock is a process's clock: it stands still for those who wait while the host is
// frozen, and shows the whole pause afterwards. Now does not wait, for its callers may
// hold locks, and every way out of a frozen host waits anyway.
type Clock struct {
	clock.Wall
	P *Proc
}

// Sleep waits for d, and through any freeze.
func (c Clock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.Wall.Sleep(ctx, d)
	c.P.Awake()
	return err
}
