package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/route"
	"walkrudder/internal/watch"
)

// eachSeed runs f with each seed, every third time in a large cluster.
func eachSeed(t *testing.T, f func(cl *cluster)) {
	for seed := range *seeds {
		s := lo.Ternary(seed%3 == 2, largeCluster, smallCluster)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runCluster(t, uint64(seed), s, f) })
	}
}

// followerCount returns the number of gateways that follow a controller.
func (cl *cluster) followerCount(m *controllerHost) int {
	return lo.CountBy(cl.gateways, func(x *gatewayHost) bool { return x.subscriber().Following().ID == m.id })
}

// injectFault injects one random fault, and returns what it was, where, and how to repair it.
func (cl *cluster) injectFault() (what string, m *controllerHost, heal func()) {
	m = pick(cl, cl.controllers)
	others := lo.Without(cl.controllers, m)
	switch cl.randN(5) {
	case 0:
		m.kill()
		return "killed", m, m.boot
	case 1:
		m.freeze()
		return "frozen", m, m.thaw
	case 2:
		for _, o := range others {
			cl.net.cut(m.addr, o.addr, true)
		}
		return "cut from the other controllers", m, cl.net.healAll
	case 3:
		for _, o := range others {
			cl.net.cut(m.addr, o.addr, false)
		}
		return "cut one way", m, cl.net.healAll
	}
	m.kill()
	if m.disk != nil {
		m.disk.wipe()
	}
	m.boot()
	// Let the seat be filled again before the next fault.
	return "wiped", m, func() { time.Sleep(6 * time.Second) }
}

func TestChangesReachEveryGatewayInTime(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		cl.expectItems(itemsOf(baseChange(5)), cl.gateways)
		v := uint64(1)
		// change applies two changes concurrently at two nodes. Each changes one common route and one
		// route of its own.
		change := func(to []*controllerHost) {
			done := make(chan []item.Item, 2)
			for op := range 2 {
				v += 1 + uint64(cl.randN(3))
				c := Change{Routes: []route.Route{routeTo("r0", v, "b"), routeTo(fmt.Sprintf("r%d", 1+op), v, "b")}}
				ms := shuffled(cl, to)
				go func() {
					cl.mustApply(c, ms)
					done <- itemsOf(c)
				}()
			}
			for range 2 {
				cl.expectItems(<-done, cl.gateways)
			}
		}
		for range 4 {
			change(cl.controllers)
			time.Sleep(time.Duration(cl.randN(1500)) * time.Millisecond)
		}
		for range 3 {
			what, m, heal := cl.injectFault()
			cl.t.Logf("%s %s, followed by %d", m.id, what, cl.followerCount(m))
			time.Sleep(3 * time.Second)
			rest := lo.Without(cl.controllers, m)
			for range 3 {
				change(rest)
				time.Sleep(time.Duration(cl.randN(700)) * time.Millisecond)
			}
			heal()
			time.Sleep(4 * time.Second)
			change(cl.controllers)
		}
		time.Sleep(propagationLimit)
		cl.expectAcknowledged(cl.controllers)
	})
}

// Without waits for recovery between faults, changes must persist and reach every gateway in the
// end, and no gateway may go back to an older state (which every gatewayHost checks itself).
func TestNoGatewayGoesBackInTrouble(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(5), cl.controllers)
		v := uint64(1)
		for range 4 {
			what, m, heal := cl.injectFault()
			cl.t.Logf("%s %s at %v", m.id, what, time.Now().Format("05.000"))
			for range 4 {
				v++
				cl.mustApply(Change{Routes: []route.Route{routeTo(fmt.Sprintf("r%d", cl.randN(5)), v, "b")}}, shuffled(cl, cl.controllers))
				if cl.randN(3) == 0 {
					x := pick(cl, cl.gateways)
					x.kill()
					x.boot()
				}
			}
			time.Sleep(time.Duration(cl.randN(3000)) * time.Millisecond)
			heal()
		}
		time.Sleep(5 * time.Second)
		cl.expectItems(lo.Values(cl.acknowledged), cl.gateways)
		cl.expectAcknowledged(cl.controllers)
	})
}

