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

// cutFromTarget cuts the direction from a target to the given nodes.
func (w *World) cutFromTarget(x *Target, nodes ...*Node) {
	for _, n := range nodes {
		w.Net.Cut(x.ID, n.ID)
	}
}

// countNotes counts the ledger's notes of a kind, about one target or, for nil, about all.
func (w *World) countNotes(ctx context.Context, t *testing.T, kind string, x *Target) int {
	t.Helper()
	for _, n := range w.NodesOfKind("controller") {
		if m := n.Controller(); m != nil && !n.Frozen() {
			p, err := m.Statements.Queries.FullState(ctx)
			if err != nil {
				continue
			}
			return lo.CountBy(p.Decisions, func(n ledger.Note) bool {
				return n.Kind == kind && (x == nil || n.Target != nil && n.Target.ID == x.ID)
			})
		}
	}
	t.Fatal("no controller returned the full state")
	return 0
}

// supervisor returns the controller that holds the supervisor's duty, nil if none does.
func (w *World) supervisor() *Node {
	for _, n := range w.NodesOfKind("controller") {
		if m := n.Controller(); m != nil && m.Membership.HoldsDuty(commands.SupervisorDuty) {
			return n
		}
	}
	return nil
}

// A controller that takes over the supervisor's duty must start from the ledger: a target that
// is suspected already is not noted again, and is noted as trusted once its heartbeats return.
func TestWardenStartsFromTheLedger(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		time.Sleep(12 * time.Second)
		x := w.Targets[1]
		w.cutFromTarget(x, w.Nodes...)
		time.Sleep(8 * time.Second)
		if n := w.countNotes(ctx, t, ledger.NoteSuspect, x); n != 1 {
			t.Fatalf("noted as suspected %d times", n)
		}
		// The duty is lost twice, and each time taken over by any other controller.
		for range 2 {
			old := w.supervisor()
			old.Kill()
			time.Sleep(4 * time.Second)
			if w.supervisor() == nil {
				t.Fatal("no controller holds the supervisor's duty")
			}
			old.Start()
			time.Sleep(time.Second)
		}
		if n := w.countNotes(ctx, t, ledger.NoteSuspect, x); n != 1 {
			t.Errorf("after the duty moved: noted as suspected %d times", n)
		}
		w.Net.Restore(x.ID)
		time.Sleep(5 * time.Second)
		if n := w.countNotes(ctx, t, ledger.NoteTrust, x); n != 1 {
			t.Errorf("heartbeats returned, and noted as trusted %d times", n)
		}
	})
}

// A target that reaches only one controller, and a home controller that receives no heartbeats,
// must not cause suspicions: the shortest silence that any controller has seen counts, and no
// target is removed.
func TestBeatsThatReachOnlySome(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		time.Sleep(12 * time.Second)
		controllers := lo.Map(w.NodesOfKind("controller"), func(n *Node, _ int) membership.Member {
			return membership.Member{ID: n.ID, Kind: "controller", Zone: n.Zone}
		})
		cutOffID := registry.Homes("orders", controllers)[0].ID
		for _, n := range w.NodesOfKind("controller") {
			if n.ID != cutOffID {
				w.Net.Cut(n.ID, cutOffID)
			}
		}
		for _, x := range w.Targets {
			w.cutFromTarget(x, w.Node(cutOffID))
		}
		// A target repeats a heartbeat that no controller received, so this one still
		// reaches one controller.
		others := lo.Filter(w.NodesOfKind("controller"), func(n *Node, _ int) bool { return n.ID != cutOffID })
		w.cutFromTarget(w.Targets[0], others[1:]...)
		time.Sleep(60 * time.Second)
		if n := w.countNotes(ctx, t, ledger.NoteSuspect, nil); n > 1 {
			t.Errorf("%d suspicions", n)
		}
		if n := w.countNotes(ctx, t, ledger.NoteGone, nil); n != 0 {
			t.Errorf("%d targets removed", n)
		}
	})
}

