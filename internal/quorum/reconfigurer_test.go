package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
)

// staffed is a city whose first n disks vote, with a reconfigurer at every one of them.
func staffed(ctx context.Context, t *testing.T, n int, ids ...string) *city {
	t.Helper()
	c := newCity(ctx, t)
	for _, id := range ids {
		c.start(id, "", nil)
	}
	c.found(ids[:n]...)
	time.Sleep(5 * time.Second)
	return c
}

func (c *city) epochIs(want uint64, when string) {
	c.t.Helper()
	if got := c.core().Epoch; got != want {
		c.t.Errorf("%s: epoch %d, want %d: %+v", when, got, want, c.core())
	}
}

func TestCalmStewardsSendNothing(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "d")
		c.set(func() { clear(c.asked) })
		time.Sleep(time.Minute)
		c.set(func() {
			if len(c.asked) > 0 {
				t.Errorf("in calm: %v", c.asked)
			}
		})
		c.epochIs(1, "after a calm minute")
		// A seat is missing and nobody stands by: nothing to be done, nothing sent.
		c.kill("d")
		time.Sleep(5 * time.Second)
		m := c.kill("c")
		time.Sleep(5 * time.Second)
		c.set(func() { clear(c.asked) })
		time.Sleep(time.Minute)
		c.set(func() {
			if len(c.asked) > 0 {
				t.Errorf("with nobody to stand in: %v", c.asked)
			}
		})
		c.start("c", "", m)
		time.Sleep(10 * time.Second)
		c.set(func() { clear(c.asked) })
		time.Sleep(time.Minute)
		c.set(func() {
			if len(c.asked) > 0 {
				t.Errorf("calm again: %v", c.asked)
			}
		})
		c.epochIs(1, "after it came back")
	})
}

// An acknowledgement outlives the loss of any t disks while the rest lose power,
// with the least number of copies; and so does it the loss of any other t once the
// seats are filled again.
func TestAcknowledgedSurvivesTheLossOfAnyDisks(t *testing.T) {
	for _, ids := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		lose := len(ids) / 2
		all := choices(ids, lose)
		for i, deaf := range all {
			for j, lost := range all {
				// The second loss takes each choice in turn.
				second := all[(i+j)%len(all)]
				runSynctest(t, func(ctx context.Context, t *testing.T) {
					c := newCity(ctx, t)
					for _, id := range ids {
						c.start(id, "", nil)
					}
					c.found(ids...)
					c.set(func() {
						c.drop = func(_, to string, ask any) bool { _, m := ask.(MergeAsk); return m && slices.Contains(deaf, to) }
					})
					it := thing("k", 1, strings.Join(append(deaf, lost...), ""))
					c.merge(ids[j%len(ids)], it)
					c.powerLoss(ids, lost)
					c.set(func() { c.drop = nil })
					time.Sleep(8 * time.Second)
					c.kept(fmt.Sprint("deaf ", deaf, ", lost ", lost), it)
					c.powerLoss(ids, second)
					time.Sleep(8 * time.Second)
					c.kept(fmt.Sprint("deaf ", deaf, ", lost ", lost, " then ", second), it)
				})
			}
		}
	}
}

// powerLoss ends all ids at once and starts them again, those in lost with empty
// disks.
func (c *city) powerLoss(ids, lost []string) {
	ms := map[string]*mem{}
	for _, id := range ids {
		ms[id] = c.kill(id)
	}
	time.Sleep(200 * time.Millisecond)
	for _, id := range ids {
		if slices.Contains(lost, id) {
			ms[id] = nil
		}
		c.start(id, "", ms[id])
	}
}

func TestSeatsAreExchangedOneAfterTheOther(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c")
		its := items(20)
		c.merge("a", its...)
		for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
			c.kill(id)
			time.Sleep(time.Second)
			next := string(rune('d' + i))
			c.start(next, "", nil)
			time.Sleep(4 * time.Second)
			c.kept("after "+id, its...)
			more := thing(fmt.Sprint("more", i), 1, id)
			c.merge(next, more)
			its = append(its, more)
			c.kept("merged after "+id, its...)
		}
		core := c.core()
		for _, s := range core.Seats {
			if s.ID < "g" {
				t.Errorf("%s has still a seat in %+v", s.ID, core)
			}
		}
		c.epochIs(7, "after six exchanges")
	})
}