// lossScenarios are the losses that acknowledged changes must survive.
var lossScenarios = []struct {
	name string
	lose func(cl *cluster)
}{
	{"every controller killed at once", func(cl *cluster) {
		for _, m := range cl.controllers {
			m.kill()
		}
	}},
	{"as many disks lost as can be borne", func(cl *cluster) {
		for _, m := range shuffled(cl, withDisk(cl.controllers))[:cl.tolerance.Machines] {
			m.kill()
			m.disk.wipe()
		}
	}},
	{"every controller killed and disks lost", func(cl *cluster) {
		for _, m := range cl.controllers {
			m.kill()
		}
		for _, m := range shuffled(cl, withDisk(cl.controllers))[:cl.tolerance.Machines] {
			m.disk.wipe()
		}
	}},
}

func TestAcknowledgedChangesOutliveLosses(t *testing.T) {
	for seed := range *seeds {
		l := lossScenarios[seed%len(lossScenarios)]
		t.Run(fmt.Sprintf("seed=%d/%s", seed, l.name), func(t *testing.T) {
			runCluster(t, uint64(seed), lo.Ternary(seed%2 == 1, largeCluster, smallCluster), func(cl *cluster) {
				cl.mustApply(baseChange(20), cl.controllers)
				for v := range uint64(5) {
					cl.mustApply(Change{Routes: []route.Route{routeTo(fmt.Sprintf("r%d", v), v+2, "b")}, Drops: []Drop{{item.Route, fmt.Sprintf("r%d", v+10), v + 2}}}, shuffled(cl, cl.controllers))
				}
				l.lose(cl)
				time.Sleep(time.Duration(cl.randN(500)) * time.Millisecond)
				for _, m := range cl.controllers {
					if m.processContext() == nil {
						m.boot()
					}
				}
				cl.expectAcknowledged(cl.controllers)
				// A second loss, after the first one was repaired.
				time.Sleep(6 * time.Second)
				m := pick(cl, withDisk(cl.controllers))
				m.kill()
				m.disk.wipe()
				m.boot()
				cl.expectAcknowledged(cl.controllers)
				cl.mustApply(Change{Routes: []route.Route{routeTo("late", 1, "a")}}, cl.controllers)
				time.Sleep(4 * time.Second)
				cl.expectItems(lo.Values(cl.acknowledged), cl.gateways)
			})
		})
	}
}

func TestSeedsAreExchanged(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runCluster(t, uint64(seed), clusterShape{zones: 3, disks: 3, others: 3, gateways: 6, tolerance: quorum.Tolerance{Machines: 1}}, func(cl *cluster) {
				cl.mustApply(baseChange(10), cl.controllers)
				oldSeeds := append([]*controllerHost(nil), cl.controllers[:3]...)
				for i, o := range oldSeeds {
					m := cl.addController(fmt.Sprintf("n%d", i), o.zone, true)
					cl.mu.Lock()
					cl.seeds = append(lo.Without(cl.seeds, o.addr), m.addr)
					cl.mu.Unlock()
					m.boot()
					time.Sleep(time.Second)
					for _, x := range cl.alive() {
						x.control().SetSeeds(cl.seedList())
					}
					for _, x := range cl.gateways {
						x.subscriber().SetSeeds(cl.seedList())
					}
					time.Sleep(time.Duration(500+cl.randN(1500)) * time.Millisecond)
					o.kill()
					cl.controllers = lo.Without(cl.controllers, o)
					time.Sleep(4 * time.Second)
					cl.mustApply(Change{Routes: []route.Route{routeTo(fmt.Sprintf("r%d", i), uint64(i+2), "b")}}, cl.controllers)
					cl.expectItems(lo.Values(cl.acknowledged), cl.gateways)
				}
				time.Sleep(propagationLimit)
				cl.expectAcknowledged(cl.controllers)
				c := cl.controllers[0].control().core()
				if lo.SomeBy(oldSeeds, func(o *controllerHost) bool { _, ok := c.Seat(o.id); return ok }) {
					t.Errorf("a removed controller still has a seat: %+v", c)
				}
				// A gateway that starts now connects through the new seeds alone.
				x := cl.gateways[0]
				x.kill()
				x.boot()
				cl.await("synced gateway through the new seeds", 3*time.Second, func() bool { return x.subscriber().Synced() })
			})
		})
	}
}

