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

// journal is one process's use of a disk's notes. What is written is there at once: a
// killed process loses none of it.
type journal struct {
	d   *disk
	run context.Context
}

func (j *journal) Load() ([][]byte, error) { return j.d.noted(), nil }

func (j *journal) write(records [][]byte, anew bool) error {
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	if j.run.Err() != nil {
		return errDead
	}
	j.d.notes = append(lo.Ternary(anew, nil, j.d.notes), records...)
	return nil
}

func (j *journal) Append(records [][]byte) error  { return j.write(records, false) }
func (j *journal) Replace(records [][]byte) error { return j.write(records, true) }
func (j *journal) Close() error                   { return nil }

func (d *disk) noted() [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.notes)
}

// noted are the notes of all disks now, and lose puts them back, as a power loss does
// with what was written since and not synced.
func (w *world) noted() map[*disk][][]byte {
	return lo.SliceToMap(disked(w.controllers), func(m *controllerHost) (*disk, [][]byte) { return m.disk, m.disk.noted() })
}

func lose(to map[*disk][][]byte) {
	for d, n := range to {
		d.mu.Lock()
		d.notes = n
		d.mu.Unlock()
	}
}

// herd are targets that beat when a test says so, each at some controller.
type herd struct {
	w    *world
	seq  uint64
	runs []string
	over map[string]bool // that beat no more
	away map[string]bool // that beat as draining
}

func (w *world) herd(n int) *herd {
	h := &herd{w: w, over: map[string]bool{}, away: map[string]bool{}}
	for i := range n {
		h.runs = append(h.runs, fmt.Sprintf("i-%d", i))
	}
	return h
}

// beat has each of the herd beat once.
func (h *herd) beat() {
	h.w.t.Helper()
	h.seq++
	for i, id := range h.runs {
		if h.over[id] {
			continue
		}
		b := target.Heartbeat{ID: id, Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: fmt.Sprintf("z%d", i%3), Slots: 2, Seq: h.seq, Draining: h.away[id]}
		h.w.await("answer to a beat", 3*time.Second, func() bool { return h.w.beat(pick(h.w, h.w.controllers), b) == nil })
	}
}

// live has the herd beat for d, and calls look now and then.
func (h *herd) live(d time.Duration, look func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		h.beat()
		for next := time.Now().Add(900 * time.Millisecond); time.Now().Before(next); time.Sleep(100 * time.Millisecond) {
			look()
		}
	}
}

// loss kills every process and starts all again.
func (w *world) loss(between func()) {
	for _, m := range w.controllers {
		m.kill()
	}
	for _, x := range w.gateways {
		x.kill()
	}
	between()
	time.Sleep(time.Duration(100+w.chance(900)) * time.Millisecond)
	for _, m := range w.controllers {
		m.boot()
	}
	for _, x := range w.gateways {
		x.boot()
	}
}

// serves tells whether a gateway that was told everything would use a run.
func (x *gatewayHost) serves(id string) bool {
	r := x.run(id)
	return x.subscriber().Synced() && r.State == target.Ready && !r.Suspected()
}

func TestTargetsAreKnownAtOnceAfterAllWereKilled(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(1), w.controllers)
		h := w.herd(12)
		h.live(6*time.Second, func() {})
		for range 2 {
			w.loss(func() {})
			// No beat comes in meanwhile.
			w.await("knowledge of all targets", 500*time.Millisecond, func() bool {
				return lo.EveryBy(w.gateways, func(x *gatewayHost) bool { return lo.EveryBy(h.runs, x.serves) })
			})
			h.live(8*time.Second, func() {
				for _, x := range w.gateways {
					for _, id := range h.runs {
						if !x.serves(id) {
							t.Errorf("%s: a run that beats is %+v", x.id, x.run(id))
						}
					}
				}
			})
		}
		// One does not come back.
		h.over["i-3"] = true
		w.loss(func() {})
		at := time.Now()
		n := w.controllers[0].control()
		h.live(n.confirmTime()+1500*time.Millisecond, func() {
			for _, x := range w.gateways {
				if r := x.run("i-3"); r.Suspected() && time.Since(at) < n.confirmTime()-200*time.Millisecond {
					t.Errorf("%s: doubted after %v: %+v", x.id, time.Since(at), r)
				}
			}
		})
		for _, x := range w.gateways {
			for _, id := range h.runs {
				if x.serves(id) != (id != "i-3") {
					t.Errorf("%s: %+v", x.id, x.run(id))
				}
			}
		}
	})
}

