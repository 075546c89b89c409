package day

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/sim/simnet"
)

// operator changes the configuration.
type operator struct {
	w *World
	p *simnet.Proc
}

func (w *World) operator(name string) *operator {
	return &operator{w, w.net.Host("op-"+name, zone(w.chance(w.Shape.Zones))).Start(w.ctx, "operator")}
}

// nextVersion rises in uneven steps.
func (w *World) nextVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + uint64(w.rnd.IntN(9))
	return w.version
}

// pressTime is for how long an operator sends the same: longer than any day's troubles. A core that
// acknowledges nothing for so long has the day end and be judged.
const pressTime = 2 * time.Minute

// send has a change acknowledged or refused: at one controller after the other, unchanged, until
// one of them says a clear word, or for pressTime. It tells which did.
func (o *operator) send(c control.Change, valid bool) (*Order, *Machine) {
	order := o.begin(c, valid)
	return order, o.press(order, c, o.w.controllers(), o.w.now()+pressTime)
}

// begin notes an order before its first call.
func (o *operator) begin(c control.Change, valid bool) *Order {
	w := o.w
	order := &Order{By: o.p.Host.ID, Items: itemsOf(c), Valid: valid, Sent: w.now()}
	w.note(func(r *Record) {
		for _, old := range r.Orders {
			if !old.Acknowledged && slices.ContainsFunc(order.Items, func(i item.Item) bool {
				return slices.ContainsFunc(old.Items, func(j item.Item) bool { return i.Key == j.Key && i.Version > j.Version })
			}) {
				old.Overtaken = true
			}
		}
		r.Orders = append(r.Orders, order)
	})
	return order
}

// settled tells whether a clear word was said.
func (o *Order) settled() bool { return o.Acknowledged || o.Refused }

// press sends an order to some of the controllers until one says a clear word, or until a
// moment.
func (o *operator) press(order *Order, c control.Change, to []*Machine, until time.Duration) *Machine {
	w := o.w
	pause := 50 * time.Millisecond
	for !w.over() && w.ctx.Err() == nil && w.now() < until {
		m := pick(w, to)
		cx, end := context.WithTimeout(w.ctx, 1500*time.Millisecond)
		ps, err := simnet.RemoteCall(cx, o.p, m.innerAddr(), func(cx context.Context, _ *simnet.Proc) ([]route.Problem, error) {
			n := m.node()
			if n == nil {
				return nil, net.ErrClosed
			}
			cx, end := context.WithTimeout(cx, 3500*time.Millisecond)
			defer end()
			return n.Apply(cx, c)
		})
		end()
		switch {
		case control.IsConflict(err):
			w.note(func(*Record) { order.Refused = true })
		case err == nil && len(ps) == 0 && w.losesAck():
			w.note(func(*Record) { order.Lost = true })
			continue
		case err != nil:
			t := time.NewTimer(pause)
			select {
			case <-t.C:
			case <-w.ctx.Done():
			}
			t.Stop()
			pause = min(2*pause, time.Second)
			continue
		case len(ps) > 0:
			w.note(func(*Record) { order.Refused = true })
		default:
			w.note(func(*Record) { order.Acknowledged, order.Acked = true, w.now() })
		}
		return m
	}
	return nil
}

// firstOrder declares everything before the callers come.
func (w *World) firstOrder() {
	o := w.operator("first")
	if x, _ := o.send(w.firstChange(), true); !x.Acknowledged {
		w.t.Error("the first configuration was not acknowledged")
	}
	o.p.Kill()
}

// shift is a change that sends a stream's route to another service, or to two.
func (w *World) shift() control.Change {
	s := pick(w, w.Shape.Streams[len(w.Shape.Streams)-2:])
	names := make([]string, 0, len(w.Shape.Targets))
	for n := range w.Shape.Targets {
		names = append(names, n)
	}
	slices.Sort(names)
	v := w.nextVersion()
	if w.chance(4) == 0 {
		return control.Change{Routes: []route.Route{s.route(v, route.Share{Service: names[0], Weight: 3}, route.Share{Service: names[1], Weight: 1})}}
	}
	return control.Change{Routes: []route.Route{s.route(v, only(pick(w, names)))}}
}

