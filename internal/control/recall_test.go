package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/target"
)

// diskJournal is the journal on a disk, as used by one process. Writes take effect at once: a
// killed process loses none of them.
type diskJournal struct {
	d   *disk
	ctx context.Context
}

func (j *diskJournal) Load() ([][]byte, error) { return j.d.journalCopy(), nil }

func (j *diskJournal) write(records [][]byte, replace bool) error {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	if j.ctx.Err() != nil {
		return errDead
	}
	j.d.journal = append(lo.Ternary(replace, nil, j.d.journal), records...)
	return nil
}

func (j *diskJournal) Append(records [][]byte) error  { return j.write(records, false) }
func (j *diskJournal) Replace(records [][]byte) error { return j.write(records, true) }
func (j *diskJournal) Close() error                   { return nil }

func (d *disk) journalCopy() [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.journal)
}

// journalCopies returns the current journals of all disks, and restoreJournals puts them back, as a power
// loss does when later writes were not synced.
func (cl *cluster) journalCopies() map[*disk][][]byte {
	return lo.SliceToMap(withDisk(cl.controllers), func(m *controllerHost) (*disk, [][]byte) { return m.disk, m.disk.journalCopy() })
}

func restoreJournals(to map[*disk][][]byte) {
	for d, n := range to {
		d.mu.Lock()
		d.journal = n
		d.mu.Unlock()
	}
}

// targetGroup is a group of targets that send heartbeats when a test says so, each to a random controller.
type targetGroup struct {
	cluster  *cluster
	seq      uint64
	runs     []string
	silent   map[string]bool // that send no more heartbeats
	draining map[string]bool // whose heartbeats announce draining
}

func (cl *cluster) newTargetGroup(n int) *targetGroup {
	g := &targetGroup{cluster: cl, silent: map[string]bool{}, draining: map[string]bool{}}
	for i := range n {
		g.runs = append(g.runs, fmt.Sprintf("i-%d", i))
	}
	return g
}

// sendHeartbeats sends one heartbeat of each target that is not silent.
func (g *targetGroup) sendHeartbeats() {
	g.cluster.t.Helper()
	g.seq++
	for i, id := range g.runs {
		if g.silent[id] {
			continue
		}
		b := target.Heartbeat{ID: id, Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 2, Seq: g.seq, Draining: g.draining[id]}
		g.cluster.await("answer to a beat", 3*time.Second, func() bool { return g.cluster.sendHeartbeat(pick(g.cluster, g.cluster.controllers), b) == nil })
	}
}

// runFor sends heartbeats for d, and calls look repeatedly.
func (g *targetGroup) runFor(d time.Duration, check func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		g.sendHeartbeats()
		for next := time.Now().Add(900 * time.Millisecond); time.Now().Before(next); time.Sleep(100 * time.Millisecond) {
			check()
		}
	}
}

// restartAll kills every process, calls between, and starts all processes again.
func (cl *cluster) restartAll(between func()) {
	for _, m := range cl.controllers {
		m.kill()
	}
	for _, x := range cl.gateways {
		x.kill()
	}
	between()
	time.Sleep(time.Duration(100+cl.randN(900)) * time.Millisecond)
	for _, m := range cl.controllers {
		m.boot()
	}
	for _, x := range cl.gateways {
		x.boot()
	}
}

// canUse reports whether a synced gateway would send requests to a run.
func (x *gatewayHost) canUse(id string) bool {
	r := x.run(id)
	return x.subscriber().Synced() && r.State == target.Ready && !r.Suspected()
}

func TestTargetsAreKnownAtOnceAfterAllWereKilled(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		targets := cl.newTargetGroup(12)
		targets.runFor(6*time.Second, func() {})
		for range 2 {
			cl.restartAll(func() {})
			// No heartbeat arrives meanwhile.
			cl.await("knowledge of all targets", 500*time.Millisecond, func() bool {
				return lo.EveryBy(cl.gateways, func(x *gatewayHost) bool { return lo.EveryBy(targets.runs, x.canUse) })
			})
			targets.runFor(8*time.Second, func() {
				for _, x := range cl.gateways {
					for _, id := range targets.runs {
						if !x.canUse(id) {
							t.Errorf("%s: a run that sends heartbeats is %+v", x.id, x.run(id))
						}
					}
				}
			})
		}
		// One target does not return.
		targets.silent["i-3"] = true
		cl.restartAll(func() {})
		at := time.Now()
		n := cl.controllers[0].control()
		targets.runFor(n.recallWindow()+1500*time.Millisecond, func() {
			for _, x := range cl.gateways {
				if r := x.run("i-3"); r.Suspected() && time.Since(at) < n.recallWindow()-200*time.Millisecond {
					t.Errorf("%s: suspected after %v: %+v", x.id, time.Since(at), r)
				}
			}
		})
		for _, x := range cl.gateways {
			for _, id := range targets.runs {
				if x.canUse(id) != (id != "i-3") {
					t.Errorf("%s: %+v", x.id, x.run(id))
				}
			}
		}
	})
}

