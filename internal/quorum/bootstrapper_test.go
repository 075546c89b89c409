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

// nodePlan describes how a node of a formingCluster starts.
type nodePlan struct {
	id              string
	zone            string
	hasDisk         bool
	subsequentStart bool
	startDelay      time.Duration
}

// formingCluster is a cluster whose nodes learn of each other only through their bootstrappers.
type formingCluster struct {
	*cluster
	seeds         []string
	size          int
	bootstrappers map[string]*Bootstrapper
	// tolerance is the loss that the first core must survive.
	tolerance Tolerance
}

func newFormingCluster(ctx context.Context, t *testing.T, size int, seeds ...string) *formingCluster {
	c := newCluster(ctx, t)
	c.bootstrapOnly = true
	return &formingCluster{cluster: c, seeds: seeds, size: size, bootstrappers: map[string]*Bootstrapper{}}
}

// startNode starts a node and its bootstrapper, with disk m if the node has one.
func (g *formingCluster) startNode(p nodePlan, m *memDisk) {
	b := &Bootstrapper{Seeds: g.seeds, Self: p.id, Size: g.size, Tolerance: g.tolerance, SubsequentStart: p.subsequentStart, Transport: nodeTransport{g.cluster, p.id}, Clock: freezableClock{node: &node{}}}
	ctx := g.ctx
	var mux *link.Mux
	if p.hasDisk {
		n := g.boot(p.id, p.zone, m)
		b.Proposer, b.Voter, ctx = n.proposer, n.voter, n.ctx
		mux = link.NewMux()
		n.voter.Serve(mux)
	} else {
		b.Proposer = NewProposer(p.id, nodeTransport{g.cluster, p.id}, b.Clock)
		mux = link.NewMux()
	}
	b.Serve(mux)
	g.withLock(func() {
		g.muxes[p.id] = mux
		g.bootstrappers[p.id] = b
	})
	go b.Run(ctx)
}

func (g *formingCluster) startAll(ps []nodePlan) {
	for _, p := range ps {
		time.AfterFunc(p.startDelay, func() { g.startNode(p, nil) })
	}
}

// checkOneCore checks that only one core was formed and that all nodes know it, and
// returns it.
func (g *formingCluster) checkOneCore(when string) (core Core) {
	g.t.Helper()
	g.mu.Lock()
	bootstrappers := map[string]*Bootstrapper{}
	for id, b := range g.bootstrappers {
		if g.muxes[id] != nil {
			bootstrappers[id] = b
		}
	}
	g.mu.Unlock()
	for id, b := range bootstrappers {
		for _, c := range []Core{b.Proposer.Core(), b.core()} {
			if core.Epoch == 0 {
				core = c
			}
			if c.Epoch != 1 || !slices.Equal(c.Seats, core.Seats) {
				g.t.Errorf("%s: %s knows %+v, another %+v", when, id, c, core)
			}
		}
	}
	for _, s := range core.Seats {
		if b := bootstrappers[s.ID]; b != nil && (b.Voter == nil || b.Voter.Core().Epoch != 1 || !b.Voter.Voting()) {
			g.t.Errorf("%s: %s has a seat and does not vote", when, s.ID)
		}
	}
	return core
}

func diskNodes(ids ...string) (ps []nodePlan) {
	for _, id := range ids {
		ps = append(ps, nodePlan{id: id, hasDisk: true})
	}
	return ps
}

