// Package link implements RPC between walkrudder's processes: requests and responses are
// gob values in length-prefixed frames over TCP (design 3).
package link

import (
	"context"
	"fmt"
	"reflect"

	"walkrudder/internal/steperr"
)

// Identity identifies the process at the other end of a connection.
type Identity struct {
	ID   string
	Kind string // "gateway", "controller" or "tool"
}

// Transport is an RPC client: Call sends one request to the process at an internal address.
type Transport interface {
	Call(ctx context.Context, addr string, ask any) (any, error)
}

// Mux dispatches requests to handlers by the type of the request. Handlers are registered at start-up;
// after that, it is read-only.
type Mux struct {
	handlers map[reflect.Type]func(context.Context, Identity, any) (any, error)
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[reflect.Type]func(context.Context, Identity, any) (any, error){}}
}

// Handle registers handler for requests of type A.
func Handle[A, R any](mux *Mux, handler func(context.Context, Identity, A) (R, error)) {
	Register[A]()
	Register[R]()
	mux.handlers[reflect.TypeFor[A]()] = func(ctx context.Context, from Identity, request any) (any, error) {
		response, err := handler(ctx, from, request.(A))
		if err != nil {
			return nil, err
		}
		return response, nil
	}
}

// Dispatch calls the handler for request and returns its response.
func (m *Mux) Dispatch(ctx context.Context, from Identity, request any) (any, error) {
	handler, ok := m.handlers[reflect.TypeOf(request)]
	if !ok {
		return nil, steperr.New("answer", from.ID, "no answer here to %T", request)
	}
	return handler(ctx, from, request)
}

// Call sends request to addr and expects a response of type R.
func Call[R any](ctx context.Context, transport Transport, addr string, request any) (R, error) {
	var zero R
	v, err := transport.Call(ctx, addr, request)
	if err != nil {
		return zero, err
	}
	response, ok := v.(R)
	if !ok {
		return zero, steperr.Wrap("ask", addr, fmt.Errorf("response of type %T, want %T", v, zero))
	}
	return response, nil
}
