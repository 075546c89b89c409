// Package link carries questions and their answers between walkrudder's own
// processes: gob values in length-marked frames over TCP (design 3).
package link

import (
	"context"
	"fmt"
	"reflect"

	"walkrudder/internal/steperr"
)

// Who names the process at the other end of a link.
type Who struct {
	ID   string
	Kind string // "gateway", "controller" or "tool"
}

// Line asks one question of the process at an inner address.
type Line interface {
	Call(ctx context.Context, addr string, ask any) (any, error)
}

// Desk answers questions by their type. It is filled at start-up and read-only
// from then on.
type Desk struct {
	by map[reflect.Type]func(context.Context, Who, any) (any, error)
}

// NewDesk makes an empty desk.
func NewDesk() *Desk {
	return &Desk{by: map[reflect.Type]func(context.Context, Who, any) (any, error){}}
}

// On teaches d to answer questions of type A.
func On[A, R any](d *Desk, f func(context.Context, Who, A) (R, error)) {
	Register[A]()
	Register[R]()
	d.by[reflect.TypeFor[A]()] = func(ctx context.Context, w Who, a any) (any, error) {
		r, err := f(ctx, w, a.(A))
		if err != nil {
			return nil, err
		}
		return r, nil
	}
}

// Answer finds the answer to ask.
func (d *Desk) Answer(ctx context.Context, w Who, ask any) (any, error) {
	f, ok := d.by[reflect.TypeOf(ask)]
	if !ok {
		return nil, steperr.New("answer", w.ID, "no answer here to %T", ask)
	}
	return f(ctx, w, ask)
}

// Ask calls addr and expects an answer of type R.
func Ask[R any](ctx context.Context, l Line, addr string, ask any) (R, error) {
	var z R
	v, err := l.Call(ctx, addr, ask)
	if err != nil {
		return z, err
	}
	r, ok := v.(R)
	if !ok {
		return z, steperr.Wrap("ask", addr, fmt.Errorf("answer of type %T, want %T", v, z))
	}
	return r, nil
}
