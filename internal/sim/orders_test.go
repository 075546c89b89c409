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

func putService(name string) []spec.Edit {
	return []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: name}}}
}

// withWorld runs f with a small deployment that is ready, for tests without random failures.
func withWorld(t *testing.T, f func(ctx context.Context, w *World)) {
	t.Helper()
	withShape(t, Small(), f)
}

func withShape(t *testing.T, s Shape, f func(ctx context.Context, w *World)) {
	t.Helper()
	inBubble(t, func(t *testing.T) { runWorld(t, s, f) })
}

func runWorld(t *testing.T, s Shape, f func(ctx context.Context, w *World)) {
	w := New(1, s)
	if *verbose {
		w.Logf = t.Logf
	}
	defer w.End()
	w.Start()
	if err := w.WaitReady(15 * time.Second); err != nil {
		t.Fatal(err)
	}
	f(w.ctx, w)
}

func TestOrdersOfTwoOperators(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		m1, m2, m4 := w.Node("m1"), w.Node("m2"), w.Node("m4")
		one := uint64(1)
		// Both operators saw version 1 and send a change at once through different controllers.
		results := make(chan commands.Result, 2)
		for i, m := range []*Node{m1, m2} {
			go func() {
				r, _ := w.SendChange(ctx, m, commands.Order{Base: &one, Token: string('a' + rune(i)), Edits: putService("s" + string('a'+rune(i)))})
				results <- r
			}()
		}
		x, y := <-results, <-results
		if x.Outcome == commands.Conflict {
			x, y = y, x
		}
		if x.Outcome != commands.InForce || x.Version != 2 || y.Outcome != commands.Conflict || y.Version != 2 {
			t.Errorf("one change should win and the other get a conflict with version 2: %+v %+v", x, y)
		}
		// Without a base version both succeed, one after the other.
		for i, m := range []*Node{m1, m2} {
			go func() {
				r, _ := w.SendChange(ctx, m, commands.Order{Edits: putService("t" + string('a'+rune(i)))})
				results <- r
			}()
		}
		if x, y = <-results, <-results; x.Outcome != commands.InForce || y.Outcome != commands.InForce || x.Version+y.Version != 7 {
			t.Errorf("two changes without a base version: %+v %+v", x, y)
		}
		// The same change again, through a controller that has not seen it.
		o := commands.Order{Token: "again", Edits: putService("u")}
		first, _ := w.SendChange(ctx, m1, o)
		again, _ := w.SendChange(ctx, m4, o)
		if first.Version != 5 || again.Version != 5 || !again.Duplicate || first.Duplicate {
			t.Errorf("a change and its resend: %+v, then %+v", first, again)
		}
		// Invalid changes and dry runs have no effect.
		bad, _ := w.SendChange(ctx, m2, commands.Order{Edits: append(putService("v"), spec.Edit{Op: spec.RemoveBinding, Name: "none"})})
		dry, _ := w.SendChange(ctx, m2, commands.Order{DryRun: true, Edits: putService("v")})
		if bad.Outcome != commands.Invalid || len(bad.Problems) != 1 || dry.Outcome != commands.Valid {
			t.Errorf("an invalid change: %+v; a dry run: %+v", bad, dry)
		}
		f, err := m4.Controller().Ledger.Refresh(ctx)
		if err != nil || f.Version != 5 {
			t.Errorf("the ledger is at version %d, %v", f.Version, err)
		}
		for _, s := range f.Sheet.Services {
			if s.Name == "v" {
				t.Error("part of an invalid change, or of a dry run, took effect")
			}
		}
		for _, n := range w.NodesOfKind("gateway") {
			if n.Gateway().Sheets.Version() != 5 {
				t.Errorf("%s serves version %d", n.ID, n.Gateway().Sheets.Version())
			}
		}
	})
}

// A change that waits must name the gateway it waits for: one that holds a lease and does not
// answer.
func TestWaitTellsForWhom(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		// f2's own requests pass, so that its lease is renewed; requests to f2 don't arrive.
		for _, n := range w.NodesOfKind("controller") {
			if n.Disk == nil {
				w.Net.Cut(n.ID, "f2")
			}
		}
		m4 := w.Node("m4").Controller()
		callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		defer cancel()
		if r := m4.Changer.Apply(callCtx, commands.Order{Edits: putService("s")}); r.Outcome != commands.OutcomeUnknown || !strings.Contains(r.Reason, "waiting for f2") {
			t.Errorf("a change while f2 does not answer: %+v", r)
		}
		callCtx, cancel = context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if _, err := m4.Statements.Execute(callCtx, "wait for 9"); err == nil {
			t.Error("waiting for a version that was never decided succeeded")
		}
	})
}

