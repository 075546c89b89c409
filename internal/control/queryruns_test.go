package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/target"
)

func TestRunsTellHowTheyAre(t *testing.T) {
	runCluster(t, 26, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers[:1])
		stops := map[string]func(){}
		for i := range 4 {
			id := fmt.Sprintf("i-%d", i)
			stops[id] = cl.startHeartbeats(id, "a", "z0", fmt.Sprintf("10.0.0.%d:80", i))
		}
		stopOther := cl.startHeartbeats("x-0", "b", "z1", "10.0.1.0:80")
		time.Sleep(20 * time.Second)
		transport := cl.operatorTransport()
		addr := cl.controllers[0].control().Home("a", "z0")
		home, _ := lo.Find(cl.controllers, func(m *controllerHost) bool { return m.addr == addr })
		away, _ := lo.Find(cl.controllers, func(m *controllerHost) bool { return m.zone != "z0" })
		row := func(m *controllerHost, id string) RunRow {
			t.Helper()
			a := mustAsk[RunRow](cl, transport, m, RunsAsk{Service: "a", Prefix: id})
			if len(a.Rows) != 1 || a.Total != 1 {
				t.Fatalf("%s: %+v", id, a)
			}
			return a.Rows[0]
		}
		r := row(home, "i-1")
		if r.Service != "a" || r.Addr != "10.0.0.1:80" || r.Zone != "z0" || r.Slots != 2 || r.State != "ready" || r.Home != home.addr || r.Held || r.Suspected || r.Recalled ||
			!r.BeatMS.Known || r.BeatMS.Value > 1100 || !r.Suspicion.Known || r.Suspicion.Value >= target.SuspicionThreshold {
			t.Errorf("at the home: %+v", r)
		}
		if r := row(away, "i-1"); r.State != "ready" || r.Home != home.addr || r.Suspicion.Known || !r.NewsMS.Known {
			t.Errorf("at another controller: %+v", r)
		}
		if a := mustAsk[RunRow](cl, transport, home, RunsAsk{}); a.Total != 5 || len(a.Rows) != 5 {
			t.Errorf("%d rows, total %d", len(a.Rows), a.Total)
		}
		if a := mustAsk[RunRow](cl, transport, home, RunsAsk{Service: "b"}); len(a.Rows) != 1 || a.Total != 1 || a.Rows[0].ID != "x-0" {
			t.Errorf("runs of the other service: %+v", a)
		}
		// A controller that received one heartbeat of a run does not judge its silence after the run moved on.
		for seq, m := range []*controllerHost{away, home} {
			if err := cl.sendHeartbeat(m, target.Heartbeat{ID: "y-0", Service: "a", Addr: "10.0.0.9:80", Zone: "z0", Slots: 2, Seq: uint64(seq + 1)}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if here, there := row(home, "y-0"), row(away, "y-0"); !here.Suspicion.Known || there.Suspicion.Known || !there.BeatMS.Known {
			t.Errorf("after the move: at the home %+v, at the previous controller %+v", here, there)
		}
		// Suspicion is computed anew for each query, and a draining run is shown as held.
		stops["i-2"]()
		time.Sleep(1200 * time.Millisecond)
		one := row(home, "i-2")
		time.Sleep(300 * time.Millisecond)
		if two := row(home, "i-2"); two.Suspicion.Value <= one.Suspicion.Value || two.BeatMS.Value < one.BeatMS.Value+300 {
			t.Errorf("first %+v, 300 ms later %+v", one, two)
		}
		time.Sleep(6 * time.Second)
		if r := row(away, "i-2"); !r.Suspected {
			t.Errorf("silent run: %+v", r)
		}
		stops["i-3"]()
		time.Sleep(1100 * time.Millisecond)
		if err := cl.sendHeartbeat(away, target.Heartbeat{ID: "i-3", Service: "a", Addr: "10.0.0.3:80", Zone: "z0", Slots: 2, Seq: 1000, Draining: true}); err != nil {
			t.Fatal(err)
		}
		if r := row(away, "i-3"); r.State != "draining" || !r.Held {
			t.Errorf("draining run: %+v", r)
		}
		if err := away.control().Leave(cl.ctx, "i-3"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(propagationLimit)
		if r := row(home, "i-3"); r.State != "ended" || r.Held || r.Home != "" {
			t.Errorf("ended run, at a controller that did not receive the call: %+v", r)
		}
		stopOther()
		for _, stop := range stops {
			stop()
		}
	})
}
