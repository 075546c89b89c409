package model

import (
	"context"
	"reflect"
	"sync"

	"walkrudder/internal/link"
)

// Tamper, where a world has one, changes a question before it arrives, or answers it itself: a
// planted fault.
type Tamper func(from, to string, ask any) (changed any, answer any, answered bool)

// port is the network as one process has it.
type port struct {
	w   *World
	n   *node
	ctx context.Context
}

type result struct {
	answer any
	err    error
}

// Call sends a question, and waits for a step that brings the answer or loses it.
func (p port) Call(ctx context.Context, to string, ask any) (any, error) {
	if p.ctx.Err() != nil {
		return nil, errEnded // nothing leaves a process that has ended
	}
	back := make(chan result, 1)
	var told sync.Once
	tell := func(r result) { told.Do(func() { back <- r }) }
	what := reflect.TypeOf(ask).Name()
	lost := func() { tell(result{err: errLost}) }
	actor := actorOf(ctx)
	request := &event{kind: requestEvent, owner: p.n.id, from: p.n.id, to: to, what: what, actor: actor, question: ask, lose: lost}
	arrivals := 0
	arrive := func(tell func(result)) {
		m := message{p.n.id, to, actor, ask, origin{request.id, arrivals}}
		arrivals++
		go p.w.serve(m, tell)
	}
	request.fire = func() { arrive(tell) }
	request.again = func() { arrive(func(result) {}) }
	p.w.add(request)
	select {
	case r := <-back:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.ctx.Done():
		return nil, errEnded
	}
}

// message is a question on its way.
type message struct {
	from, to, actor string
	ask             any
	origin          origin
}

// serve has the node at an address answer a question that has arrived.
func (w *World) serve(m message, tell func(result)) {
	p := w.nodes[m.to].now.Load()
	if p == nil || w.cut(m.from, m.to) || w.keepBack(m) {
		tell(result{err: errLost})
		return
	}
	if w.Tamper != nil {
		changed, answer, answered := w.Tamper(m.from, m.to, m.ask)
		if answered {
			w.reply(m, result{answer: answer}, tell)
			return
		}
		m.ask = changed
	}
	answer, err := p.control.Desk.Dispatch(byActor(p.ctx, m.actor), link.Identity{ID: m.from, Kind: "controller"}, m.ask)
	if p.ctx.Err() != nil {
		tell(result{err: errLost})
		return
	}
	w.reply(m, result{answer, err}, tell)
}

// reply sends the answer to a question back.
func (w *World) reply(m message, r result, tell func(result)) {
	what := reflect.TypeOf(m.ask).Name()
	w.add(&event{kind: replyEvent, owner: m.to, from: m.to, to: m.from, what: what, actor: m.actor, origin: m.origin, fire: func() {
		if w.cut(m.to, m.from) {
			r = result{err: errLost}
		}
		tell(r)
	}, lose: func() { tell(result{err: errLost}) }})
}

// cut tells whether the way from one node to another is cut.
func (w *World) cut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

// keepBack tells whether a question is kept back, and keeps it.
func (w *World) keepBack(m message) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.scenario.KeepBack == nil || w.ending || w.arrived || !w.scenario.KeepBack(m.from, m.to, m.ask) {
		return false
	}
	w.kept = append(w.kept, m)
	return true
}

// Arrive lets what was kept back arrive, as far as it is wanted; from then on nothing is kept back.
func Arrive(name string, wanted func(to string, ask any) bool) Actor {
	return Happen(name+" arrive", func(w *World) {
		w.mu.Lock()
		kept := w.kept
		w.kept, w.arrived = nil, true
		w.mu.Unlock()
		for _, m := range kept {
			if wanted(m.to, m.ask) {
				go w.serve(m, func(result) {})
			}
		}
	})
}
