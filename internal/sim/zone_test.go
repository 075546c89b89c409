package sim

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// rate is how many calls a second the deployment of the size asked for gets.
func rate() float64 {
	switch *size {
	case "alcazar":
		return 230
	case "grachtwerk":
		return 330
	}
	return 60
}

// A zone goes out in each way, with changes under way, and comes back: what is refused
// stays within what is promised, and all serve again. The log has the figures.
func TestZonesOut(t *testing.T) {
	t.Parallel()
	zones := shape().Zones
	if *seeds == 1 {
		zones = 1 // a sweep takes each
	}
	for z := 1; z <= zones; z++ {
		for _, how := range []string{"kill", "freeze", "cut"} {
			t.Run(fmt.Sprintf("z%d-%s", z, how), func(t *testing.T) {
				t.Parallel()
				raisedAs(t, shape(), func(ctx context.Context, w *World) { zoneTrial(ctx, t, w, fmt.Sprintf("z%d", z), how) })
			})
		}
	}
}

func zoneTrial(ctx context.Context, t *testing.T, w *World, zone, how string) {
	w.Go(w.Platform)
	cx, end := context.WithTimeout(ctx, 50*time.Second)
	defer end()
	done, ops := make(chan struct{}), make(chan struct{})
	go func() { w.Callers(cx, rate()); close(done) }()
	go func() { w.Operate(cx); close(ops) }()
	time.Sleep(14 * time.Second)
	side := func(n *Node) bool { return n.Zone == zone }
	if how == "cut" {
		w.part(zone, 10*time.Second, side)
		// The zone's targets are cut off with it.
		for _, x := range w.Targets {
			for _, n := range w.In() {
				if side(n) != (x.Zone == zone) {
					w.Net.Cut(x.ID, n.ID)
					w.Net.Cut(n.ID, x.ID)
				}
			}
		}
	}
	for _, n := range w.In() {
		if n.Zone == zone && how == "kill" {
			n.Kill()
		} else if n.Zone == zone && how == "freeze" {
			n.Freeze()
		}
	}
	for _, x := range w.Targets {
		if x.Zone == zone && how != "cut" {
			x.Crash()
		}
	}
	time.Sleep(10 * time.Second)
	for _, n := range w.In() {
		n.Thaw()
		n.Start()
	}
	for _, x := range w.Targets {
		if !x.Up() {
			x.Start()
		}
	}
	back := time.Now()
	<-done
	<-ops
	v := judge(t, w)
	late := w.Rec.Failed(back.Add(15 * time.Second))
	last := time.Duration(0)
	for _, o := range w.Rec.Failed(back) {
		last = max(last, o.Sent.Sub(back))
	}
	t.Logf("%d calls, %d refused (%d promised), %v, %v, last failure %s after the return", v.Calls, v.Refusals, 5+v.Calls/500, v.Classes, v.RefusalReasons, last)
	if v.TooManyRefusals || len(late) > 0 {
		t.Errorf("%d of %d calls refused, %d later than 15 s after the zone's return", v.Refusals, v.Calls, len(late))
	}
}