func TestALeavingIsNotUndoneByALoss(t *testing.T) {
	for kind, f := range map[string]func(cl *cluster, leave func()){
		"all killed": func(cl *cluster, leave func()) {
			leave()
			time.Sleep(journalInterval + 100*time.Millisecond)
			cl.restartAll(func() {})
		},
		"all killed right after": func(cl *cluster, leave func()) {
			leave()
			cl.restartAll(func() {})
		},
		"power lost": func(cl *cluster, leave func()) {
			old := cl.journalCopies()
			leave()
			time.Sleep(2 * journalInterval)
			cl.restartAll(func() { restoreJournals(old) })
		},
		"all killed, one disk lost": func(cl *cluster, leave func()) {
			leave()
			time.Sleep(journalInterval + 100*time.Millisecond)
			cl.restartAll(pick(cl, withDisk(cl.controllers)).disk.wipe)
		},
		"power lost, one disk lost": func(cl *cluster, leave func()) {
			old := cl.journalCopies()
			leave()
			cl.restartAll(func() {
				restoreJournals(old)
				pick(cl, withDisk(cl.controllers)).disk.wipe()
			})
		},
		"power lost at one controller": func(cl *cluster, leave func()) {
			m := pick(cl, withDisk(cl.controllers))
			old := m.disk.journalCopy()
			leave()
			time.Sleep(2 * journalInterval)
			m.kill()
			restoreJournals(map[*disk][][]byte{m.disk: old})
			x := pick(cl, cl.gateways)
			x.kill()
			m.boot()
			x.boot()
		},
	} {
		t.Run(kind, func(t *testing.T) {
			eachSeed(t, func(cl *cluster) {
				cl.mustApply(baseChange(1), cl.controllers)
				targets := cl.newTargetGroup(6)
				targets.runFor(5*time.Second, func() {})
				f(cl, func() {
					targets.draining["i-0"], targets.silent["i-1"] = true, true
					targets.sendHeartbeats()
					if err := pick(cl, cl.controllers).control().Leave(cl.ctx, "i-1"); err != nil {
						t.Fatal(err)
					}
				})
				// Never again, not even before the next heartbeats: i-1 may still accept requests, but announces nothing.
				targets.runFor(8*time.Second, func() {
					for _, x := range cl.gateways {
						if x.canUse("i-0") {
							t.Errorf("%s: the draining run is %+v", x.id, x.run("i-0"))
						}
						if x.canUse("i-1") {
							t.Errorf("%s: the ended run is %+v", x.id, x.run("i-1"))
						}
					}
				})
				for _, x := range cl.gateways {
					for _, id := range targets.runs[2:] {
						if !x.canUse(id) {
							t.Errorf("%s: %+v", x.id, x.run(id))
						}
					}
				}
			})
		})
	}
}

// The run must stay ended even when the other controllers have already forgotten it by the time at which a controller
// whose journal has it comes back.
func TestARunThatEndedWhileAControllerWasDownStaysAway(t *testing.T) {
	runCluster(t, 6, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		targets := cl.newTargetGroup(4)
		targets.runFor(5*time.Second, func() {})
		m := withDisk(cl.controllers)[1]
		m.kill()
		targets.silent["i-0"], targets.silent["i-1"] = true, true
		if err := cl.controllers[0].control().Leave(cl.ctx, "i-0"); err != nil {
			t.Fatal(err)
		}
		targets.runFor(5*time.Minute+30*time.Second, func() {})
		holds := func(n *Node, id string) (ok bool) {
			n.Replica.WithRuns(func(tb *target.Table, now time.Time) bool {
				_, ok = tb.Get(id, now)
				return false
			})
			return ok
		}
		others := lo.Without(cl.controllers, m)
		for _, o := range others {
			if holds(o.control(), "i-0") || holds(o.control(), "i-1") {
				t.Fatalf("%s has not forgotten the ended runs", o.id)
			}
		}
		m.boot()
		if !holds(m.control(), "i-0") {
			t.Fatal("the controller did not load the run from its journal: this test shows nothing")
		}
		// Gateways without state whose only seed is this controller follow it from the start.
		cl.mu.Lock()
		cl.seeds = []string{m.addr}
		cl.mu.Unlock()
		for _, x := range cl.gateways {
			x.kill()
			x.boot()
		}
		cl.await("sync of the gateways", time.Second, func() bool {
			return lo.EveryBy(cl.gateways, func(x *gatewayHost) bool { return x.subscriber().Synced() })
		})
		targets.runFor(15*time.Second, func() {
			for _, x := range cl.gateways {
				if x.canUse("i-0") || x.canUse("i-1") {
					t.Errorf("%s: %+v, %+v", x.id, x.run("i-0"), x.run("i-1"))
				}
			}
			for _, o := range others {
				if holds(o.control(), "i-0") || holds(o.control(), "i-1") {
					t.Errorf("%s took an ended run from another controller's journal", o.id)
				}
			}
		})
		for _, x := range cl.gateways {
			if !x.canUse("i-2") || !x.canUse("i-3") {
				t.Errorf("%s: %+v, %+v", x.id, x.run("i-2"), x.run("i-3"))
			}
		}
	})
}

