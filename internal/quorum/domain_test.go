package quorum

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

// settleTime bounds the recovery after a loss or a return; a machine that returned counts as lost for this long.
const settleTime = 4 * time.Second

// newZonedCluster starts one machine per ID, in the zone of the ID's first letter, and forms a core of the first n.
func newZonedCluster(ctx context.Context, t *testing.T, tolerance Tolerance, n int, ids ...string) *cluster {
	t.Helper()
	c := newCluster(ctx, t)
	c.tolerance = tolerance
	for _, id := range ids {
		c.start(id, id[:1], nil)
	}
	c.formCore(ids[:n]...)
	return c
}

func (c *cluster) seatIDs() []string {
	return lo.Map(c.core().Seats, func(s Seat, _ int) string { return s.ID })
}

// Guards against a core that stays as it was formed: if too many seats are in one zone, they are moved one after the
// other until the core survives the required losses, and no further.
func TestSeatsMoveToWhereTheCoreBearsMost(t *testing.T) {
	for name, x := range map[string]struct {
		tolerance Tolerance
		seats     int
		ids, want []string
		epoch     uint64
	}{
		"a third zone has come":      {Tolerance{Zones: 1}, 3, []string{"a1", "a2", "b1", "c1"}, []string{"a2", "b1", "c1"}, 2},
		"two zones have come":        {Tolerance{Zones: 1}, 5, []string{"a1", "a2", "a3", "a4", "b1", "b2", "c1"}, []string{"a3", "a4", "b1", "b2", "c1"}, 3},
		"nothing better is there":    {Tolerance{Zones: 1}, 3, []string{"a1", "a2", "b1", "b2"}, []string{"a1", "a2", "b1"}, 1},
		"only machines are to be":    {Tolerance{Machines: 1}, 3, []string{"a1", "a2", "a3", "b1", "c1"}, []string{"a1", "a2", "a3"}, 1},
		"it bears what it is to now": {Tolerance{Machines: 2, Zones: 1}, 5, []string{"a1", "a2", "b1", "b2", "c1", "d1"}, []string{"a1", "a2", "b1", "b2", "c1"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				c := newZonedCluster(ctx, t, x.tolerance, x.seats, x.ids...)
				its := testItems(20)
				c.merge(x.ids[0], its...)
				time.Sleep(2 * settleTime)
				for _, when := range []string{"at first", "a minute later"} {
					got := c.seatIDs()
					slices.Sort(got)
					if !slices.Equal(got, x.want) {
						t.Errorf("%s: %v vote, want %v", when, got, x.want)
					}
					c.checkEpoch(x.epoch, when)
					time.Sleep(time.Minute)
				}
				c.checkItemsKept("after all moves", its...)
			})
		})
	}
}

// Guards against moving a seat to a zone whose loss would then cost the majority: the seat waits for a machine of its
// own zone, and its own machine takes it back, with or without its disk.
func TestASeatIsNotLentToWhereTheCoreBearsLess(t *testing.T) {
	for name, keepsDisk := range map[string]bool{"with its disk": true, "with an empty one": false} {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				c := newZonedCluster(ctx, t, Tolerance{Zones: 1}, 3, "a1", "b1", "c1", "b2", "c2")
				its := testItems(20)
				c.merge("a1", its...)
				time.Sleep(settleTime)
				m := c.kill("a1")
				time.Sleep(time.Minute)
				c.checkEpoch(1, "while its zone is down")
				if !keepsDisk {
					m = nil
				}
				c.start("a1", "a", m)
				time.Sleep(settleTime)
				c.checkEpoch(lo.Ternary[uint64](keepsDisk, 1, 2), "once it is back")
				if got := c.seatIDs(); !slices.Equal(got, []string{"a1", "b1", "c1"}) {
					t.Errorf("%v vote", got)
				}
				c.checkItemsKept("once it is back", its...)
				// Another machine of the zone takes the seat of a machine that does not return.
				c.start("a2", "a", nil)
				time.Sleep(settleTime)
				c.kill("a1")
				time.Sleep(settleTime)
				if got := c.seatIDs(); !slices.Contains(got, "a2") {
					t.Errorf("%v vote after a spare machine came up in the same zone", got)
				}
			})
		})
	}
}

