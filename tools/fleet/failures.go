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

// failureActions returns the failures of a deployment by name; each action also undoes what it did.
func failureActions(ctx context.Context, d *stand.Deployment, rnd *rand.Rand) map[string]func() {
	logf := func(format string, args ...any) {
		fmt.Printf("%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
	}
	sleep := func(least, most int) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(least+rnd.IntN(most-least)) * time.Millisecond):
		}
	}
	randomNode := func() *stand.Node { return d.Fleet.Nodes[rnd.IntN(len(d.Fleet.Nodes))] }
	start := func(ns ...*stand.Node) {
		for _, n := range ns {
			if !n.Running() {
				if err := n.Start(); err != nil {
					logf("start %s: %v", n.ID, err)
				}
			}
		}
	}
	removed := map[*stand.Target]bool{}
	randomTarget := func() *stand.Target {
		for {
			if x := d.Targets[rnd.IntN(len(d.Targets))]; !removed[x] {
				return x
			}
		}
	}
	restart := func(x *stand.Target) {
		if err := x.Start(context.WithoutCancel(ctx)); err != nil {
			logf("start %s: %v", x.ID, err)
		}
	}
	leaveAndStop := func(x *stand.Target, ms int) bool {
		actionCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
		defer cancel()
		if _, err := x.Leave(actionCtx); err != nil {
			return false
		}
		sleep(ms, ms+500)
		x.Crash()
		return true
	}
	killTogether := func(what string, ns []*stand.Node) {
		logf("kill %s", what)
		for _, n := range ns {
			n.Kill()
		}
		sleep(500, 3000)
		start(ns...)
	}
	diskNodes := func() []*stand.Node {
		return lo.Filter(d.Fleet.NodesOf("controller"), func(n *stand.Node, _ int) bool { return n.HasDisk })
	}
	actions := map[string]func(){
		"node killed": func() {
			n := randomNode()
			logf("kill %s", n.ID)
			n.Kill()
			sleep(300, 2500)
			start(n)
		},
		"node frozen": func() {
			n := randomNode()
			logf("freeze %s", n.ID)
			n.Freeze()
			sleep(200, 4000)
			n.Unfreeze()
		},
		"node stopped as planned": func() {
			n := randomNode()
			logf("stop %s as planned", n.ID)
			if !n.Terminate() {
				logf("%s did not stop in time and was killed", n.ID)
			}
			start(n)
		},
		"core killed": func() { killTogether("the whole core", diskNodes()) },
		"disk lost": func() {
			ds := diskNodes()
			n := ds[rnd.IntN(len(ds))]
			logf("wipe the disk of %s", n.ID)
			n.Kill()
			_ = n.Wipe()
			sleep(300, 2000)
			start(n)
			sleep(8000, 9000)
		},
		"target misbehaved": func() {
			x := randomTarget()
			m := []stand.Mode{stand.Slow, stand.Silent, stand.ClosingAfterRun, stand.BadStamp, stand.Truncating, stand.Refusing, stand.Swapping, stand.Unresponsive, stand.Malformed}[rnd.IntN(9)]
			logf("%s misbehaves: mode %d", x.ID, m)
			x.SetMode(m, 50)
			sleep(1000, 4000)
			x.SetMode(stand.Healthy, 100)
		},
		"target crashed": func() {
			x := randomTarget()
			logf("%s crashes", x.ID)
			x.Crash()
			sleep(2000, 4000)
			restart(x)
		},
		"target left": func() {
			x := randomTarget()
			logf("%s leaves", x.ID)
			if leaveAndStop(x, 3000) {
				sleep(2000, 2500)
				restart(x)
			}
		},
		"address passed on": func() {
			// The address of a target passes to a target of another service 2 s after the
			// first one disappeared.
			x := randomTarget()
			svc := x.Service
			for n := range d.Plan.Targets {
				if n != x.Service {
					svc = n
				}
			}
			logf("%s disappears, its address passes to %s", x.ID, svc)
			x.Crash()
			// Not cut short by the end of the failures: reuse after less than 2 s is not covered by the promise.
			time.Sleep(2050 * time.Millisecond)
			n := &stand.Target{ID: fmt.Sprintf("%s-in-%s", x.ID, svc), Service: svc, Zone: x.Zone, Addr: x.Addr, Capacity: x.Capacity,
				HeartbeatInterval: x.HeartbeatInterval, MeanWork: x.MeanWork, Controllers: x.Controllers, AnnouncedAddr: x.AnnouncedAddr, Rec: x.Rec}
			if err := n.Start(context.WithoutCancel(ctx)); err != nil {
				logf("start %s: %v", n.ID, err)
				return
			}
			sleep(4000, 6000)
			n.Crash()
			time.Sleep(2050 * time.Millisecond)
			restart(x)
		},
		"gateways killed together": func() { killTogether("all gateways", d.Fleet.NodesOf("gateway")) },
		"half of all killed": func() {
			killTogether("half of all", lo.Filter(d.Fleet.Nodes, func(*stand.Node, int) bool { return rnd.IntN(2) == 0 }))
		},
		"zone killed": func() {
			z := fmt.Sprintf("z%d", 1+rnd.IntN(d.Plan.Zones))
			killTogether("zone "+z, lo.Filter(d.Fleet.Nodes, func(n *stand.Node, _ int) bool { return n.Zone == z }))
		},
		"all nodes restarted in turn": func() {
			logf("all nodes are restarted in turn")
			for _, n := range d.Fleet.Nodes {
				if ctx.Err() == nil && n.Running() {
					n.Terminate()
					start(n)
					sleep(1000, 1500)
				}
			}
		},
		"release": func() {
			x := randomTarget()
			logf("replace the targets of %s one by one", x.Service)
			for _, y := range d.Targets {
				if y.Service == x.Service && !removed[y] && ctx.Err() == nil && leaveAndStop(y, 1200) {
					restart(y)
					sleep(300, 600)
				}
			}
		},
		"target removed": func() {
			if x := randomTarget(); len(removed) < 4 {
				logf("remove %s", x.ID)
				removed[x] = true
				leaveAndStop(x, 4000)
			}
		},
		"target lost for good": func() {
			if x := randomTarget(); len(removed) < 4 {
				logf("%s is lost permanently", x.ID)
				removed[x] = true
				x.Crash()
			}
		},
		"crowd": func() {
			k := d.Plan.CallKinds[rnd.IntN(len(d.Plan.CallKinds))]
			logf("burst of calls to %s", k.Path)
			for range 300 {
				go d.Callers.Call(k, "", "")
			}
			sleep(1000, 2000)
		},
		"storm of changes": func() {
			logf("storm of changes")
			actionCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
			var wg sync.WaitGroup
			for i := range 12 {
				a := stand.ChangeRequest{Token: fmt.Sprintf("storm-%d-%d", time.Now().UnixNano(), i), Edits: []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: fmt.Sprintf("s%d", i%3)}}}}
				if i%4 == 3 {
					a.MustBeRefused, a.Edits = true, append(a.Edits, spec.Edit{Op: spec.RemoveBinding, Name: "none"})
				}
				wg.Go(func() { _, _ = d.SubmitUntilFinal(actionCtx, a) })
			}
			wg.Wait()
			cancel()
		},
	}
	if d.Relays != nil {
		restoreLater := func() {
			sleep(3000, 7000)
			d.Relays.SetCut(nil)
			sleep(1000, 2000)
		}
		randomZone := func() string { return fmt.Sprintf("z%d", 1+rnd.IntN(d.Plan.Zones)) }
		actions["zone cut off"] = func() {
			z := randomZone()
			logf("zone %s is cut off", z)
			d.CutZones(z)
			restoreLater()
		}
		actions["halves"] = func() {
			a, b := randomZone(), randomZone()
			logf("zones %s and %s are cut off from the rest", a, b)
			d.CutZones(a, b)
			restoreLater()
		}
		actions["node cut off"] = func() {
			n, direction := randomNode().ID, rnd.IntN(3)
			logf("%s is cut off, direction %d", n, direction)
			d.Relays.SetCut(func(from, to string) bool { return from == n && direction != 1 || to == n && direction != 0 })
			restoreLater()
		}
		actions["core cut apart"] = func() {
			logf("the core nodes are cut off from each other and from the rest")
			core := map[string]bool{}
			for _, n := range d.Fleet.NodesOf("controller") {
				core[n.ID] = n.HasDisk
			}
			d.Relays.SetCut(func(from, to string) bool { return core[from] || core[to] })
			restoreLater()
		}
		actions["link cut"] = func() {
			a, b := randomNode().ID, randomNode().ID
			logf("the path from %s to %s is cut", a, b)
			d.Relays.SetCut(func(from, to string) bool { return from == a && to == b })
			restoreLater()
		}
	}
	return actions
}

// injectFailures causes failures one after the other in random order until ctx ends. Each failure
// happens once before any is repeated.
func injectFailures(ctx context.Context, d *stand.Deployment, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	actions := failureActions(ctx, d, rnd)
	names := lo.Keys(actions)
	slices.Sort(names)
	for ctx.Err() == nil {
		rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, n := range names {
			if ctx.Err() != nil {
				return
			}
			actions[n]()
			d.Rec.CountFailure(n)
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(500+rnd.IntN(2000)) * time.Millisecond):
			}
		}
	}
}

// restartInTurn stops one node after the other in a planned way and restarts it, until ctx ends.
func restartInTurn(ctx context.Context, d *stand.Deployment) {
	for {
		for _, n := range d.Fleet.Nodes {
			from := time.Now()
			ok := n.Terminate()
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
