package passage

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/liveness"
	"walkrudder/internal/registry"
	"walkrudder/internal/topology"
)

// crowd is a passage with n proved targets, each heard of every 400 ms so far.
func crowd(ctx context.Context, t *testing.T, n int) (*Passage, []*registry.Target) {
	t.Helper()
	pz := liveness.NewPauseMonitor(clock.Wall{})
	go pz.Run(ctx)
	r := &registry.GatewayTable{Clock: clock.Wall{}, Pauses: pz, ProbeInterval: 400 * time.Millisecond}
	r.Init()
	go r.RunWithoutHomes(ctx)
	var es []registry.Entry
	for i := range n {
		es = append(es, registry.Entry{Beat: httpapi.Beat{ID: fmt.Sprint("t", i), Service: "s", Zone: "z1", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Capacity: 4, Seq: 1, Inc: 1}})
	}
	if err := r.MergeEntries(ctx, "s", es); err != nil {
		t.Fatal(err)
	}
	p := &Passage{Clock: clock.Wall{}, Roster: r, Zone: "z1", Gateways: func() int { return 1 }}
	p.Init()
	return p, r.Targets("s")
}

// hear lets the first k targets answer for a while; the rest stay silent.
func hear(p *Passage, ss []*registry.Target, k int, from uint64, times int) {
	for j := range times {
		time.Sleep(400 * time.Millisecond)
		for _, s := range ss[:k] {
			s.Detector.RecordArrival(from+uint64(j), time.Now())
		}
		for _, s := range ss {
			p.Roster.RecordProof(s, time.Now())
		}
	}
}

func TestElectPassesOverTheSuspectedButNeverAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		p, ss := crowd(ctx, t, 10)
		hear(p, ss, 10, 1, 20)
		hear(p, ss, 7, 100, 5)
		for range 300 {
			s, _, _ := p.elect("s", suspectAt, nil, time.Second)
			if s == nil {
				t.Fatal("nobody elected")
			}
			for _, bad := range ss[7:] {
				if s == bad {
					t.Fatalf("%s was elected after 2 s of silence", s.ID)
				}
			}
		}
		// All go silent together: that says more of this side than of them.
		hear(p, ss, 0, 0, 10)
		seen := map[string]bool{}
		for range 300 {
			if s, _, _ := p.elect("s", suspectAt, nil, time.Second); s != nil {
				seen[s.ID] = true
			}
		}
		if len(seen) == 0 || len(seen) > 5 {
			t.Errorf("with all suspected, %d of 10 were elected: want some, half at most", len(seen))
		}
		end()
		time.Sleep(time.Second)
	})
}

func TestElectTakesNoTargetWithoutAFreshProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		p, ss := crowd(ctx, t, 2)
		if s, _, _ := p.elect("s", suspectAt, nil, time.Second); s != nil {
			t.Error("elected a target that never proved who it is")
		}
		hear(p, ss, 2, 1, 5)
		ss[0].Leaving.Store(true)
		for range 50 {
			if s, _, _ := p.elect("s", suspectAt, nil, time.Second); s != ss[1] {
				t.Fatal("elected a target that is leaving, or none")
			}
		}
		if s, _, _ := p.elect("s", suspectAt, []*registry.Target{ss[1]}, time.Second); s != nil {
			t.Error("elected a target that was tried before")
		}
		time.Sleep(Fresh)
		if s, _, _ := p.elect("s", suspectAt, nil, time.Second); s != nil {
			t.Error("elected on a proof that has run out")
		}
		end()
		time.Sleep(time.Second)
	})
}

// Of targets in other zones those in a near one are taken first.
func TestElectTakesTheNearerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		p, ss := crowd(ctx, t, 8)
		var err error
		if p.Chart, err = topology.Dot([]byte(`graph { here -- near [ms=1]; here -- far [ms=9] }`)); err != nil {
			t.Fatal(err)
		}
		p.Zone = "here"
		for i, s := range ss {
			s.Zone = []string{"near", "far"}[i%2]
		}
		hear(p, ss, 8, 1, 3)
		by := map[string]int{}
		for range 400 {
			s, _, _ := p.elect("s", suspectAt, nil, time.Second)
			by[s.Zone]++
		}
		if by["near"] < 3*by["far"] || by["far"] == 0 {
			t.Errorf("%v", by)
		}
	})
}
