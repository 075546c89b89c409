package quorum

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"walkrudder/internal/link"
)

// plan says how a node of a forming city starts.
type plan struct {
	id    string
	zone  string
	disk  bool
	later bool
	after time.Duration
}

// forming is a city in which nodes know of each other by their formers alone.
type forming struct {
	*city
	seeds   []string
	size    int
	formers map[string]*Bootstrapper
	// tolerance is what the first core is to bear.
	tolerance Tolerance
}

func newForming(ctx context.Context, t *testing.T, size int, seeds ...string) *forming {
	c := newCity(ctx, t)
	c.deaf = true
	return &forming{city: c, seeds: seeds, size: size, formers: map[string]*Bootstrapper{}}
}

// begin starts one node's former, on a disk if it has one.
func (g *forming) begin(p plan, m *mem) {
	f := &Bootstrapper{Seeds: g.seeds, Self: p.id, Size: g.size, Tolerance: g.tolerance, Later: p.later, Line: port{g.city, p.id}, Clock: ice{n: &node{}}}
	ctx := g.ctx
	var d *link.Desk
	if p.disk {
		n := g.boot(p.id, p.zone, m)
		f.Prop, f.Voter, ctx = n.p, n.v, n.ctx
		d = link.NewDesk()
		n.v.Serve(d)
	} else {
		f.Prop = NewProposer(p.id, port{g.city, p.id}, f.Clock)
		d = link.NewDesk()
	}
	f.Serve(d)
	g.set(func() {
		g.desks[p.id] = d
		g.formers[p.id] = f
	})
	go f.Run(ctx)
}

func (g *forming) beginAll(ps []plan) {
	for _, p := range ps {
		time.AfterFunc(p.after, func() { g.begin(p, nil) })
	}
}

// one checks that no two cores were formed and that all nodes know the one, and
// yields it.
func (g *forming) one(when string) (core Core) {
	g.t.Helper()
	g.mu.Lock()
	fs := map[string]*Bootstrapper{}
	for id, f := range g.formers {
		if g.desks[id] != nil {
			fs[id] = f
		}
	}
	g.mu.Unlock()
	for id, f := range fs {
		for _, c := range []Core{f.Prop.Core(), f.core()} {
			if core.Epoch == 0 {
				core = c
			}
			if c.Epoch != 1 || !slices.Equal(c.Seats, core.Seats) {
				g.t.Errorf("%s: %s knows %+v, another %+v", when, id, c, core)
			}
		}
	}
	for _, s := range core.Seats {
		if f := fs[s.ID]; f != nil && (f.Voter == nil || f.Voter.Core().Epoch != 1 || !f.Voter.Voting()) {
			g.t.Errorf("%s: %s has a seat and does not vote", when, s.ID)
		}
	}
	return core
}

func disks(ids ...string) (ps []plan) {
	for _, id := range ids {
		ps = append(ps, plan{id: id, disk: true})
	}
	return ps
}

func TestFirstCoreIsFormedSoon(t *testing.T) {
	type try struct {
		size  int
		seeds []string
		ps    []plan
	}
	bare := func(ids ...string) (ps []plan) {
		for _, id := range ids {
			ps = append(ps, plan{id: id})
		}
		return ps
	}
	for name, x := range map[string]try{
		"seeds are the seats":         {3, []string{"a", "b", "c"}, disks("a", "b", "c")},
		"some seeds have no disk":     {3, []string{"a", "m", "n"}, append(disks("a", "b", "c"), bare("m", "n")...)},
		"no seed has a disk":          {3, []string{"m", "n"}, append(disks("a", "b", "c"), bare("m", "n")...)},
		"more seats than seeds":       {5, []string{"c", "d", "e"}, disks("a", "b", "c", "d", "e")},
		"more disks than seats":       {3, []string{"f", "g", "m"}, append(disks("a", "b", "c", "d", "e", "f", "g", "h"), bare("m")...)},
		"one voter":                   {1, []string{"b"}, disks("a", "b")},
		"gateways look on":            {3, []string{"a", "b"}, append(disks("a", "b", "c"), bare("f1", "f2", "f3")...)},
		"seats, seeds, all different": {3, []string{"y", "z"}, append(disks("a", "b", "c"), disks("x", "y", "z")...)},
	} {
		for i := range 20 {
			for _, silent := range []bool{false, true} {
				runSynctest(t, func(ctx context.Context, t *testing.T) {
					r := rand.New(rand.NewPCG(uint64(i), 1))
					g := newForming(ctx, t, x.size, x.seeds...)
					if silent {
						// Who has not started does not even refuse.
						g.drop = func(_, to string, _ any) bool { return g.desks[to] == nil }
					}
					ps := slices.Clone(x.ps)
					for k := range ps {
						ps[k].after = time.Duration(r.IntN(500)) * time.Millisecond
					}
					g.beginAll(ps)
					time.Sleep(2 * time.Second)
					formed := 0
					for _, n := range g.all() {
						if n.v.Voting() {
							formed++
						}
					}
					if formed != x.size {
						t.Errorf("%s, %d: %d vote after 2 s", name, i, formed)
					}
					time.Sleep(6 * time.Second)
					if c := g.one(name); len(c.Seats) != x.size {
						t.Errorf("%s, %d: %+v", name, i, c)
					}
				})
			}
		}
	}
}