func TestInvalidChangesLeaveNoTrace(t *testing.T) {
	runCluster(t, 1, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		marker := "trace-of-an-invalid-change"
		with := func(f func(*route.Route)) Change {
			r := routeTo("bad", 5, "a")
			r.Source = []byte(marker)
			f(&r)
			return Change{Routes: []route.Route{routeTo("r0", 9, "b"), r}, Services: []route.Service{testService("c-"+marker, 5)}}
		}
		bad := map[string]Change{
			"unknown service": with(func(r *route.Route) { r.Shares[0].Service = "nowhere" }),
			"shared place":    with(func(r *route.Route) { r.Prefix = "/r1/" }),
			"weight below 0":  with(func(r *route.Route) { r.Shares[0].Weight = -1 }),
			"held too long":   with(func(r *route.Route) { r.HoldMS = 600001 }),
			"no slash":        with(func(r *route.Route) { r.Prefix = "x/" }),
			"unknown repeat":  with(func(r *route.Route) { r.Repeat = 9 }),
			"service still in use": {Services: []route.Service{testService("c-"+marker, 5)},
				Drops: []Drop{{item.Service, "a", 9}}},
			"nameless drop": {Services: []route.Service{testService("c-"+marker, 5)}, Drops: []Drop{{item.Route, "", 9}}},
		}
		for name, c := range bad {
			for _, m := range cl.controllers {
				ps, err := cl.apply(m, c)
				if len(ps) == 0 || err != nil {
					t.Errorf("%s at %s: problems %v, error %v", name, m.id, ps, err)
				}
			}
		}
		time.Sleep(5 * time.Second)
		for _, m := range cl.controllers {
			if m.disk != nil && m.disk.holds(marker) {
				t.Errorf("%s stored an invalid change", m.id)
			}
			m.control().Replica.WithItems(func(s *item.Set) {
				if s.Len() != 6 {
					t.Errorf("%s knows %d items", m.id, s.Len())
				}
				if i, _ := s.Get(item.Key{Kind: item.Route, Name: "r0"}); i.Version != 1 {
					t.Errorf("%s applied a part of an invalid change: %d", m.id, i.Version)
				}
			})
		}
		cl.expectAcknowledged(cl.controllers)
	})
}

// An outdated view must not make a node refuse a valid change or accept an invalid one.
func TestChangesAreCheckedAgainstAllThatWasAcknowledged(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		a, b := cl.controllers[0], cl.controllers[1]
		for v := uint64(2); v < 20; v++ {
			name := fmt.Sprintf("s%d", v)
			cl.mustApply(Change{Services: []route.Service{testService(name, v)}}, []*controllerHost{a})
			// Immediately after the acknowledgement, at another node.
			if ps, err := cl.apply(b, Change{Routes: []route.Route{routeTo("on-"+name, v, name)}}); len(ps) > 0 || err != nil {
				t.Fatalf("valid change refused because of an outdated view: %v %v", ps, err)
			}
			cl.mustApply(Change{Drops: []Drop{{item.Route, "on-" + name, v + 1}, {item.Service, name, v + 1}}}, []*controllerHost{a})
			if ps, err := cl.apply(b, Change{Routes: []route.Route{routeTo("again-"+name, v, name)}}); len(ps) == 0 || err != nil {
				t.Fatalf("invalid change accepted because of an outdated view: %v %v", ps, err)
			}
		}
	})
}

