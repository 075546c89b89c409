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

// newRunningCluster starts a node with a reconfigurer for each ID, and forms a core of the first n.
func newRunningCluster(ctx context.Context, t *testing.T, n int, ids ...string) *cluster {
	t.Helper()
	c := newCluster(ctx, t)
	for _, id := range ids {
		c.start(id, "", nil)
	}
	c.formCore(ids[:n]...)
	time.Sleep(5 * time.Second)
	return c
}

func (c *cluster) checkEpoch(want uint64, when string) {
	c.t.Helper()
	if got := c.core().Epoch; got != want {
		c.t.Errorf("%s: epoch %d, want %d: %+v", when, got, want, c.core())
	}
}

func TestCalmStewardsSendNothing(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "d")
		c.withLock(func() { clear(c.askCounts) })
		time.Sleep(time.Minute)
		c.withLock(func() {
			if len(c.askCounts) > 0 {
				t.Errorf("requests were sent with all seats filled: %v", c.askCounts)
			}
		})
		c.checkEpoch(1, "after a minute without failures")
		// A seat is missing and there is no spare disk: nothing to do, so nothing is sent.
		c.kill("d")
		time.Sleep(5 * time.Second)
		m := c.kill("c")
		time.Sleep(5 * time.Second)
		c.withLock(func() { clear(c.askCounts) })
		time.Sleep(time.Minute)
		c.withLock(func() {
			if len(c.askCounts) > 0 {
				t.Errorf("requests were sent without a spare disk: %v", c.askCounts)
			}
		})
		c.start("c", "", m)
		time.Sleep(10 * time.Second)
		c.withLock(func() { clear(c.askCounts) })
		time.Sleep(time.Minute)
		c.withLock(func() {
			if len(c.askCounts) > 0 {
				t.Errorf("requests were sent after the seat returned: %v", c.askCounts)
			}
		})
		c.checkEpoch(1, "after it came back")
	})
}

// An acknowledged item survives the loss of any t disks while the other nodes lose power,
// even with the minimum number of copies. Once the seats are filled again it survives the
// loss of any other t disks.
func TestAcknowledgedSurvivesTheLossOfAnyDisks(t *testing.T) {
	for _, ids := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		numLost := len(ids) / 2
		all := subsets(ids, numLost)
		for i, unreached := range all {
			for j, lost := range all {
				// The second loss goes through all choices.
				second := all[(i+j)%len(all)]
				runSynctest(t, func(ctx context.Context, t *testing.T) {
					c := newCluster(ctx, t)
					for _, id := range ids {
						c.start(id, "", nil)
					}
					c.formCore(ids...)
					c.withLock(func() {
						c.dropAsk = func(_, to string, ask any) bool { _, m := ask.(MergeAsk); return m && slices.Contains(unreached, to) }
					})
					it := testItem("k", 1, strings.Join(append(unreached, lost...), ""))
					c.merge(ids[j%len(ids)], it)
					c.powerLoss(ids, lost)
					c.withLock(func() { c.dropAsk = nil })
					time.Sleep(8 * time.Second)
					c.checkItemsKept(fmt.Sprint("not merged at ", unreached, ", lost ", lost), it)
					c.powerLoss(ids, second)
					time.Sleep(8 * time.Second)
					c.checkItemsKept(fmt.Sprint("not merged at ", unreached, ", lost ", lost, " then ", second), it)
				})
			}
		}
	}
}

// powerLoss stops all ids at once and starts them again, those in lost with empty
// disks.
func (c *cluster) powerLoss(ids, lost []string) {
	ms := map[string]*memDisk{}
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
		c := newRunningCluster(ctx, t, 3, "a", "b", "c")
		its := testItems(20)
		c.merge("a", its...)
		for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
			c.kill(id)
			time.Sleep(time.Second)
			next := string(rune('d' + i))
			c.start(next, "", nil)
			time.Sleep(4 * time.Second)
			c.checkItemsKept("after "+id, its...)
			more := testItem(fmt.Sprint("more", i), 1, id)
			c.merge(next, more)
			its = append(its, more)
			c.checkItemsKept("merged after "+id, its...)
		}
		core := c.core()
		for _, s := range core.Seats {
			if s.ID < "g" {
				t.Errorf("%s still has a seat in %+v", s.ID, core)
			}
		}
		c.checkEpoch(7, "after six exchanges")
	})
}

