package sim

import (
	"context"
	"testing"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/tools/stand"
)

// callVia sends one order with an idempotency key through the given gateway.
func (w *World) callVia(gateway, order string) stand.Outcome {
	for _, n := range w.NodesOfKind("gateway") {
		n.seenReady.Store(n.ID == gateway)
	}
	return w.call(callKinds[0], order, "")
}

// An order that was executed and whose answer was lost must stay claimed: with the core up,
// while it is down, when it comes back, and when the gateway that sent the order is killed.
func TestKeysOutliveTheCore(t *testing.T) {
	t.Parallel()
	withWorld(t, func(ctx context.Context, w *World) {
		onDiskNodes := func(do func(*Node)) {
			for _, n := range w.NodesWithDisk() {
				do(n)
			}
		}
		setModes := func(m stand.Mode) {
			for _, x := range w.Targets {
				x.SetMode(m)
			}
		}
		// loseAnswer sends orders through f1 until one was executed and its answer was lost.
		loseAnswer := func(name string) string {
			setModes(stand.ClosingAfterRun)
			defer setModes(stand.Healthy)
			for i := range 20 {
				o := name + string(rune('a'+i))
				if r := w.callVia("f1", o); r.Code == httpapi.OutcomeUnknown && r.Forwarded {
					return o
				}
			}
			t.Fatal("no order ended with a lost answer")
			return ""
		}
		expectConflict := func(when, order string, gateways ...string) {
			t.Helper()
			for _, f := range gateways {
				if r := w.callVia(f, order); r.Status != 409 {
					t.Errorf("%s: %s repeated through %s: %d %q %q", when, order, f, r.Status, r.Code, r.Reason)
				}
			}
		}
		before := loseAnswer("before")
		onDiskNodes((*Node).Kill)
		time.Sleep(2 * time.Second)
		expectConflict("the core is down", before, "f2")
		duringOutage := loseAnswer("away")
		expectConflict("the core is down", duringOutage, "f3")
		if r := w.callVia("f4", "fresh"); r.Status != 200 {
			t.Errorf("a new order while the core is down: %d %q %q", r.Status, r.Code, r.Reason)
		}
		w.Node("f1").Kill()
		expectConflict("the core is down, the order's gateway killed", duringOutage, "f2")
		expectConflict("the core is down, the order's gateway killed", before, "f4")
		onDiskNodes((*Node).Start)
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if f := w.Node("f2").Gateway(); f.Membership.Held() && f.Ready() {
				break
			}
		}
		expectConflict("the core is just back", duringOutage, "f2", "f4")
		time.Sleep(8 * time.Second)
		// The claim is on the disks by now: the memory of every gateway may be lost.
		for _, n := range w.NodesOfKind("gateway") {
			n.Kill()
		}
		w.Node("m4").Kill()
		for _, n := range w.ActiveNodes() {
			n.Start()
		}
		time.Sleep(5 * time.Second)
		expectConflict("all memory is lost", duringOutage, "f1", "f3")
		expectConflict("all memory is lost", before, "f4")
		if v := w.Records.Check(); len(v.Violations) > 0 {
			t.Error(v.Violations)
		}
	})
}
