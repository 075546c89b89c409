package sim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/commands"
	"walkrudder/internal/spec"
)

func service(name string) []spec.Edit {
	return []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: name}}}
}

// raised is a small world that has formed, for tests that fail nothing.
func raised(t *testing.T, f func(ctx context.Context, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(1, Small())
		defer w.End()
		w.Start()
		if err := w.Form(15 * time.Second); err != nil {
			t.Fatal(err)
		}
		f(w.ctx, w)
	})
}

func TestOrdersOfTwoOperators(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		m1, m2, m4 := w.Node("m1"), w.Node("m2"), w.Node("m4")
		one := uint64(1)
		// Both saw version 1; they order at once through different minds.
		back := make(chan commands.Result, 2)
		for i, m := range []*Node{m1, m2} {
			go func() {
				r, _ := w.Order(ctx, m, commands.Order{Base: &one, Token: string('a' + rune(i)), Edits: service("s" + string('a'+rune(i)))})
				back <- r
			}()
		}
		x, y := <-back, <-back
		if x.Outcome == commands.Conflict {
			x, y = y, x
		}
		if x.Outcome != commands.InForce || x.Version != 2 || y.Outcome != commands.Conflict || y.Version != 2 {
			t.Errorf("one should win and the other be told version 2: %+v %+v", x, y)
		}
		// Without a base both go through, one after the other.
		for i, m := range []*Node{m1, m2} {
			go func() {
				r, _ := w.Order(ctx, m, commands.Order{Edits: service("t" + string('a'+rune(i)))})
				back <- r
			}()
		}
		if x, y = <-back, <-back; x.Outcome != commands.InForce || y.Outcome != commands.InForce || x.Version+y.Version != 7 {
			t.Errorf("%+v %+v", x, y)
		}
		// The same order again, through a mind that never saw it.
		o := commands.Order{Token: "again", Edits: service("u")}
		first, _ := w.Order(ctx, m1, o)
		again, _ := w.Order(ctx, m4, o)
		if first.Version != 5 || again.Version != 5 || !again.Again || first.Again {
			t.Errorf("%+v, then %+v", first, again)
		}
		// Invalid and dry orders leave no trace.
		bad, _ := w.Order(ctx, m2, commands.Order{Edits: append(service("v"), spec.Edit{Op: spec.DropBinding, Name: "none"})})
		dry, _ := w.Order(ctx, m2, commands.Order{Dry: true, Edits: service("v")})
		if bad.Outcome != commands.Invalid || len(bad.Problems) != 1 || dry.Outcome != commands.Valid {
			t.Errorf("%+v %+v", bad, dry)
		}
		f, err := m4.Mind().Book.Refresh(ctx)
		if err != nil || f.N != 5 {
			t.Errorf("version %d, %v", f.N, err)
		}
		for _, s := range f.Sheet.Services {
			if s.Name == "v" {
				t.Error("a part of an invalid change, or a dry one, took effect")
			}
		}
		for _, n := range w.Of("flow") {
			if n.Flow().Rack.N() != 5 {
				t.Errorf("%s serves version %d", n.ID, n.Flow().Rack.N())
			}
		}
	})
}

// A flow that starts late, and one that restarts, come up with what is in force.
func TestLateAndRestartedFlows(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		f := w.Node("f2")
		f.Kill()
		if r, _ := w.Order(ctx, w.Node("m1"), commands.Order{Edits: service("late")}); r.Outcome != commands.InForce {
			t.Fatalf("%+v", r)
		}
		f.Start()
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			if _, open := f.Flow().Rack.Gate(); open {
				break
			}
		}
		if tab, open := f.Flow().Rack.Gate(); !open || tab.N != 2 {
			t.Errorf("two seconds after its restart: version %d, open %v", tab.N, open)
		}
		time.Sleep(2 * time.Second) // it gets to know its targets
		// With the core gone all flows serve on; a flow alone does not.
		for _, n := range w.Of("mind") {
			n.Kill()
		}
		time.Sleep(3 * time.Second)
		for _, n := range w.Of("flow") {
			if !n.Flow().Ready() || !n.Flow().Rack.Stranded() {
				t.Errorf("%s: ready %v, stranded %v without the core", n.ID, n.Flow().Ready(), n.Flow().Rack.Stranded())
			}
		}
		for _, n := range w.Of("flow") {
			if n.ID != "f1" {
				n.Kill()
			}
		}
		time.Sleep(3 * time.Second)
		if w.Node("f1").Flow().Ready() {
			t.Error("a flow that reaches nobody says that it is ready")
		}
	})
}
