package simnet

import (
	"context"
	"time"

	"walkrudder/internal/clock"
)

// Clock is the clock of a simulated process. While the host is frozen, Sleep does not
// return; after the thaw, Now shows the whole pause. Now does not block, because its callers
// may hold locks, and every message that leaves a frozen host waits for the thaw anyway.
type Clock struct {
	clock.Wall
	Proc *Proc
}

// Sleep waits for d and, if the host is frozen by then, until it thaws.
func (c Clock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.Wall.Sleep(ctx, d)
	c.Proc.WaitThawed()
	return err
}