// A lower version changes nothing and is acknowledged. Different content for the version in force is
// refused, and so is different content for an earlier version whose content was decided. Sending the
// same content again is acknowledged, also for an earlier version.
func TestOlderVersionsChangeNothing(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		cl.mustApply(Change{Routes: []route.Route{routeTo("r0", 7, "b")}, Drops: []Drop{{item.Route, "r1", 7}}}, cl.controllers)
		cl.mustApply(Change{Routes: []route.Route{routeTo("r2", 5, "b")}}, cl.controllers)
		cl.mustApply(Change{Routes: []route.Route{routeTo("r2", 9, "b")}}, cl.controllers)
		for _, m := range cl.controllers {
			old := routeTo("r0", 7, "a")
			old.HoldMS = 1 + cl.randN(1000)
			for _, c := range []Change{{Routes: []route.Route{routeTo("r0", 6, "a"), routeTo("r1", 6, "a")}}, {Routes: []route.Route{routeTo("r2", 5, "b")}},
				{Drops: []Drop{{item.Route, "r1", 7}}}, {Routes: []route.Route{routeTo("r0", 7, "b")}}, {Routes: []route.Route{routeTo("r2", 1, "a")}}} {
				if ps, err := cl.apply(m, c); len(ps) > 0 || err != nil {
					t.Fatalf("%s: %v %v", m.id, ps, err)
				}
			}
			for _, c := range []Change{{Routes: []route.Route{old}}, {Routes: []route.Route{routeTo("r1", 7, "a")}}, {Drops: []Drop{{item.Route, "r0", 7}}},
				{Routes: []route.Route{routeTo("r2", 5, "a")}}, {Routes: []route.Route{routeTo("r2", 1, "b")}}, {Routes: []route.Route{routeTo("r0", 6, "b")}}} {
				if ps, err := cl.apply(m, c); len(ps) > 0 || !IsConflict(err) {
					t.Fatalf("%s: different content of a decided version: %v %v", m.id, ps, err)
				}
			}
		}
		cl.expectAcknowledged(cl.controllers)
		cl.expectItems(lo.Values(cl.acknowledged), cl.gateways)
		for _, x := range cl.gateways {
			if i := x.item(item.Key{Kind: item.Route, Name: "r0"}); i.Gone || i.Version != 7 {
				t.Errorf("%s accepted an older version: %+v", x.id, i)
			}
		}
	})
}

// No part of a change that is refused for a conflict comes into force.
func TestARefusedCallLeavesNothingInForce(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		for _, m := range cl.controllers {
			c := Change{Routes: []route.Route{routeTo("r0", 1, "b"), routeTo("r1", 50, "b"), routeTo("beside", 50, "b")}}
			if ps, err := cl.apply(m, c); len(ps) > 0 || !IsConflict(err) {
				t.Fatalf("%s: %v %v", m.id, ps, err)
			}
		}
		// Lower versions of the same names are still unused, and are not affected by the refused change.
		cl.mustApply(Change{Routes: []route.Route{routeTo("r1", 40, "a"), routeTo("beside", 40, "a")}}, cl.controllers)
		time.Sleep(propagationLimit)
		cl.expectAcknowledged(cl.controllers)
		for _, x := range cl.gateways {
			for _, name := range []string{"r1", "beside"} {
				if i := x.item(item.Key{Kind: item.Route, Name: name}); i.Version != 40 {
					t.Errorf("%s: %s is at version %d", x.id, name, i.Version)
				}
			}
		}
	})
}

