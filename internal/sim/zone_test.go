package sim

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// rate returns how many calls a second a deployment of the chosen size gets.
func rate() float64 {
	switch *sizeName {
	case "alcazar":
		return 230
	case "grachtwerk":
		return 330
	}
	return 60
}

// A zone fails in each way, with changes in progress, and comes back: refusals must stay within
// the promised bound, and all nodes must serve again. The log has the figures.
func TestZonesOut(t *testing.T) {
	t.Parallel()
	zones := shape().Zones
	if *seedCount == 1 {
		zones = 1 // a sweep with more seeds takes each zone
	}
	for z := 1; z <= zones; z++ {
		for _, how := range []string{"kill", "freeze", "cut"} {
			t.Run(fmt.Sprintf("z%d-%s", z, how), func(t *testing.T) {
				t.Parallel()
				withShape(t, shape(), func(ctx context.Context, w *World) { zoneOutage(ctx, t, w, fmt.Sprintf("z%d", z), how) })
			})
		}
	}
}

func zoneOutage(ctx context.Context, t *testing.T, w *World, zone, how string) {
	w.Go(w.PollReadiness)
	callCtx, cancel := context.WithTimeout(ctx, 50*time.Second)
	defer cancel()
	done, ops := make(chan struct{}), make(chan struct{})
	go func() { w.RunCallers(callCtx, rate()); close(done) }()
	go func() { w.RunOperators(callCtx); close(ops) }()
	time.Sleep(14 * time.Second)
	inZone := func(n *Node) bool { return n.Zone == zone }
	if how == "cut" {
		w.partition(zone, 10*time.Second, inZone)
		// The zone's targets are cut off with their zone.
		for _, x := range w.Targets {
			for _, n := range w.ActiveNodes() {
				if inZone(n) != (x.Zone == zone) {
					w.Net.Cut(x.ID, n.ID)
					w.Net.Cut(n.ID, x.ID)
				}
			}
		}
	}
	for _, n := range w.ActiveNodes() {
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
	for _, n := range w.ActiveNodes() {
		n.Thaw()
		n.Start()
	}
	for _, x := range w.Targets {
		if !x.Running() {
			x.Start()
		}
	}
	returned := time.Now()
	<-done
	<-ops
	v := checkRecords(t, w)
	late := w.Records.Failed(returned.Add(15 * time.Second))
	last := time.Duration(0)
	for _, o := range w.Records.Failed(returned) {
		last = max(last, o.Sent.Sub(returned))
	}
	t.Logf("%d calls, %d refused (%d promised), %v, %v, last failure %s after the return", v.Calls, v.Refusals, 5+v.Calls/500, v.Classes, v.RefusalReasons, last)
	if v.TooManyRefusals || len(late) > 0 {
		t.Errorf("%d of %d calls refused, %d later than 15 s after the zone's return", v.Refusals, v.Calls, len(late))
	}
}
