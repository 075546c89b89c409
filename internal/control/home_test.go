package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

// A target's first beat goes anywhere and the next to its home: the node that had the
// first must not take the quiet for silence.
func TestMovesToTheHomeMakeNoSuspicion(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			play(t, 8, shape{zones: 3, disks: 3, gateways: 2, tolerance: quorum.Tolerance{Machines: 1}}, func(w *world) {
				w.order(base(1), w.controllers)
				stop, over := map[int]bool{}, false
				for i := range 100 {
					w.wg.Go(func() {
						time.Sleep(time.Duration(w.chance(int(gap))))
						m := pick(w, w.controllers)
						for seq := uint64(1); ; seq++ {
							w.mu.Lock()
							end := over || stop[i]
							w.mu.Unlock()
							if end {
								return
							}
							zone := fmt.Sprintf("z%d", i%3)
							if err := w.beat(m, target.Heartbeat{ID: fmt.Sprintf("i-%d", i), Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Slots: 2, Seq: seq}); err != nil {
								t.Error(err)
							}
							home := m.control().Home("a", zone)
							m, _ = lo.Find(w.controllers, func(m *controllerHost) bool { return m.addr == home })
							time.Sleep(gap)
						}
					})
				}
				// A suspicion is over as soon as the home hears of it, but it leaves its trace.
				suspected := func() (out []string) {
					for _, m := range w.controllers {
						m.control().Board.WithRuns(func(tb *target.Table, now time.Time) bool {
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
						t.Errorf("%d that beat were suspected", len(s))
						break
					}
				}
				w.mu.Lock()
				stop[17] = true
				w.mu.Unlock()
				w.await("suspicion of the one that fell silent", 4*gap, func() bool {
					return w.gateways[0].run("i-17").Suspected() && w.gateways[1].run("i-17").Suspected()
				})
				if s := suspected(); len(s) != 1 {
					t.Errorf("suspected: %v", s)
				}
				w.mu.Lock()
				over = true
				w.mu.Unlock()
			})
		})
	}
}

// TestHomesFollowWhoIsNear: who is near is looked up seldom, for beats are many, but a controller
// that stops names another at once.
func TestHomesFollowWhoIsNear(t *testing.T) {
	play(t, 9, shape{zones: 3, disks: 3, gateways: 1, tolerance: quorum.Tolerance{Machines: 1}}, func(w *world) {
		w.order(base(1), w.controllers)
		m := w.controllers[0].control()
		time.Sleep(time.Second)
		a, ok := m.HomeMember("a", m.Zone)
		if !ok || a.ID != m.ID {
			t.Fatalf("%+v: a zone's own controller is not its home", a)
		}
		if n := testing.AllocsPerRun(100, func() { m.HomeMember("a", m.Zone) }); n > 0 {
			t.Errorf("%v allocations a beat", n)
		}
		m.Stop()
		b, ok := m.HomeMember("a", m.Zone)
		if !ok || b.ID == m.ID {
			t.Errorf("a controller that stops names itself")
		}
		time.Sleep(2 * nearFor)
		for _, other := range w.controllers[1:] {
			if o, _ := other.control().HomeMember("a", m.Zone); o.ID == m.ID {
				t.Errorf("%s still names the one that stops", other.control().ID)
			}
		}
	})
}

func BenchmarkScore(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		score("service", "zone", "controller")
	}
}
