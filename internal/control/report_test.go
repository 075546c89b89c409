package control

import (
	"testing"
	"time"

	"walkrudder/internal/target"
)

func TestAControllerReportsWhatItSees(t *testing.T) {
	runCluster(t, 31, smallCluster, func(cl *cluster) {
		m := cl.controllers[0]
		time.Sleep(6 * time.Second)
		cl.mustApply(baseChange(1), []*controllerHost{m})
		for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
			if err := cl.sendHeartbeat(m, target.Heartbeat{ID: id, Service: "a", Addr: "10.0.0." + id[2:] + ":80", Zone: "z0", Slots: 2, Seq: 1, Draining: id == "i-2"}); err != nil {
				t.Fatal(err)
			}
		}
		if err := m.control().Leave(cl.ctx, "i-1"); err != nil {
			t.Fatal(err)
		}
		r := m.control().Report()
		if r.Node != m.id || !r.Fresh || r.Epoch != 1 || r.Seats != 3 || r.Votes != 1 || r.Controllers != 5 || r.Gateways != 6 || r.Items != 4 || len(r.Files) != 2 || r.Counters["beats"] != 6 ||
			r.Runs["ended"] != 1 || r.Runs["draining"] != 1 || r.Runs["ready"] != 4 {
			t.Errorf("%+v", r)
		}
		time.Sleep(10 * time.Second)
		// All runs are silent, but only two of the five that have not ended are suspected for it.
		if r := m.control().Report(); r.Suspected != 2 || r.Runs["ready"] != 4 {
			t.Errorf("after 10 s of silence: %+v", r)
		}
	})
}