// The journal grows with changes, not with heartbeats, and is rewritten before it is much longer
// than the table.
func TestNotesStaySmall(t *testing.T) {
	runCluster(t, 7, clusterShape{zones: 1, disks: 1, gateways: 1}, func(cl *cluster) {
		targets := cl.newTargetGroup(10)
		targets.runFor(5*time.Second, func() {})
		d := cl.controllers[0].disk
		n := len(d.journalCopy())
		if n < 10 || n > 40 {
			t.Errorf("%d records of 10 runs", n)
		}
		targets.runFor(70*time.Second, func() {})
		if got := len(d.journalCopy()); got != n {
			t.Errorf("%d records after 70 s of heartbeats, %d before", got, n)
		}
		for slots := range maxExtraRecords + 50 {
			cl.controllers[0].control().Replica.WithRuns(func(tb *target.Table, now time.Time) bool {
				r, _ := tb.Get("i-0", now)
				r.Seq, r.Slots = r.Seq+1, slots+1
				return tb.Merge(r, now)
			})
			time.Sleep(journalInterval + 10*time.Millisecond)
		}
		if got := len(d.journalCopy()); got > 2*10+maxExtraRecords+2 {
			t.Errorf("%d records of 10 runs", got)
		}
		var last target.Run
		for _, b := range d.journalCopy() {
			if r, err := target.ReadRecord(b); err != nil {
				t.Error(err)
			} else if r.ID == "i-0" {
				last = r
			}
		}
		if last.Slots != maxExtraRecords+50 {
			t.Errorf("the last change is not in the journal: %+v", last)
		}
	})
}

// A starting gateway may receive outdated runs from a partitioned controller before it reaches a controller that
// knows better.
func TestAGatewayDoubtsWhatAFirmControllerDoesNotKnow(t *testing.T) {
	runCluster(t, 11, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		targets := cl.newTargetGroup(2)
		targets.runFor(5*time.Second, func() {})
		m, x := withDisk(cl.controllers)[1], cl.gateways[0]
		m.kill()
		x.kill()
		old := target.Run{ID: "i-old", Service: "a", Addr: "10.0.0.99:80", Zone: "z0", Slots: 2, Seq: 3, State: target.Ready}
		restoreJournals(map[*disk][][]byte{m.disk: append(m.disk.journalCopy(), old.Record())})
		others := lo.Without(cl.controllers, m)
		for _, o := range others {
			cl.net.cut(m.addr, o.addr, true)
		}
		seeds := cl.seedList()
		cl.mu.Lock()
		cl.seeds = []string{m.addr}
		cl.mu.Unlock()
		m.boot()
		x.boot()
		time.Sleep(2 * time.Second)
		if r := x.run("i-old"); r.State != target.Ready || r.Suspected() || x.subscriber().Synced() {
			t.Fatalf("the gateway did not receive the run from a controller that is not fresh: %+v", r)
		}
		x.subscriber().SetSeeds([]string{seeds[0]})
		cl.await("fresh controller", 2*time.Second, x.subscriber().Synced)
		if r := x.run("i-old"); !r.Suspected() {
			t.Errorf("%+v", r)
		}
		cl.net.healAll()
		targets.runFor(10*time.Second, func() {
			for _, x := range cl.gateways {
				if x.canUse("i-old") || !x.canUse("i-0") || !x.canUse("i-1") {
					t.Errorf("%s: %+v, %+v, %+v", x.id, x.run("i-old"), x.run("i-0"), x.run("i-1"))
				}
			}
		})
	})
}