func TestEmptiedDiskVotesAgainSoon(t *testing.T) {
	for _, id := range []string{"a", "b", "c"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := staffed(ctx, t, 3, "a", "b", "c", "x")
			its := items(5)
			c.merge("a", its...)
			c.kill(id)
			time.Sleep(500 * time.Millisecond)
			c.start(id, "", nil)
			time.Sleep(4 * time.Second)
			if v := c.voting(); !slices.Contains(v, id) || len(v) != 3 {
				t.Errorf("4 s after %s came back %v vote", id, v)
			}
			c.kept("after "+id, its...)
		})
	}
}

func TestStandByTakesASilentSeat(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x")
		its := items(5)
		c.merge("a", its...)
		c.kill("a")
		time.Sleep(time.Second)
		c.epochIs(1, "a second after the loss")
		time.Sleep(3 * time.Second)
		if v := c.voting(); !slices.Equal(v, []string{"b", "c", "x"}) {
			t.Errorf("%v vote", v)
		}
		c.kept("after the loss", its...)
	})
}

func TestStandByIsTakenWhereZonesAreSpread(t *testing.T) {
	for lost, want := range map[string]string{"a": "p", "b": "z", "c": "y"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCity(ctx, t)
			for id, zone := range map[string]string{"a": "1", "b": "2", "c": "3", "p": "1", "y": "3", "z": "2"} {
				c.start(id, zone, nil)
			}
			c.found("a", "b", "c")
			time.Sleep(5 * time.Second)
			c.kill(lost)
			time.Sleep(4 * time.Second)
			if v := c.voting(); !slices.Contains(v, want) || len(v) != 3 {
				t.Errorf("%s was lost, %v vote, want %s among them", lost, v, want)
			}
		})
	}
}

// Two reconfigurers that both act, at the same moment and for different seats, agree.
func TestTwoStewardsAtOnce(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCity(ctx, t)
			for _, id := range []string{"a", "b", "c", "x", "y"} {
				c.boot(id, "", nil)
			}
			core := c.found("a", "b", "c")
			its := items(5)
			c.merge("a", its...)
			time.Sleep(time.Second)
			for _, p := range []struct{ by, out, in string }{{"a", "c", "x"}, {"b", "a", "y"}} {
				out, _ := core.Seat(p.out)
				w := c.node(p.by).w
				v := w.view()
				go func() { _ = w.swap(ctx, v, move{out, c.node(p.in).seat}.apply(v.core.Seats)) }()
				time.Sleep(gap)
			}
			time.Sleep(5 * time.Second)
			c.epochIs(2, "after two swaps at once")
			c.kept("after two swaps at once", its...)
			seats := map[string]bool{}
			for _, n := range c.all() {
				if k := n.v.Core(); k.Epoch == 2 {
					seats[fmt.Sprint(k.Seats)] = true
				}
			}
			if len(seats) != 1 {
				t.Errorf("two cores of one epoch: %v", seats)
			}
		})
	}
}

func TestMinorityNeverSwaps(t *testing.T) {
	for _, small := range []string{"a", "ax", "bx", "axy"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := staffed(ctx, t, 3, "a", "b", "c", "x", "y")
			its := items(5)
			c.merge("a", its...)
			side := func(id string) bool { return strings.Contains(small, id) }
			c.set(func() { c.cut = func(a, b string) bool { return side(a) != side(b) }; clear(c.asked) })
			time.Sleep(20 * time.Second)
			for id, n := range c.all() {
				if k := n.f.core(); side(id) && k.Epoch != 1 {
					t.Errorf("%s, cut off with %s, knows %+v", id, small, k)
				}
				c.set(func() {
					if side(id) && c.asked[id] > 0 {
						t.Errorf("%s, cut off with %s, asked %d times", id, small, c.asked[id])
					}
				})
			}
			c.set(func() { c.cut = nil })
			time.Sleep(10 * time.Second)
			c.kept("after the cut", its...)
		})
	}
}

// The lowest is cut off from one seat alone and would act; when it freezes, the
// next does.
func TestFrozenActorIsReplaced(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "b", "c", "d", "a", "x")
		c.kill("d")
		time.Sleep(500 * time.Millisecond)
		c.node("a").freeze(30 * time.Second)
		time.Sleep(4 * time.Second)
		if v := c.voting(); !slices.Equal(v, []string{"b", "c", "x"}) {
			t.Errorf("%v vote", v)
		}
		// It wakes up and knows nothing of the swap: it must not act on what it heard
		// before.
		time.Sleep(40 * time.Second)
		c.epochIs(2, "after the frozen one woke up")
	})
}