// added is a route that operators add, drop and move.
func (w *World) added(name string, version uint64) route.Route {
	to := "orders"
	if version%2 == 0 {
		to = "archive"
	}
	return Stream{Route: name, Repeat: route.Idempotent, Aim: 400 * time.Millisecond, Priority: 3}.route(version, only(to))
}

// edit adds, moves or drops one of a few routes. Where no such was added yet a drop is as
// good a word.
func (w *World) edit() (control.Change, string) {
	name := fmt.Sprintf("x%d", w.chance(3))
	v := w.nextVersion()
	if w.chance(3) == 0 {
		return control.Change{Drops: []control.Drop{{Kind: item.Route, Name: name, Version: v}}}, name
	}
	return control.Change{Routes: []route.Route{w.added(name, v)}}, name
}

// invalid is a change of which nothing may come into force.
func (w *World) invalid() control.Change {
	v := w.nextVersion()
	bad := w.added("bad", v)
	bad.Prefix = "/x0/"
	switch w.chance(5) {
	case 0:
		bad.Shares = []route.Share{only("nowhere")}
	case 1:
		bad.Prefix = "x0/"
	case 2:
		bad.Shares = []route.Share{{Service: "orders", Weight: -1}, {Service: "archive", Weight: 2}}
	case 3:
		bad.HoldMS = route.MaxHoldMS + 1
	default:
		// The place of another route.
		bad.Prefix = "/" + w.Shape.Streams[0].Route + "/"
	}
	// What is right beside it may not come into force either.
	good := w.added("never", v)
	return control.Change{Routes: []route.Route{good, bad}}
}

// look asks every machine by a route, which shows the configuration in force there.
func (o *operator) look(name string) {
	w := o.w
	for _, m := range w.Machines {
		if in, _ := m.isIn(); !in {
			continue
		}
		w.wg.Go(func() {
			deadline := time.Now().Add(time.Second)
			s, err := w.dial(o.p, m, deadline)
			if err != nil {
				return
			}
			w.exchange(s, &Request{ID: w.id("q-"), Method: "GET", Path: "/" + name + "/" + w.id("p"), Host: host, Route: name, Probe: true}, deadline)
			_ = s.c.Close()
		})
	}
}

// watch looks a few times, before and after the bound.
func (o *operator) watch(name string) {
	w := o.w
	w.wg.Go(func() {
		for range 12 {
			time.Sleep(300*time.Millisecond + w.within(200*time.Millisecond))
			if w.over() {
				return
			}
			o.look(name)
		}
	})
}

// readBack reads what stands, from one controller after the other until one answers; who is
// silent is left after a second. Then it asks every controller once more, for the contact time in all: each
// answer must be the newest, too (rule "history").
func (w *World) readBack() {
	o := w.operator("reader")
	defer o.p.Kill()
	w.note(func(r *Record) { r.ReadAt = w.now() })
	turn := some(w, w.controllers(), len(w.controllers()))
	for n, until := 0, w.now()+3*w.Shape.Bounds.Contact; w.now() < until; n++ {
		m := turn[n%len(turn)]
		got, err := o.current(m)
		if err != nil {
			if errors.Is(err, context.Canceled) {
				return
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		w.note(func(r *Record) { r.Read = got })
		break
	}
	for _, m := range turn {
		o.ask(m)
		time.Sleep(w.Shape.Bounds.Contact / time.Duration(len(turn)))
	}
}

// current asks a machine for what stands, and waits for a second.
func (o *operator) current(m *Machine) ([]item.Item, error) {
	cx, end := context.WithTimeout(o.w.ctx, time.Second)
	defer end()
	st, err := simnet.RemoteCall(cx, o.p, m.innerAddr(), func(cx context.Context, _ *simnet.Proc) (control.Configuration, error) {
		n := m.node()
		if n == nil {
			return control.Configuration{}, net.ErrClosed
		}
		cx, end := context.WithTimeout(cx, 3*time.Second)
		defer end()
		return n.Current(cx)
	})
	return itemsOf(control.Change{Routes: st.Routes, Services: st.Services, Limits: st.Limits}), err
}

// ask notes what a machine says that stands; one that can't be sure says nothing.
func (o *operator) ask(m *Machine) {
	from := o.w.now()
	got, err := o.current(m)
	if err != nil {
		return
	}
	to := o.w.now()
	o.w.note(func(r *Record) { r.Reads = append(r.Reads, ConfigRead{from, to, got}) })
}
