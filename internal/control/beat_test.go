package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/target"
)

// beats has a target run beat at the controller that is its home, as targets do; it goes to
// the next when that one fails. The returned function ends it.
func (w *world) beats(id, service, zone, addr string) (stop func()) {
	ctx, end := context.WithCancel(w.ctx)
	w.wg.Go(func() {
		to := ""
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			b := target.Heartbeat{ID: id, Service: service, Addr: addr, Zone: zone, Slots: 2, Seq: seq}
			for range 4 {
				m, ok := lo.Find(w.controllers, func(m *controllerHost) bool { return m.addr == to })
				if !ok {
					m = pick(w, w.controllers)
				}
				if err := w.beat(m, b); err == nil {
					to = m.control().Home(service, zone)
					break
				}
				to = ""
			}
			if (clock.Wall{}).Sleep(ctx, time.Second) != nil {
				return
			}
		}
	})
	return end
}

// beat sends one beat over the network, as it were.
func (w *world) beat(m *controllerHost, b target.Heartbeat) error {
	run := m.up()
	if run == nil {
		return errRefused
	}
	cx, end := context.WithTimeout(w.ctx, time.Second)
	defer end()
	ch := make(chan error, 1)
	go func() {
		m.awake()
		err := m.control().Beat(cx, b)
		m.awake()
		if run.Err() == nil {
			ch <- err
		}
	}()
	select {
	case err := <-ch:
		return err
	case <-cx.Done():
		return cx.Err()
	}
}

func TestDrainsReachEveryGatewayThoughTheirControllerFails(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(3), w.controllers)
		for i := range 6 {
			id := fmt.Sprintf("i-%d", i)
			b := target.Heartbeat{ID: id, Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z0", Slots: 2, Seq: 1}
			if err := pick(w, w.controllers).control().Beat(w.ctx, b); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(bound)
		for _, x := range w.gateways {
			if r := x.run("i-0"); r.State != target.Ready {
				t.Fatalf("%s does not know a run: %+v", x.id, r)
			}
		}
		for i := range 6 {
			id := fmt.Sprintf("i-%d", i)
			m := pick(w, w.controllers)
			b := target.Heartbeat{ID: id, Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z0", Slots: 2, Seq: 2, Draining: true}
			state := target.Draining
			var err error
			if i%3 == 2 {
				state = target.Ended
				err = m.control().Leave(w.ctx, id)
			} else {
				err = m.control().Beat(w.ctx, b)
			}
			if err != nil {
				t.Fatal(err)
			}
			heal := func() {}
			switch w.chance(4) {
			case 0:
				m.kill()
				heal = m.boot
			case 1:
				m.freeze()
				heal = m.thaw
			case 2:
				for _, o := range w.controllers {
					w.net.cut(m.addr, o.addr, true)
				}
				for _, x := range w.gateways {
					w.net.cut(m.addr, x.addr, true)
				}
				heal = w.net.mend
			}
			w.drained(id, state, w.gateways)
			time.Sleep(bound + time.Second)
			heal()
			time.Sleep(3500 * time.Millisecond)
			// A late beat does not bring it back.
			b.Draining = false
			if err := pick(w, w.controllers).control().Beat(w.ctx, b); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			for _, x := range w.gateways {
				if r := x.run(id); r.State != state {
					t.Errorf("%s: a late beat changed %+v", x.id, r)
				}
			}
		}
	})
}

func TestUnknownRunsThatLeaveAreHeld(t *testing.T) {
	play(t, 4, small, func(w *world) {
		if err := w.controllers[5].control().Leave(w.ctx, "i-never"); err != nil {
			t.Fatal(err)
		}
		w.drained("i-never", target.Ended, w.gateways)
		// What is known to be held is acknowledged though nobody is there any more.
		for _, o := range w.controllers[:5] {
			w.net.cut(w.controllers[5].addr, o.addr, true)
		}
		if err := w.controllers[5].control().Leave(w.ctx, "i-never"); err != nil {
			t.Errorf("a leaving already held: %v", err)
		}
	})
}

func TestSilentRunsAreSuspectedAndClearedForAll(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(1), w.controllers)
		stops := map[string]func(){}
		for i := range 8 {
			id := fmt.Sprintf("i-%d", i)
			stops[id] = w.beats(id, "a", "z0", fmt.Sprintf("10.0.0.%d:80", i))
		}
		time.Sleep(20 * time.Second)
		for _, x := range w.gateways {
			for id := range stops {
				if r := x.run(id); r.State != target.Ready || r.Suspected() {
					t.Fatalf("%s: a run that beats is %+v", x.id, r)
				}
			}
		}
		stops["i-3"]()
		time.Sleep(8 * time.Second)
		for _, x := range w.gateways {
			for id := range stops {
				if r := x.run(id); r.Suspected() != (id == "i-3") {
					t.Errorf("%s: %+v", x.id, r)
				}
			}
		}
		// One newer beat, at whatever node, clears it.
		if err := pick(w, w.controllers).control().Beat(w.ctx, target.Heartbeat{ID: "i-3", Service: "a", Addr: "10.0.0.3:80", Zone: "z0", Slots: 2, Seq: 1000}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		for _, x := range w.gateways {
			if r := x.run("i-3"); r.Suspected() {
				t.Errorf("%s: still suspected: %+v", x.id, r)
			}
		}
		// All fall silent: half of them at most are given up.
		for _, stop := range stops {
			stop()
		}
		time.Sleep(20 * time.Second)
		for _, x := range w.gateways {
			if n := lo.CountBy(lo.Keys(stops), func(id string) bool { return x.run(id).Suspected() }); n == 0 || n > 4 {
				t.Errorf("%s holds %d of 8 runs for silent", x.id, n)
			}
		}
	})
}

// A controller that stood still must not take the silence for the targets'.
func TestOwnPausesMakeNoSuspicion(t *testing.T) {
	each(t, func(w *world) {
		w.order(base(1), w.controllers)
		var stops []func()
		for i := range 8 {
			stops = append(stops, w.beats(fmt.Sprintf("i-%d", i), "a", fmt.Sprintf("z%d", i%3), fmt.Sprintf("10.0.0.%d:80", i)))
		}
		time.Sleep(15 * time.Second)
		for range 3 {
			m := pick(w, w.controllers)
			m.freeze()
			time.Sleep(time.Duration(1000+w.chance(4000)) * time.Millisecond)
			m.thaw()
			time.Sleep(700 * time.Millisecond)
			for i := range 8 {
				if r := w.gateways[0].run(fmt.Sprintf("i-%d", i)); r.Suspected() {
					t.Errorf("%s was frozen, and %+v is suspected", m.id, r)
				}
			}
			time.Sleep(5 * time.Second)
		}
		for _, stop := range stops {
			stop()
		}
	})
}

func TestANewRunTakesAnAddressOver(t *testing.T) {
	play(t, 5, small, func(w *world) {
		stop := w.beats("i-old", "a", "z0", "10.0.0.1:80")
		time.Sleep(10 * time.Second)
		stop()
		time.Sleep(1100 * time.Millisecond)
		again := w.beats("i-new", "b", "z0", "10.0.0.1:80")
		time.Sleep(5 * time.Second)
		for _, x := range w.gateways {
			if o, n := x.run("i-old"), x.run("i-new"); o.State != target.Ended || n.State != target.Ready || n.Suspected() {
				t.Errorf("%s: %+v and %+v", x.id, o, n)
			}
		}
		again()
	})
}