func TestFirstCoreIsSpreadOverZones(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newForming(ctx, t, 3, "a")
		for _, p := range []plan{{id: "a", zone: "1"}, {id: "b", zone: "1"}, {id: "c", zone: "2"}, {id: "d", zone: "2"}, {id: "e", zone: "3"}} {
			p.disk = true
			g.begin(p, nil)
		}
		time.Sleep(4 * time.Second)
		zones := map[string]bool{}
		for _, s := range g.one("zones").Seats {
			zones[s.Zone] = true
		}
		if len(zones) != 3 {
			t.Errorf("seats in zones %v", zones)
		}
	})
}

func TestSmallerFirstCoreAfterPatience(t *testing.T) {
	for _, x := range []struct{ disks, size, want int }{{4, 5, 3}, {3, 5, 3}, {2, 3, 1}, {1, 3, 1}} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			g := newForming(ctx, t, x.size, "a", "m")
			g.beginAll(append(disks([]string{"a", "b", "c", "d"}[:x.disks]...), plan{id: "m"}))
			time.Sleep(2900 * time.Millisecond)
			for id, n := range g.all() {
				if n.v.Core().Epoch > 0 {
					t.Errorf("%d of %d: %s has a core before the patience ended", x.disks, x.size, id)
				}
			}
			time.Sleep(4 * time.Second)
			if c := g.one("small"); len(c.Seats) != x.want {
				t.Errorf("%d of %d disks: %+v", x.disks, x.size, c)
			}
		})
	}
}

func TestNoFirstCoreWhileASeedIsSilent(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newForming(ctx, t, 3, "a", "b", "m")
		g.beginAll(disks("a", "b", "c", "d"))
		time.Sleep(10 * time.Second)
		for id, n := range g.all() {
			if n.v.Core().Epoch > 0 {
				t.Errorf("%s has a core", id)
			}
		}
		// A disk that is gone is not taken for one that is there, although the seeds
		// told each other of it.
		g.kill("c")
		time.Sleep(6 * time.Second)
		g.begin(plan{id: "e", disk: true}, nil)
		g.begin(plan{id: "m"}, nil)
		time.Sleep(3 * time.Second)
		if _, has := g.one("the silent seed is there").Seat("c"); has {
			t.Error("a disk that is gone got a seat")
		}
	})
}

// On a later start of the system no core is formed, whatever the disks have become;
// and one node that knows is enough.
func TestLaterStartFormsNoCore(t *testing.T) {
	for name, later := range map[string]string{"all": "abcm", "a seed with a disk": "a", "a seed without": "m"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			g := newForming(ctx, t, 3, "a", "m")
			g.drop = func(from, _ string, ask any) bool {
				if _, form := ask.(FormAsk); form && strings.Contains(later, from) {
					t.Errorf("%s is later: %s proposed", name, from)
				}
				return false
			}
			for _, p := range append(disks("a", "b", "c", "d"), plan{id: "m"}) {
				for _, l := range later {
					p.later = p.later || string(l) == p.id
				}
				g.begin(p, nil)
			}
			time.Sleep(15 * time.Second)
			for id, f := range g.formers {
				if c := f.core(); c.Epoch > 0 {
					t.Errorf("%s is later: %s knows %+v", name, id, c)
				}
			}
		})
	}
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newForming(ctx, t, 1, "z")
		g.begin(plan{id: "a", disk: true, later: true}, nil)
		v := g.node("a").v
		c := Core{Epoch: 1, Seats: []Seat{v.Seat()}}
		for _, seal := range []bool{false, true} {
			if r, err := link.Ask[FormTold](ctx, port{g.city, "t"}, "a", FormAsk{By: "a", Core: c, Seal: seal}); err != nil || r.OK || v.Core().Epoch > 0 {
				t.Errorf("seal %v: %+v %v", seal, r, err)
			}
		}
	})
}

