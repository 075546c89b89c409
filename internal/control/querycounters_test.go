package control

import (
	"testing"

	"walkrudder/internal/target"
)

func TestCountersCount(t *testing.T) {
	runCluster(t, 30, smallCluster, func(cl *cluster) {
		transport, m := cl.operatorTransport(), cl.controllers[0]
		good := target.Heartbeat{ID: "i-1", Service: "a", Addr: "10.0.0.1:80", Zone: "z0", Slots: 2, Seq: 1}
		_ = cl.sendHeartbeat(m, good)
		_ = cl.sendHeartbeat(m, target.Heartbeat{})
		cl.mustApply(baseChange(1), []*controllerHost{m})
		bad := baseChange(1)
		bad.Routes[0].Version, bad.Routes[0].Host = 9, ""
		if ps, _ := cl.apply(m, bad); len(ps) == 0 {
			t.Fatal("invalid change accepted")
		}
		if _, err := m.control().Current(cl.ctx); err != nil {
			t.Fatal(err)
		}
		_ = m.control().Leave(cl.ctx, "i-1")
		for name, want := range map[string]uint64{"beats": 2, "beats_refused": 1, "beats_failed": 0, "changes": 2, "changes_refused": 1, "reads": 1, "leavings": 1,
			"item_merges": 4, "run_merges": 2} {
			if got := mustReadCounter(cl, transport, m, name); got != want {
				t.Errorf("%s is %d, want %d", name, got, want)
			}
		}
		for _, name := range []string{"asks", "queries", "goroutines", "heap_bytes"} {
			if mustReadCounter(cl, transport, m, name) == 0 {
				t.Errorf("%s is 0", name)
			}
		}
	})
}
