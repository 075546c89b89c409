package sim

import (
	"context"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/commands"
	"walkrudder/internal/ledger"
	"walkrudder/internal/membership"
	"walkrudder/internal/registry"
	"walkrudder/tools/stand"
)

// mute cuts what a target says off from the nodes named.
func (w *World) mute(x *Target, nodes ...*Node) {
	for _, n := range nodes {
		w.Net.Cut(x.ID, n.ID)
	}
}

// noted counts the ledger's notes of a kind, about one target or, for nil, about all.
func (w *World) noted(ctx context.Context, t *testing.T, kind string, x *Target) int {
	t.Helper()
	for _, n := range w.Of("controller") {
		if m := n.Controller(); m != nil && !n.Frozen() {
			p, err := m.Speaker.Asker.Picture(ctx)
			if err != nil {
				continue
			}
			return lo.CountBy(p.Decisions, func(n ledger.Note) bool {
				return n.Kind == kind && (x == nil || n.Target != nil && n.Target.ID == x.ID)
			})
		}
	}
	t.Fatal("no picture")
	return 0
}

// warden is the controller that holds the duty.
func (w *World) warden() *Node {
	for _, n := range w.Of("controller") {
		if m := n.Controller(); m != nil && m.Tenant.Holds(commands.Duty) {
			return n
		}
	}
	return nil
}

// Whoever takes the warden's duty over starts from the ledger: what stands suspected
// is not noted again, and is noted as trusted once it beats.
func TestWardenStartsFromTheLedger(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		time.Sleep(12 * time.Second)
		x := w.Targets[1]
		w.mute(x, w.Nodes...)
		time.Sleep(8 * time.Second)
		if n := w.noted(ctx, t, ledger.NoteSuspect, x); n != 1 {
			t.Fatalf("noted as suspected %d times", n)
		}
		// Lost, and regained by whoever comes: twice.
		for range 2 {
			old := w.warden()
			old.Kill()
			time.Sleep(4 * time.Second)
			if w.warden() == nil {
				t.Fatal("nobody holds the duty")
			}
			old.Start()
			time.Sleep(time.Second)
		}
		if n := w.noted(ctx, t, ledger.NoteSuspect, x); n != 1 {
			t.Errorf("after the duty moved: noted as suspected %d times", n)
		}
		w.Net.Mend(x.ID)
		time.Sleep(5 * time.Second)
		if n := w.noted(ctx, t, ledger.NoteTrust, x); n != 1 {
			t.Errorf("beats again, and noted as trusted %d times", n)
		}
	})
}

// A target that reaches only one controller, and a home that hears of nobody, make no
// suspicion: the least silence that any controller has met counts, and nobody is let go.
func TestBeatsThatReachOnlySome(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		time.Sleep(12 * time.Second)
		ms := lo.Map(w.Of("controller"), func(n *Node, _ int) membership.Member {
			return membership.Member{ID: n.ID, Kind: "controller", Zone: n.Zone}
		})
		deaf := registry.Homes("orders", ms)[0].ID
		for _, n := range w.Of("controller") {
			if n.ID != deaf {
				w.Net.Cut(n.ID, deaf)
			}
		}
		for _, x := range w.Targets {
			w.mute(x, w.Node(deaf))
		}
		// A beat that reaches nobody is the target's to repeat; this one's goes to one
		// controller of two that hear.
		others := lo.Filter(w.Of("controller"), func(n *Node, _ int) bool { return n.ID != deaf })
		w.mute(w.Targets[0], others[1:]...)
		time.Sleep(60 * time.Second)
		if n := w.noted(ctx, t, ledger.NoteSuspect, nil); n > 1 {
			t.Errorf("%d suspicions", n)
		}
		if n := w.noted(ctx, t, ledger.NoteGone, nil); n != 0 {
			t.Errorf("%d let go", n)
		}
	})
}

// Where the fault is ours nobody is let go, and hardly anybody suspected: a frozen
// controller, a frozen gateway, all controllers frozen at once, a zone cut off.
func TestOwnFaultsMakeNoSuspicion(t *testing.T) {
	t.Parallel()
	all := func(w *World, do func(*Node)) {
		for _, n := range w.Of("controller") {
			do(n)
		}
	}
	for name, x := range map[string]struct{ begin, end func(*World) }{
		"frozen warden":      {func(w *World) { w.warden().Freeze() }, func(w *World) { all(w, (*Node).Thaw) }},
		"frozen gateway":     {func(w *World) { w.Node("f1").Freeze() }, func(w *World) { w.Node("f1").Thaw() }},
		"frozen controllers": {func(w *World) { all(w, (*Node).Freeze) }, func(w *World) { all(w, (*Node).Thaw) }},
		"zone cut off":       {func(w *World) { w.part("z1", 8*time.Second, func(n *Node) bool { return n.Zone == "z1" }) }, func(*World) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raised(t, func(ctx context.Context, w *World) {
				w.Go(w.Platform)
				cx, end := context.WithTimeout(ctx, 70*time.Second)
				defer end()
				done := make(chan struct{})
				go func() { w.Callers(cx, 20); close(done) }()
				time.Sleep(12 * time.Second)
				for range 3 {
					x.begin(w)
					time.Sleep(8 * time.Second)
					x.end(w)
					time.Sleep(6 * time.Second)
				}
				wrong, gone := w.noted(ctx, t, ledger.NoteSuspect, nil), w.noted(ctx, t, ledger.NoteGone, nil)
				<-done
				v := w.Rec.Check()
				t.Logf("%d wrong suspicions, %d let go, %d calls, %v", wrong, gone, v.Calls, v.Classes)
				if gone > 0 || wrong > 0 || len(v.Violations) > 0 {
					t.Errorf("%d wrong suspicions, %d let go, %v", wrong, gone, v.Violations)
				}
			})
		})
	}
}

// What left as announced, and what is lost for good and let go, is forgotten by gateways,
// and the picture keeps why.
func TestRemovedAndLostForGood(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		w.Go(w.Platform)
		cx, end := context.WithTimeout(ctx, 55*time.Second)
		defer end()
		done := make(chan struct{})
		go func() { w.Callers(cx, 20); close(done) }()
		time.Sleep(12 * time.Second)
		lost, left := w.Targets[1], w.Targets[6]
		lost.Crash()
		w.depart(left, 2*time.Second)
		<-done
		if n := w.noted(ctx, t, ledger.NoteGone, lost); n != 1 {
			t.Errorf("lost for good, and let go %d times", n)
		}
		for _, n := range w.Of("gateway") {
			for _, s := range append(n.Gateway().Roster.Of("orders"), n.Gateway().Roster.Of("records")...) {
				if s.ID == lost.ID {
					t.Errorf("%s still knows %s", n.ID, s.ID)
				}
			}
		}
		if v := w.Rec.Check(); len(v.Violations) > 0 || v.Refusals > 0 || len(w.Rec.Leaves) != 1 {
			t.Errorf("%v %v", v.Violations, v.RefusalReasons)
		}
		// Its address goes to a new machine, which serves.
		x := &Target{w: w, ID: "orders-new", Service: "orders", Zone: lost.Zone, Addr: lost.Addr, rnd: lost.rnd}
		w.Targets = append(w.Targets, x)
		x.Start()
		time.Sleep(3 * time.Second)
		cx, end = context.WithTimeout(ctx, 10*time.Second)
		defer end()
		w.Callers(cx, 40)
		if !lo.ContainsBy(w.Rec.Execs, func(e stand.Exec) bool { return e.Target == x.ID }) {
			t.Error("a new machine at the address of a lost one got nothing")
		}
	})
}
