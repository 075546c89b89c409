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

// operator simulates an operator who changes the configuration.
type operator struct {
	world *World
	proc  *simnet.Proc
}

func (w *World) operator(name string) *operator {
	return &operator{w, w.net.Host("op-"+name, zone(w.randIntN(w.Deployment.Zones))).Start(w.ctx, "operator")}
}

// nextVersion returns increasing version numbers with gaps.
func (w *World) nextVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + uint64(w.rng.IntN(9))
	return w.version
}

// maxSendTime is how long an operator resends a change. It is longer than the faults of any day, so that a
// day ends and is checked even if the core acknowledges nothing for that long.
const maxSendTime = 2 * time.Minute

// sendToAny sends the same change to one controller after another until one acknowledges or refuses it, or
// until maxSendTime has passed. It returns the controller that did.
func (o *operator) sendToAny(c control.Change, valid bool) (*ChangeRequest, *Machine) {
	change := o.recordChange(c, valid)
	return change, o.sendUntil(change, c, o.world.controllers(), o.world.now()+maxSendTime)
}

// recordChange records a change before its first attempt.
func (o *operator) recordChange(c control.Change, valid bool) *ChangeRequest {
	w := o.world
	change := &ChangeRequest{Operator: o.proc.Host.ID, Items: changeItems(c), Valid: valid, SentAt: w.now()}
	w.updateRecord(func(r *Record) {
		for _, old := range r.Changes {
			if !old.Acknowledged && slices.ContainsFunc(change.Items, func(i item.Item) bool {
				return slices.ContainsFunc(old.Items, func(j item.Item) bool { return i.Key == j.Key && i.Version > j.Version })
			}) {
				old.Superseded = true
			}
		}
		r.Changes = append(r.Changes, change)
	})
	return change
}

// answered reports whether the change was acknowledged or refused.
func (o *ChangeRequest) answered() bool { return o.Acknowledged || o.Refused }

// sendUntil sends a change to random ones of the given controllers until one acknowledges or refuses it, or
// until a point in time.
func (o *operator) sendUntil(change *ChangeRequest, c control.Change, to []*Machine, until time.Duration) *Machine {
	w := o.world
	pause := 50 * time.Millisecond
	for !w.isFinished() && w.ctx.Err() == nil && w.now() < until {
		m := pickOne(w, to)
		ctx, cancel := context.WithTimeout(w.ctx, 1500*time.Millisecond)
		ps, err := simnet.RemoteCall(ctx, o.proc, m.internalAddr(), func(ctx context.Context, _ *simnet.Proc) ([]route.Problem, error) {
			n := m.controllerNode()
			if n == nil {
				return nil, net.ErrClosed
			}
			ctx, cancel := context.WithTimeout(ctx, 3500*time.Millisecond)
			defer cancel()
			return n.Apply(ctx, c)
		})
		cancel()
		switch {
		case control.IsConflict(err):
			w.updateRecord(func(*Record) { change.Refused = true })
		case err == nil && len(ps) == 0 && w.drawAckLoss():
			w.updateRecord(func(*Record) { change.AckLost = true })
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
			w.updateRecord(func(*Record) { change.Refused = true })
		default:
			w.updateRecord(func(*Record) { change.Acknowledged, change.AckedAt = true, w.now() })
		}
		return m
	}
	return nil
}

// sendInitialChange declares the whole configuration before the first callers.
func (w *World) sendInitialChange() {
	operator := w.operator("first")
	if x, _ := operator.sendToAny(w.initialChange(), true); !x.Acknowledged {
		w.t.Error("the first configuration was not acknowledged")
	}
	operator.proc.Kill()
}

// rerouteChange returns a change that sends a stream's route to another service, or to two.
func (w *World) rerouteChange() control.Change {
	s := pickOne(w, w.Deployment.Streams[len(w.Deployment.Streams)-2:])
	names := make([]string, 0, len(w.Deployment.Targets))
	for n := range w.Deployment.Targets {
		names = append(names, n)
	}
	slices.Sort(names)
	v := w.nextVersion()
	if w.randIntN(4) == 0 {
		return control.Change{Routes: []route.Route{s.route(v, route.Share{Service: names[0], Weight: 3}, route.Share{Service: names[1], Weight: 1})}}
	}
	return control.Change{Routes: []route.Route{s.route(v, singleShare(pickOne(w, names)))}}
}

// extraRoute returns a route that operators add, move and drop.
func (w *World) extraRoute(name string, version uint64) route.Route {
	to := "orders"
	if version%2 == 0 {
		to = "archive"
	}
	return Stream{Route: name, Repeat: route.Idempotent, LatencyTarget: 400 * time.Millisecond, Priority: 3}.route(version, singleShare(to))
}