func TestEmptiedDiskVotesAgainSoon(t *testing.T) {
	for _, id := range []string{"a", "b", "c"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
			its := testItems(5)
			c.merge("a", its...)
			c.kill(id)
			time.Sleep(500 * time.Millisecond)
			c.start(id, "", nil)
			time.Sleep(4 * time.Second)
			if v := c.votingIDs(); !slices.Contains(v, id) || len(v) != 3 {
				t.Errorf("4 s after %s came back %v vote", id, v)
			}
			c.checkItemsKept("after "+id, its...)
		})
	}
}

func TestStandByTakesASilentSeat(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
		its := testItems(5)
		c.merge("a", its...)
		c.kill("a")
		time.Sleep(time.Second)
		c.checkEpoch(1, "a second after the loss")
		time.Sleep(3 * time.Second)
		if v := c.votingIDs(); !slices.Equal(v, []string{"b", "c", "x"}) {
			t.Errorf("%v vote", v)
		}
		c.checkItemsKept("after the loss", its...)
	})
}

func TestStandByIsTakenWhereZonesAreSpread(t *testing.T) {
	for lost, want := range map[string]string{"a": "p", "b": "z", "c": "y"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCluster(ctx, t)
			for id, zone := range map[string]string{"a": "1", "b": "2", "c": "3", "p": "1", "y": "3", "z": "2"} {
				c.start(id, zone, nil)
			}
			c.formCore("a", "b", "c")
			time.Sleep(5 * time.Second)
			c.kill(lost)
			time.Sleep(4 * time.Second)
			if v := c.votingIDs(); !slices.Contains(v, want) || len(v) != 3 {
				t.Errorf("%s was lost, %v vote, want %s among them", lost, v, want)
			}
		})
	}
}

// Two reconfigurers that act at the same moment and for different seats agree on one core.
func TestTwoStewardsAtOnce(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCluster(ctx, t)
			for _, id := range []string{"a", "b", "c", "x", "y"} {
				c.boot(id, "", nil)
			}
			core := c.formCore("a", "b", "c")
			its := testItems(5)
			c.merge("a", its...)
			time.Sleep(time.Second)
			for _, p := range []struct{ by, out, in string }{{"a", "c", "x"}, {"b", "a", "y"}} {
				out, _ := core.Seat(p.out)
				rc := c.node(p.by).reconfigurer
				v := rc.view()
				go func() { _ = rc.reconfigure(ctx, v, seatMove{out, c.node(p.in).seat}.apply(v.core.Seats)) }()
				time.Sleep(gap)
			}
			time.Sleep(5 * time.Second)
			c.checkEpoch(2, "after two concurrent reconfigurations")
			c.checkItemsKept("after two concurrent reconfigurations", its...)
			seats := map[string]bool{}
			for _, n := range c.runningNodes() {
				if k := n.voter.Core(); k.Epoch == 2 {
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
	for _, minority := range []string{"a", "ax", "bx", "axy"} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x", "y")
			its := testItems(5)
			c.merge("a", its...)
			inMinority := func(id string) bool { return strings.Contains(minority, id) }
			c.withLock(func() { c.isCut = func(a, b string) bool { return inMinority(a) != inMinority(b) }; clear(c.askCounts) })
			time.Sleep(20 * time.Second)
			for id, n := range c.runningNodes() {
				if k := n.bootstrapper.core(); inMinority(id) && k.Epoch != 1 {
					t.Errorf("%s, cut off with %s, knows %+v", id, minority, k)
				}
				c.withLock(func() {
					if inMinority(id) && c.askCounts[id] > 0 {
						t.Errorf("%s, cut off with %s, asked %d times", id, minority, c.askCounts[id])
					}
				})
			}
			c.withLock(func() { c.isCut = nil })
			time.Sleep(10 * time.Second)
			c.checkItemsKept("after the cut", its...)
		})
	}
}

// The node with the lowest ID freezes when a seat is lost, which it would replace; the
// node with the next rank acts instead.
func TestFrozenActorIsReplaced(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "b", "c", "d", "a", "x")
		c.kill("d")
		time.Sleep(500 * time.Millisecond)
		c.node("a").freeze(30 * time.Second)
		time.Sleep(4 * time.Second)
		if v := c.votingIDs(); !slices.Equal(v, []string{"b", "c", "x"}) {
			t.Errorf("%v vote", v)
		}
		// When it resumes it does not know of the reconfiguration: it must not act on what
		// it heard before.
		time.Sleep(40 * time.Second)
		c.checkEpoch(2, "after the frozen node resumed")
	})
}

