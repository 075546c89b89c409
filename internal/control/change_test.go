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

// each plays f with each seed, in small and large worlds in turn.
func each(t *testing.T, f func(w *world)) {
	for seed := range *seeds {
		s := lo.Ternary(seed%3 == 2, large, small)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { play(t, uint64(seed), s, f) })
	}
}

// follows says which gateways follow a controller now.
func (w *world) following(m *controllerHost) int {
	return lo.CountBy(w.gateways, func(x *gatewayHost) bool { return x.subscriber().Following().ID == m.id })
}

// upset brings one fault about and says what heals it.
func (w *world) upset() (what string, m *controllerHost, heal func()) {
	m = pick(w, w.controllers)
	others := lo.Without(w.controllers, m)
	switch w.chance(5) {
	case 0:
		m.kill()
		return "killed", m, m.boot
	case 1:
		m.freeze()
		return "frozen", m, m.thaw
	case 2:
		for _, o := range others {
			w.net.cut(m.addr, o.addr, true)
		}
		return "cut from the other controllers", m, w.net.mend
	case 3:
		for _, o := range others {
			w.net.cut(m.addr, o.addr, false)
		}
		return "cut one way", m, w.net.mend
	}
	m.kill()
	if m.disk != nil {
		m.disk.wipe()
	}
	m.boot()
	// The seat is to be filled again before the next fault.
	return "wiped", m, func() { time.Sleep(6 * time.Second) }
}

func TestChangesReachEveryGatewayInTime(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(5), w.controllers)
		w.known(itemsOf(base(5)), w.gateways)
		v := uint64(1)
		// change lets two operators change the same and other routes at two nodes at once.
		change := func(to []*controllerHost) {
			done := make(chan []item.Item, 2)
			for op := range 2 {
				v += 1 + uint64(w.chance(3))
				c := Change{Routes: []route.Route{routeTo("r0", v, "b"), routeTo(fmt.Sprintf("r%d", 1+op), v, "b")}}
				ms := mixed(w, to)
				go func() {
					w.order(c, ms)
					done <- itemsOf(c)
				}()
			}
			for range 2 {
				w.known(<-done, w.gateways)
			}
		}
		for range 4 {
			change(w.controllers)
			time.Sleep(time.Duration(w.chance(1500)) * time.Millisecond)
		}
		for range 3 {
			what, m, heal := w.upset()
			w.t.Logf("%s %s, followed by %d", m.id, what, w.following(m))
			time.Sleep(3 * time.Second)
			rest := lo.Without(w.controllers, m)
			for range 3 {
				change(rest)
				time.Sleep(time.Duration(w.chance(700)) * time.Millisecond)
			}
			heal()
			time.Sleep(4 * time.Second)
			change(w.controllers)
		}
		time.Sleep(bound)
		w.readBack(w.controllers)
	})
}

// Without waiting for calm, changes must last and reach everybody in the end, and no
// gateway may go back (which every gateway notes by itself).
func TestNoGatewayGoesBackInTrouble(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(5), w.controllers)
		v := uint64(1)
		for range 4 {
			what, m, heal := w.upset()
			w.t.Logf("%s %s at %v", m.id, what, time.Now().Format("05.000"))
			for range 4 {
				v++
				w.order(Change{Routes: []route.Route{routeTo(fmt.Sprintf("r%d", w.chance(5)), v, "b")}}, mixed(w, w.controllers))
				if w.chance(3) == 0 {
					x := pick(w, w.gateways)
					x.kill()
					x.boot()
				}
			}
			time.Sleep(time.Duration(w.chance(3000)) * time.Millisecond)
			heal()
		}
		time.Sleep(5 * time.Second)
		w.known(lo.Values(w.acked), w.gateways)
		w.readBack(w.controllers)
	})
}

// losses are what acknowledged changes must outlive.
var losses = []struct {
	name string
	lose func(w *world)
}{
	{"every controller killed at once", func(w *world) {
		for _, m := range w.controllers {
			m.kill()
		}
	}},
	{"as many disks lost as can be borne", func(w *world) {
		for _, m := range mixed(w, disked(w.controllers))[:w.tolerance.Machines] {
			m.kill()
			m.disk.wipe()
		}
	}},
	{"every controller killed and disks lost", func(w *world) {
		for _, m := range w.controllers {
			m.kill()
		}
		for _, m := range mixed(w, disked(w.controllers))[:w.tolerance.Machines] {
			m.disk.wipe()
		}
	}},
}

