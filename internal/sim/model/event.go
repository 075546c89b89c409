package model

import (
	"cmp"
	"context"
	"fmt"
	"slices"
)

// event is a pending occurrence: the arrival of a message, the end of a sync or the waking of a
// sleeper.
type event struct {
	id    int
	kind  eventKind
	owner string // the node that the event belongs to
	from  string
	to    string
	label string
	actor string // the actor whose call caused the event
	// request is the content of a request, and origin the request that a reply answers. They distinguish
	// events that are otherwise alike.
	request   any
	origin    origin
	fire      func()
	lose      func() // nil if the event can't be lost
	duplicate func() // nil if the event can't happen twice
}

// origin identifies a request and one of its arrivals, counted from 0.
type origin struct{ id, arrival int }

type eventKind uint8

// Kinds of events. Events of one step are sorted in this order.
const (
	requestEvent eventKind = iota
	replyEvent
	syncEvent
	wakeEvent
)

var kindNames = map[eventKind]string{requestEvent: "request", replyEvent: "answer", syncEvent: "sync", wakeEvent: "wake"}

func (e *event) String() string {
	if e.from == "" {
		return fmt.Sprintf("%s %s %s", kindNames[e.kind], e.owner, e.label)
	}
	return fmt.Sprintf("%s %s>%s %s", kindNames[e.kind], e.from, e.to, e.label)
}

// compareEvents orders the events that one step caused, so that a schedule means the same in every
// run, independently of goroutine scheduling.
func compareEvents(a, b *event) int {
	c := cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to),
		cmp.Compare(a.owner, b.owner), cmp.Compare(a.label, b.label), cmp.Compare(a.actor, b.actor),
		cmp.Compare(a.origin.id, b.origin.id), cmp.Compare(a.origin.arrival, b.origin.arrival))
	if c == 0 {
		return compareRequests(a.request, b.request)
	}
	return c
}

// compareRequests orders requests by their content; it is used only if all else is equal.
func compareRequests(a, b any) int {
	if a == nil || b == nil {
		return 0
	}
	return cmp.Compare(fmt.Sprintf("%v", a), fmt.Sprintf("%v", b))
}

// enqueue adds a pending event; numberEvents numbers it after the step.
func (w *World) enqueue(e *event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newEvents = append(w.newEvents, e)
}

// numberEvents sorts and numbers the events that the last step caused.
func (w *World) numberEvents() {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.newEvents, compareEvents)
	for _, e := range w.newEvents {
		w.lastID++
		e.id = w.lastID
		w.events = append(w.events, e)
	}
	w.newEvents = nil
}

// remove removes a numbered event.
func (w *World) remove(e *event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = slices.DeleteFunc(w.events, func(x *event) bool { return x == e })
}

// pendingEvents lists the events in their default order: sleepers wake last.
func (w *World) pendingEvents() []*event {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := slices.Clone(w.events)
	slices.SortStableFunc(out, func(a, b *event) int {
		return cmp.Or(cmp.Compare(boolToInt(a.kind == wakeEvent), boolToInt(b.kind == wakeEvent)), cmp.Compare(a.id, b.id))
	})
	return out
}

// deliverable lists the pending events whose node is not frozen.
func (w *World) deliverable() []*event {
	return slices.DeleteFunc(w.pendingEvents(), func(e *event) bool {
		at := e.owner
		if e.to != "" {
			at = e.to
		}
		n := w.nodes[at]
		return n != nil && n.frozen.Load()
	})
}

// actorKey is the context key of the actor whose call causes an event.
type actorKey struct{}

func withActor(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, actorKey{}, name)
}

func actorFrom(ctx context.Context) string {
	name, _ := ctx.Value(actorKey{}).(string)
	return name
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// removeNodeEvents removes the syncs and sleepers of a node whose process ended, numbered or not;
// messages that it sent still arrive.
func (w *World) removeNodeEvents(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := func(x *event) bool { return x.owner == id && (x.kind == syncEvent || x.kind == wakeEvent) }
	w.events = slices.DeleteFunc(w.events, own)
	w.newEvents = slices.DeleteFunc(w.newEvents, own)
}