// After a pause a node processes outdated reports first, and must not move seats because of them.
func TestStewardThatStoodStillWaits(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
		n := c.node("a")
		// After the pause the others' last reports are old.
		n.freeze(10 * time.Second)
		time.Sleep(20 * time.Second)
		if got := c.core(); got.Epoch != 2 {
			t.Fatalf("the seat of a did not move to x: %+v", got)
		}
		for range 5 {
			for _, id := range []string{"b", "c", "x"} {
				c.node(id).freeze(700 * time.Millisecond)
			}
			time.Sleep(3 * time.Second)
		}
		c.checkEpoch(2, "after short pauses of all")
	})
}

func TestJoinerLostBetweenSealAndPull(t *testing.T) {
	for _, point := range []int{fault.AfterSeal, fault.AfterPull} {
		for _, sameReturns := range []bool{false, true} {
			runSynctest(t, func(ctx context.Context, t *testing.T) {
				c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
				its := testItems(5)
				c.merge("a", its...)
				lost := make(chan *memDisk, 3)
				killJoiner := func() { lost <- c.kill("x") }
				if point == fault.AfterSeal {
					for _, id := range []string{"a", "b"} {
						c.node(id).faults.Arm(point, killJoiner)
					}
				} else {
					c.node("x").faults.Arm(point, killJoiner)
				}
				c.kill("c")
				time.Sleep(6 * time.Second)
				if len(lost) != 1 {
					t.Fatalf("point %d was hit %d times", point, len(lost))
				}
				m := <-lost
				if v := c.votingIDs(); len(v) != 2 {
					t.Errorf("%v vote while the joiner is down", v)
				}
				// The two remaining seats continue to work.
				more := testItem("more", 1, "x")
				c.merge("b", more)
				its = append(its, more)
				if sameReturns {
					c.start("x", "", m)
				} else {
					// It never returns, and is replaced in turn.
					c.start("y", "", nil)
				}
				time.Sleep(6 * time.Second)
				c.checkItemsKept(fmt.Sprint("point ", point, ", the same again ", sameReturns), its...)
			})
		}
	}
}

// A seat that is heard from but never manages to join is replaced.
func TestSeatThatNeverJoinsGivesWay(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x", "y")
		its := testItems(5)
		c.merge("a", its...)
		c.withLock(func() {
			c.dropAsk = func(_, to string, ask any) bool { _, j := ask.(JoinAsk); return j && to == "x" }
		})
		c.kill("c")
		time.Sleep(30 * time.Second)
		if v := c.votingIDs(); !slices.Equal(v, []string{"a", "b", "y"}) {
			t.Errorf("%v vote", v)
		}
		c.checkItemsKept("without x", its...)
	})
}

// The acting node dies during a reconfiguration, after one remaining voter and the leaving
// voter were sealed; the other nodes must complete it.
func TestSwapCutShortIsFinishedByOthers(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(ctx, t)
		for _, id := range []string{"a", "b", "c", "x", "y"} {
			c.boot(id, "", nil)
		}
		core := c.formCore("a", "b", "c")
		time.Sleep(time.Second)
		it := testItem("k", 1, "v")
		// Only b and c hold the item.
		c.withLock(func() { c.dropAsk = func(_, to string, ask any) bool { _, m := ask.(MergeAsk); return m && to == "a" } })
		c.merge("b", it)
		c.withLock(func() {
			c.dropAsk = func(_, to string, ask any) bool {
				_, s := ask.(SealAsk)
				_, j := ask.(JoinAsk)
				return s && to == "b" || j
			}
		})
		rc := c.node("b").reconfigurer
		actorCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		_ = rc.reconfigure(actorCtx, rc.view(), seatMove{core.Seats[2], c.node("x").seat}.apply(core.Seats))
		if a, b := c.node("a").voter.Core().Epoch, c.node("b").voter.Core().Epoch; a != 2 || b != 1 {
			t.Fatalf("a is in epoch %d, b in %d", a, b)
		}
		c.kill("b")
		c.withLock(func() { c.dropAsk = nil })
		for _, id := range []string{"a", "c", "x", "y"} {
			go c.node(id).reconfigurer.Run(c.node(id).ctx)
		}
		time.Sleep(12 * time.Second)
		c.checkItemsKept("after the actor was lost", it)
	})
}

