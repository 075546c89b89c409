package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/commands"
	"walkrudder/internal/ledger"
	"walkrudder/internal/quorum"
	"walkrudder/internal/spec"
	"walkrudder/tools/stand"
)

func service(name string) []spec.Edit {
	return []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: name}}}
}

// raised is a small world that has formed, for tests that fail nothing.
func raised(t *testing.T, f func(ctx context.Context, w *World)) {
	t.Helper()
	raisedAs(t, Small(), f)
}

func raisedAs(t *testing.T, s Shape, f func(ctx context.Context, w *World)) {
	t.Helper()
	bubble(t, func(t *testing.T) { raisedIn(t, s, f) })
}

func raisedIn(t *testing.T, s Shape, f func(ctx context.Context, w *World)) {
	w := New(1, s)
	if *loud {
		w.Say = t.Logf
	}
	defer w.End()
	w.Start()
	if err := w.Form(15 * time.Second); err != nil {
		t.Fatal(err)
	}
	f(w.ctx, w)
}

func TestOrdersOfTwoOperators(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		m1, m2, m4 := w.Node("m1"), w.Node("m2"), w.Node("m4")
		one := uint64(1)
		// Both saw version 1; they order at once through different controllers.
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
		// The same order again, through a controller that never saw it.
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
		f, err := m4.Controller().Book.Refresh(ctx)
		if err != nil || f.N != 5 {
			t.Errorf("version %d, %v", f.N, err)
		}
		for _, s := range f.Sheet.Services {
			if s.Name == "v" {
				t.Error("a part of an invalid change, or a dry one, took effect")
			}
		}
		for _, n := range w.Of("gateway") {
			if n.Gateway().Rack.N() != 5 {
				t.Errorf("%s serves version %d", n.ID, n.Gateway().Rack.N())
			}
		}
	})
}

// A change that waits tells for whom: the gateway that holds a lease and does not answer.
func TestWaitTellsForWhom(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		// Its asks pass, so that its lease is renewed; what it answers others does not.
		for _, n := range w.Of("controller") {
			if n.Disk == nil {
				w.Net.Cut(n.ID, "f2")
			}
		}
		m4 := w.Node("m4").Controller()
		cx, end := context.WithTimeout(ctx, 4*time.Second)
		defer end()
		if r := m4.Changer.Change(cx, commands.Order{Edits: service("s")}); r.Outcome != commands.Unknown || !strings.Contains(r.Why, "waiting for f2") {
			t.Errorf("%+v", r)
		}
		cx, end = context.WithTimeout(ctx, 2*time.Second)
		defer end()
		if _, err := m4.Speaker.Say(cx, "wait for 9"); err == nil {
			t.Error("a version that nobody decided is in force")
		}
	})
}

// A gateway that starts late, and one that restarts, come up with what is in force.
func TestLateAndRestartedGateways(t *testing.T) {
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
			if _, open := f.Gateway().Rack.Gate(); open {
				break
			}
		}
		if tab, open := f.Gateway().Rack.Gate(); !open || tab.N != 2 {
			t.Errorf("two seconds after its restart: version %d, open %v", tab.N, open)
		}
		time.Sleep(2 * time.Second) // it gets to know its targets
		// With the core gone all gateways serve on; a gateway alone does not.
		for _, n := range w.Of("controller") {
			n.Kill()
		}
		time.Sleep(3 * time.Second)
		for _, n := range w.Of("gateway") {
			if !n.Gateway().Ready() || !n.Gateway().Rack.Stranded() {
				t.Errorf("%s: ready %v, stranded %v without the core", n.ID, n.Gateway().Ready(), n.Gateway().Rack.Stranded())
			}
		}
		for _, n := range w.Of("gateway") {
			if n.ID != "f1" {
				n.Kill()
			}
		}
		time.Sleep(3 * time.Second)
		if w.Node("f1").Gateway().Ready() {
			t.Error("a gateway that reaches nobody says that it is ready")
		}
	})
}

// With the core down and half of the gateways down with it, the other half serves reads:
// who refuses links is not up. Where the others are silent they may be up, and have the
// core.
func TestHalfOfTheGatewaysServes(t *testing.T) {
	t.Parallel()
	for how, ready := range map[string]bool{"killed": true, "silent": false} {
		t.Run(how, func(t *testing.T) {
			raised(t, func(ctx context.Context, w *World) {
				time.Sleep(2 * time.Second)
				left := w.Of("gateway")[:2]
				for _, n := range w.In() {
					switch {
					case n == left[0] || n == left[1]:
					case how == "killed":
						n.Kill()
					default:
						n.Freeze()
					}
				}
				time.Sleep(2500 * time.Millisecond)
				for _, n := range left {
					if got := n.Gateway().Ready(); got != ready {
						t.Errorf("%s: ready %v", n.ID, got)
					}
				}
				left[0].looked.Store(true)
				if o := w.call(kinds[1], "read", ""); ready && o.Status != 200 {
					t.Errorf("a read: %+v", o)
				}
			})
		})
	}
}

// What became of a call is told by any controller, from the gateway that it came to.
func TestWhyOfACall(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		for _, x := range w.Targets {
			x.Set(stand.ClosingAfterRun)
		}
		var o stand.Outcome
		for i := 0; !o.Forwarded && i < 20; i++ {
			o = w.through("f3", fmt.Sprint("lost", i))
		}
		say := func(s string) string {
			r, err := w.Node("m4").Controller().Speaker.Say(ctx, s)
			b, _ := json.Marshal(r)
			return fmt.Sprint(string(b), err)
		}
		for _, want := range []string{`"step":"claim"`, `"step":"send","mate":"orders/orders-`, `"step":"send failed"`, "outcome unknown: the target took the request and gave no answer"} {
			if got := say("why call " + o.Call); !strings.Contains(got, want) {
				t.Errorf("%s is not told: %s", want, got)
			}
		}
		for call, want := range map[string]string{"f3-1-zzz": "not among the calls", "f9-1-1": "no lease", "f3-7-1": "has ended", "f3": "no call"} {
			if got := say("why call " + call); !strings.Contains(got, want) {
				t.Errorf("why call %s: %s", call, got)
			}
		}
	})
}

