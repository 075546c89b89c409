package model

import (
	"cmp"
	"context"
	"fmt"
	"slices"
)

// event is something that waits to happen: a message to arrive, a sync to end, a sleeper to
// wake.
type event struct {
	id    int
	kind  eventKind
	owner string // the node whose progress it is
	from  string
	to    string
	what  string
	actor string // at whose call it came about
	// question is what a request asks, and origin the request that an answer is to: they tell events apart
	// that are alike else.
	question any
	origin   origin
	fire     func()
	lose     func() // nil where it can't be lost
	again    func() // nil where it can't happen twice
}

// origin names a request, and which of its arrivals, from 0.
type origin struct{ id, arrival int }

type eventKind uint8

// The kinds of events.
const (
	requestEvent eventKind = iota
	replyEvent
	syncEvent
	wakeEvent
)

var kindNames = map[eventKind]string{requestEvent: "request", replyEvent: "answer", syncEvent: "sync", wakeEvent: "wake"}

func (e *event) String() string {
	if e.from == "" {
		return fmt.Sprintf("%s %s %s", kindNames[e.kind], e.owner, e.what)
	}
	return fmt.Sprintf("%s %s>%s %s", kindNames[e.kind], e.from, e.to, e.what)
}

// order sorts the events that one step brought about, so that a schedule means the same in every
// play whatever the order of goroutines was.
func order(a, b *event) int {
	c := cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to),
		cmp.Compare(a.owner, b.owner), cmp.Compare(a.what, b.what), cmp.Compare(a.actor, b.actor),
		cmp.Compare(a.origin.id, b.origin.id), cmp.Compare(a.origin.arrival, b.origin.arrival))
	if c == 0 {
		return compareQuestions(a.question, b.question)
	}
	return c
}

// compareQuestions orders questions by their contents, which are read only where all else is equal.
func compareQuestions(a, b any) int {
	if a == nil || b == nil {
		return 0
	}
	return cmp.Compare(fmt.Sprintf("%v", a), fmt.Sprintf("%v", b))
}

// add lets an event wait; it gets its place after the step.
func (w *World) add(e *event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fresh = append(w.fresh, e)
}

// admit numbers the events of the last step.
func (w *World) admit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.fresh, order)
	for _, e := range w.fresh {
		w.lastID++
		e.id = w.lastID
		w.events = append(w.events, e)
	}
	w.fresh = nil
}

// take removes an event.
func (w *World) take(e *event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = slices.DeleteFunc(w.events, func(x *event) bool { return x == e })
}

// waiting are the events in their usual order: sleepers wake last.
func (w *World) waiting() []*event {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.events)
	slices.SortStableFunc(out, func(a, b *event) int {
		return cmp.Or(cmp.Compare(b2i(a.kind == wakeEvent), b2i(b.kind == wakeEvent)), cmp.Compare(a.id, b.id))
	})
	return out
}

// eligible are the waiting events whose node does not stand still.
func (w *World) eligible() []*event {
	return slices.DeleteFunc(w.waiting(), func(e *event) bool {
		at := e.owner
		if e.to != "" {
			at = e.to
		}
		n := w.nodes[at]
		return n != nil && n.frozen.Load()
	})
}

// actorKey is under which a context names the actor at whose call something happens.
type actorKey struct{}

func byActor(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, actorKey{}, name)
}

func actorOf(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// forget removes the events of a node that ended, also those that have no place yet; messages that it
// sent still arrive.
func (w *World) forget(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := func(x *event) bool { return x.owner == id && (x.kind == syncEvent || x.kind == wakeEvent) }
	w.events = slices.DeleteFunc(w.events, own)
	w.fresh = slices.DeleteFunc(w.fresh, own)
}