func TestAcknowledgedChangesOutliveLosses(t *testing.T) {
	for seed := range *seeds {
		l := losses[seed%len(losses)]
		t.Run(fmt.Sprintf("seed=%d/%s", seed, l.name), func(t *testing.T) {
			play(t, uint64(seed), lo.Ternary(seed%2 == 1, large, small), func(w *world) {
				w.order(base(20), w.controllers)
				for v := range uint64(5) {
					w.order(Change{Routes: []route.Route{routeTo(fmt.Sprintf("r%d", v), v+2, "b")}, Drops: []Drop{{item.Route, fmt.Sprintf("r%d", v+10), v + 2}}}, mixed(w, w.controllers))
				}
				l.lose(w)
				time.Sleep(time.Duration(w.chance(500)) * time.Millisecond)
				for _, m := range w.controllers {
					if m.up() == nil {
						m.boot()
					}
				}
				w.readBack(w.controllers)
				// A second loss, once the first is made good.
				time.Sleep(6 * time.Second)
				m := pick(w, disked(w.controllers))
				m.kill()
				m.disk.wipe()
				m.boot()
				w.readBack(w.controllers)
				w.order(Change{Routes: []route.Route{routeTo("late", 1, "a")}}, w.controllers)
				time.Sleep(4 * time.Second)
				w.known(lo.Values(w.acked), w.gateways)
			})
		})
	}
}

func TestSeedsAreExchanged(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			play(t, uint64(seed), shape{zones: 3, disks: 3, others: 3, gateways: 6, tolerance: quorum.Tolerance{Machines: 1}}, func(w *world) {
				w.order(base(10), w.controllers)
				old := append([]*controllerHost(nil), w.controllers[:3]...)
				for i, o := range old {
					m := w.addController(fmt.Sprintf("n%d", i), o.zone, true)
					w.mu.Lock()
					w.seeds = append(lo.Without(w.seeds, o.addr), m.addr)
					w.mu.Unlock()
					m.boot()
					time.Sleep(time.Second)
					for _, x := range w.alive() {
						x.control().SetSeeds(w.seedList())
					}
					for _, x := range w.gateways {
						x.subscriber().SetSeeds(w.seedList())
					}
					time.Sleep(time.Duration(500+w.chance(1500)) * time.Millisecond)
					o.kill()
					w.controllers = lo.Without(w.controllers, o)
					time.Sleep(4 * time.Second)
					w.order(Change{Routes: []route.Route{routeTo(fmt.Sprintf("r%d", i), uint64(i+2), "b")}}, w.controllers)
					w.known(lo.Values(w.acked), w.gateways)
				}
				time.Sleep(bound)
				w.readBack(w.controllers)
				c := w.controllers[0].control().core()
				if lo.SomeBy(old, func(o *controllerHost) bool { _, ok := c.Seat(o.id); return ok }) {
					t.Errorf("a controller that is gone still has a seat: %+v", c)
				}
				// A gateway that starts now finds its way by the new seeds alone.
				x := w.gateways[0]
				x.kill()
				x.boot()
				w.await("gateway that starts by the new seeds", 3*time.Second, func() bool { return x.subscriber().Synced() })
			})
		})
	}
}

func TestInvalidChangesLeaveNoTrace(t *testing.T) {
	play(t, 1, small, func(w *world) {
		w.order(base(3), w.controllers)
		mark := "trace-of-an-invalid-change"
		with := func(f func(*route.Route)) Change {
			r := routeTo("bad", 5, "a")
			r.Source = []byte(mark)
			f(&r)
			return Change{Routes: []route.Route{routeTo("r0", 9, "b"), r}, Services: []route.Service{service("c-"+mark, 5)}}
		}
		bad := map[string]Change{
			"unknown service": with(func(r *route.Route) { r.Shares[0].Service = "nowhere" }),
			"shared place":    with(func(r *route.Route) { r.Prefix = "/r1/" }),
			"weight below 0":  with(func(r *route.Route) { r.Shares[0].Weight = -1 }),
			"held too long":   with(func(r *route.Route) { r.HoldMS = 600001 }),
			"no slash":        with(func(r *route.Route) { r.Prefix = "x/" }),
			"unknown repeat":  with(func(r *route.Route) { r.Repeat = 9 }),
			"service still in use": {Services: []route.Service{service("c-"+mark, 5)},
				Drops: []Drop{{item.Service, "a", 9}}},
			"nameless drop": {Services: []route.Service{service("c-"+mark, 5)}, Drops: []Drop{{item.Route, "", 9}}},
		}
		for name, c := range bad {
			for _, m := range w.controllers {
				ps, err := w.apply(m, c)
				if len(ps) == 0 || err != nil {
					t.Errorf("%s at %s: problems %v, error %v", name, m.id, ps, err)
				}
			}
		}
		time.Sleep(5 * time.Second)
		for _, m := range w.controllers {
			if m.disk != nil && m.disk.holds(mark) {
				t.Errorf("%s keeps an invalid change", m.id)
			}
			m.control().Board.WithItems(func(s *item.Set) {
				if s.Len() != 6 {
					t.Errorf("%s knows %d items", m.id, s.Len())
				}
				if i, _ := s.Get(item.Key{Kind: item.Route, Name: "r0"}); i.Version != 1 {
					t.Errorf("%s took a part of an invalid change: %d", m.id, i.Version)
				}
			})
		}
		w.readBack(w.controllers)
	})
}

