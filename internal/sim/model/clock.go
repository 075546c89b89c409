package model

import (
	"cmp"
	"context"
	"time"
)

// modelClock is a node's clock: its time moves only when a step moves it, and a sleeper wakes
// when a step wakes it.
type modelClock struct {
	w *World
	n *node
	// ctx belongs to the process that uses the clock.
	ctx context.Context
}

// Now returns the model's time.
func (c modelClock) Now() time.Time { return c.w.currentTime() }

// Sleep waits for a step to wake the caller, whatever the duration.
func (c modelClock) Sleep(ctx context.Context, _ time.Duration) error {
	if err := cmp.Or(ctx.Err(), c.ctx.Err()); err != nil {
		return err
	}
	woken := make(chan struct{})
	e := &event{kind: wakeEvent, owner: c.n.id, label: "sleeper", actor: actorFrom(ctx), fire: func() { close(woken) }}
	c.w.enqueue(e)
	select {
	case <-woken:
		return ctx.Err()
	case <-ctx.Done():
		c.w.cancelEvent(e)
		return ctx.Err()
	case <-c.ctx.Done():
		c.w.cancelEvent(e)
		return c.ctx.Err()
	}
}

// After never fires: no decision in the model depends on a timer of this kind.
func (c modelClock) After(time.Duration) (<-chan time.Time, func()) {
	return make(chan time.Time), func() {}
}

// currentTime returns the model's time.
func (w *World) currentTime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

// advance moves the model's time forward.
func (w *World) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// cancelEvent removes an event that nobody waits for any more, whether it has been numbered or not.
func (w *World) cancelEvent(e *event) {
	w.remove(e)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, x := range w.newEvents {
		if x == e {
			w.newEvents = append(w.newEvents[:i], w.newEvents[i+1:]...)
			return
		}
	}
}