// The proposer ends in the middle, and comes back with its disk, without it, or not
// at all.
func TestFormationCutShort(t *testing.T) {
	for back, want := range map[string]int{"same": 3, "emptied": 3, "never": 3} {
		for asks := range 12 {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				g := newForming(ctx, t, 3, "b", "m", "n")
				n := 0
				gone := make(chan *mem, 1)
				g.drop = func(from, _ string, ask any) bool {
					if _, form := ask.(FormAsk); !form || from != "a" {
						return false
					}
					if n++; n == asks+1 {
						time.AfterFunc(0, func() { gone <- g.kill("a") })
					}
					return n > asks
				}
				g.beginAll(append(disks("a", "b", "c", "d"), plan{id: "m"}, plan{id: "n"}))
				time.Sleep(3 * time.Second)
				var m *mem
				if len(gone) > 0 {
					m = <-gone
				} else {
					// It was done before.
					m = g.kill("a")
				}
				g.set(func() { g.drop = nil })
				switch back {
				case "same":
					g.begin(plan{id: "a", disk: true}, m)
				case "emptied":
					g.begin(plan{id: "a", disk: true}, nil)
				}
				time.Sleep(15 * time.Second)
				cores := map[string]bool{}
				voting := 0
				for _, f := range g.formers {
					if c := f.core(); c.Epoch > 0 {
						cores[fmt.Sprint(c.Seats)] = true
					}
				}
				for _, n := range g.all() {
					if n.v.Voting() {
						voting++
					}
				}
				if len(cores) != 1 || voting < want-1 {
					t.Errorf("%s, after %d asks: %d vote in %v", back, asks, voting, cores)
				}
			})
		}
	}
}

// Two that both propose at once end with one core.
func TestTwoFormationsAtOnce(t *testing.T) {
	for i := range 40 {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(i), 2))
			g := newForming(ctx, t, 3, "m", "n", "f")
			// For a while the lower half and the upper half are not told of each other.
			until := time.Now().Add(time.Duration(r.IntN(800)) * time.Millisecond)
			side := func(id string) bool { return id < "d" }
			g.drop = func(from, to string, ask any) bool {
				a, hello := ask.(HelloAsk)
				return hello && time.Now().Before(until) && a.Seat.ID != "" && side(a.Seat.ID) == (to == "m") && r.IntN(3) > 0
			}
			ps := append(disks("a", "b", "c", "d", "e", "f"), plan{id: "m"}, plan{id: "n"})
			for k := range ps {
				ps[k].after = time.Duration(r.IntN(300)) * time.Millisecond
			}
			g.beginAll(ps)
			time.Sleep(10 * time.Second)
			if c := g.one(fmt.Sprint("seed ", i)); len(c.Seats) != 3 {
				t.Errorf("%d: %+v", i, c)
			}
		})
	}
}

// Once a core is known a node sends one question in two seconds, and still hears of
// a newer core, and tells a seed of it.
func TestKnownCoreIsRecheckedCheaply(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newForming(ctx, t, 3, "a", "b", "m")
		g.beginAll(append(disks("a", "b", "c"), plan{id: "m"}, plan{id: "f"}))
		time.Sleep(5 * time.Second)
		core := g.one("formed")
		g.set(func() { clear(g.asked) })
		time.Sleep(20 * time.Second)
		g.set(func() {
			for id := range g.formers {
				if g.asked[id] < 9 || g.asked[id] > 11 {
					t.Errorf("%s asked %d times in 20 s", id, g.asked[id])
				}
			}
		})
		next := Core{Epoch: 2, Seats: core.Seats, Before: core.Seats}
		g.formers["f"].Prop.Learn(next)
		g.kill("a")
		time.Sleep(12 * time.Second)
		for id, f := range g.formers {
			if id != "a" && f.Prop.Core().Epoch != 2 {
				t.Errorf("%s knows epoch %d", id, f.Prop.Core().Epoch)
			}
		}
	})
}