// A view that is old must neither refuse what is valid nor take what is not.
func TestChangesAreCheckedAgainstAllThatWasAcknowledged(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(3), w.controllers)
		a, b := w.controllers[0], w.controllers[1]
		for v := uint64(2); v < 20; v++ {
			name := fmt.Sprintf("s%d", v)
			w.order(Change{Services: []route.Service{service(name, v)}}, []*controllerHost{a})
			// Right after the acknowledgement, at another node.
			if ps, err := w.apply(b, Change{Routes: []route.Route{routeTo("on-"+name, v, name)}}); len(ps) > 0 || err != nil {
				t.Fatalf("refused for an old view: %v %v", ps, err)
			}
			w.order(Change{Drops: []Drop{{item.Route, "on-" + name, v + 1}, {item.Service, name, v + 1}}}, []*controllerHost{a})
			if ps, err := w.apply(b, Change{Routes: []route.Route{routeTo("again-"+name, v, name)}}); len(ps) == 0 || err != nil {
				t.Fatalf("taken for an old view: %v %v", ps, err)
			}
		}
	})
}

// A lower version changes nothing and is acknowledged. Another content under the version that
// stands is refused, and so is one under an earlier version whose content is settled; the same
// content is acknowledged again, also of an earlier version.
func TestOlderVersionsChangeNothing(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(3), w.controllers)
		w.order(Change{Routes: []route.Route{routeTo("r0", 7, "b")}, Drops: []Drop{{item.Route, "r1", 7}}}, w.controllers)
		w.order(Change{Routes: []route.Route{routeTo("r2", 5, "b")}}, w.controllers)
		w.order(Change{Routes: []route.Route{routeTo("r2", 9, "b")}}, w.controllers)
		for _, m := range w.controllers {
			old := routeTo("r0", 7, "a")
			old.HoldMS = 1 + w.chance(1000)
			for _, c := range []Change{{Routes: []route.Route{routeTo("r0", 6, "a"), routeTo("r1", 6, "a")}}, {Routes: []route.Route{routeTo("r2", 5, "b")}},
				{Drops: []Drop{{item.Route, "r1", 7}}}, {Routes: []route.Route{routeTo("r0", 7, "b")}}, {Routes: []route.Route{routeTo("r2", 1, "a")}}} {
				if ps, err := w.apply(m, c); len(ps) > 0 || err != nil {
					t.Fatalf("%s: %v %v", m.id, ps, err)
				}
			}
			for _, c := range []Change{{Routes: []route.Route{old}}, {Routes: []route.Route{routeTo("r1", 7, "a")}}, {Drops: []Drop{{item.Route, "r0", 7}}},
				{Routes: []route.Route{routeTo("r2", 5, "a")}}, {Routes: []route.Route{routeTo("r2", 1, "b")}}, {Routes: []route.Route{routeTo("r0", 6, "b")}}} {
				if ps, err := w.apply(m, c); len(ps) > 0 || !IsConflict(err) {
					t.Fatalf("%s: another content of a settled version: %v %v", m.id, ps, err)
				}
			}
		}
		w.readBack(w.controllers)
		w.known(lo.Values(w.acked), w.gateways)
		for _, x := range w.gateways {
			if i := x.item(item.Key{Kind: item.Route, Name: "r0"}); i.Gone || i.Version != 7 {
				t.Errorf("%s took an older version: %+v", x.id, i)
			}
		}
	})
}

// Of a call that is refused for a conflict nothing comes into force, whatever else it holds.
func TestARefusedCallLeavesNothingInForce(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(3), w.controllers)
		for _, m := range w.controllers {
			c := Change{Routes: []route.Route{routeTo("r0", 1, "b"), routeTo("r1", 50, "b"), routeTo("beside", 50, "b")}}
			if ps, err := w.apply(m, c); len(ps) > 0 || !IsConflict(err) {
				t.Fatalf("%s: %v %v", m.id, ps, err)
			}
		}
		// Lower versions of the same names are free still, and find nothing of the call.
		w.order(Change{Routes: []route.Route{routeTo("r1", 40, "a"), routeTo("beside", 40, "a")}}, w.controllers)
		time.Sleep(bound)
		w.readBack(w.controllers)
		for _, x := range w.gateways {
			for _, name := range []string{"r1", "beside"} {
				if i := x.item(item.Key{Kind: item.Route, Name: name}); i.Version != 40 {
					t.Errorf("%s: %s is at version %d", x.id, name, i.Version)
				}
			}
		}
	})
}