func TestAMinorityAcknowledgesNothing(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		core := cl.controllers[0].control().core()
		voters := lo.Filter(cl.controllers, func(m *controllerHost, _ int) bool { _, ok := core.Seat(m.id); return ok })
		minority := shuffled(cl, voters)[:core.QuorumSize()-1]
		majority := lo.Filter(cl.controllers, func(m *controllerHost, _ int) bool { return !lo.Contains(minority, m) })
		for _, a := range minority {
			for _, b := range majority {
				cl.net.cut(a.addr, b.addr, true)
			}
		}
		for round := range 3 {
			m := minority[round%len(minority)]
			if ps, err := cl.apply(m, Change{Routes: []route.Route{routeTo("r0", 50, "b")}}); err == nil {
				t.Fatalf("a minority acknowledged a change: %v", ps)
			}
			start := time.Now()
			if err := m.control().Leave(cl.ctx, fmt.Sprintf("i-%d", round)); err == nil {
				t.Fatal("a minority acknowledged a departure")
			} else if d := time.Since(start); d > 900*time.Millisecond || !errors.Is(err, quorum.ErrNoQuorum) {
				t.Errorf("failing took %v: %v", d, err)
			}
			if _, err := func() (Configuration, error) {
				callCtx, cancel := context.WithTimeout(cl.ctx, time.Second)
				defer cancel()
				return m.control().Current(callCtx)
			}(); err == nil {
				t.Fatal("a minority answered a read")
			}
			time.Sleep(time.Second)
		}
		for _, m := range minority {
			if m.control().Ready() {
				t.Errorf("%s, in a minority, reports that it is ready", m.id)
			}
		}
		cl.mustApply(Change{Routes: []route.Route{routeTo("r1", 50, "b")}}, majority)
		cl.expectItems(itemsOf(Change{Routes: []route.Route{routeTo("r1", 50, "b")}}), cl.gateways)
		time.Sleep(propagationLimit)
		cl.net.healAll()
		time.Sleep(3 * time.Second)
		cl.expectAcknowledged(cl.controllers)
		for _, m := range cl.controllers {
			if !m.control().Ready() {
				t.Errorf("%s is not ready after the partition healed", m.id)
			}
		}
	})
}

func TestMembersAndGatewaysAreCounted(t *testing.T) {
	runCluster(t, 3, smallCluster, func(cl *cluster) {
		time.Sleep(6 * time.Second)
		for _, m := range cl.controllers {
			v := m.control().View()
			if len(v.Controllers) != len(cl.controllers)-1 || v.Gateways != len(cl.gateways) || !v.Fresh || v.Core.Epoch != 1 {
				t.Errorf("%s sees %d controllers, %d gateways, fresh %v, epoch %d", m.id, len(v.Controllers), v.Gateways, v.Fresh, v.Core.Epoch)
			}
		}
		for _, x := range cl.gateways {
			all, near := x.subscriber().Gateways()
			if want := lo.CountBy(cl.gateways, func(o *gatewayHost) bool { return o.zone == x.zone }); all != len(cl.gateways) || near != want {
				t.Errorf("%s received a count of %d gateways, %d in its zone", x.id, all, near)
			}
			if z := x.subscriber().Following().Zone; z != x.zone {
				t.Errorf("%s follows a controller in %s", x.id, z)
			}
		}
		// All controllers name the same home, in the zone of the target.
		homes := lo.Map(cl.controllers, func(m *controllerHost, _ int) watch.Member {
			h, _ := m.control().HomeMember("a", "z1")
			h.Age = 0
			return h
		})
		if len(lo.Uniq(homes)) != 1 || homes[0].Zone != "z1" {
			t.Errorf("homes differ: %+v", homes)
		}
	})
}

// An idle deployment exchanges nothing but long polls: a controller sends and answers about twenty
// messages per second, a gateway sends one or two.
func TestCalmCostsFewMessages(t *testing.T) {
	runCluster(t, 6, clusterShape{zones: 4, disks: 4, others: 2, gateways: 13, tolerance: quorum.Tolerance{Machines: 1}}, func(cl *cluster) {
		cl.mustApply(baseChange(50), cl.controllers)
		time.Sleep(20 * time.Second)
		count := func() (asks, bytes int) {
			kinds, bytes := cl.net.Traffic()
			for k, n := range kinds {
				if strings.HasSuffix(k, "Ask") {
					asks += n
				}
			}
			return asks, bytes
		}
		const span = 60
		a, b := count()
		time.Sleep(span * time.Second)
		c, d := count()
		t.Logf("%d requests and %d bytes per second between %d nodes", (c-a)/span, (d-b)/span, len(cl.controllers)+len(cl.gateways))
		if n := (c - a) / span; n == 0 || n > 80 {
			t.Errorf("%d requests per second", n)
		}
		if n := (d - b) / span; n > 20_000 {
			t.Errorf("%d bytes per second", n)
		}
	})
}