func TestALeavingIsNotUndoneByALoss(t *testing.T) {
	for kind, f := range map[string]func(w *world, leave func()){
		"all killed": func(w *world, leave func()) {
			leave()
			time.Sleep(noteEvery + 100*time.Millisecond)
			w.loss(func() {})
		},
		"all killed right after": func(w *world, leave func()) {
			leave()
			w.loss(func() {})
		},
		"power lost": func(w *world, leave func()) {
			old := w.noted()
			leave()
			time.Sleep(2 * noteEvery)
			w.loss(func() { lose(old) })
		},
		"all killed, one disk lost": func(w *world, leave func()) {
			leave()
			time.Sleep(noteEvery + 100*time.Millisecond)
			w.loss(pick(w, disked(w.controllers)).disk.wipe)
		},
		"power lost, one disk lost": func(w *world, leave func()) {
			old := w.noted()
			leave()
			w.loss(func() {
				lose(old)
				pick(w, disked(w.controllers)).disk.wipe()
			})
		},
		"power lost at one controller": func(w *world, leave func()) {
			m := pick(w, disked(w.controllers))
			old := m.disk.noted()
			leave()
			time.Sleep(2 * noteEvery)
			m.kill()
			lose(map[*disk][][]byte{m.disk: old})
			x := pick(w, w.gateways)
			x.kill()
			m.boot()
			x.boot()
		},
	} {
		t.Run(kind, func(t *testing.T) {
			each(t, func(w *world) {
				w.order(base(1), w.controllers)
				h := w.herd(6)
				h.live(5*time.Second, func() {})
				f(w, func() {
					h.away["i-0"], h.over["i-1"] = true, true
					h.beat()
					if err := pick(w, w.controllers).control().Leave(w.ctx, "i-1"); err != nil {
						t.Fatal(err)
					}
				})
				// Never again, not even until the next beats: i-1 may serve on and say no more.
				h.live(8*time.Second, func() {
					for _, x := range w.gateways {
						if x.serves("i-0") {
							t.Errorf("%s: the run that drains is %+v", x.id, x.run("i-0"))
						}
						if x.serves("i-1") {
							t.Errorf("%s: the run that ended is %+v", x.id, x.run("i-1"))
						}
					}
				})
				for _, x := range w.gateways {
					for _, id := range h.runs[2:] {
						if !x.serves(id) {
							t.Errorf("%s: %+v", x.id, x.run(id))
						}
					}
				}
			})
		})
	}
}

// The others have even forgotten the run by the time at which a controller that remembers it
// comes back.
func TestARunThatEndedWhileAControllerWasDownStaysAway(t *testing.T) {
	play(t, 6, small, func(w *world) {
		w.order(base(1), w.controllers)
		h := w.herd(4)
		h.live(5*time.Second, func() {})
		m := disked(w.controllers)[1]
		m.kill()
		h.over["i-0"], h.over["i-1"] = true, true
		if err := w.controllers[0].control().Leave(w.ctx, "i-0"); err != nil {
			t.Fatal(err)
		}
		h.live(5*time.Minute+30*time.Second, func() {})
		holds := func(n *Node, id string) (ok bool) {
			n.Board.WithRuns(func(tb *target.Table, now time.Time) bool {
				_, ok = tb.Get(id, now)
				return false
			})
			return ok
		}
		others := lo.Without(w.controllers, m)
		for _, o := range others {
			if holds(o.control(), "i-0") || holds(o.control(), "i-1") {
				t.Fatalf("%s has not forgotten what is over", o.id)
			}
		}
		m.boot()
		if !holds(m.control(), "i-0") {
			t.Fatal("the controller does not remember the run: this test shows nothing")
		}
		// Gateways that know nothing and have nobody else to ask: they follow it from the start.
		w.mu.Lock()
		w.seeds = []string{m.addr}
		w.mu.Unlock()
		for _, x := range w.gateways {
			x.kill()
			x.boot()
		}
		w.await("first word at the gateways", time.Second, func() bool {
			return lo.EveryBy(w.gateways, func(x *gatewayHost) bool { return x.subscriber().Synced() })
		})
		h.live(15*time.Second, func() {
			for _, x := range w.gateways {
				if x.serves("i-0") || x.serves("i-1") {
					t.Errorf("%s: %+v, %+v", x.id, x.run("i-0"), x.run("i-1"))
				}
			}
			for _, o := range others {
				if holds(o.control(), "i-0") || holds(o.control(), "i-1") {
					t.Errorf("%s has an old memory of another", o.id)
				}
			}
		})
		for _, x := range w.gateways {
			if !x.serves("i-2") || !x.serves("i-3") {
				t.Errorf("%s: %+v, %+v", x.id, x.run("i-2"), x.run("i-3"))
			}
		}
	})
}

