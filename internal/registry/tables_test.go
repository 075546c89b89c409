package registry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/membership"
)

// network connects to the tables of two homes in two zones; each can be made unreachable.
type network struct {
	mu          sync.Mutex
	homes       map[string]*link.Mux
	unreachable map[string]bool
}

func (l *network) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.mu.Lock()
	mux, unreachable := l.homes[addr], l.unreachable[addr]
	l.mu.Unlock()
	if mux == nil || unreachable {
		return nil, errors.New("unreachable")
	}
	if err := (clock.Wall{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	v, err := mux.Dispatch(ctx, link.Identity{}, ask)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable[addr] {
		return nil, errors.New("unreachable")
	}
	return v, err
}

func (l *network) setUnreachable(addr string, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable[addr] = unreachable
}

func beat(id string, seq, inc uint64, leaving bool) httpapi.Beat {
	return httpapi.Beat{ID: id, Service: "s", Addr: "127.0.0.1:" + id, Capacity: 1, Seq: seq, Inc: inc, EveryMS: 1000, Leaving: leaving}
}

func TestGatewayKeepsItsTargetsWhileHomesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		l := &network{homes: map[string]*link.Mux{}, unreachable: map[string]bool{}}
		p := liveness.NewPauseMonitor(clock.Wall{})
		go p.Run(ctx)
		newHome := func(addr string, run uint64) *HomeTable {
			h := &HomeTable{Clock: clock.Wall{}, Pauses: p, Incarnation: run}
			h.Init()
			go h.Run(ctx)
			mux := link.NewMux()
			h.Serve(mux)
			l.mu.Lock()
			l.homes[addr] = mux
			l.mu.Unlock()
			return h
		}
		h1, h2 := newHome("m1", 1), newHome("m2", 1)
		beatBoth := func(b httpapi.Beat) {
			for _, h := range []*HomeTable{h1, h2} {
				if _, err := h.MergeBeat(ctx, b); err != nil {
					t.Error(err)
				}
			}
		}
		r := &GatewayTable{Transport: l, Clock: clock.Wall{}, Pauses: p, Zone: "z1", ProbeInterval: time.Second, Controllers: func() []membership.Member {
			return []membership.Member{{ID: "m1", Kind: "controller", Inner: "m1", Zone: "z1"}, {ID: "m2", Kind: "controller", Inner: "m2", Zone: "z2"}}
		}}
		r.Init()
		r.SetFollowed([]string{"s"})
		go r.Run(ctx)
		beatBoth(beat("1", 1, 1, false))
		beatBoth(beat("2", 1, 1, false))
		time.Sleep(time.Second)
		if n := len(r.Targets("s")); n != 2 {
			t.Fatalf("%d targets known", n)
		}
		checkTwo := func(when string) {
			t.Helper()
			if n := len(r.Targets("s")); n != 2 {
				t.Errorf("%s: %d targets known, want 2", when, n)
			}
		}
		// The home in the own zone is lost; the leaving flag still arrives through the other.
		l.setUnreachable("m1", true)
		beatBoth(beat("1", 2, 1, true))
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			checkTwo("home in the own zone lost")
		}
		find := func(id string) *Target {
			for _, s := range r.Targets("s") {
				if s.ID == id {
					return s
				}
			}
			return nil
		}
		if !find("1").Leaving.Load() || find("2").Leaving.Load() {
			t.Error("the leaving flag did not arrive through the other home")
		}
		// The home in the own zone restarts empty and knows only an old beat: old state does not
		// come back.
		newHome("m1", 2)
		l.setUnreachable("m1", false)
		l.setUnreachable("m2", true)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			checkTwo("home restarted empty")
		}
		if err := r.MergeEntries(ctx, "s", []Entry{{Beat: beat("1", 1, 1, false)}}); err != nil {
			t.Fatal(err)
		}
		if !find("1").Leaving.Load() {
			t.Error("an old beat reset the leaving flag")
		}
		// A later run is another target and is not leaving.
		old := find("1")
		if err := r.MergeEntries(ctx, "s", []Entry{{Beat: beat("1", 1, 2, false)}}); err != nil {
			t.Fatal(err)
		}
		if n := find("1"); n == old || n.Leaving.Load() || n.Inc != 2 {
			t.Error("the later run was taken for the one that is leaving")
		}
		if err := r.MergeEntries(ctx, "s", []Entry{{Beat: beat("1", 9, 1, false)}}); err != nil {
			t.Fatal(err)
		}
		if find("1").Inc != 2 {
			t.Error("a beat of the earlier run replaced the later run")
		}
		// A leave notification that arrives before the run is known applies to it.
		if err := r.Drain(ctx, "s", "3", 5, false); err != nil {
			t.Fatal(err)
		}
		if err := r.MergeEntries(ctx, "s", []Entry{{Beat: beat("3", 1, 5, false)}, {Beat: beat("4", 1, 5, false)}}); err != nil {
			t.Fatal(err)
		}
		if !find("3").Leaving.Load() || find("4").Leaving.Load() {
			t.Error("the early leave notification was lost")
		}
		end()
		time.Sleep(5 * time.Second)
	})
}

func TestHomesAreOneAZoneAndMoveLittle(t *testing.T) {
	var ms []membership.Member
	for _, id := range []string{"m1", "m2", "m3", "m4", "m5", "m6"} {
		ms = append(ms, membership.Member{ID: id, Kind: "controller", Zone: "z" + string('1'+(id[1]-'1')%3)})
	}
	moved, kept := 0, 0
	for i := range 200 {
		s := "svc" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		all := Homes(s, ms)
		if len(all) != 3 || all[0].Zone != "z1" || all[2].Zone != "z3" {
			t.Fatalf("%s: %v", s, all)
		}
		less := Homes(s, ms[1:])
		for j := range all {
			if all[j].ID == "m1" {
				moved++
			} else if less[j].ID != all[j].ID {
				t.Errorf("%s: the home in %s moved from %s to %s though it stayed", s, all[j].Zone, all[j].ID, less[j].ID)
			} else {
				kept++
			}
		}
	}
	if moved < 60 || moved > 140 || kept == 0 {
		t.Errorf("m1 was home to %d of 200 services in a zone of two", moved)
	}
}

func TestHouseMergesByLargestNumberOfTheLatestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		p := liveness.NewPauseMonitor(clock.Wall{})
		go p.Run(ctx)
		h := &HomeTable{Clock: clock.Wall{}, Pauses: p, Incarnation: 1}
		h.Init()
		go h.Run(ctx)
		for _, b := range []httpapi.Beat{beat("1", 5, 2, false), beat("1", 4, 2, true), beat("1", 9, 1, true), beat("1", 5, 2, true)} {
			if _, err := h.MergeBeat(ctx, b); err != nil {
				t.Fatal(err)
			}
		}
		all, err := h.List(ctx)
		if err != nil || len(all) != 1 || all[0].Beat.Seq != 5 || all[0].Beat.Inc != 2 || all[0].Beat.Leaving {
			t.Errorf("%+v %v", all, err)
		}
		if _, err := h.MergeBeat(ctx, beat("1", 6, 2, true)); err != nil {
			t.Fatal(err)
		}
		if _, err := h.MergeBeat(ctx, beat("1", 7, 2, false)); err != nil {
			t.Fatal(err)
		}
		if all, _ = h.List(ctx); !all[0].Beat.Leaving {
			t.Error("a run reset its leaving flag")
		}
		end()
		time.Sleep(time.Second)
	})
}