// Two that know of nobody in common and propose in the same moment cannot both form:
// every seed would have to consent to both.
func TestDisjointFormationsNeverBothStand(t *testing.T) {
	for _, gap := range []time.Duration{-1, 0, 1, 2, 3, 4, 5, 8} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			g := newForming(ctx, t, 3, "m", "n")
			for _, id := range []string{"m", "n"} {
				g.begin(plan{id: id}, nil)
			}
			groups := [][]string{{"a", "b", "c"}, {"d", "e", "f"}}
			var fs []*Bootstrapper
			for _, ids := range groups {
				var all []Seat
				for _, id := range ids {
					all = append(all, g.boot(id, "", nil).seat)
				}
				n := g.node(ids[0])
				f := &Bootstrapper{Seeds: g.seeds, Self: ids[0], Size: 3, Line: port{g.city, ids[0]}, Clock: ice{n: n}, Prop: n.p, Voter: n.v}
				for _, s := range all {
					f.note(s, 0)
				}
				f.empty = time.Now()
				fs = append(fs, f)
			}
			if gap < 0 {
				// Each wins one of the seeds.
				g.set(func() {
					g.drop = func(from, to string, _ any) bool { return from == "a" && to == "m" || from == "d" && to == "n" }
				})
				for _, f := range fs {
					cx, end := context.WithTimeout(ctx, 50*time.Millisecond)
					defer end()
					f.propose(cx, nil)
				}
				g.set(func() { g.drop = nil })
			}
			for range 3 {
				for _, i := range []int{1, 0} {
					go fs[i].propose(ctx, nil)
					time.Sleep(gap * time.Millisecond)
				}
				time.Sleep(500 * time.Millisecond)
			}
			stand := 0
			for _, ids := range groups {
				if g.node(ids[0]).v.Core().Epoch > 0 {
					stand++
				}
			}
			if stand != 1 {
				t.Errorf("gap %d ms: %d cores stand", gap, stand)
			}
			if gap < 0 && g.node("a").v.Core().Epoch == 0 {
				t.Error("the higher ID went first")
			}
		})
	}
}

// Of formations whose proposers are gone the highest comes first: only so is one that
// stands in the way of another found out and dropped.
func TestProposalTakesOverInOrder(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newForming(ctx, t, 1, "m")
		n := g.boot("c", "", nil)
		f := &Bootstrapper{Seeds: g.seeds, Self: "c", Size: 1, Clock: ice{n: n}, Prop: n.p, Voter: n.v}
		me, other := knownSeat{s: n.seat}, knownSeat{s: Seat{ID: "d", Addr: "d", Disk: "d"}}
		of := func(id string) form { return form{id, Core{Epoch: 1, Seats: []Seat{{ID: id}}}} }
		for name, x := range map[string]struct {
			all   []knownSeat
			forms []form
			want  string // "" for none
			fresh bool
		}{
			"none":                       {[]knownSeat{me, other}, []form{{}, {}}, "c", true},
			"two are gone":               {[]knownSeat{me, other}, []form{of("x"), of("y"), of("b")}, "y", false},
			"its own and one gone":       {[]knownSeat{me, other}, []form{of("c"), of("b")}, "c", false},
			"one that is there":          {[]knownSeat{me, other}, []form{of("d")}, "", false},
			"its own, another there":     {[]knownSeat{me, other}, []form{of("d"), of("c")}, "c", false},
			"not the lowest":             {[]knownSeat{{s: Seat{ID: "a"}}, me}, []form{of("x")}, "", false},
			"not the lowest but its own": {[]knownSeat{{s: Seat{ID: "a"}}, me}, []form{of("c")}, "c", false},
			"not the lowest, none":       {[]knownSeat{{s: Seat{ID: "a"}}, me}, nil, "", false},
			"nobody known":               {nil, nil, "", false},
		} {
			p, fresh, ok := f.proposal(x.all, x.forms, false)
			if ok != (x.want != "") || ok && (p.By != x.want || fresh != x.fresh) {
				t.Errorf("%s: %+v fresh %v, %v", name, p, fresh, ok)
			}
		}
	})
}
