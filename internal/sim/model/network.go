package model

import (
	"context"
	"reflect"
	"sync"

	"walkrudder/internal/link"
)

// Tamper is a planted network fault: it changes a request before it arrives, or answers it in
// place of the receiver.
type Tamper func(from, to string, ask any) (changed any, answer any, answered bool)

// nodeTransport is the network as one process uses it.
type nodeTransport struct {
	w   *World
	n   *node
	ctx context.Context
}

type result struct {
	answer any
	err    error
}

// Call sends a request and waits for a step that delivers the answer or loses it.
func (p nodeTransport) Call(ctx context.Context, to string, ask any) (any, error) {
	if p.ctx.Err() != nil {
		return nil, errProcessEnded // nothing leaves a process that has ended
	}
	results := make(chan result, 1)
	var once sync.Once
	deliver := func(r result) { once.Do(func() { results <- r }) }
	label := reflect.TypeOf(ask).Name()
	lost := func() { deliver(result{err: errMessageLost}) }
	actor := actorFrom(ctx)
	request := &event{kind: requestEvent, owner: p.n.id, from: p.n.id, to: to, label: label, actor: actor, request: ask, lose: lost}
	arrivals := 0
	arrive := func(deliver func(result)) {
		m := message{p.n.id, to, actor, ask, origin{request.id, arrivals}}
		arrivals++
		go p.w.serve(m, deliver)
	}
	request.fire = func() { arrive(deliver) }
	request.duplicate = func() { arrive(func(result) {}) }
	p.w.enqueue(request)
	select {
	case r := <-results:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errProcessEnded
	}
}

// message is a request in transit.
type message struct {
	from, to, actor string
	ask             any
	origin          origin
}

// serve delivers a request to the addressed node and has it answered.
func (w *World) serve(m message, deliver func(result)) {
	p := w.nodes[m.to].current.Load()
	if p == nil || w.cut(m.from, m.to) || w.holdMessage(m) {
		deliver(result{err: errMessageLost})
		return
	}
	if w.Tamper != nil {
		changed, answer, answered := w.Tamper(m.from, m.to, m.ask)
		if answered {
			w.reply(m, result{answer: answer}, deliver)
			return
		}
		m.ask = changed
	}
	answer, err := p.control.Mux.Dispatch(withActor(p.ctx, m.actor), link.Identity{ID: m.from, Kind: "controller"}, m.ask)
	if p.ctx.Err() != nil {
		deliver(result{err: errMessageLost})
		return
	}
	w.reply(m, result{answer, err}, deliver)
}

// reply sends the answer to a request.
func (w *World) reply(m message, r result, deliver func(result)) {
	label := reflect.TypeOf(m.ask).Name()
	w.enqueue(&event{kind: replyEvent, owner: m.to, from: m.to, to: m.from, label: label, actor: m.actor, origin: m.origin, fire: func() {
		if w.cut(m.to, m.from) {
			r = result{err: errMessageLost}
		}
		deliver(r)
	}, lose: func() { deliver(result{err: errMessageLost}) }})
}

// cut reports whether the path from one node to another is cut.
func (w *World) cut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

// holdMessage reports whether the scenario holds the request back, and stores it if so.
func (w *World) holdMessage(m message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.scenario.Hold == nil || w.finishing || w.heldReleased || !w.scenario.Hold(m.from, m.to, m.ask) {
		return false
	}
	w.held = append(w.held, m)
	return true
}

// DeliverHeld delivers the held requests that are wanted, drops the others, and ends the holding.
func DeliverHeld(name string, wanted func(to string, ask any) bool) Actor {
	return Inject(name+" arrive", func(w *World) {
		w.mu.Lock()
		kept := w.held
		w.held, w.heldReleased = nil, true
		w.mu.Unlock()
		for _, m := range kept {
			if wanted(m.to, m.ask) {
				go w.serve(m, func(result) {})
			}
		}
	})
}
