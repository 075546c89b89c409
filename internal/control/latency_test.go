package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"walkrudder/internal/route"
)

// Bounds the latency of acknowledgements in an idle system, on the virtual clock: messages take 0.2 to
// 2 ms and syncs 0.2 to 3 ms. A change takes four round trips (current state, promises, accepts, copies)
// and three syncs, a departure one of each.
func TestAcknowledgementsTakeFewRoundTrips(t *testing.T) {
	runCluster(t, 21, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(10), cl.controllers)
		var changes, departures []time.Duration
		for i := range 60 {
			changes = append(changes, cl.mustApply(Change{Routes: []route.Route{routeTo("r0", uint64(10+i), "b")}}, shuffled(cl, cl.controllers)))
			start := time.Now()
			if err := pick(cl, cl.controllers).control().Leave(cl.ctx, fmt.Sprintf("i-%d", i)); err != nil {
				t.Fatal(err)
			}
			departures = append(departures, time.Since(start))
			time.Sleep(200 * time.Millisecond)
		}
		for _, x := range []struct {
			what  string
			took  []time.Duration
			bound time.Duration
		}{{"change", changes, 40 * time.Millisecond}, {"departure", departures, 15 * time.Millisecond}} {
			slices.Sort(x.took)
			median, maximum := x.took[len(x.took)/2], x.took[len(x.took)-1]
			t.Logf("%s: median latency %v, maximum %v", x.what, median.Round(10*time.Microsecond), maximum.Round(10*time.Microsecond))
			if maximum > x.bound {
				t.Errorf("%s: %v, bound %v", x.what, maximum, x.bound)
			}
		}
	})
}
