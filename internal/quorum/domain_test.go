package quorum

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

// catchUp is how long a machine that is back still counts as lost.
const catchUp = 4 * time.Second

// zoned is a city of one machine an ID, whose zone is the ID's first letter, with a core of the first n.
func zoned(ctx context.Context, t *testing.T, tolerance Tolerance, n int, ids ...string) *city {
	t.Helper()
	c := newCity(ctx, t)
	c.tolerance = tolerance
	for _, id := range ids {
		c.start(id, id[:1], nil)
	}
	c.found(ids[:n]...)
	return c
}

func (c *city) seatIDs() []string {
	return lo.Map(c.core().Seats, func(s Seat, _ int) string { return s.ID })
}

// Guards against a core that stays as it was formed: seats that stand too many in one zone are moved to where the core
// bears what it is to, one after the other, and rest then.
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
				c := zoned(ctx, t, x.tolerance, x.seats, x.ids...)
				its := items(20)
				c.merge(x.ids[0], its...)
				time.Sleep(2 * catchUp)
				for _, when := range []string{"at first", "a minute later"} {
					got := c.seatIDs()
					slices.Sort(got)
					if !slices.Equal(got, x.want) {
						t.Errorf("%s: %v vote, want %v", when, got, x.want)
					}
					c.epochIs(x.epoch, when)
					time.Sleep(time.Minute)
				}
				c.kept("after all moves", its...)
			})
		})
	}
}

// Guards against a seat that is lent to a zone whose loss would then take the majority: it waits for its own zone, and
// its machine takes it back with its disk or without.
func TestASeatIsNotLentToWhereTheCoreBearsLess(t *testing.T) {
	for name, keeps := range map[string]bool{"with its disk": true, "with an empty one": false} {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				c := zoned(ctx, t, Tolerance{Zones: 1}, 3, "a1", "b1", "c1", "b2", "c2")
				its := items(20)
				c.merge("a1", its...)
				time.Sleep(catchUp)
				m := c.kill("a1")
				time.Sleep(time.Minute)
				c.epochIs(1, "while its zone is down")
				if !keeps {
					m = nil
				}
				c.start("a1", "a", m)
				time.Sleep(catchUp)
				c.epochIs(lo.Ternary[uint64](keeps, 1, 2), "once it is back")
				if got := c.seatIDs(); !slices.Equal(got, []string{"a1", "b1", "c1"}) {
					t.Errorf("%v vote", got)
				}
				c.kept("once it is back", its...)
				// Another machine of the zone takes the seat of one that does not come back.
				c.start("a2", "a", nil)
				time.Sleep(catchUp)
				c.kill("a1")
				time.Sleep(catchUp)
				if got := c.seatIDs(); !slices.Contains(got, "a2") {
					t.Errorf("%v vote after a machine of the same zone stood by", got)
				}
			})
		})
	}
}

// No seat is moved while the others are no majority without it: the machine that joins may fail.
func TestNoSeatIsMovedWhileAnotherIsSilent(t *testing.T) {
	v := func(silent string) view {
		v := view{core: Core{Epoch: 1}, now: time.Unix(100, 0), disks: map[string]Heard{}, nodes: map[string]Heard{}}
		for _, id := range []string{"a1", "a2", "b1", "c1"} {
			s := Seat{ID: id, Addr: id, Zone: id[:1], Disk: id}
			if len(v.core.Seats) < 3 {
				v.core.Seats = append(v.core.Seats, s)
			}
			if id != silent {
				v.disks[id], v.nodes[id] = Heard{Seat: s}, Heard{Seat: s}
			}
		}
		for _, s := range v.core.Seats {
			if v.heard(s, recent) {
				v.seats++
			}
		}
		return v
	}
	w := &Reconfigurer{Tolerance: Tolerance{Zones: 1}}
	repair := func(v view) (m move, ok bool) { return w.repair(v, v.located(), v.spares()) }
	if m, ok := repair(v("")); !ok || m.in.ID != "c1" || m.out.Zone != "a" {
		t.Errorf("all well: %v, %v", m, ok)
	}
	if _, ok := repair(v("b1")); ok {
		t.Error("a seat of a is moved while b is silent")
	}
}

// Guards against a first core of whichever disks come first: two in one zone were taken, since they were heard before
// the third zone was. After the patience of a first core it is formed all the same.
func TestAFirstCoreWaitsForTheDomainsThatItIsToBear(t *testing.T) {
	for name, x := range map[string]struct {
		third time.Duration
		want  []string
	}{
		"the third zone comes in time": {time.Second, []string{"a1", "b1", "c1"}},
		"the third zone comes late":    {time.Minute, []string{"a1", "a2", "b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				g := newForming(ctx, t, 3, "a1", "a2", "b1")
				g.tolerance = Tolerance{Zones: 1}
				for _, id := range []string{"a1", "a2", "b1", "c1"} {
					p := plan{id: id, zone: id[:1], disk: true}
					if id == "c1" {
						p.after = x.third
					}
					g.beginAll([]plan{p})
				}
				time.Sleep(formPatience + 2*time.Second)
				got := lo.Map(g.one("formed").Seats, func(s Seat, _ int) string { return s.ID })
				if !slices.Equal(got, x.want) {
					t.Errorf("%v vote, want %v", got, x.want)
				}
			})
		})
	}
}

// Guards against a core that stays too small for good: formed of the disks that were there at first, it bore no loss
// after the others had come.
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
				c := newCity(ctx, t)
				c.tolerance, c.size = x.tolerance, x.size
				for _, id := range x.ids {
					c.start(id, id[:1], nil)
				}
				c.found(x.ids[:x.seats]...)
				its := items(20)
				c.merge("a1", its...)
				time.Sleep(2 * catchUp)
				got := c.seatIDs()
				slices.Sort(got)
				if !slices.Equal(got, x.want) {
					t.Fatalf("%v vote, want %v", got, x.want)
				}
				epoch := c.core().Epoch
				time.Sleep(time.Minute)
				c.epochIs(epoch, "a minute later")
				c.kept("after it has grown", its...)
				// It bears the loss of a machine's disk, whichever it is.
				for _, id := range x.want[:len(x.want)/2] {
					c.kill(id)
					c.start(id, id[:1], nil)
					time.Sleep(2 * catchUp)
					c.kept("after the loss of "+id, its...)
				}
			})
		})
	}
}