func TestAMinorityAcknowledgesNothing(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(3), w.controllers)
		core := w.controllers[0].control().core()
		voters := lo.Filter(w.controllers, func(m *controllerHost, _ int) bool { _, ok := core.Seat(m.id); return ok })
		few := mixed(w, voters)[:core.QuorumSize()-1]
		rest := lo.Filter(w.controllers, func(m *controllerHost, _ int) bool { return !lo.Contains(few, m) })
		for _, a := range few {
			for _, b := range rest {
				w.net.cut(a.addr, b.addr, true)
			}
		}
		for round := range 3 {
			m := few[round%len(few)]
			if ps, err := w.apply(m, Change{Routes: []route.Route{routeTo("r0", 50, "b")}}); err == nil {
				t.Fatalf("a minority acknowledged a change: %v", ps)
			}
			begun := time.Now()
			if err := m.control().Leave(w.ctx, fmt.Sprintf("i-%d", round)); err == nil {
				t.Fatal("a minority acknowledged a leaving")
			} else if d := time.Since(begun); d > 900*time.Millisecond || !errors.Is(err, quorum.ErrNoQuorum) {
				t.Errorf("it took %v to say so: %v", d, err)
			}
			if _, err := func() (State, error) {
				cx, end := context.WithTimeout(w.ctx, time.Second)
				defer end()
				return m.control().Current(cx)
			}(); err == nil {
				t.Fatal("a minority answered a read")
			}
			time.Sleep(time.Second)
		}
		for _, m := range few {
			if m.control().Ready() {
				t.Errorf("%s, in a minority, says that it is ready", m.id)
			}
		}
		w.order(Change{Routes: []route.Route{routeTo("r1", 50, "b")}}, rest)
		w.known(itemsOf(Change{Routes: []route.Route{routeTo("r1", 50, "b")}}), w.gateways)
		time.Sleep(bound)
		w.net.mend()
		time.Sleep(3 * time.Second)
		w.readBack(w.controllers)
		for _, m := range w.controllers {
			if !m.control().Ready() {
				t.Errorf("%s is not ready after the cut", m.id)
			}
		}
	})
}

func TestMembersAndGatewaysAreCounted(t *testing.T) {
	play(t, 3, small, func(w *world) {
		time.Sleep(6 * time.Second)
		for _, m := range w.controllers {
			v := m.control().View()
			if len(v.Controllers) != len(w.controllers)-1 || v.Gateways != len(w.gateways) || !v.Fresh || v.Core.Epoch != 1 {
				t.Errorf("%s sees %d controllers, %d gateways, fresh %v, epoch %d", m.id, len(v.Controllers), v.Gateways, v.Fresh, v.Core.Epoch)
			}
		}
		for _, x := range w.gateways {
			all, near := x.subscriber().Gateways()
			if want := lo.CountBy(w.gateways, func(o *gatewayHost) bool { return o.zone == x.zone }); all != len(w.gateways) || near != want {
				t.Errorf("%s is told of %d gateways, %d in its zone", x.id, all, near)
			}
			if z := x.subscriber().Following().Zone; z != x.zone {
				t.Errorf("%s follows a controller in %s", x.id, z)
			}
		}
		// All say the same home, of the target's zone.
		homes := lo.Map(w.controllers, func(m *controllerHost, _ int) watch.Member {
			h, _ := m.control().HomeMember("a", "z1")
			h.Age = 0
			return h
		})
		if len(lo.Uniq(homes)) != 1 || homes[0].Zone != "z1" {
			t.Errorf("homes differ: %+v", homes)
		}
	})
}

// In calm nothing but long polls is sent: a controller sends and answers some twenty messages a
// second, a gateway sends one or two.
func TestCalmCostsFewMessages(t *testing.T) {
	play(t, 6, shape{zones: 4, disks: 4, others: 2, gateways: 13, tolerance: quorum.Tolerance{Machines: 1}}, func(w *world) {
		w.order(base(50), w.controllers)
		time.Sleep(20 * time.Second)
		count := func() (asks, bytes int) {
			kinds, bytes := w.net.Traffic()
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
		t.Logf("%d asks and %d bytes a second between %d nodes", (c-a)/span, (d-b)/span, len(w.controllers)+len(w.gateways))
		if n := (c - a) / span; n == 0 || n > 80 {
			t.Errorf("%d asks a second", n)
		}
		if n := (d - b) / span; n > 20_000 {
			t.Errorf("%d bytes a second", n)
		}
	})
}
