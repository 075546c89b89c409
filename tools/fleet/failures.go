package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/spec"
	"walkrudder/tools/stand"
)

// actsOf lists the failures of a town by their names; what one ends it starts again.
func actsOf(ctx context.Context, t *stand.Town, rnd *rand.Rand) map[string]func() {
	say := func(format string, args ...any) {
		fmt.Printf("%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
	}
	wait := func(least, most int) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(least+rnd.IntN(most-least)) * time.Millisecond):
		}
	}
	node := func() *stand.Node { return t.Fleet.Nodes[rnd.IntN(len(t.Fleet.Nodes))] }
	start := func(ns ...*stand.Node) {
		for _, n := range ns {
			if !n.Up() {
				if err := n.Start(); err != nil {
					say("start %s: %v", n.ID, err)
				}
			}
		}
	}
	lost := map[*stand.Target]bool{}
	target := func() *stand.Target {
		for {
			if x := t.Targets[rnd.IntN(len(t.Targets))]; !lost[x] {
				return x
			}
		}
	}
	again := func(x *stand.Target) {
		if err := x.Start(context.WithoutCancel(ctx)); err != nil {
			say("start %s: %v", x.ID, err)
		}
	}
	depart := func(x *stand.Target, ms int) bool {
		cx, end := context.WithTimeout(ctx, 15*time.Second)
		defer end()
		if _, err := x.Leave(cx); err != nil {
			return false
		}
		wait(ms, ms+500)
		x.Crash()
		return true
	}
	herd := func(what string, ns []*stand.Node) {
		say("kill %s", what)
		for _, n := range ns {
			n.Kill()
		}
		wait(500, 3000)
		start(ns...)
	}
	disks := func() []*stand.Node {
		return lo.Filter(t.Fleet.Of("controller"), func(n *stand.Node, _ int) bool { return n.Disk })
	}
	acts := map[string]func(){
		"node killed": func() {
			n := node()
			say("kill %s", n.ID)
			n.Kill()
			wait(300, 2500)
			start(n)
		},
		"node frozen": func() {
			n := node()
			say("freeze %s", n.ID)
			n.Freeze()
			wait(200, 4000)
			n.Thaw()
		},
		"node stopped as planned": func() {
			n := node()
			say("stop %s as planned", n.ID)
			if !n.Term() {
				say("%s had to be killed", n.ID)
			}
			start(n)
		},
		"core killed": func() { herd("the whole core", disks()) },
		"disk lost": func() {
			ds := disks()
			n := ds[rnd.IntN(len(ds))]
			say("lose the disk of %s", n.ID)
			n.Kill()
			_ = n.Wipe()
			wait(300, 2000)
			start(n)
			wait(8000, 9000)
		},
		"target misbehaved": func() {
			x := target()
			m := []stand.Mode{stand.Slow, stand.Silent, stand.Losing, stand.Garbling, stand.Cutting, stand.Refusing, stand.Swapping, stand.Vanished}[rnd.IntN(8)]
			say("%s behaves %d", x.ID, m)
			x.Set(m, 50)
			wait(1000, 4000)
			x.Set(stand.Good, 100)
		},
		"target crashed": func() {
			x := target()
			say("%s crashes", x.ID)
			x.Crash()
			wait(2000, 4000)
			again(x)
		},
		"target left": func() {
			x := target()
			say("%s leaves", x.ID)
			if depart(x, 3000) {
				wait(2000, 2500)
				again(x)
			}
		},
		"address passed on": func() {
			// An address passes to a target of another service, 2 s after its holder
			// vanished.
			x := target()
			svc := x.Service
			for n := range t.Plan.Targets {
				if n != x.Service {
					svc = n
				}
			}
			say("%s vanishes, its address passes to %s", x.ID, svc)
			x.Crash()
			// Also when the failures end meanwhile: nobody is promised less than 2 s.
			time.Sleep(2050 * time.Millisecond)
			n := &stand.Target{ID: fmt.Sprintf("%s-in-%s", x.ID, svc), Service: svc, Zone: x.Zone, Addr: x.Addr, Capacity: x.Capacity,
				Every: x.Every, Work: x.Work, Controllers: x.Controllers, Face: x.Face, Rec: x.Rec}
			if err := n.Start(context.WithoutCancel(ctx)); err != nil {
				say("start %s: %v", n.ID, err)
				return
			}
			wait(4000, 6000)
			n.Crash()
			time.Sleep(2050 * time.Millisecond)
			again(x)
		},
		"gateways killed together": func() { herd("all gateways", t.Fleet.Of("gateway")) },
		"half of all killed": func() {
			herd("half of all", lo.Filter(t.Fleet.Nodes, func(*stand.Node, int) bool { return rnd.IntN(2) == 0 }))
		},
		"zone killed": func() {
			z := fmt.Sprintf("z%d", 1+rnd.IntN(t.Plan.Zones))
			herd("zone "+z, lo.Filter(t.Fleet.Nodes, func(n *stand.Node, _ int) bool { return n.Zone == z }))
		},
		"all nodes restarted in turn": func() {
			say("all nodes restart in turn")
			for _, n := range t.Fleet.Nodes {
				if ctx.Err() == nil && n.Up() {
					n.Term()
					start(n)
					wait(1000, 1500)
				}
			}
		},
		"release": func() {
			x := target()
			say("release of %s", x.Service)
			for _, y := range t.Targets {
				if y.Service == x.Service && !lost[y] && ctx.Err() == nil && depart(y, 1200) {
					again(y)
					wait(300, 600)
				}
			}
		},
		"target removed": func() {
			if x := target(); len(lost) < 4 {
				say("remove %s", x.ID)
				lost[x] = true
				depart(x, 4000)
			}
		},
		"target lost for good": func() {
			if x := target(); len(lost) < 4 {
				say("%s is lost for good", x.ID)
				lost[x] = true
				x.Crash()
			}
		},
		"crowd": func() {
			k := t.Plan.Kinds[rnd.IntN(len(t.Plan.Kinds))]
			say("crowd at %s", k.Path)
			for range 300 {
				go t.Callers.Call(k, "", "")
			}
			wait(1000, 2000)
		},
		"storm of changes": func() {
			say("storm of changes")
			cx, end := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
			var wg sync.WaitGroup
			for i := range 12 {
				a := stand.Asked{Token: fmt.Sprintf("storm-%d-%d", time.Now().UnixNano(), i), Edits: []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: fmt.Sprintf("s%d", i%3)}}}}
				if i%4 == 3 {
					a.Bad, a.Edits = true, append(a.Edits, spec.Edit{Op: spec.RemoveBinding, Name: "none"})
				}
				wg.Go(func() { _, _ = t.Insist(cx, a) })
			}
			wg.Wait()
			end()
		},
	}
	if t.Wires != nil {
		mend := func() {
			wait(3000, 7000)
			t.Wires.Cut(nil)
			wait(1000, 2000)
		}
		zone := func() string { return fmt.Sprintf("z%d", 1+rnd.IntN(t.Plan.Zones)) }
		acts["zone cut off"] = func() {
			z := zone()
			say("zone %s is cut off", z)
			t.CutZones(z)
			mend()
		}
		acts["halves"] = func() {
			a, b := zone(), zone()
			say("zones %s and %s are cut off from the rest", a, b)
			t.CutZones(a, b)
			mend()
		}
		acts["node cut off"] = func() {
			n, way := node().ID, rnd.IntN(3)
			say("%s is cut off, way %d", n, way)
			t.Wires.Cut(func(from, to string) bool { return from == n && way != 1 || to == n && way != 0 })
			mend()
		}
		acts["core cut apart"] = func() {
			say("the core is cut apart")
			core := map[string]bool{}
			for _, n := range t.Fleet.Of("controller") {
				core[n.ID] = n.Disk
			}
			t.Wires.Cut(func(from, to string) bool { return core[from] || core[to] })
			mend()
		}
		acts["link cut"] = func() {
			a, b := node().ID, node().ID
			say("the way from %s to %s is cut", a, b)
			t.Wires.Cut(func(from, to string) bool { return from == a && to == b })
			mend()
		}
	}
	return acts
}

// failures brings mixed failures about, one after the other, each in its turn before
// any comes again, until ctx ends.
func failures(ctx context.Context, t *stand.Town, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	acts := actsOf(ctx, t, rnd)
	names := lo.Keys(acts)
	slices.Sort(names)
	for ctx.Err() == nil {
		rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, n := range names {
			if ctx.Err() != nil {
				return
			}
			acts[n]()
			t.Rec.Act(n)
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(500+rnd.IntN(2000)) * time.Millisecond):
			}
		}
	}
}

// rolling stops every node in turn as planned, and starts it again, until ctx
// ends.
func rolling(ctx context.Context, t *stand.Town) {
	for {
		for _, n := range t.Fleet.Nodes {
			from := time.Now()
			ok := n.Term()
			fmt.Printf("%s stopped as planned: %v, after %.1f s\n", n.ID, ok, time.Since(from).Seconds())
			if err := n.Start(); err != nil {
				fmt.Printf("start %s: %v\n", n.ID, err)
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}
}