// Gateways that start late or restart must come up with the version in force.
func TestLateAndRestartedGateways(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		f := w.Node("f2")
		f.Kill()
		if r, _ := w.SendChange(ctx, w.Node("m1"), commands.Order{Edits: putService("late")}); r.Outcome != commands.InForce {
			t.Fatalf("a change while f2 is down: %+v", r)
		}
		f.Start()
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			if _, open := f.Gateway().Sheets.Gate(); open {
				break
			}
		}
		if tab, open := f.Gateway().Sheets.Gate(); !open || tab.Version != 2 {
			t.Errorf("two seconds after its restart: version %d, open %v", tab.Version, open)
		}
		time.Sleep(2 * time.Second) // it learns its targets
		// Without the core all gateways keep serving together; a gateway that is alone doesn't.
		for _, n := range w.NodesOfKind("controller") {
			n.Kill()
		}
		time.Sleep(3 * time.Second)
		for _, n := range w.NodesOfKind("gateway") {
			if !n.Gateway().Ready() || !n.Gateway().Sheets.ServesWithoutLease() {
				t.Errorf("%s: ready %v, serves without a lease %v, while the core is down", n.ID, n.Gateway().Ready(), n.Gateway().Sheets.ServesWithoutLease())
			}
		}
		for _, n := range w.NodesOfKind("gateway") {
			if n.ID != "f1" {
				n.Kill()
			}
		}
		time.Sleep(3 * time.Second)
		if w.Node("f1").Gateway().Ready() {
			t.Error("a gateway that reaches no other node reports ready")
		}
	})
}

// With the core and half of the gateways down, the other half must serve reads, since a node
// that refuses connections is known to be down. Silent gateways may be up and connected to
// the core, so then the other half must not.
func TestHalfOfTheGatewaysServes(t *testing.T) {
	t.Parallel()
	for how, ready := range map[string]bool{"killed": true, "silent": false} {
		t.Run(how, func(t *testing.T) {
			withWorld(t, func(ctx context.Context, w *World) {
				time.Sleep(2 * time.Second)
				remaining := w.NodesOfKind("gateway")[:2]
				for _, n := range w.ActiveNodes() {
					switch {
					case n == remaining[0] || n == remaining[1]:
					case how == "killed":
						n.Kill()
					default:
						n.Freeze()
					}
				}
				time.Sleep(2500 * time.Millisecond)
				for _, n := range remaining {
					if got := n.Gateway().Ready(); got != ready {
						t.Errorf("%s: ready %v", n.ID, got)
					}
				}
				remaining[0].seenReady.Store(true)
				if o := w.call(callKinds[1], "read", ""); ready && o.Status != 200 {
					t.Errorf("a read: %+v", o)
				}
			})
		})
	}
}

// Any controller must be able to report what happened to a call, by asking the gateway that
// received it.
func TestWhyOfACall(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		for _, x := range w.Targets {
			x.SetMode(stand.ClosingAfterRun)
		}
		var o stand.Outcome
		for i := 0; !o.Forwarded && i < 20; i++ {
			o = w.callVia("f3", fmt.Sprint("lost", i))
		}
		execute := func(s string) string {
			r, err := w.Node("m4").Controller().Statements.Execute(ctx, s)
			b, _ := json.Marshal(r)
			return fmt.Sprint(string(b), err)
		}
		for _, want := range []string{`"step":"claim"`, `"step":"send","mate":"orders/orders-`, `"step":"send failed"`, "outcome unknown: the target took the request and gave no answer"} {
			if got := execute("why call " + o.Call); !strings.Contains(got, want) {
				t.Errorf("%s is missing in %s", want, got)
			}
		}
		for call, want := range map[string]string{"f3-1-zzz": "not among the calls", "f9-1-1": "no lease", "f3-7-1": "has ended", "f3": "no call"} {
			if got := execute("why call " + call); !strings.Contains(got, want) {
				t.Errorf("why call %s: %s", call, got)
			}
		}
	})
}