// A node that stood still hears old news first and must not pass seats on for it.
func TestStewardThatStoodStillWaits(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x")
		n := c.node("a")
		// The others are heard of late after the pause.
		n.freeze(10 * time.Second)
		time.Sleep(20 * time.Second)
		if got := c.core(); got.Epoch != 2 {
			t.Fatalf("a's own seat should have gone to x: %+v", got)
		}
		for range 5 {
			for _, id := range []string{"b", "c", "x"} {
				c.node(id).freeze(700 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
		}
		c.epochIs(2, "after short pauses of all")
	})
}

func TestJoinerLostBetweenSealAndPull(t *testing.T) {
	for _, point := range []int{fault.AfterSeal, fault.AfterPull} {
		for _, again := range []bool{false, true} {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				c := staffed(ctx, t, 3, "a", "b", "c", "x")
				its := items(5)
				c.merge("a", its...)
				lost := make(chan *mem, 3)
				lose := func() { lost <- c.kill("x") }
				if point == fault.AfterSeal {
					for _, id := range []string{"a", "b"} {
						c.node(id).fault.Arm(point, lose)
					}
				} else {
					c.node("x").fault.Arm(point, lose)
				}
				c.kill("c")
				time.Sleep(6 * time.Second)
				if len(lost) != 1 {
					t.Fatalf("point %d was hit %d times", point, len(lost))
				}
				m := <-lost
				if v := c.voting(); len(v) != 2 {
					t.Errorf("%v vote while the joiner is gone", v)
				}
				// The two that are left go on.
				more := thing("more", 1, "x")
				c.merge("b", more)
				its = append(its, more)
				if again {
					c.start("x", "", m)
				} else {
					// It never comes, and is replaced in its turn.
					c.start("y", "", nil)
				}
				time.Sleep(6 * time.Second)
				c.kept(fmt.Sprint("point ", point, ", the same again ", again), its...)
			})
		}
	}
}

// A seat that is heard but never manages to join gives way.
func TestSeatThatNeverJoinsGivesWay(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x", "y")
		its := items(5)
		c.merge("a", its...)
		c.set(func() {
			c.drop = func(_, to string, ask any) bool { _, j := ask.(JoinAsk); return j && to == "x" }
		})
		c.kill("c")
		time.Sleep(30 * time.Second)
		if v := c.voting(); !slices.Equal(v, []string{"a", "b", "y"}) {
			t.Errorf("%v vote", v)
		}
		c.kept("without x", its...)
	})
}

// A swap ended with its actor when one voter that stays and the one that leaves were
// sealed, and then the other that stays is lost: what is left must find each other.
func TestSwapCutShortIsFinishedByOthers(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newCity(ctx, t)
		for _, id := range []string{"a", "b", "c", "x", "y"} {
			c.boot(id, "", nil)
		}
		core := c.found("a", "b", "c")
		time.Sleep(time.Second)
		it := thing("k", 1, "v")
		// Only b and c hold it.
		c.set(func() { c.drop = func(_, to string, ask any) bool { _, m := ask.(MergeAsk); return m && to == "a" } })
		c.merge("b", it)
		c.set(func() {
			c.drop = func(_, to string, ask any) bool {
				_, s := ask.(SealAsk)
				_, j := ask.(JoinAsk)
				return s && to == "b" || j
			}
		})
		w := c.node("b").w
		cx, end := context.WithTimeout(ctx, 3*time.Second)
		defer end()
		_ = w.swap(cx, w.view(), move{core.Seats[2], c.node("x").seat}.apply(core.Seats))
		if a, b := c.node("a").v.Core().Epoch, c.node("b").v.Core().Epoch; a != 2 || b != 1 {
			t.Fatalf("a stands at epoch %d, b at %d", a, b)
		}
		c.kill("b")
		c.set(func() { c.drop = nil })
		for _, id := range []string{"a", "c", "x", "y"} {
			go c.node(id).w.Run(c.node(id).ctx)
		}
		time.Sleep(12 * time.Second)
		c.kept("after the actor was lost", it)
	})
}