// No seat is moved unless the other seats heard from are a majority: the machine that joins may fail.
func TestNoSeatIsMovedWhileAnotherIsSilent(t *testing.T) {
	viewWithout := func(silent string) view {
		v := view{core: Core{Epoch: 1}, now: time.Unix(100, 0), disks: map[string]DiskContact{}, nodes: map[string]DiskContact{}}
		for _, id := range []string{"a1", "a2", "b1", "c1"} {
			s := Seat{ID: id, Addr: id, Zone: id[:1], Disk: id}
			if len(v.core.Seats) < 3 {
				v.core.Seats = append(v.core.Seats, s)
			}
			if id != silent {
				v.disks[id], v.nodes[id] = DiskContact{Seat: s}, DiskContact{Seat: s}
			}
		}
		for _, s := range v.core.Seats {
			if v.heardWithin(s, recentWindow) {
				v.heardSeats++
			}
		}
		return v
	}
	rc := &Reconfigurer{Tolerance: Tolerance{Zones: 1}}
	rebalance := func(v view) (m seatMove, ok bool) { return rc.rebalancingMove(v, v.currentSeats(), v.spares()) }
	if m, ok := rebalance(viewWithout("")); !ok || m.to.ID != "c1" || m.from.Zone != "a" {
		t.Errorf("all seats healthy: %v, %v", m, ok)
	}
	if _, ok := rebalance(viewWithout("b1")); ok {
		t.Error("a seat of zone a was moved while b1 was silent")
	}
}

// Guards against a first core of whichever disks come up first: two disks in one zone were taken because they were
// heard from before the third zone. After the formation timeout the core is formed with what there is.
func TestAFirstCoreWaitsForTheDomainsThatItIsToBear(t *testing.T) {
	for name, x := range map[string]struct {
		thirdZoneDelay time.Duration
		want           []string
	}{
		"the third zone comes in time": {time.Second, []string{"a1", "b1", "c1"}},
		"the third zone comes late":    {time.Minute, []string{"a1", "a2", "b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				g := newFormingCluster(ctx, t, 3, "a1", "a2", "b1")
				g.tolerance = Tolerance{Zones: 1}
				for _, id := range []string{"a1", "a2", "b1", "c1"} {
					p := nodePlan{id: id, zone: id[:1], hasDisk: true}
					if id == "c1" {
						p.startDelay = x.thirdZoneDelay
					}
					g.startAll([]nodePlan{p})
				}
				time.Sleep(formationTimeout + 2*time.Second)
				got := lo.Map(g.checkOneCore("formed").Seats, func(s Seat, _ int) string { return s.ID })
				if !slices.Equal(got, x.want) {
					t.Errorf("%v vote, want %v", got, x.want)
				}
			})
		})
	}
}

// Guards against a core that stays too small: formed of the disks that were up at first, it survived no loss even
// after the others had come up.
func TestACoreThatWasFormedSmallGrows(t *testing.T) {
	for name, x := range map[string]struct {
		tolerance Tolerance
		size      int
		seats     int
		ids, want []string
	}{
		"one seat of three":          {Tolerance{Machines: 1}, 3, 1, []string{"a1", "b1", "c1", "a2"}, []string{"a1", "b1", "c1"}},
		"one seat and one disk more": {Tolerance{Machines: 1}, 3, 1, []string{"a1", "b1"}, []string{"a1"}},
		"two seats of three":         {Tolerance{Machines: 1}, 3, 2, []string{"a1", "b1", "c1"}, []string{"a1", "b1", "c1"}},
		"three seats of five":        {Tolerance{Machines: 2}, 5, 3, []string{"a1", "b1", "c1", "d1", "e1", "f1"}, []string{"a1", "b1", "c1", "d1", "e1"}},
		"one seat of five":           {Tolerance{Zones: 2}, 5, 1, []string{"a1", "a2", "b1", "c1", "d1", "e1"}, []string{"a1", "b1", "c1", "d1", "e1"}},
		"it bears what it is to":     {Tolerance{Machines: 1}, 3, 3, []string{"a1", "b1", "c1", "d1", "e1"}, []string{"a1", "b1", "c1"}},
	} {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				c := newCluster(ctx, t)
				c.tolerance, c.size = x.tolerance, x.size
				for _, id := range x.ids {
					c.start(id, id[:1], nil)
				}
				c.formCore(x.ids[:x.seats]...)
				its := testItems(20)
				c.merge("a1", its...)
				time.Sleep(2 * settleTime)
				got := c.seatIDs()
				slices.Sort(got)
				if !slices.Equal(got, x.want) {
					t.Fatalf("%v vote, want %v", got, x.want)
				}
				epoch := c.core().Epoch
				time.Sleep(time.Minute)
				c.checkEpoch(epoch, "a minute later")
				c.checkItemsKept("after it has grown", its...)
				// It survives the loss of any machine's disk.
				for _, id := range x.want[:len(x.want)/2] {
					c.kill(id)
					c.start(id, id[:1], nil)
					time.Sleep(2 * settleTime)
					c.checkItemsKept("after the loss of "+id, its...)
				}
			})
		})
	}
}
