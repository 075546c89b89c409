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

// newTableOf returns a gateway's table with n targets in three zones.
func newTableOf(ctx context.Context, t *testing.T, me string, n int) *GatewayTable {
	t.Helper()
	pauses := liveness.NewPauseMonitor(clock.Wall{})
	go pauses.Run(ctx)
	r := &GatewayTable{Self: me, Zone: "z1", Clock: clock.Wall{}, Pauses: pauses, ProbeInterval: 400 * time.Millisecond}
	r.Init()
	go r.RunWithoutHomes(ctx)
	var es []Entry
	for i := range n {
		es = append(es, Entry{Beat: httpapi.Beat{ID: fmt.Sprint("t", i), Service: "s", Zone: fmt.Sprintf("z%d", i%3+1), Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Capacity: 4, Seq: 1, Inc: 1}})
	}
	if err := r.MergeEntries(ctx, "s", es); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestGatewayWorksWithSomeOfManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		if n := len(newTableOf(ctx, t, "f", subsetSize).Targets("s")); n != subsetSize {
			t.Errorf("of %d targets %d are in the subset", subsetSize, n)
		}
		// Each target is in the subsets of some gateways, and none in those of all.
		subsetCount := map[string]int{}
		for i := range 32 {
			r := newTableOf(ctx, t, fmt.Sprint("f", i), 64)
			own := 0
			for _, s := range r.Targets("s") {
				subsetCount[s.ID]++
				if s.Zone == "z1" {
					own++
				}
			}
			if n := len(r.Targets("s")); n != subsetSize || own < subsetSize/2 {
				t.Errorf("of 64 targets %d are in the subset, %d of them in the own zone", n, own)
			}
		}
		for i := range 64 {
			if n := subsetCount[fmt.Sprint("t", i)]; n < 3 || n > 30 {
				t.Errorf("t%d is in the subsets of %d of 32 gateways", i, n)
			}
		}
	})
}

func TestSilentTargetsAreReplacedAndStayNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		r := newTableOf(ctx, t, "f", 64)
		first := r.Targets("s")
		answer := func(seq uint64, silent int) {
			for _, s := range r.Targets("s") {
				if i := slices.Index(first, s); i < 0 || i >= silent {
					s.Detector.RecordArrival(seq, time.Now())
				}
			}
		}
		for seq := uint64(1); seq <= 30; seq++ {
			time.Sleep(400 * time.Millisecond)
			answer(seq, 5)
			_ = r.owner.Do(ctx, r.sweep)
		}
		now := r.Targets("s")
		if len(now) != subsetSize+5 {
			t.Errorf("with 5 of %d silent, %d are in the subset", subsetSize, len(now))
		}
		for i, s := range first {
			if slices.Index(now, s) < 0 {
				t.Errorf("target %d left the subset, silent %v", i, i < 5)
			}
		}
		// The silent targets answer again: those added in their place leave the subset.
		for seq := uint64(31); seq <= 60; seq++ {
			time.Sleep(400 * time.Millisecond)
			answer(seq, 0)
			_ = r.owner.Do(ctx, r.sweep)
		}
		if n := len(r.Targets("s")); n != subsetSize {
			t.Errorf("all healthy again, %d are in the subset", n)
		}
	})
}