// A decision that nobody carried out is carried out later, but not while its core
// would have no majority: that would end the core that works. Then it is given up for a core
// whose seats are there, and stays so when its own come back.
func TestOldDecisionIsCarriedOutWithCare(t *testing.T) {
	for _, there := range []bool{true, false} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCity(ctx, t)
			for _, id := range []string{"a", "b", "c", "x", "y"} {
				c.boot(id, "", nil)
			}
			core := c.found("a", "b", "c")
			its := items(3)
			c.merge("a", its...)
			next := Core{Epoch: 2, Before: core.Seats, Seats: []Seat{core.Seats[0], core.Seats[1], c.node("x").seat}}
			raw, _ := json.Marshal(next)
			if _, err := c.node("a").p.Change(ctx, coreRegister, func([]byte) ([]byte, error) { return raw, nil }); err != nil {
				t.Fatal(err)
			}
			if !there {
				c.kill("x")
			}
			c.kill("b")
			for _, id := range []string{"a", "c", "y"} {
				go c.node(id).w.Run(c.node(id).ctx)
			}
			if there {
				go c.node("x").w.Run(c.node("x").ctx)
			}
			time.Sleep(15 * time.Second)
			more := thing("more", 1, "x")
			c.merge("a", more)
			if there {
				c.kept("the decision carried out, then b replaced", append(its, more)...)
				return
			}
			c.epochIs(3, "while neither x nor b is there")
			if v := c.voting(); c.core().Succeeds(2) || !slices.Equal(v, []string{"a", "c", "y"}) {
				t.Errorf("the core after the one given up: %+v, %v vote", c.core(), v)
			}
			c.kept("the decision given up, b replaced", append(its, more)...)
			c.start("x", "", nil)
			c.start("b", "", nil)
			time.Sleep(15 * time.Second)
			c.epochIs(3, "x and b are back")
			c.kept("x and b are back", append(its, more)...)
		})
	}
}

// A voter that was away while another seat was swapped comes back into the newest
// core.
func TestVoterThatWasAwayIsBroughtUp(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 5, "a", "b", "c", "d", "e")
		its := items(3)
		c.merge("a", its...)
		m := c.kill("e")
		for _, id := range []string{"c", "d", "b"} {
			c.kill(id)
			time.Sleep(300 * time.Millisecond)
			c.start(id, "", nil)
			time.Sleep(5 * time.Second)
		}
		c.epochIs(4, "after three emptied disks")
		c.start("e", "", m)
		time.Sleep(5 * time.Second)
		c.kept("after e came back", its...)
		c.epochIs(4, "after e came back")
	})
}

// A swap does not wait for what is silent.
func TestSwapDoesNotWaitForTheLost(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x")
		c.merge("a", items(3)...)
		var first, last time.Time
		c.set(func() {
			c.cut = func(a, b string) bool { return a == "c" || b == "c" }
			c.drop = func(_, to string, ask any) bool {
				if _, s := ask.(SealAsk); s && first.IsZero() {
					first = time.Now()
				}
				if _, l := ask.(MergedAsk); l {
					last = time.Now()
				}
				return false
			}
		})
		time.Sleep(4 * time.Second)
		c.set(func() {
			if d := last.Sub(first); first.IsZero() || d <= 0 || d > 100*time.Millisecond {
				t.Errorf("sealed and pulled in %v", d)
			}
		})
		c.epochIs(2, "after the cut")
	})
}

// A seat whose join failed is asked again for as long as it is heard.
func TestFailedJoinIsTriedAgain(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x")
		its := items(3)
		c.merge("a", its...)
		until := time.Now().Add(20 * time.Second)
		c.set(func() {
			c.drop = func(_, _ string, ask any) bool {
				_, pull := ask.(MergedAsk)
				return pull && time.Now().Before(until)
			}
		})
		c.kill("c")
		time.Sleep(19 * time.Second)
		if v := c.voting(); slices.Contains(v, "x") || len(v) != 2 {
			t.Errorf("%v vote before x could pull", v)
		}
		time.Sleep(10 * time.Second)
		c.kept("after some tries", its...)
		c.epochIs(2, "after some tries")
	})
}

// A decision that its actor never carried out is found: after a start, and when a
// seat was silent for a while.
func TestDecisionLeftOverIsFound(t *testing.T) {
	decide := func(ctx context.Context, t *testing.T, c *city, core Core) {
		next := Core{Epoch: 2, Before: core.Seats, Seats: []Seat{core.Seats[0], core.Seats[1], c.node("x").seat}}
		raw, _ := json.Marshal(next)
		if _, err := c.node("a").p.Change(ctx, coreRegister, func([]byte) ([]byte, error) { return raw, nil }); err != nil {
			t.Fatal(err)
		}
	}
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newCity(ctx, t)
		for _, id := range []string{"a", "b", "c", "x"} {
			c.boot(id, "", nil)
		}
		decide(ctx, t, c, c.found("a", "b", "c"))
		go c.node("b").w.Run(ctx)
		time.Sleep(5 * time.Second)
		c.epochIs(2, "after a start")
		c.kept("after a start")
	})
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x")
		decide(ctx, t, c, c.core())
		time.Sleep(5 * time.Second)
		c.epochIs(1, "nothing was silent")
		c.set(func() { c.cut = func(a, b string) bool { return (a > "b") != (b > "b") } })
		time.Sleep(3 * time.Second)
		c.set(func() { c.cut = nil })
		time.Sleep(5 * time.Second)
		c.epochIs(2, "c was silent")
		c.kept("c was silent")
	})
}