// A decision that nobody carried out is carried out later, but not while a majority of its
// core is unreachable, which would stop the core that works. It is then abandoned for a core
// whose seats are reachable, and stays abandoned when its own seats return.
func TestOldDecisionIsCarriedOutWithCare(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCluster(ctx, t)
			for _, id := range []string{"a", "b", "c", "x", "y"} {
				c.boot(id, "", nil)
			}
			core := c.formCore("a", "b", "c")
			its := testItems(3)
			c.merge("a", its...)
			next := Core{Epoch: 2, Before: core.Seats, Seats: []Seat{core.Seats[0], core.Seats[1], c.node("x").seat}}
			raw, _ := json.Marshal(next)
			if _, err := c.node("a").proposer.Change(ctx, coreRegister, func([]byte) ([]byte, error) { return raw, nil }); err != nil {
				t.Fatal(err)
			}
			if !reachable {
				c.kill("x")
			}
			c.kill("b")
			for _, id := range []string{"a", "c", "y"} {
				go c.node(id).reconfigurer.Run(c.node(id).ctx)
			}
			if reachable {
				go c.node("x").reconfigurer.Run(c.node("x").ctx)
			}
			time.Sleep(15 * time.Second)
			more := testItem("more", 1, "x")
			c.merge("a", more)
			if reachable {
				c.checkItemsKept("the decision carried out, then b replaced", append(its, more)...)
				return
			}
			c.checkEpoch(3, "while neither x nor b is up")
			if v := c.votingIDs(); c.core().Succeeds(2) || !slices.Equal(v, []string{"a", "c", "y"}) {
				t.Errorf("the core after the abandoned one: %+v, %v vote", c.core(), v)
			}
			c.checkItemsKept("the decision abandoned, b replaced", append(its, more)...)
			c.start("x", "", nil)
			c.start("b", "", nil)
			time.Sleep(15 * time.Second)
			c.checkEpoch(3, "x and b are back")
			c.checkItemsKept("x and b are back", append(its, more)...)
		})
	}
}

// A voter that was down while other seats were replaced returns to the newest core.
func TestVoterThatWasAwayIsBroughtUp(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 5, "a", "b", "c", "d", "e")
		its := testItems(3)
		c.merge("a", its...)
		m := c.kill("e")
		for _, id := range []string{"c", "d", "b"} {
			c.kill(id)
			time.Sleep(300 * time.Millisecond)
			c.start(id, "", nil)
			time.Sleep(5 * time.Second)
		}
		c.checkEpoch(4, "after three emptied disks")
		c.start("e", "", m)
		time.Sleep(5 * time.Second)
		c.checkItemsKept("after e came back", its...)
		c.checkEpoch(4, "after e came back")
	})
}

// A reconfiguration does not wait for silent nodes.
func TestSwapDoesNotWaitForTheLost(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
		c.merge("a", testItems(3)...)
		var first, last time.Time
		c.withLock(func() {
			c.isCut = func(a, b string) bool { return a == "c" || b == "c" }
			c.dropAsk = func(_, to string, ask any) bool {
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
		c.withLock(func() {
			if d := last.Sub(first); first.IsZero() || d <= 0 || d > 100*time.Millisecond {
				t.Errorf("sealed and pulled in %v", d)
			}
		})
		c.checkEpoch(2, "after the cut")
	})
}

// A seat whose join failed is asked again as long as it is heard from.
func TestFailedJoinIsTriedAgain(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
		its := testItems(3)
		c.merge("a", its...)
		until := time.Now().Add(20 * time.Second)
		c.withLock(func() {
			c.dropAsk = func(_, _ string, ask any) bool {
				_, pull := ask.(MergedAsk)
				return pull && time.Now().Before(until)
			}
		})
		c.kill("c")
		time.Sleep(19 * time.Second)
		if v := c.votingIDs(); slices.Contains(v, "x") || len(v) != 2 {
			t.Errorf("%v vote before x could pull", v)
		}
		time.Sleep(10 * time.Second)
		c.checkItemsKept("after the retries", its...)
		c.checkEpoch(2, "after some tries")
	})
}

// A decision that was never carried out is found: after a start of a reconfigurer, and after
// a seat was silent for a while.
func TestDecisionLeftOverIsFound(t *testing.T) {
	decide := func(ctx context.Context, t *testing.T, c *cluster, core Core) {
		next := Core{Epoch: 2, Before: core.Seats, Seats: []Seat{core.Seats[0], core.Seats[1], c.node("x").seat}}
		raw, _ := json.Marshal(next)
		if _, err := c.node("a").proposer.Change(ctx, coreRegister, func([]byte) ([]byte, error) { return raw, nil }); err != nil {
			t.Fatal(err)
		}
	}
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newCluster(ctx, t)
		for _, id := range []string{"a", "b", "c", "x"} {
			c.boot(id, "", nil)
		}
		decide(ctx, t, c, c.formCore("a", "b", "c"))
		go c.node("b").reconfigurer.Run(ctx)
		time.Sleep(5 * time.Second)
		c.checkEpoch(2, "after a start")
		c.checkItemsKept("after a start")
	})
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
		decide(ctx, t, c, c.core())
		time.Sleep(5 * time.Second)
		c.checkEpoch(1, "nothing was silent")
		c.withLock(func() { c.isCut = func(a, b string) bool { return (a > "b") != (b > "b") } })
		time.Sleep(3 * time.Second)
		c.withLock(func() { c.isCut = nil })
		time.Sleep(5 * time.Second)
		c.checkEpoch(2, "c was silent")
		c.checkItemsKept("c was silent")
	})
}