func TestFirstCoreIsFormedSoon(t *testing.T) {
	type layout struct {
		size  int
		seeds []string
		ps    []nodePlan
	}
	disklessNodes := func(ids ...string) (ps []nodePlan) {
		for _, id := range ids {
			ps = append(ps, nodePlan{id: id})
		}
		return ps
	}
	for name, x := range map[string]layout{
		"seeds are the seats":     {3, []string{"a", "b", "c"}, diskNodes("a", "b", "c")},
		"some seeds have no disk": {3, []string{"a", "m", "n"}, append(diskNodes("a", "b", "c"), disklessNodes("m", "n")...)},
		"no seed has a disk":      {3, []string{"m", "n"}, append(diskNodes("a", "b", "c"), disklessNodes("m", "n")...)},
		"more seats than seeds":   {5, []string{"c", "d", "e"}, diskNodes("a", "b", "c", "d", "e")},
		"more disks than seats":   {3, []string{"f", "g", "m"}, append(diskNodes("a", "b", "c", "d", "e", "f", "g", "h"), disklessNodes("m")...)},
		"one voter":               {1, []string{"b"}, diskNodes("a", "b")},
		"gateways run too":        {3, []string{"a", "b"}, append(diskNodes("a", "b", "c"), disklessNodes("f1", "f2", "f3")...)},
		"no seed gets a seat":     {3, []string{"y", "z"}, append(diskNodes("a", "b", "c"), diskNodes("x", "y", "z")...)},
	} {
		for i := range 20 {
			for _, silent := range []bool{false, true} {
				runSynctest(t, func(ctx context.Context, t *testing.T) {
					r := rand.New(rand.NewPCG(uint64(i), 1))
					g := newFormingCluster(ctx, t, x.size, x.seeds...)
					if silent {
						// A node that has not started does not even refuse connections.
						g.dropAsk = func(_, to string, _ any) bool { return g.muxes[to] == nil }
					}
					ps := slices.Clone(x.ps)
					for k := range ps {
						ps[k].startDelay = time.Duration(r.IntN(500)) * time.Millisecond
					}
					g.startAll(ps)
					time.Sleep(2 * time.Second)
					formed := 0
					for _, n := range g.runningNodes() {
						if n.voter.Voting() {
							formed++
						}
					}
					if formed != x.size {
						t.Errorf("%s, %d: %d vote after 2 s", name, i, formed)
					}
					time.Sleep(6 * time.Second)
					if c := g.checkOneCore(name); len(c.Seats) != x.size {
						t.Errorf("%s, %d: %+v", name, i, c)
					}
				})
			}
		}
	}
}

func TestFirstCoreIsSpreadOverZones(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newFormingCluster(ctx, t, 3, "a")
		for _, p := range []nodePlan{{id: "a", zone: "1"}, {id: "b", zone: "1"}, {id: "c", zone: "2"}, {id: "d", zone: "2"}, {id: "e", zone: "3"}} {
			p.hasDisk = true
			g.startNode(p, nil)
		}
		time.Sleep(4 * time.Second)
		zones := map[string]bool{}
		for _, s := range g.checkOneCore("zones").Seats {
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
			g := newFormingCluster(ctx, t, x.size, "a", "m")
			g.startAll(append(diskNodes([]string{"a", "b", "c", "d"}[:x.disks]...), nodePlan{id: "m"}))
			time.Sleep(2900 * time.Millisecond)
			for id, n := range g.runningNodes() {
				if n.voter.Core().Epoch > 0 {
					t.Errorf("%d of %d: %s has a core before the formation timeout", x.disks, x.size, id)
				}
			}
			time.Sleep(4 * time.Second)
			if c := g.checkOneCore("small"); len(c.Seats) != x.want {
				t.Errorf("%d of %d disks: %+v", x.disks, x.size, c)
			}
		})
	}
}

func TestNoFirstCoreWhileASeedIsSilent(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newFormingCluster(ctx, t, 3, "a", "b", "m")
		g.startAll(diskNodes("a", "b", "c", "d"))
		time.Sleep(10 * time.Second)
		for id, n := range g.runningNodes() {
			if n.voter.Core().Epoch > 0 {
				t.Errorf("%s has a core", id)
			}
		}
		// A dead disk must not count as alive, although the seeds keep reporting it to each
		// other.
		g.kill("c")
		time.Sleep(6 * time.Second)
		g.startNode(nodePlan{id: "e", hasDisk: true}, nil)
		g.startNode(nodePlan{id: "m"}, nil)
		time.Sleep(3 * time.Second)
		if _, has := g.checkOneCore("the silent seed is up").Seat("c"); has {
			t.Error("a dead disk got a seat")
		}
	})
}

// On a later start of the system no core is formed, whatever happened to the disks. It is
// enough that one node knows that it is a later start.
func TestLaterStartFormsNoCore(t *testing.T) {
	for name, subsequentIDs := range map[string]string{"all": "abcm", "a seed with a disk": "a", "a seed without": "m"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			g := newFormingCluster(ctx, t, 3, "a", "m")
			g.dropAsk = func(from, _ string, ask any) bool {
				if _, form := ask.(FormAsk); form && strings.Contains(subsequentIDs, from) {
					t.Errorf("later start at %s: %s proposed", name, from)
				}
				return false
			}
			for _, p := range append(diskNodes("a", "b", "c", "d"), nodePlan{id: "m"}) {
				for _, l := range subsequentIDs {
					p.subsequentStart = p.subsequentStart || string(l) == p.id
				}
				g.startNode(p, nil)
			}
			time.Sleep(15 * time.Second)
			for id, b := range g.bootstrappers {
				if c := b.core(); c.Epoch > 0 {
					t.Errorf("later start at %s: %s knows %+v", name, id, c)
				}
			}
		})
	}
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newFormingCluster(ctx, t, 1, "z")
		g.startNode(nodePlan{id: "a", hasDisk: true, subsequentStart: true}, nil)
		v := g.node("a").voter
		c := Core{Epoch: 1, Seats: []Seat{v.Seat()}}
		for _, seal := range []bool{false, true} {
			if r, err := link.Call[FormTold](ctx, nodeTransport{g.cluster, "t"}, "a", FormAsk{By: "a", Core: c, Seal: seal}); err != nil || r.OK || v.Core().Epoch > 0 {
				t.Errorf("seal %v: %+v %v", seal, r, err)
			}
		}
	})
}

