package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"walkrudder/tools/stand"
)

// failures brings mixed failures about, one after the other, until ctx ends; what
// it ended it starts again.
func failures(ctx context.Context, t *stand.Town, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
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
	acts := []func(){
		func() {
			n := node()
			say("kill %s", n.ID)
			n.Kill()
			wait(300, 2500)
			start(n)
		},
		func() {
			n := node()
			say("freeze %s", n.ID)
			n.Freeze()
			wait(200, 4000)
			n.Thaw()
		},
		func() {
			n := node()
			if ok := func() bool { say("stop %s as planned", n.ID); return n.Term() }(); !ok {
				say("%s had to be killed", n.ID)
			}
			start(n)
		},
		func() {
			var core []*stand.Node
			for _, n := range t.Fleet.Of("mind") {
				if n.Disk {
					core = append(core, n)
				}
			}
			say("kill the whole core")
			for _, n := range core {
				n.Kill()
			}
			wait(500, 3000)
			start(core...)
		},
		func() {
			var disks []*stand.Node
			for _, n := range t.Fleet.Of("mind") {
				if n.Disk {
					disks = append(disks, n)
				}
			}
			n := disks[rnd.IntN(len(disks))]
			say("lose the disk of %s", n.ID)
			n.Kill()
			_ = n.Wipe()
			wait(300, 2000)
			start(n)
			wait(8000, 9000)
		},
		func() {
			x := t.Targets[rnd.IntN(len(t.Targets))]
			m := []stand.Mode{stand.Slow, stand.Silent, stand.Losing, stand.Garbling, stand.Cutting, stand.Refusing, stand.Swapping, stand.Vanished}[rnd.IntN(8)]
			say("%s behaves %d", x.ID, m)
			x.Set(m, 50)
			wait(1000, 4000)
			x.Set(stand.Good, 100)
		},
		func() {
			x := t.Targets[rnd.IntN(len(t.Targets))]
			say("%s crashes", x.ID)
			x.Crash()
			wait(2000, 4000)
			if err := x.Start(context.WithoutCancel(ctx)); err != nil {
				say("start %s: %v", x.ID, err)
			}
		},
		func() {
			x := t.Targets[rnd.IntN(len(t.Targets))]
			cx, end := context.WithTimeout(ctx, 15*time.Second)
			defer end()
			say("%s leaves", x.ID)
			if _, err := x.Leave(cx); err != nil {
				return
			}
			wait(3000, 4000)
			x.Crash()
			wait(2000, 2500)
			if err := x.Start(context.WithoutCancel(ctx)); err != nil {
				say("start %s: %v", x.ID, err)
			}
		},
		func() {
			// An address passes to a target of another service, 2 s after its holder
			// vanished.
			x := t.Targets[rnd.IntN(len(t.Targets))]
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
				Every: x.Every, Work: x.Work, Minds: x.Minds, Face: x.Face, Rec: x.Rec}
			if err := n.Start(context.WithoutCancel(ctx)); err != nil {
				say("start %s: %v", n.ID, err)
				return
			}
			wait(4000, 6000)
			n.Crash()
			time.Sleep(2050 * time.Millisecond)
			if err := x.Start(context.WithoutCancel(ctx)); err != nil {
				say("start %s: %v", x.ID, err)
			}
		},
	}
	if t.Wires != nil {
		mend := func() {
			wait(3000, 7000)
			t.Wires.Cut(nil)
			wait(1000, 2000)
		}
		zone := func() string { return fmt.Sprintf("z%d", 1+rnd.IntN(t.Plan.Zones)) }
		acts = append(acts, func() {
			z := zone()
			say("zone %s is cut off", z)
			t.CutZones(z)
			mend()
		}, func() {
			a, b := zone(), zone()
			say("zones %s and %s are cut off from the rest", a, b)
			t.CutZones(a, b)
			mend()
		}, func() {
			n, way := node().ID, rnd.IntN(3)
			say("%s is cut off, way %d", n, way)
			t.Wires.Cut(func(from, to string) bool { return from == n && way != 1 || to == n && way != 0 })
			mend()
		}, func() {
			say("the core is cut apart")
			core := map[string]bool{}
			for _, n := range t.Fleet.Of("mind") {
				core[n.ID] = n.Disk
			}
			t.Wires.Cut(func(from, to string) bool { return core[from] || core[to] })
			mend()
		})
	}
	for ctx.Err() == nil {
		acts[rnd.IntN(len(acts))]()
		wait(500, 2500)
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