// randomEdit returns a change that adds, moves or drops one of a few extra routes. Dropping a route that was
// not added yet is valid too.
func (w *World) randomEdit() (control.Change, string) {
	name := fmt.Sprintf("x%d", w.randIntN(3))
	v := w.nextVersion()
	if w.randIntN(3) == 0 {
		return control.Change{Drops: []control.Drop{{Kind: item.Route, Name: name, Version: v}}}, name
	}
	return control.Change{Routes: []route.Route{w.extraRoute(name, v)}}, name
}

// invalidChange returns a change of which no part may take effect.
func (w *World) invalidChange() control.Change {
	v := w.nextVersion()
	bad := w.extraRoute("bad", v)
	bad.Prefix = "/x0/"
	switch w.randIntN(5) {
	case 0:
		bad.Shares = []route.Share{singleShare("nowhere")}
	case 1:
		bad.Prefix = "x0/"
	case 2:
		bad.Shares = []route.Share{{Service: "orders", Weight: -1}, {Service: "archive", Weight: 2}}
	case 3:
		bad.HoldMS = route.MaxHoldMS + 1
	default:
		// The path prefix of another route.
		bad.Prefix = "/" + w.Deployment.Streams[0].Route + "/"
	}
	// A valid route in the same change may not take effect either.
	good := w.extraRoute("never", v)
	return control.Change{Routes: []route.Route{good, bad}}
}

// probeMachines sends a request for a route to every machine in rotation, which reveals the configuration in effect there.
func (o *operator) probeMachines(name string) {
	w := o.world
	for _, m := range w.Machines {
		if in, _ := m.rotationState(); !in {
			continue
		}
		w.activities.Go(func() {
			deadline := time.Now().Add(time.Second)
			s, err := w.dial(o.proc, m, deadline)
			if err != nil {
				return
			}
			w.exchange(s, &Request{ID: w.newID("q-"), Method: "GET", Path: "/" + name + "/" + w.newID("p"), Host: requestHost, Route: name, Probe: true}, deadline)
			_ = s.conn.Close()
		})
	}
}

// probeRepeatedly probes the machines several times, before and after the apply bound.
func (o *operator) probeRepeatedly(name string) {
	w := o.world
	w.activities.Go(func() {
		for range 12 {
			time.Sleep(300*time.Millisecond + w.randDuration(200*time.Millisecond))
			if w.isFinished() {
				return
			}
			o.probeMachines(name)
		}
	})
}

// readFinalConfiguration reads the configuration from one controller after another until one answers, waiting
// at most a second for each. Then it asks every controller once more, spread over Bounds.Contact in all: each of
// these answers must be the newest, too (rule "history").
func (w *World) readFinalConfiguration() {
	o := w.operator("reader")
	defer o.proc.Kill()
	w.updateRecord(func(r *Record) { r.FinalReadAt = w.now() })
	shuffled := pickN(w, w.controllers(), len(w.controllers()))
	for n, until := 0, w.now()+3*w.Deployment.Bounds.Contact; w.now() < until; n++ {
		m := shuffled[n%len(shuffled)]
		got, err := o.readConfiguration(m)
		if err != nil {
			if errors.Is(err, context.Canceled) {
				return
			}
			time.Sleep(200 * time.Millisecond)
			continue
		}
		w.updateRecord(func(r *Record) { r.FinalRead = got })
		break
	}
	for _, m := range shuffled {
		o.recordRead(m)
		time.Sleep(w.Deployment.Bounds.Contact / time.Duration(len(shuffled)))
	}
}

// readConfiguration reads the configuration from a machine, waiting at most a second.
func (o *operator) readConfiguration(m *Machine) ([]item.Item, error) {
	ctx, cancel := context.WithTimeout(o.world.ctx, time.Second)
	defer cancel()
	configuration, err := simnet.RemoteCall(ctx, o.proc, m.internalAddr(), func(ctx context.Context, _ *simnet.Proc) (control.Configuration, error) {
		n := m.controllerNode()
		if n == nil {
			return control.Configuration{}, net.ErrClosed
		}
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		return n.Current(ctx)
	})
	return changeItems(control.Change{Routes: configuration.Routes, Services: configuration.Services, Limits: configuration.Limits}), err
}

// recordRead records the configuration that a machine returns, and nothing if the machine can't confirm it.
func (o *operator) recordRead(m *Machine) {
	from := o.world.now()
	got, err := o.readConfiguration(m)
	if err != nil {
		return
	}
	to := o.world.now()
	o.world.updateRecord(func(r *Record) { r.Reads = append(r.Reads, ConfigRead{from, to, got}) })
}