// A disk that is at another address keeps its vote.
func TestSeatFollowsItsAddress(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		c := newRunningCluster(ctx, t, 3, "a", "b", "c", "x")
		its := testItems(3)
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
		c.checkItemsKept("after the move", its...)
	})
}

// delayedClock is a clock whose next sleep takes longer.
type delayedClock struct {
	clock.Wall
	delay atomic.Int64
}

func (l *delayedClock) Sleep(ctx context.Context, d time.Duration) error {
	return l.Wall.Sleep(ctx, d+time.Duration(l.delay.Swap(0)))
}

// What was heard before this process was paused or cut off says nothing about the present
// state of others.
func TestStewardActsOnlyWhenWell(t *testing.T) {
	for name, x := range map[string]struct {
		pause, isolatedFor time.Duration
		acts               bool
	}{
		"well":            {acts: true},
		"paused":          {pause: 800 * time.Millisecond},
		"heard no others": {isolatedFor: 900 * time.Millisecond},
	} {
		runSynctest(t, func(ctx context.Context, t *testing.T) {
			c := newCluster(ctx, t)
			for _, id := range []string{"a", "b", "c", "x"} {
				c.boot(id, "", nil)
			}
			c.formCore("a", "b", "c")
			start := time.Now()
			begin := 10 * time.Second
			n := c.node("a")
			clock := &delayedClock{}
			rc := n.reconfigurer
			rc.Clock = clock
			rc.Contacts = func() []DiskContact {
				at := time.Since(start)
				contacts := []DiskContact{{Seat: n.seat}}
				for _, id := range []string{"b", "c", "x"} {
					ago := time.Millisecond
					switch {
					case id == "b" && at > begin && at < begin+x.isolatedFor:
						ago = 5 * time.Second
					case id == "c" && at > begin && at < begin+x.isolatedFor+1200*time.Millisecond:
						// Silent at first, then heard from again.
						ago = 5 * time.Second
					}
					contacts = append(contacts, DiskContact{c.node(id).seat, ago})
				}
				return contacts
			}
			go rc.Run(ctx)
			time.Sleep(begin - time.Second)
			c.withLock(func() { clear(c.askCounts) })
			// The pause is long enough for the last reports to be outdated.
			time.Sleep(500 * time.Millisecond)
			clock.delay.Store(int64(x.pause))
			time.Sleep(5 * time.Second)
			if acts := c.core().Epoch > 1; acts != x.acts {
				t.Errorf("%s: acted %v", name, acts)
			}
		})
	}
}

// A joiner pulls from enough voters that no acknowledged item can be missing at all of them.
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
			sealed := map[string]bool{}
			ownSealed := 0
			for i, s := range before {
				if mask>>i&1 == 1 {
					sealed[s.Disk] = true
					ownSealed += min(i, 1)
				}
			}
			source, err := pullSources(next, sealed)
			if ok := len(sealed) >= n-q+1 || ownSealed >= q; ok != (err == nil) {
				t.Errorf("%d of %d before, %d of next: %v", len(sealed), n, ownSealed, err)
			}
			if err != nil {
				continue
			}
			got := (&Reconfigurer{}).pickSources(source, Seat{ID: "x"})
			if len(got) < n-q+1 {
				t.Errorf("%d of %d: pulls from %v", len(sealed), n, got)
			}
			for i, s := range got {
				if !sealed[s.Disk] || slices.Contains(got[:i], s) {
					t.Errorf("pulls from %v, sealed are %v", got, sealed)
				}
			}
		}
	}
}

func TestJoinerPullsFromItsZoneFirst(t *testing.T) {
	source := pullSource{[]Seat{{ID: "a", Zone: "1"}, {ID: "b", Zone: "2"}, {ID: "c", Zone: "3"}}, 2}
	other := map[string]bool{}
	for range 50 {
		got := (&Reconfigurer{}).pickSources(source, Seat{ID: "x", Zone: "2"})
		if got[0].ID != "b" {
			t.Errorf("%v", got)
		}
		other[got[1].ID] = true
	}
	if len(other) != 2 {
		t.Errorf("the second source was always %v", other)
	}
}