// The proposer dies halfway through a formation, and comes back with its disk, with an
// empty disk, or not at all.
func TestFormationCutShort(t *testing.T) {
	for restart, want := range map[string]int{"same": 3, "emptied": 3, "never": 3} {
		for asks := range 12 {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				g := newFormingCluster(ctx, t, 3, "b", "m", "n")
				n := 0
				killed := make(chan *memDisk, 1)
				g.dropAsk = func(from, _ string, ask any) bool {
					if _, form := ask.(FormAsk); !form || from != "a" {
						return false
					}
					if n++; n == asks+1 {
						time.AfterFunc(0, func() { killed <- g.kill("a") })
					}
					return n > asks
				}
				g.startAll(append(diskNodes("a", "b", "c", "d"), nodePlan{id: "m"}, nodePlan{id: "n"}))
				time.Sleep(3 * time.Second)
				var m *memDisk
				if len(killed) > 0 {
					m = <-killed
				} else {
					// The formation was complete before that many requests were sent.
					m = g.kill("a")
				}
				g.withLock(func() { g.dropAsk = nil })
				switch restart {
				case "same":
					g.startNode(nodePlan{id: "a", hasDisk: true}, m)
				case "emptied":
					g.startNode(nodePlan{id: "a", hasDisk: true}, nil)
				}
				time.Sleep(15 * time.Second)
				cores := map[string]bool{}
				voting := 0
				for _, b := range g.bootstrappers {
					if c := b.core(); c.Epoch > 0 {
						cores[fmt.Sprint(c.Seats)] = true
					}
				}
				for _, n := range g.runningNodes() {
					if n.voter.Voting() {
						voting++
					}
				}
				if len(cores) != 1 || voting < want-1 {
					t.Errorf("%s, after %d asks: %d vote in %v", restart, asks, voting, cores)
				}
			})
		}
	}
}

// Two nodes that propose a core concurrently end with the same one.
func TestTwoFormationsAtOnce(t *testing.T) {
	for i := range 40 {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			r := rand.New(rand.NewPCG(uint64(i), 2))
			g := newFormingCluster(ctx, t, 3, "m", "n", "f")
			// For a while the lower and the upper half of the nodes do not learn of each other.
			until := time.Now().Add(time.Duration(r.IntN(800)) * time.Millisecond)
			inLowerHalf := func(id string) bool { return id < "d" }
			g.dropAsk = func(from, to string, ask any) bool {
				a, hello := ask.(HelloAsk)
				return hello && time.Now().Before(until) && a.Seat.ID != "" && inLowerHalf(a.Seat.ID) == (to == "m") && r.IntN(3) > 0
			}
			ps := append(diskNodes("a", "b", "c", "d", "e", "f"), nodePlan{id: "m"}, nodePlan{id: "n"})
			for k := range ps {
				ps[k].startDelay = time.Duration(r.IntN(300)) * time.Millisecond
			}
			g.startAll(ps)
			time.Sleep(10 * time.Second)
			if c := g.checkOneCore(fmt.Sprint("seed ", i)); len(c.Seats) != 3 {
				t.Errorf("%d: %+v", i, c)
			}
		})
	}
}

// A node that knows a core sends one request every two seconds, which is enough to learn
// of a newer core and to inform a seed of it.
func TestKnownCoreIsRecheckedCheaply(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newFormingCluster(ctx, t, 3, "a", "b", "m")
		g.startAll(append(diskNodes("a", "b", "c"), nodePlan{id: "m"}, nodePlan{id: "f"}))
		time.Sleep(5 * time.Second)
		core := g.checkOneCore("formed")
		g.withLock(func() { clear(g.askCounts) })
		time.Sleep(20 * time.Second)
		g.withLock(func() {
			for id := range g.bootstrappers {
				if g.askCounts[id] < 9 || g.askCounts[id] > 11 {
					t.Errorf("%s asked %d times in 20 s", id, g.askCounts[id])
				}
			}
		})
		next := Core{Epoch: 2, Seats: core.Seats, Before: core.Seats}
		g.bootstrappers["f"].Proposer.Learn(next)
		g.kill("a")
		time.Sleep(12 * time.Second)
		for id, b := range g.bootstrappers {
			if id != "a" && b.Proposer.Core().Epoch != 2 {
				t.Errorf("%s knows epoch %d", id, b.Proposer.Core().Epoch)
			}
		}
	})
}