// The same disk at another address keeps its vote.
func TestSeatFollowsItsAddress(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := staffed(ctx, t, 3, "a", "b", "c", "x")
		its := items(3)
		c.merge("a", its...)
		m := c.kill("c")
		c.addrs = map[string]string{"c": "elsewhere"}
		time.Sleep(300 * time.Millisecond)
		c.start("c", "", m)
		time.Sleep(4 * time.Second)
		s, ok := c.core().Seat("c")
		if !ok || s.Addr != "elsewhere" {
			t.Errorf("%+v", c.core())
		}
		c.kept("after the move", its...)
	})
}

// late is a clock whose next sleep takes longer.
type late struct {
	clock.Wall
	by atomic.Int64
}

func (l *late) Sleep(ctx context.Context, d time.Duration) error {
	return l.Wall.Sleep(ctx, d+time.Duration(l.by.Swap(0)))
}

// What was heard before a pause of this process, or before it was cut off, says
// nothing about others.
func TestStewardActsOnlyWhenWell(t *testing.T) {
	for name, x := range map[string]struct {
		pause, alone time.Duration
		acts         bool
	}{
		"well":            {acts: true},
		"stood still":     {pause: 800 * time.Millisecond},
		"heard no others": {alone: 900 * time.Millisecond},
	} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCity(ctx, t)
			for _, id := range []string{"a", "b", "c", "x"} {
				c.boot(id, "", nil)
			}
			c.found("a", "b", "c")
			start := time.Now()
			begin := 10 * time.Second
			n := c.node("a")
			clock := &late{}
			w := n.w
			w.Clock = clock
			w.Heard = func() []Heard {
				at := time.Since(start)
				hs := []Heard{{Seat: n.seat}}
				for _, id := range []string{"b", "c", "x"} {
					ago := time.Millisecond
					switch {
					case id == "b" && at > begin && at < begin+x.alone:
						ago = 5 * time.Second
					case id == "c" && at > begin && at < begin+x.alone+1200*time.Millisecond:
						// Silent at first, then heard again.
						ago = 5 * time.Second
					}
					hs = append(hs, Heard{c.node(id).seat, ago})
				}
				return hs
			}
			go w.Run(ctx)
			time.Sleep(begin - time.Second)
			c.set(func() { clear(c.asked) })
			// The pause lasts until what is heard is the old news.
			time.Sleep(500 * time.Millisecond)
			clock.by.Store(int64(x.pause))
			time.Sleep(5 * time.Second)
			if acts := c.core().Epoch > 1; acts != x.acts {
				t.Errorf("%s: acted %v", name, acts)
			}
		})
	}
}

// Whom a joiner pulls from: never so few that they could all lack something.
func TestSourcesMeetEveryMajority(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5} {
		var before []Seat
		for i := range n {
			id := string(rune('a' + i))
			before = append(before, Seat{ID: id, Disk: id})
		}
		next := Core{Epoch: 2, Before: before, Seats: append(slices.Clone(before[1:]), Seat{ID: "x", Disk: "x"})}
		q := next.QuorumSize()
		for mask := range 1 << n {
			at := map[string]bool{}
			own := 0
			for i, s := range before {
				if mask>>i&1 == 1 {
					at[s.Disk] = true
					own += min(i, 1)
				}
			}
			f, err := sources(next, at)
			if ok := len(at) >= n-q+1 || own >= q; ok != (err == nil) {
				t.Errorf("%d of %d before, %d of next: %v", len(at), n, own, err)
			}
			if err != nil {
				continue
			}
			got := (&Reconfigurer{}).nearest(f, Seat{ID: "x"})
			if len(got) < n-q+1 {
				t.Errorf("%d of %d: pulls from %v", len(at), n, got)
			}
			for i, s := range got {
				if !at[s.Disk] || slices.Contains(got[:i], s) {
					t.Errorf("pulls from %v, sealed are %v", got, at)
				}
			}
		}
	}
}

func TestJoinerPullsFromItsZoneFirst(t *testing.T) {
	f := source{[]Seat{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}, {ID: "c", Zone: "3"}}, 2}
	other := map[string]bool{}
	for range 50 {
		got := (&Reconfigurer{}).nearest(f, Seat{ID: "x", Zone: "2"})
		if got[0].ID != "b" {
			t.Errorf("%v", got)
		}
		other[got[1].ID] = true
	}
	if len(other) != 2 {
		t.Errorf("always %v besides", other)
	}
}
