package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

// The first heartbeat of a target goes to any controller and the next one to its home. The controller that received
// the first one must not take the absence of further heartbeats for silence.
func TestMovesToTheHomeMakeNoSuspicion(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			runCluster(t, 8, clusterShape{zones: 3, disks: 3, gateways: 2, tolerance: quorum.Tolerance{Machines: 1}}, func(cl *cluster) {
				cl.mustApply(baseChange(1), cl.controllers)
				stopped, allStopped := map[int]bool{}, false
				for i := range 100 {
					cl.wg.Go(func() {
						time.Sleep(time.Duration(cl.randN(int(gap))))
						m := pick(cl, cl.controllers)
						for seq := uint64(1); ; seq++ {
							cl.mu.Lock()
							end := allStopped || stopped[i]
							cl.mu.Unlock()
							if end {
								return
							}
							zone := fmt.Sprintf("z%d", i%3)
							if err := cl.sendHeartbeat(m, target.Heartbeat{ID: fmt.Sprintf("i-%d", i), Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Slots: 2, Seq: seq}); err != nil {
								t.Error(err)
							}
							home := m.control().Home("a", zone)
							m, _ = lo.Find(cl.controllers, func(m *controllerHost) bool { return m.addr == home })
							time.Sleep(gap)
						}
					})
				}
				// A suspicion ends as soon as the home hears of it, but Silent keeps a trace of it.
				suspected := func() (out []string) {
					for _, m := range cl.controllers {
						m.control().Replica.WithRuns(func(tb *target.Table, now time.Time) bool {
							for r := range tb.All(now) {
								if r.Silent > 0 {
									out = append(out, r.ID)
								}
							}
							return false
						})
					}
					return lo.Uniq(out)
				}
				for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					if s := suspected(); len(s) > 0 {
						t.Errorf("%d runs that send heartbeats were suspected", len(s))
						break
					}
				}
				cl.mu.Lock()
				stopped[17] = true
				cl.mu.Unlock()
				cl.await("suspicion of the silent run", 4*gap, func() bool {
					return cl.gateways[0].run("i-17").Suspected() && cl.gateways[1].run("i-17").Suspected()
				})
				if s := suspected(); len(s) != 1 {
					t.Errorf("suspected: %v", s)
				}
				cl.mu.Lock()
				allStopped = true
				cl.mu.Unlock()
			})
		})
	}
}

// Heartbeats are frequent, so the list of available controllers is cached for availableCacheTTL. A
// stopping controller must nevertheless name another one as home at once.
func TestHomesFollowWhoIsNear(t *testing.T) {
	runCluster(t, 9, clusterShape{zones: 3, disks: 3, gateways: 1, tolerance: quorum.Tolerance{Machines: 1}}, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		m := cl.controllers[0].control()
		time.Sleep(time.Second)
		a, ok := m.HomeMember("a", m.Zone)
		if !ok || a.ID != m.ID {
			t.Fatalf("%+v: the home of a zone's targets is not the controller of that zone", a)
		}
		if n := testing.AllocsPerRun(100, func() { m.HomeMember("a", m.Zone) }); n > 0 {
			t.Errorf("%v allocations per heartbeat", n)
		}
		m.Stop()
		b, ok := m.HomeMember("a", m.Zone)
		if !ok || b.ID == m.ID {
			t.Errorf("a stopping controller names itself")
		}
		time.Sleep(2 * availableCacheTTL)
		for _, other := range cl.controllers[1:] {
			if o, _ := other.control().HomeMember("a", m.Zone); o.ID == m.ID {
				t.Errorf("%s still names the stopping controller", other.control().ID)
			}
		}
	})
}

func BenchmarkScore(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		rendezvousScore("service", "zone", "controller")
	}
}