// An operator gives a seat to the standby disk, and drains a node.
func TestSwapAndDrainByHand(t *testing.T) {
	t.Parallel()
	withShape(t, Shape{Zones: 4, Disks: 4, Controllers: 4, Gateways: 3, Targets: map[string]int{"orders": 2, "records": 2}}, func(ctx context.Context, w *World) {
		execute := func(s string) error {
			_, err := w.Node("m2").Controller().Statements.Execute(ctx, s)
			return err
		}
		hasSeat := func(id string) bool {
			_, ok := w.Node("m2").Controller().Proposer.Core().Seat(id)
			return ok
		}
		var out, in string
		for _, n := range w.NodesWithDisk() {
			if n.ID == "m2" {
				continue
			}
			if hasSeat(n.ID) {
				out = n.ID
			} else {
				in = n.ID
			}
		}
		for _, bad := range []string{"swap disk " + in + " for " + out, "swap disk " + out + " for nobody", "drain node nobody"} {
			if execute(bad) == nil {
				t.Errorf("%q was accepted", bad)
			}
		}
		if err := execute("swap disk " + out + " for " + in); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		if hasSeat(out) || !hasSeat(in) {
			t.Errorf("%s still has its seat, or %s has none: %+v", out, in, w.Node("m2").Controller().Proposer.Core())
		}
		w.Node(out).Kill()
		if r, _ := w.SendChange(ctx, w.Node("m2"), commands.Order{Edits: putService("after")}); r.Outcome != commands.InForce {
			t.Errorf("a change without the machine that was swapped out: %+v", r)
		}
		// The machine comes back as a standby; the operator's choice must not be undone.
		w.Node(out).Start()
		time.Sleep(5 * time.Second)
		if hasSeat(out) || !hasSeat(in) {
			t.Errorf("the seat moved back: %+v", w.Node("m2").Controller().Proposer.Core())
		}
		f := w.Node("f2").Gateway()
		if err := execute("drain node f2"); err != nil || f.Ready() {
			t.Errorf("drained: ready %v, %v", f.Ready(), err)
		}
		if err := execute("resume node f2"); err != nil || !f.Ready() {
			t.Errorf("resumed: ready %v, %v", f.Ready(), err)
		}
	})
}

// Guards against a seat that passes on to a zone which already has one while a standby disk of
// its own zone is available: the first known disk used to get it.
func TestASilentSeatStaysInItsZone(t *testing.T) {
	t.Parallel()
	withShape(t, Shape{Zones: 3, Disks: 6, Controllers: 6, Gateways: 3, Targets: map[string]int{"orders": 2}}, func(_ context.Context, w *World) {
		// core returns the newest core that any controller knows.
		core := func() (core quorum.Core) {
			for _, n := range w.NodesWithDisk() {
				if m := n.Controller(); m != nil && m.Proposer.Core().Epoch > core.Epoch {
					core = m.Proposer.Core()
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

// Decisions older than the retention time must be removed; what is in force must stay, also
// for controllers that read the ledger from its start.
func TestOldDecisionsGo(t *testing.T) {
	t.Parallel()
	s := Tiny()
	s.Retention = 20 * time.Second
	withShape(t, s, func(ctx context.Context, w *World) {
		n := uint64(1)
		applyChanges := func(k int) {
			for range k {
				r, _ := w.SendChange(ctx, w.Node("m1"), commands.Order{Edits: putService(fmt.Sprint("s", n%5))})
				if n++; r.Outcome != commands.InForce || r.Version != n {
					t.Fatalf("%+v, want version %d", r, n)
				}
			}
		}
		applyChanges(150)
		time.Sleep(30 * time.Second)
		applyChanges(20)
		time.Sleep(30 * time.Second)
		cs, err := w.Node("m2").Controller().Ledger.Changes(ctx)
		if err != nil || len(cs) == 0 || cs[0].Version != 128 || cs[len(cs)-1].Version != n {
			t.Fatalf("%d changes, first %+v, %v", len(cs), cs[0].Version, err)
		}
		ns, err := w.Node("m2").Controller().Ledger.Notes(ctx, ledger.ActivationPrefix)
		if err != nil || len(ns) == 0 || ns[0].Version < 128 {
			t.Errorf("%d notes of versions in force, %v", len(ns), err)
		}
		for _, m := range w.NodesOfKind("controller") {
			m.Kill()
			m.Start()
		}
		time.Sleep(3 * time.Second)
		applyChanges(3)
		f, err := w.Node("m3").Controller().Ledger.Refresh(ctx)
		if err != nil || f.Version != n || len(f.Sheet.Services) != 7 || len(f.Sheet.Bindings) != len(callKinds) {
			t.Errorf("read from the start of the ledger: version %d with %d services, %v", f.Version, len(f.Sheet.Services), err)
		}
	})
}