// A seat is given to the disk that stands by, and a node is drained, by hand.
func TestSwapAndDrainByHand(t *testing.T) {
	t.Parallel()
	raisedAs(t, Shape{Zones: 4, Disks: 4, Controllers: 4, Gateways: 3, Targets: map[string]int{"orders": 2, "records": 2}}, func(ctx context.Context, w *World) {
		say := func(s string) error {
			_, err := w.Node("m2").Controller().Speaker.Say(ctx, s)
			return err
		}
		seat := func(id string) bool {
			_, ok := w.Node("m2").Controller().Prop.Core().Seat(id)
			return ok
		}
		var out, in string
		for _, n := range w.Disks() {
			if n.ID == "m2" {
				continue
			}
			if seat(n.ID) {
				out = n.ID
			} else {
				in = n.ID
			}
		}
		for _, bad := range []string{"swap disk " + in + " for " + out, "swap disk " + out + " for nobody", "drain node nobody"} {
			if say(bad) == nil {
				t.Errorf("%q was taken", bad)
			}
		}
		if err := say("swap disk " + out + " for " + in); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		if seat(out) || !seat(in) {
			t.Errorf("%s still has its seat, or %s has none: %+v", out, in, w.Node("m2").Controller().Prop.Core())
		}
		w.Node(out).Kill()
		if r, _ := w.Order(ctx, w.Node("m2"), commands.Order{Edits: service("after")}); r.Outcome != commands.InForce {
			t.Errorf("without the machine that was swapped out: %+v", r)
		}
		// The machine comes back and stands by; the wish does not turn things round.
		w.Node(out).Start()
		time.Sleep(5 * time.Second)
		if seat(out) || !seat(in) {
			t.Errorf("the seat went back: %+v", w.Node("m2").Controller().Prop.Core())
		}
		f := w.Node("f2").Gateway()
		if err := say("drain node f2"); err != nil || f.Ready() {
			t.Errorf("drained: ready %v, %v", f.Ready(), err)
		}
		if err := say("resume node f2"); err != nil || !f.Ready() {
			t.Errorf("resumed: ready %v, %v", f.Ready(), err)
		}
	})
}

// Guards against a seat that passes on to a zone which has one already while a disk of its own zone stands by: the
// first disk that was known got it.
func TestASilentSeatStaysInItsZone(t *testing.T) {
	t.Parallel()
	raisedAs(t, Shape{Zones: 3, Disks: 6, Controllers: 6, Gateways: 3, Targets: map[string]int{"orders": 2}}, func(_ context.Context, w *World) {
		// core is the newest that a controller knows.
		core := func() (core quorum.Core) {
			for _, n := range w.Disks() {
				if m := n.Controller(); m != nil && m.Prop.Core().Epoch > core.Epoch {
					core = m.Prop.Core()
				}
			}
			return core
		}
		zones := func() (zones []string) {
			for _, s := range core().Seats {
				zones = append(zones, s.Zone)
			}
			slices.Sort(zones)
			return slices.Compact(zones)
		}
		if len(zones()) != 3 {
			t.Fatalf("a core in %v", zones())
		}
		for _, s := range core().Seats {
			w.Node(s.ID).Kill()
			time.Sleep(20 * time.Second)
			now := core()
			if _, has := now.Seat(s.ID); has || len(zones()) != 3 {
				t.Errorf("after %s of %s was gone: %+v", s.ID, s.Zone, now.Seats)
			}
			w.Node(s.ID).Start()
			time.Sleep(5 * time.Second)
		}
	})
}

// What is older than decisions are kept goes; what stands stays, also for controllers that
// fold it anew.
func TestOldDecisionsGo(t *testing.T) {
	t.Parallel()
	s := Tiny()
	s.Keep = 20 * time.Second
	raisedAs(t, s, func(ctx context.Context, w *World) {
		n := uint64(1)
		order := func(k int) {
			for range k {
				r, _ := w.Order(ctx, w.Node("m1"), commands.Order{Edits: service(fmt.Sprint("s", n%5))})
				if n++; r.Outcome != commands.InForce || r.Version != n {
					t.Fatalf("%+v, want version %d", r, n)
				}
			}
		}
		order(150)
		time.Sleep(30 * time.Second)
		order(20)
		time.Sleep(30 * time.Second)
		cs, err := w.Node("m2").Controller().Book.Changes(ctx)
		if err != nil || len(cs) == 0 || cs[0].N != 128 || cs[len(cs)-1].N != n {
			t.Fatalf("%d changes, first %+v, %v", len(cs), cs[0].N, err)
		}
		ns, err := w.Node("m2").Controller().Book.Notes(ctx, ledger.FlipPrefix)
		if err != nil || len(ns) == 0 || ns[0].N < 128 {
			t.Errorf("%d notes of versions in force, %v", len(ns), err)
		}
		for _, m := range w.Of("controller") {
			m.Kill()
			m.Start()
		}
		time.Sleep(3 * time.Second)
		order(3)
		f, err := w.Node("m3").Controller().Book.Refresh(ctx)
		if err != nil || f.N != n || len(f.Sheet.Services) != 7 || len(f.Sheet.Bindings) != len(kinds) {
			t.Errorf("folded anew: version %d with %d services, %v", f.N, len(f.Sheet.Services), err)
		}
	})
}