// Two nodes that know no common disk and propose at the same time cannot both form a core,
// since every seed would have to consent to both.
func TestDisjointFormationsNeverBothStand(t *testing.T) {
	for _, gap := range []time.Duration{-1, 0, 1, 2, 3, 4, 5, 8} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			g := newFormingCluster(ctx, t, 3, "m", "n")
			for _, id := range []string{"m", "n"} {
				g.startNode(nodePlan{id: id}, nil)
			}
			groups := [][]string{{"a", "b", "c"}, {"d", "e", "f"}}
			var bootstrappers []*Bootstrapper
			for _, ids := range groups {
				var all []Seat
				for _, id := range ids {
					all = append(all, g.boot(id, "", nil).seat)
				}
				n := g.node(ids[0])
				b := &Bootstrapper{Seeds: g.seeds, Self: ids[0], Size: 3, Transport: nodeTransport{g.cluster, ids[0]}, Clock: freezableClock{node: n}, Proposer: n.proposer, Voter: n.voter}
				for _, s := range all {
					b.recordDisk(s, 0)
				}
				b.noCoreSince = time.Now()
				bootstrappers = append(bootstrappers, b)
			}
			if gap < 0 {
				// Each proposer gets the consent of one of the seeds.
				g.withLock(func() {
					g.dropAsk = func(from, to string, _ any) bool { return from == "a" && to == "m" || from == "d" && to == "n" }
				})
				for _, b := range bootstrappers {
					proposeCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
					defer cancel()
					b.propose(proposeCtx, nil)
				}
				g.withLock(func() { g.dropAsk = nil })
			}
			for range 3 {
				for _, i := range []int{1, 0} {
					go bootstrappers[i].propose(ctx, nil)
					time.Sleep(gap * time.Millisecond)
				}
				time.Sleep(500 * time.Millisecond)
			}
			formed := 0
			for _, ids := range groups {
				if g.node(ids[0]).voter.Core().Epoch > 0 {
					formed++
				}
			}
			if formed != 1 {
				t.Errorf("gap %d ms: %d cores were formed", gap, formed)
			}
			if gap < 0 && g.node("a").voter.Core().Epoch == 0 {
				t.Error("the formation with the higher ID took precedence")
			}
		})
	}
}

// Of several formations whose proposers are dead, the one with the highest proposer ID is
// resumed first: otherwise one that blocks another would not be found and dropped.
func TestProposalTakesOverInOrder(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		g := newFormingCluster(ctx, t, 1, "m")
		n := g.boot("c", "", nil)
		b := &Bootstrapper{Seeds: g.seeds, Self: "c", Size: 1, Clock: freezableClock{node: n}, Proposer: n.proposer, Voter: n.voter}
		self, other := knownSeat{seat: n.seat}, knownSeat{seat: Seat{ID: "d", Addr: "d", Disk: "d"}}
		formBy := func(id string) form { return form{id, Core{Epoch: 1, Seats: []Seat{{ID: id}}}} }
		for name, x := range map[string]struct {
			all   []knownSeat
			forms []form
			want  string // "" for none
			isNew bool
		}{
			"none":                       {[]knownSeat{self, other}, []form{{}, {}}, "c", true},
			"two are gone":               {[]knownSeat{self, other}, []form{formBy("x"), formBy("y"), formBy("b")}, "y", false},
			"its own and one gone":       {[]knownSeat{self, other}, []form{formBy("c"), formBy("b")}, "c", false},
			"one that is there":          {[]knownSeat{self, other}, []form{formBy("d")}, "", false},
			"its own, another there":     {[]knownSeat{self, other}, []form{formBy("d"), formBy("c")}, "c", false},
			"not the lowest":             {[]knownSeat{{seat: Seat{ID: "a"}}, self}, []form{formBy("x")}, "", false},
			"not the lowest but its own": {[]knownSeat{{seat: Seat{ID: "a"}}, self}, []form{formBy("c")}, "c", false},
			"not the lowest, none":       {[]knownSeat{{seat: Seat{ID: "a"}}, self}, nil, "", false},
			"nobody known":               {nil, nil, "", false},
		} {
			formation, isNew, ok := b.selectFormation(x.all, x.forms, false)
			if ok != (x.want != "") || ok && (formation.By != x.want || isNew != x.isNew) {
				t.Errorf("%s: %+v new %v, %v", name, formation, isNew, ok)
			}
		}
	})
}
