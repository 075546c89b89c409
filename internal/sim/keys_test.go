package sim

import (
	"context"
	"testing"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/tools/stand"
)

// through makes one order under a key through the gateway that is meant.
func (w *World) through(gateway, order string) stand.Outcome {
	for _, n := range w.Of("gateway") {
		n.looked.Store(n.ID == gateway)
	}
	return w.call(kinds[0], order, "")
}

// An order that ran and whose answer was lost stays claimed: with the core there,
// while it is away, when it comes back, and when the gateway that sent it is killed.
func TestKeysOutliveTheCore(t *testing.T) {
	t.Parallel()
	raised(t, func(ctx context.Context, w *World) {
		all := func(do func(*Node)) {
			for _, n := range w.Disks() {
				do(n)
			}
		}
		losing := func(m stand.Mode) {
			for _, x := range w.Targets {
				x.Set(m)
			}
		}
		// lost runs an order through f1 until one ran whose answer was lost.
		lost := func(name string) string {
			losing(stand.ClosingAfterRun)
			defer losing(stand.Healthy)
			for i := range 20 {
				o := name + string(rune('a'+i))
				if r := w.through("f1", o); r.Code == httpapi.Unknown && r.Forwarded {
					return o
				}
			}
			t.Fatal("no answer was lost")
			return ""
		}
		again := func(when, order string, gateways ...string) {
			t.Helper()
			for _, f := range gateways {
				if r := w.through(f, order); r.Status != 409 {
					t.Errorf("%s: %s again through %s: %d %q %q", when, order, f, r.Status, r.Code, r.Reason)
				}
			}
		}
		before := lost("before")
		all((*Node).Kill)
		time.Sleep(2 * time.Second)
		again("the core is away", before, "f2")
		away := lost("away")
		again("the core is away", away, "f3")
		if r := w.through("f4", "fresh"); r.Status != 200 {
			t.Errorf("a fresh order without the core: %d %q %q", r.Status, r.Code, r.Reason)
		}
		w.Node("f1").Kill()
		again("the core is away, its gateway killed", away, "f2")
		again("the core is away, its gateway killed", before, "f4")
		all((*Node).Start)
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if f := w.Node("f2").Gateway(); f.Tenant.Held() && f.Ready() {
				break
			}
		}
		again("the core is just back", away, "f2", "f4")
		time.Sleep(8 * time.Second)
		// Now the disks have it: every gateway's memory may go.
		for _, n := range w.Of("gateway") {
			n.Kill()
		}
		w.Node("m4").Kill()
		for _, n := range w.In() {
			n.Start()
		}
		time.Sleep(5 * time.Second)
		again("all memory is gone", away, "f1", "f3")
		again("all memory is gone", before, "f4")
		if v := w.Rec.Check(); len(v.Violations) > 0 {
			t.Error(v.Violations)
		}
	})
}
