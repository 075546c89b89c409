// Package owner gives a table its one owner: a goroutine that works through a
// bounded queue of commands (design 2.3).
package owner

import (
	"context"
	"errors"
)

// ErrShut says that the owner has stopped.
var ErrShut = errors.New("owner stopped")

// Owner runs commands one after the other.
type Owner struct {
	q    chan func()
	done chan struct{}
}

// New makes an owner with a queue of n commands; Run starts it.
func New(n int) *Owner { return &Owner{q: make(chan func(), n), done: make(chan struct{})} }

// Run works until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-o.q:
			f()
		}
	}
}

// Do runs f in the owner and waits for it. After an error f may still run.
func (o *Owner) Do(ctx context.Context, f func()) error {
	fin := make(chan struct{})
	select {
	case o.q <- func() { f(); close(fin) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
		return ErrShut
	}
	select {
	case <-fin:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.done:
		return ErrShut
	}
}

// Post queues f and does not wait; false says that the queue is full.
func (o *Owner) Post(f func()) bool {
	select {
	case o.q <- f:
		return true
	default:
		return false
	}
}

// Get runs f in the owner and hands its result on. When ctx ends first, f may
// still run, but what it returns goes nowhere.
func Get[T any](ctx context.Context, o *Owner, f func() T) (T, error) {
	ch := make(chan T, 1)
	if err := o.Do(ctx, func() { ch <- f() }); err != nil {
		var z T
		return z, err
	}
	return <-ch, nil
}
