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

// newTestPipeline returns a pipeline with n targets that are probed every 400 ms.
func newTestPipeline(ctx context.Context, t *testing.T, n int) (*Pipeline, []*registry.Target) {
	t.Helper()
	pauses := liveness.NewPauseMonitor(clock.Wall{})
	go pauses.Run(ctx)
	gatewayTable := &registry.GatewayTable{Clock: clock.Wall{}, Pauses: pauses, ProbeInterval: 400 * time.Millisecond}
	gatewayTable.Init()
	go gatewayTable.RunWithoutHomes(ctx)
	var entries []registry.Entry
	for i := range n {
		entries = append(entries, registry.Entry{Beat: httpapi.Beat{ID: fmt.Sprint("t", i), Service: "s", Zone: "z1", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Capacity: 4, Seq: 1, Inc: 1}})
	}
	if err := gatewayTable.MergeEntries(ctx, "s", entries); err != nil {
		t.Fatal(err)
	}
	p := &Pipeline{Clock: clock.Wall{}, Targets: gatewayTable, Zone: "z1", Gateways: func() int { return 1 }}
	p.Init()
	return p, gatewayTable.Targets("s")
}

// recordArrivals records probe responses of the first n targets every 400 ms, numbered from
// firstSeq. The others stay silent. The identity proofs of all targets are renewed.
func recordArrivals(p *Pipeline, targets []*registry.Target, n int, firstSeq uint64, times int) {
	for j := range times {
		time.Sleep(400 * time.Millisecond)
		for _, s := range targets[:n] {
			s.Detector.RecordArrival(firstSeq+uint64(j), time.Now())
		}
		for _, s := range targets {
			p.Targets.RecordProof(s, time.Now())
		}
	}
}

func TestElectPassesOverTheSuspectedButNeverAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p, targets := newTestPipeline(ctx, t, 10)
		recordArrivals(p, targets, 10, 1, 20)
		recordArrivals(p, targets, 7, 100, 5)
		for range 300 {
			s, _, _ := p.selectTarget("s", defaultSuspicion, nil, time.Second)
			if s == nil {
				t.Fatal("no target selected")
			}
			for _, bad := range targets[7:] {
				if s == bad {
					t.Fatalf("%s was selected after 2 s of silence", s.ID)
				}
			}
		}
		// All become silent together, which points to this node rather than to the targets.
		recordArrivals(p, targets, 0, 0, 10)
		selected := map[string]bool{}
		for range 300 {
			if s, _, _ := p.selectTarget("s", defaultSuspicion, nil, time.Second); s != nil {
				selected[s.ID] = true
			}
		}
		if len(selected) == 0 || len(selected) > 5 {
			t.Errorf("with all suspected, %d of 10 were selected: want at least one, half at most", len(selected))
		}
		cancel()
		time.Sleep(time.Second)
	})
}

func TestElectTakesNoTargetWithoutAFreshProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p, targets := newTestPipeline(ctx, t, 2)
		if s, _, _ := p.selectTarget("s", defaultSuspicion, nil, time.Second); s != nil {
			t.Error("selected a target without an identity proof")
		}
		recordArrivals(p, targets, 2, 1, 5)
		targets[0].Leaving.Store(true)
		for range 50 {
			if s, _, _ := p.selectTarget("s", defaultSuspicion, nil, time.Second); s != targets[1] {
				t.Fatal("selected a leaving target, or none")
			}
		}
		if s, _, _ := p.selectTarget("s", defaultSuspicion, []*registry.Target{targets[1]}, time.Second); s != nil {
			t.Error("selected a target that was already tried")
		}
		time.Sleep(MaxProofAge)
		if s, _, _ := p.selectTarget("s", defaultSuspicion, nil, time.Second); s != nil {
			t.Error("selected a target whose proof has expired")
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// A target in a near zone is preferred to one in a distant zone.
func TestElectTakesTheNearerZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p, targets := newTestPipeline(ctx, t, 8)
		var err error
		if p.ZoneMap, err = topology.ParseDot([]byte(`graph { here -- near [ms=1]; here -- far [ms=9] }`)); err != nil {
			t.Fatal(err)
		}
		p.Zone = "here"
		for i, s := range targets {
			s.Zone = []string{"near", "far"}[i%2]
		}
		recordArrivals(p, targets, 8, 1, 3)
		byZone := map[string]int{}
		for range 400 {
			s, _, _ := p.selectTarget("s", defaultSuspicion, nil, time.Second)
			byZone[s.Zone]++
		}
		if byZone["near"] < 3*byZone["far"] || byZone["far"] == 0 {
			t.Errorf("%v", byZone)
		}
	})
}
