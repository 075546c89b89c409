// Package owner serialises access to a table: one goroutine owns it and executes the
// commands of a bounded queue (design 2.3).
package owner

import (
	"context"
	"errors"
)

// ErrStopped is returned when the owner goroutine has stopped.
var ErrStopped = errors.New("owner stopped")

// Owner executes commands one at a time.
type Owner struct {
	queue chan func()
	done  chan struct{}
}

// New returns an owner whose queue holds n commands. Run starts executing them.
func New(n int) *Owner { return &Owner{queue: make(chan func(), n), done: make(chan struct{})} }

// Run executes commands until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-o.queue:
			f()
		}
	}
}

// Do executes f in the owner goroutine and waits for it. After an error f may still run.
func (o *Owner) Do(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	select {
	case o.queue <- func() { f(); close(finished) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
		return ErrStopped
	}
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
		return ErrStopped
	}
}

// Post queues f without waiting for it. It returns false if the queue is full.
func (o *Owner) Post(f func()) bool {
	select {
	case o.queue <- f:
		return true
	default:
		return false
	}
}

// Call executes f in the owner goroutine and returns its result. If ctx ends first, f
// may still run, and its result is discarded.
func Call[T any](ctx context.Context, o *Owner, f func() T) (T, error) {
	ch := make(chan T, 1)
	if err := o.Do(ctx, func() { ch <- f() }); err != nil {
		var z T
		return z, err
	}
	return <-ch, nil
}