// When the fault is the gateway's own, no target may be removed or suspected: a frozen
// controller, a frozen gateway, all controllers frozen at once, a zone cut off.
func TestOwnFaultsMakeNoSuspicion(t *testing.T) {
	t.Parallel()
	all := func(w *World, do func(*Node)) {
		for _, n := range w.NodesOfKind("controller") {
			do(n)
		}
	}
	for name, x := range map[string]struct{ begin, end func(*World) }{
		"frozen warden":      {func(w *World) { w.supervisor().Freeze() }, func(w *World) { all(w, (*Node).Thaw) }},
		"frozen gateway":     {func(w *World) { w.Node("f1").Freeze() }, func(w *World) { w.Node("f1").Thaw() }},
		"frozen controllers": {func(w *World) { all(w, (*Node).Freeze) }, func(w *World) { all(w, (*Node).Thaw) }},
		"zone cut off":       {func(w *World) { w.partition("z1", 8*time.Second, func(n *Node) bool { return n.Zone == "z1" }) }, func(*World) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withWorld(t, func(ctx context.Context, w *World) {
				w.Go(w.PollReadiness)
				callCtx, cancel := context.WithTimeout(ctx, 70*time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() { w.RunCallers(callCtx, 20); close(done) }()
				time.Sleep(12 * time.Second)
				for range 3 {
					x.begin(w)
					time.Sleep(8 * time.Second)
					x.end(w)
					time.Sleep(6 * time.Second)
				}
				wrong, gone := w.countNotes(ctx, t, ledger.NoteSuspect, nil), w.countNotes(ctx, t, ledger.NoteGone, nil)
				<-done
				v := w.Records.Check()
				t.Logf("%d wrong suspicions, %d targets removed, %d calls, %v", wrong, gone, v.Calls, v.Classes)
				if gone > 0 || wrong > 0 || len(v.Violations) > 0 {
					t.Errorf("%d wrong suspicions, %d targets removed, %v", wrong, gone, v.Violations)
				}
			})
		})
	}
}

// Gateways must forget a target that left as announced, and one that is lost for good and was
// removed; the full state must keep the reason.
func TestRemovedAndLostForGood(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		w.Go(w.PollReadiness)
		callCtx, cancel := context.WithTimeout(ctx, 55*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() { w.RunCallers(callCtx, 20); close(done) }()
		time.Sleep(12 * time.Second)
		lost, left := w.Targets[1], w.Targets[6]
		lost.Crash()
		w.drainAndStop(left, 2*time.Second)
		<-done
		if n := w.countNotes(ctx, t, ledger.NoteGone, lost); n != 1 {
			t.Errorf("lost for good, and noted as removed %d times", n)
		}
		for _, n := range w.NodesOfKind("gateway") {
			for _, s := range append(n.Gateway().Targets.Targets("orders"), n.Gateway().Targets.Targets("records")...) {
				if s.ID == lost.ID {
					t.Errorf("%s still knows %s", n.ID, s.ID)
				}
			}
		}
		if v := w.Records.Check(); len(v.Violations) > 0 || v.Refusals > 0 || len(w.Records.Leaves) != 1 {
			t.Errorf("violations %v, refusals %v", v.Violations, v.RefusalReasons)
		}
		// Its address is given to a new machine, which must be served.
		x := &Target{world: w, ID: "orders-new", Service: "orders", Zone: lost.Zone, Addr: lost.Addr, rng: lost.rng}
		w.Targets = append(w.Targets, x)
		x.Start()
		time.Sleep(3 * time.Second)
		callCtx, cancel = context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		w.RunCallers(callCtx, 40)
		if !lo.ContainsBy(w.Records.Execs, func(e stand.Exec) bool { return e.Target == x.ID }) {
			t.Error("a new machine at the address of a lost one got no requests")
		}
	})
}