// The journal grows with what changes, not with the beats, and is written anew before
// it is much longer than the table.
func TestNotesStaySmall(t *testing.T) {
	play(t, 7, shape{zones: 1, disks: 1, gateways: 1}, func(w *world) {
		h := w.herd(10)
		h.live(5*time.Second, func() {})
		d := w.controllers[0].disk
		n := len(d.noted())
		if n < 10 || n > 40 {
			t.Errorf("%d records of 10 runs", n)
		}
		h.live(70*time.Second, func() {})
		if got := len(d.noted()); got != n {
			t.Errorf("%d records after 70 s of beats, %d before", got, n)
		}
		for slots := range slackNotes + 50 {
			w.controllers[0].control().Board.WithRuns(func(tb *target.Table, now time.Time) bool {
				r, _ := tb.Get("i-0", now)
				r.Seq, r.Slots = r.Seq+1, slots+1
				return tb.Merge(r, now)
			})
			time.Sleep(noteEvery + 10*time.Millisecond)
		}
		if got := len(d.noted()); got > 2*10+slackNotes+2 {
			t.Errorf("%d records of 10 runs", got)
		}
		var last target.Run
		for _, b := range d.noted() {
			if r, err := target.ReadRecord(b); err != nil {
				t.Error(err)
			} else if r.ID == "i-0" {
				last = r
			}
		}
		if last.Slots != slackNotes+50 {
			t.Errorf("the last change is not noted: %+v", last)
		}
	})
}

// A gateway that starts may hear old memories of a controller that is cut off, before one that
// knows better.
func TestAGatewayDoubtsWhatAFirmControllerDoesNotKnow(t *testing.T) {
	play(t, 11, small, func(w *world) {
		w.order(base(1), w.controllers)
		h := w.herd(2)
		h.live(5*time.Second, func() {})
		m, x := disked(w.controllers)[1], w.gateways[0]
		m.kill()
		x.kill()
		old := target.Run{ID: "i-old", Service: "a", Addr: "10.0.0.99:80", Zone: "z0", Slots: 2, Seq: 3, State: target.Ready}
		lose(map[*disk][][]byte{m.disk: append(m.disk.noted(), old.Record())})
		others := lo.Without(w.controllers, m)
		for _, o := range others {
			w.net.cut(m.addr, o.addr, true)
		}
		seeds := w.seedList()
		w.mu.Lock()
		w.seeds = []string{m.addr}
		w.mu.Unlock()
		m.boot()
		x.boot()
		time.Sleep(2 * time.Second)
		if r := x.run("i-old"); r.State != target.Ready || r.Suspected() || x.subscriber().Synced() {
			t.Fatalf("the gateway did not hear of it from a controller that is not fresh: %+v", r)
		}
		x.subscriber().SetSeeds([]string{seeds[0]})
		w.await("fresh controller", 2*time.Second, x.subscriber().Synced)
		if r := x.run("i-old"); !r.Suspected() {
			t.Errorf("%+v", r)
		}
		w.net.mend()
		h.live(10*time.Second, func() {
			for _, x := range w.gateways {
				if x.serves("i-old") || !x.serves("i-0") || !x.serves("i-1") {
					t.Errorf("%s: %+v, %+v, %+v", x.id, x.run("i-old"), x.run("i-0"), x.run("i-1"))
				}
			}
		})
	})
}
