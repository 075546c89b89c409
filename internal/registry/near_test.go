package registry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/liveness"
)

// many is a gateway's roster of n targets in three zones.
func many(ctx context.Context, t *testing.T, me string, n int) *Roster {
	t.Helper()
	pz := liveness.NewPauses(clock.Wall{})
	go pz.Run(ctx)
	r := &Roster{Me: me, Zone: "z1", Clock: clock.Wall{}, Pause: pz, Every: 400 * time.Millisecond}
	r.Init()
	go r.Alone(ctx)
	var es []Entry
	for i := range n {
		es = append(es, Entry{Beat: httpapi.Beat{ID: fmt.Sprint("t", i), Service: "s", Zone: fmt.Sprintf("z%d", i%3+1), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Capacity: 4, Seq: 1, Inc: 1}})
	}
	if err := r.Learn(ctx, "s", es); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestGatewayWorksWithSomeOfManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		if n := len(many(ctx, t, "f", nearMost).Of("s")); n != nearMost {
			t.Errorf("of %d targets %d are near", nearMost, n)
		}
		// All targets are some gateway's, and none is everybody's.
		by := map[string]int{}
		for i := range 32 {
			r := many(ctx, t, fmt.Sprint("f", i), 64)
			own := 0
			for _, s := range r.Of("s") {
				by[s.ID]++
				if s.Zone == "z1" {
					own++
				}
			}
			if n := len(r.Of("s")); n != nearMost || own < nearMost/2 {
				t.Errorf("of 64 targets %d are near, %d of them in the own zone", n, own)
			}
		}
		for i := range 64 {
			if n := by[fmt.Sprint("t", i)]; n < 3 || n > 30 {
				t.Errorf("t%d is near to %d of 32 gateways", i, n)
			}
		}
	})
}

func TestSilentTargetsAreReplacedAndStayNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		r := many(ctx, t, "f", 64)
		first := r.Of("s")
		answer := func(seq uint64, silent int) {
			for _, s := range r.Of("s") {
				if i := slices.Index(first, s); i < 0 || i >= silent {
					s.Det.Arrive(seq, time.Now())
				}
			}
		}
		for seq := uint64(1); seq <= 30; seq++ {
			time.Sleep(400 * time.Millisecond)
			answer(seq, 5)
			_ = r.own.Do(ctx, r.sweep)
		}
		now := r.Of("s")
		if len(now) != nearMost+5 {
			t.Errorf("with 5 of %d silent, %d are near", nearMost, len(now))
		}
		for i, s := range first {
			if slices.Index(now, s) < 0 {
				t.Errorf("target %d went, silent %v", i, i < 5)
			}
		}
		// They come back: those taken besides go again.
		for seq := uint64(31); seq <= 60; seq++ {
			time.Sleep(400 * time.Millisecond)
			answer(seq, 0)
			_ = r.own.Do(ctx, r.sweep)
		}
		if n := len(r.Of("s")); n != nearMost {
			t.Errorf("all well again, %d are near", n)
		}
	})
}
