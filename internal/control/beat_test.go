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

// startHeartbeats sends heartbeats of a target run to its home controller, as targets do, and to
// another controller when that one fails. The returned function stops them.
func (cl *cluster) startHeartbeats(id, service, zone, addr string) (stop func()) {
	ctx, cancel := context.WithCancel(cl.ctx)
	cl.wg.Go(func() {
		to := ""
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			b := target.Heartbeat{ID: id, Service: service, Addr: addr, Zone: zone, Slots: 2, Seq: seq}
			for range 4 {
				m, ok := lo.Find(cl.controllers, func(m *controllerHost) bool { return m.addr == to })
				if !ok {
					m = pick(cl, cl.controllers)
				}
				if err := cl.sendHeartbeat(m, b); err == nil {
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
	return cancel
}

// sendHeartbeat sends one heartbeat, as if over the network.
func (cl *cluster) sendHeartbeat(m *controllerHost, b target.Heartbeat) error {
	run := m.processContext()
	if run == nil {
		return errRefused
	}
	callCtx, cancel := context.WithTimeout(cl.ctx, time.Second)
	defer cancel()
	ch := make(chan error, 1)
	go func() {
		m.waitWhileFrozen()
		err := m.control().Beat(callCtx, b)
		m.waitWhileFrozen()
		if run.Err() == nil {
			ch <- err
		}
	}()
	select {
	case err := <-ch:
		return err
	case <-callCtx.Done():
		return callCtx.Err()
	}
}

func TestDrainsReachEveryGatewayThoughTheirControllerFails(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers)
		for i := range 6 {
			id := fmt.Sprintf("i-%d", i)
			b := target.Heartbeat{ID: id, Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z0", Slots: 2, Seq: 1}
			if err := pick(cl, cl.controllers).control().Beat(cl.ctx, b); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(propagationLimit)
		for _, x := range cl.gateways {
			if r := x.run("i-0"); r.State != target.Ready {
				t.Fatalf("%s does not know a run: %+v", x.id, r)
			}
		}
		for i := range 6 {
			id := fmt.Sprintf("i-%d", i)
			m := pick(cl, cl.controllers)
			b := target.Heartbeat{ID: id, Service: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "z0", Slots: 2, Seq: 2, Draining: true}
			state := target.Draining
			var err error
			if i%3 == 2 {
				state = target.Ended
				err = m.control().Leave(cl.ctx, id)
			} else {
				err = m.control().Beat(cl.ctx, b)
			}
			if err != nil {
				t.Fatal(err)
			}
			heal := func() {}
			switch cl.randN(4) {
			case 0:
				m.kill()
				heal = m.boot
			case 1:
				m.freeze()
				heal = m.thaw
			case 2:
				for _, o := range cl.controllers {
					cl.net.cut(m.addr, o.addr, true)
				}
				for _, x := range cl.gateways {
					cl.net.cut(m.addr, x.addr, true)
				}
				heal = cl.net.healAll
			}
			cl.expectState(id, state, cl.gateways)
			time.Sleep(propagationLimit + time.Second)
			heal()
			time.Sleep(3500 * time.Millisecond)
			// A late heartbeat does not make the run ready again.
			b.Draining = false
			if err := pick(cl, cl.controllers).control().Beat(cl.ctx, b); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			for _, x := range cl.gateways {
				if r := x.run(id); r.State != state {
					t.Errorf("%s: a late heartbeat changed %+v", x.id, r)
				}
			}
		}
	})
}

func TestUnknownRunsThatLeaveAreHeld(t *testing.T) {
	runCluster(t, 4, smallCluster, func(cl *cluster) {
		if err := cl.controllers[5].control().Leave(cl.ctx, "i-never"); err != nil {
			t.Fatal(err)
		}
		cl.expectState("i-never", target.Ended, cl.gateways)
		// A departure that is known to be held is acknowledged even without a reachable majority.
		for _, o := range cl.controllers[:5] {
			cl.net.cut(cl.controllers[5].addr, o.addr, true)
		}
		if err := cl.controllers[5].control().Leave(cl.ctx, "i-never"); err != nil {
			t.Errorf("departure that is already held: %v", err)
		}
	})
}

func TestSilentRunsAreSuspectedAndClearedForAll(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		stops := map[string]func(){}
		for i := range 8 {
			id := fmt.Sprintf("i-%d", i)
			stops[id] = cl.startHeartbeats(id, "a", "z0", fmt.Sprintf("10.0.0.%d:80", i))
		}
		time.Sleep(20 * time.Second)
		for _, x := range cl.gateways {
			for id := range stops {
				if r := x.run(id); r.State != target.Ready || r.Suspected() {
					t.Fatalf("%s: a run that sends heartbeats is %+v", x.id, r)
				}
			}
		}
		stops["i-3"]()
		time.Sleep(8 * time.Second)
		for _, x := range cl.gateways {
			for id := range stops {
				if r := x.run(id); r.Suspected() != (id == "i-3") {
					t.Errorf("%s: %+v", x.id, r)
				}
			}
		}
		// A newer heartbeat at any controller clears the suspicion.
		if err := pick(cl, cl.controllers).control().Beat(cl.ctx, target.Heartbeat{ID: "i-3", Service: "a", Addr: "10.0.0.3:80", Zone: "z0", Slots: 2, Seq: 1000}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		for _, x := range cl.gateways {
			if r := x.run("i-3"); r.Suspected() {
				t.Errorf("%s: still suspected: %+v", x.id, r)
			}
		}
		// When all runs fall silent, at most half of them are suspected.
		for _, stop := range stops {
			stop()
		}
		time.Sleep(20 * time.Second)
		for _, x := range cl.gateways {
			if n := lo.CountBy(lo.Keys(stops), func(id string) bool { return x.run(id).Suspected() }); n == 0 || n > 4 {
				t.Errorf("%s suspects %d of 8 runs", x.id, n)
			}
		}
	})
}

// A controller that was paused must not treat the heartbeats it missed as silence of the targets.
func TestOwnPausesMakeNoSuspicion(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(1), cl.controllers)
		var stops []func()
		for i := range 8 {
			stops = append(stops, cl.startHeartbeats(fmt.Sprintf("i-%d", i), "a", fmt.Sprintf("z%d", i%3), fmt.Sprintf("10.0.0.%d:80", i)))
		}
		time.Sleep(15 * time.Second)
		for range 3 {
			m := pick(cl, cl.controllers)
			m.freeze()
			time.Sleep(time.Duration(1000+cl.randN(4000)) * time.Millisecond)
			m.thaw()
			time.Sleep(700 * time.Millisecond)
			for i := range 8 {
				if r := cl.gateways[0].run(fmt.Sprintf("i-%d", i)); r.Suspected() {
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
	runCluster(t, 5, smallCluster, func(cl *cluster) {
		stopOld := cl.startHeartbeats("i-old", "a", "z0", "10.0.0.1:80")
		time.Sleep(10 * time.Second)
		stopOld()
		time.Sleep(1100 * time.Millisecond)
		stopNew := cl.startHeartbeats("i-new", "b", "z0", "10.0.0.1:80")
		time.Sleep(5 * time.Second)
		for _, x := range cl.gateways {
			if o, n := x.run("i-old"), x.run("i-new"); o.State != target.Ended || n.State != target.Ready || n.Suspected() {
				t.Errorf("%s: %+v and %+v", x.id, o, n)
			}
		}
		stopNew()
	})
}
