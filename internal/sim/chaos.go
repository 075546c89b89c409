package sim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/commands"
	"walkrudder/internal/controller"
	"walkrudder/internal/queries"
	"walkrudder/internal/quorum"
	"walkrudder/internal/spec"
	"walkrudder/tools/stand"
)

// FailureKinds selects the kinds of failures that a run injects.
type FailureKinds struct {
	Nodes   bool // kills, freezes, planned stops, many nodes at once, zone outages
	Disks   bool // lost, failing and slow disks, replaced control machines
	Net     bool // cuts, partitions, loss
	Targets bool // crashes, misbehaviour, leaving, reassigned addresses
	Crowds  bool // bursts of calls and of changes
	// Span is how long failures go on.
	Span time.Duration
	// Day injects one failure at a time, as far apart as on a bad day, including outages of
	// the core.
	Day bool
}

// failureFunc injects a failure and reports whether that was possible now.
type failureFunc func() bool

// failures maps the name of every failure to its function; the fleet of real processes in
// tools/stand has the same list.
func (w *World) failures() map[string]failureFunc {
	return map[string]failureFunc{
		"node killed": w.killNode, "node frozen": w.freezeNode, "node stopped as planned": w.stopNode, "all nodes restarted in turn": w.rollingRestart,
		"gateways killed together": func() bool { return w.killTogether(w.NodesOfKind("gateway")) }, "core killed": w.killCore,
		"half of all killed": func() bool {
			return w.killTogether(lo.Filter(w.ActiveNodes(), func(*Node, int) bool { return w.FailureRandN(2) == 0 }))
		},
		"zone killed": w.killZone, "disk lost": w.loseDisk, "sync failed": w.failDisk, "disk slow": w.slowDisk, "control machine swapped": w.replaceMachine,
		"disk lost at the last moment": w.loseDiskAfterAck,
		"node cut off":                 w.isolateNode, "link cut": w.cutLink, "core cut apart": w.cutCoreApart, "zone cut off": w.isolateZone, "halves": w.partitionHalves, "messages lost": w.loseMessages,
		"target crashed": w.crashTarget, "target misbehaved": w.makeTargetMisbehave, "target left": w.drainTarget, "address passed on": w.reassignAddress,
		"release": w.replaceTargets, "target removed": w.removeTarget, "target lost for good": w.loseTarget,
		"crowd": w.callBurst, "storm of changes": w.changeStorm,
	}
}

// finalFailures are injected only at the end of a run.
var finalFailures = []string{"disk lost at the last moment"}

// failureNames returns the names of the selected failures.
func (d FailureKinds) failureNames() (out []string) {
	add := func(on bool, ns ...string) {
		if on {
			out = append(out, ns...)
		}
	}
	add(d.Nodes || d.Day, "node killed", "node frozen", "node stopped as planned", "all nodes restarted in turn", "zone killed")
	add(d.Nodes, "gateways killed together", "core killed", "half of all killed")
	add(d.Disks || d.Day, "disk lost", "sync failed", "disk slow", "control machine swapped")
	add(d.Net || d.Day, "node cut off", "link cut", "core cut apart", "zone cut off")
	add(d.Net, "halves", "messages lost")
	add(d.Targets || d.Day, "target crashed", "target misbehaved", "target left", "address passed on", "release", "target removed", "target lost for good")
	add(d.Crowds, "crowd", "storm of changes")
	add(d.Day, "core killed", "core cut apart")
	return out
}

// InjectFailures injects failures until ctx ends, then ends them all. It goes through all
// failures in an order drawn from the seed before it repeats any of them.
func (w *World) InjectFailures(ctx context.Context, d FailureKinds) {
	byName, names := w.failures(), d.failureNames()
	var remaining []string
	for ctx.Err() == nil {
		if d.Day {
			time.Sleep(w.failureDelay(6000, 9000))
		}
		time.Sleep(time.Duration(300+w.FailureRandN(1800)) * time.Millisecond)
		for ctx.Err() == nil {
			if len(remaining) == 0 {
				remaining = slices.Clone(names)
				for i := range remaining {
					j := w.FailureRandN(i + 1)
					remaining[i], remaining[j] = remaining[j], remaining[i]
				}
			}
			n := remaining[0]
			if remaining = remaining[1:]; byName[n]() {
				w.Records.CountFailure(n)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.Heal()
}

// Heal ends every failure.
func (w *World) Heal() {
	w.Net.Restore("")
	w.Net.SetLossRate(0)
	for _, n := range w.ActiveNodes() {
		n.Thaw()
		if n.Disk != nil {
			n.Disk.SetSyncTime(200*time.Microsecond, 4*time.Millisecond)
		}
		n.Start()
	}
	for _, t := range w.Targets {
		t.SetMode(stand.Healthy)
		// A target that takes over an address is started by its own timer.
		if !t.Running() && !t.addrReassigned && !t.removed && t.EverRan() {
			t.Start()
		}
	}
}

func (w *World) logf(format string, args ...any) {
	if w.Logf != nil {
		w.Logf("%s "+format, append([]any{time.Now().Format("05.000")}, args...)...)
	}
}

// after runs f after d, unless the world has ended.
func (w *World) after(d time.Duration, f func()) {
	w.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			f()
		}
	})
}

// failureDelay draws a delay of least to most milliseconds for the failures.
func (w *World) failureDelay(least, most int) time.Duration {
	return w.randomDelay("chaos", least, most)
}

// randomDelay draws a delay of least to most milliseconds for a purpose.
func (w *World) randomDelay(name string, least, most int) time.Duration {
	return time.Duration(least+w.RandN(name, most-least)) * time.Millisecond
}

// randomNode draws an active node.
func (w *World) randomNode() *Node {
	ns := w.ActiveNodes()
	return ns[w.FailureRandN(len(ns))]
}

func (w *World) killNode() bool {
	n := w.randomNode()
	w.logf("kill %s", n.ID)
	n.Kill()
	w.after(w.failureDelay(200, 4000), n.Start)
	return true
}

func (w *World) freezeNode() bool {
	n := w.randomNode()
	w.logf("freeze %s", n.ID)
	n.Freeze()
	w.after(w.failureDelay(100, 5000), func() { w.logf("thaw %s", n.ID); n.Thaw() })
	return true
}

// killTogether kills nodes at the same time; they restart one by one.
func (w *World) killTogether(ns []*Node) bool {
	w.logf("kill %d nodes at the same time", len(ns))
	for _, n := range ns {
		n.Kill()
		w.after(w.failureDelay(500, 3000), n.Start)
	}
	return len(ns) > 1
}

// killCore kills every node with a disk, for longer than a call may take.
func (w *World) killCore() bool {
	w.logf("kill the core")
	for _, n := range w.NodesWithDisk() {
		n.Kill()
		w.after(w.failureDelay(4000, 7000), n.Start)
	}
	return true
}

// rollingRestart stops every node in turn as planned, and starts it again.
func (w *World) rollingRestart() bool {
	if w.restarting {
		return false
	}
	w.restarting = true
	w.logf("rolling restart of all nodes begins")
	w.Go(func(ctx context.Context) {
		for _, n := range w.ActiveNodes() {
			if ctx.Err() != nil {
				return
			}
			n.GracefulStop()
			n.Start()
			time.Sleep(time.Second)
		}
		w.logf("rolling restart of all nodes ends")
		w.restarting = false
	})
	return true
}

// loseDiskAfterAck gets a change and a leaving target acknowledged, and at that instant wipes
// the disk of the controller that acknowledged, or of another voter.
func (w *World) loseDiskAfterAck() bool {
	n := w.pickExpendableDisk()
	if n == nil {
		return false
	}
	to := lo.Ternary(w.FailureRandN(2) == 0, "records", "orders")
	b := bindingFor(callKinds[2], to)
	callCtx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	leaving := w.liveTargets()[0]
	done := make(chan bool, 1)
	go func() { done <- leaving.Leave(callCtx) }()
	r, ok := w.submitUntilFinal(callCtx, "last", stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.PutBinding, Binding: &b}}}, nil)
	w.logf("the last change is acknowledged: %+v; %s loses its disk", r, n.ID)
	n.Kill()
	n.Disk.Wipe()
	return ok && <-done
}

// cutCoreApart cuts the nodes with a disk off from each other, so that none of them can reach
// a majority.
func (w *World) cutCoreApart() bool {
	w.logf("cut the core apart")
	diskNodes := w.NodesWithDisk()
	for _, a := range diskNodes {
		for _, b := range w.ActiveNodes() {
			if a != b {
				w.Net.Cut(a.ID, b.ID)
				w.Net.Cut(b.ID, a.ID)
			}
		}
	}
	w.after(w.failureDelay(4000, 7000), func() { w.Net.Restore("") })
	return true
}

// loseDisk wipes one disk while all others are healthy: more than one lost disk at a time is
// beyond what is promised.
func (w *World) loseDisk() bool {
	n := w.pickExpendableDisk()
	if n == nil {
		return false
	}
	w.logf("wipe the disk of %s", n.ID)
	n.Kill()
	n.Disk.Wipe()
	w.after(w.failureDelay(200, 2000), n.Start)
	return true
}

// pickExpendableDisk draws a disk that may be lost now: all seats vote, and the previous loss
// was at least 12 s ago. It returns nil if no disk may be lost.
func (w *World) pickExpendableDisk() *Node {
	diskNodes := w.NodesWithDisk()
	for _, n := range diskNodes {
		m := n.Controller()
		if m == nil || n.Frozen() || time.Since(w.lastDiskLoss) < 12*time.Second {
			return nil
		}
		c := m.Voter.Core()
		if c.Epoch == 0 || !lo.EveryBy(c.Seats, func(s quorum.Seat) bool {
			x, ok := lo.Find(diskNodes, func(x *Node) bool { return x.ID == s.ID })
			if !ok {
				return false
			}
			v := x.Controller()
			return v != nil && v.Voter.Seat().Disk == s.Disk && v.Voter.Voting()
		}) {
			return nil
		}
	}
	w.lastDiskLoss = time.Now()
	return diskNodes[w.FailureRandN(len(diskNodes))]
}

// replaceMachine takes a control machine out for good, and adds a new one with an empty disk,
// its own address and its own name.
func (w *World) replaceMachine() bool {
	var in *Node
	for _, n := range w.Nodes[w.Shape.Controllers+w.Shape.Gateways:] {
		if n.excluded.Load() && !n.swappedIn {
			in = n
		}
	}
	if in == nil || w.pickExpendableDisk() == nil {
		return false
	}
	out := w.Node(in.ID[:len(in.ID)-1])
	w.logf("replace machine %s by %s", out.ID, in.ID)
	in.swappedIn = true
	out.excluded.Store(true)
	out.Kill()
	in.excluded.Store(false)
	in.Start()
	return true
}

// failDisk makes the next sync of a disk fail: its process ends and is restarted.
func (w *World) failDisk() bool {
	diskNodes := w.NodesWithDisk()
	n := diskNodes[w.FailureRandN(len(diskNodes))]
	w.logf("the next sync of %s fails", n.ID)
	n.Disk.FailNextSync()
	return true
}

// stopNode stops a node as planned, and starts it again.
func (w *World) stopNode() bool {
	n := w.randomNode()
	w.logf("planned stop of %s", n.ID)
	w.Go(func(context.Context) {
		n.GracefulStop()
		w.logf("%s has stopped", n.ID)
		n.Start()
	})
	return true
}

// killZone kills all nodes and targets of a zone.
func (w *World) killZone() bool {
	z := fmt.Sprintf("z%d", 1+w.FailureRandN(w.Shape.Zones))
	w.logf("kill zone %s", z)
	downtime := w.failureDelay(2000, 6000)
	for _, n := range w.ActiveNodes() {
		if n.Zone == z {
			n.Kill()
			w.after(downtime, n.Start)
		}
	}
	for _, t := range w.liveTargets() {
		if t.Zone == z {
			t.Crash()
			w.after(downtime, w.restartFunc(t))
		}
	}
	return true
}

func (w *World) slowDisk() bool {
	diskNodes := w.NodesWithDisk()
	n := diskNodes[w.FailureRandN(len(diskNodes))]
	w.logf("slow down the disk of %s", n.ID)
	n.Disk.SetSyncTime(50*time.Millisecond, 400*time.Millisecond)
	w.after(w.failureDelay(1000, 5000), func() { n.Disk.SetSyncTime(200*time.Microsecond, 4*time.Millisecond) })
	return true
}

// isolateNode cuts one node off, in both directions or in one.
func (w *World) isolateNode() bool {
	n := w.randomNode()
	direction := w.FailureRandN(3)
	w.logf("cut %s off, direction %d", n.ID, direction)
	for _, x := range w.ActiveNodes() {
		if direction != 1 {
			w.Net.Cut(n.ID, x.ID)
		}
		if direction != 0 {
			w.Net.Cut(x.ID, n.ID)
		}
	}
	w.after(w.failureDelay(500, 4000), func() { w.Net.Restore(n.ID) })
	return true
}

// cutLink cuts the link from one node to another, in one direction or both.
func (w *World) cutLink() bool {
	a, b := w.randomNode(), w.randomNode()
	both := w.FailureRandN(2) == 0
	w.logf("cut %s to %s, both %v", a.ID, b.ID, both)
	w.Net.Cut(a.ID, b.ID)
	if both {
		w.Net.Cut(b.ID, a.ID)
	}
	w.after(w.failureDelay(500, 6000), func() { w.Net.RestoreLink(a.ID, b.ID) })
	return true
}

// isolateZone cuts one zone off from the rest.
func (w *World) isolateZone() bool {
	z := fmt.Sprintf("z%d", 1+w.FailureRandN(w.Shape.Zones))
	w.partition("zone "+z, w.failureDelay(500, 4000), func(n *Node) bool { return n.Zone == z })
	return true
}

// partitionHalves splits the nodes in two parts: either two zones from the others, which
// splits four disks into two pairs, or each node at random.
func (w *World) partitionHalves() bool {
	a, b := w.FailureRandN(w.Shape.Zones), w.FailureRandN(w.Shape.Zones)
	random := w.FailureRandN(2) == 0
	side := map[*Node]bool{}
	for _, n := range w.ActiveNodes() {
		side[n] = w.FailureRandN(2) == 0
		if !random {
			side[n] = n.Zone == fmt.Sprintf("z%d", a+1) || n.Zone == fmt.Sprintf("z%d", b+1)
		}
	}
	w.partition("halves", w.failureDelay(500, 4000), func(n *Node) bool { return side[n] })
	return true
}

// partition cuts every connection between the two sides for a while.
func (w *World) partition(what string, duration time.Duration, side func(*Node) bool) {
	w.logf("partition: %s", what)
	for _, a := range w.ActiveNodes() {
		for _, b := range w.ActiveNodes() {
			if side(a) != side(b) {
				w.Net.Cut(a.ID, b.ID)
			}
		}
	}
	w.after(duration, func() { w.Net.Restore("") })
}

// loseMessages makes 2 to 21 of 100 messages get lost for a while.
func (w *World) loseMessages() bool {
	n := 2 + w.FailureRandN(20)
	w.logf("%d of 100 messages are lost", n)
	w.Net.SetLossRate(float64(n) / 100)
	w.after(w.failureDelay(500, 4000), func() { w.Net.SetLossRate(0) })
	return true
}

// callBurst makes many calls within a second.
func (w *World) callBurst() bool {
	// Well beyond the capacity of the targets within that second.
	n := 2*len(w.liveTargets())*capacity*int(time.Second/((minWork+maxWork)/2)) + w.FailureRandN(300)
	w.logf("burst of %d calls", n)
	w.Burst(n, time.Second)
	return true
}

// changeStorm sends many changes at once, through all controllers. Some are based on an old
// version, some are invalid.
func (w *World) changeStorm() bool {
	n := 5 + w.FailureRandN(20)
	w.logf("storm of %d changes", n)
	for i := range n {
		a := stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: fmt.Sprintf("s%d", w.FailureRandN(2))}}}}
		if i%5 == 4 {
			a.MustBeRefused, a.Edits = true, append(a.Edits, spec.Edit{Op: spec.RemoveBinding, Name: "none"})
		}
		var base *uint64
		if i%4 == 3 {
			v := uint64(w.FailureRandN(10))
			base = &v
		}
		w.Go(func(ctx context.Context) { w.submitUntilFinal(ctx, "storm", a, base) })
	}
	return true
}

func (w *World) liveTargets() []*Target {
	return lo.Filter(w.Targets, func(t *Target, _ int) bool { return t.Running() })
}

func (w *World) crashTarget() bool {
	live := w.liveTargets()
	if len(live) < 5 {
		return false
	}
	t := live[w.FailureRandN(len(live))]
	w.logf("crash %s", t.ID)
	t.Crash()
	w.after(w.failureDelay(2000, 8000), w.restartFunc(t))
	return true
}

// restartFunc returns a function that starts a target again, unless it must stay down.
func (w *World) restartFunc(t *Target) func() {
	return func() {
		if !t.addrReassigned && !t.removed {
			t.Start()
		}
	}
}

// makeTargetMisbehave sets a random mode of misbehaviour on a target for a while.
func (w *World) makeTargetMisbehave() bool {
	live := w.liveTargets()
	t := live[w.FailureRandN(len(live))]
	m := []stand.Mode{stand.Slow, stand.Silent, stand.ClosingAfterRun, stand.BadStamp, stand.Truncating, stand.Refusing, stand.Swapping, stand.Unresponsive, stand.Malformed}[w.FailureRandN(9)]
	w.logf("%s misbehaves: mode %d", t.ID, m)
	t.SetMode(m)
	w.after(w.failureDelay(500, 3000), func() { t.SetMode(stand.Healthy) })
	return true
}

func (w *World) drainTarget() bool {
	live := w.liveTargets()
	if len(live) < 6 {
		return false
	}
	t := live[w.FailureRandN(len(live))]
	w.logf("%s leaves", t.ID)
	w.Go(func(context.Context) {
		if w.drainAndStop(t, 4*time.Second) {
			w.after(2*time.Second, w.restartFunc(t))
		}
	})
	return true
}

// drainAndStop makes a target leave: it announces this, waits for the acknowledgement, and
// stops after a while.
func (w *World) drainAndStop(t *Target, after time.Duration) bool {
	callCtx, cancel := context.WithTimeout(w.ctx, 15*time.Second)
	defer cancel()
	if !t.Leave(callCtx) {
		return false
	}
	w.logf("%s has left", t.ID)
	select {
	case <-callCtx.Done():
	case <-time.After(after):
	}
	t.Crash()
	return true
}

// pickExpendableTarget draws a target whose service has at least three others; nil if there
// is none.
func (w *World) pickExpendableTarget() *Target {
	by := lo.GroupBy(lo.Filter(w.liveTargets(), func(t *Target, _ int) bool { return !t.addrReassigned }), func(t *Target) string { return t.Service })
	candidates := by[[]string{"orders", "records"}[w.FailureRandN(2)]]
	if len(candidates) < 4 {
		return nil
	}
	return candidates[w.FailureRandN(len(candidates))]
}

// replaceTargets replaces the targets of a service one by one with new runs.
func (w *World) replaceTargets() bool {
	if w.replacing {
		return false
	}
	w.replacing = true
	svc := []string{"orders", "records"}[w.FailureRandN(2)]
	targets := lo.Filter(w.liveTargets(), func(t *Target, _ int) bool { return t.Service == svc && !t.addrReassigned })
	w.logf("replace the targets of %s one by one: %d targets", svc, len(targets))
	w.Go(func(ctx context.Context) {
		for _, t := range targets {
			if ctx.Err() == nil && t.Running() && w.drainAndStop(t, 1200*time.Millisecond) {
				time.Sleep(200 * time.Millisecond)
				w.restartFunc(t)()
				time.Sleep(500 * time.Millisecond)
			}
		}
		w.logf("the targets of %s are replaced", svc)
		w.replacing = false
	})
	return len(targets) > 0
}

// removeTarget takes a target out for good, after an announcement.
func (w *World) removeTarget() bool {
	t := w.pickExpendableTarget()
	if t == nil {
		return false
	}
	w.logf("remove %s", t.ID)
	t.removed = true
	w.Go(func(context.Context) { w.drainAndStop(t, 4*time.Second) })
	return true
}

// loseTarget stops a target for good, without an announcement.
func (w *World) loseTarget() bool {
	t := w.pickExpendableTarget()
	if t == nil {
		return false
	}
	w.logf("%s is lost for good", t.ID)
	t.removed = true
	t.Crash()
	return true
}

// reassignAddress crashes a target and, 2 s later, gives its address to a target of the other
// service.
func (w *World) reassignAddress() bool {
	candidates := lo.Filter(w.liveTargets(), func(t *Target, _ int) bool { return !t.addrReassigned })
	if len(candidates) < 7 {
		return false
	}
	t := candidates[w.FailureRandN(len(candidates))]
	w.logf("%s crashes, its address will be reassigned", t.ID)
	t.addrReassigned = true
	t.Crash()
	svc := lo.Ternary(t.Service == "orders", "records", "orders")
	n := &Target{world: w, ID: t.ID + "x", Service: svc, Zone: t.Zone, Addr: t.Addr, rng: t.rng}
	w.after(2*time.Second, func() {
		w.logf("%s starts at %s", n.ID, n.Addr)
		n.Start()
	})
	w.Targets = append(w.Targets, n)
	return true
}

// RunOperators sends the changes of two operators until ctx ends, and waits for their results.
// Between them they move a path, remove and restore a binding, replace the whole sheet, roll
// back, and send invalid changes now and then.
func (w *World) RunOperators(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.runBindingOperator(ctx) })
	wg.Go(func() { w.runSheetOperator(ctx) })
	wg.Wait()
}

// runBindingOperator moves one path between services, and removes and restores a binding.
func (w *World) runBindingOperator(ctx context.Context) {
	put := func(k int, svc string) []spec.Edit {
		b := bindingFor(callKinds[k], svc)
		return []spec.Edit{{Op: spec.PutBinding, Binding: &b}}
	}
	boundTo, unbound := "records", false
	for ctx.Err() == nil {
		time.Sleep(w.randomDelay("mover", 600, 3000))
		a := stand.ChangeRequest{}
		switch w.RandN("mover", 6) {
		case 0:
			a.MustBeRefused = true
			a.Edits = append([]spec.Edit{{Op: spec.RemoveBinding, Name: "orders"}}, put(2, "nowhere")...)
		case 1, 2:
			// The binding is put before it is dropped, since the other operator may have
			// rolled it back meanwhile: dropping a binding that is not there is refused.
			if unbound = !unbound; unbound {
				a.Edits = append(put(4, "records"), spec.Edit{Op: spec.RemoveBinding, Name: "notice"})
			} else {
				a.Edits = put(4, "records")
			}
		default:
			boundTo = lo.Ternary(boundTo == "records", "orders", "records")
			a.Edits = put(2, boundTo)
		}
		w.submitUntilFinal(w.ctx, "mover", a, nil)
	}
}

// runSheetOperator replaces the whole sheet by an edited copy of the current one, and rolls back.
func (w *World) runSheetOperator(ctx context.Context) {
	var ownVersions []uint64 // its own versions that came into force
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(w.randomDelay("keeper", 600, 3000))
		if w.RandN("keeper", 4) == 0 && len(ownVersions) > 0 {
			w.submitUntilFinal(w.ctx, "keeper", stand.ChangeRequest{RollbackTo: ownVersions[w.RandN("keeper", len(ownVersions))]}, nil)
			continue
		}
		n := w.randomController()
		p, ok := callController(ctx, n, func(callCtx context.Context, m *controller.Controller) *queries.FullState {
			p, err := m.Statements.Queries.FullState(callCtx)
			return lo.Ternary(err == nil, &p, nil)
		})
		if !ok || p == nil {
			continue
		}
		w.Records.RecordShownState(*p)
		s := p.Sheet.Sheet.Sorted()
		for i := range s.Bindings {
			if s.Bindings[i].Name == "draft" {
				s.Bindings[i].Service = lo.Ternary(s.Bindings[i].Service == "records", "orders", "records")
			}
		}
		if r, ok := w.submitUntilFinal(w.ctx, "keeper", stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.Replace, Sheet: &s}}}, &p.Sheet.Version); ok && r.Outcome == commands.InForce {
			ownVersions = append(ownVersions, r.Version)
		}
	}
}

func (w *World) randomController() *Node {
	controllers := w.NodesOfKind("controller")
	return controllers[w.RandN("keeper", len(controllers))]
}

// CheckFullState reads the full state through a controller and checks it against the records.
func (w *World) CheckFullState(ctx context.Context, n *Node) []string {
	m := n.Controller()
	if m == nil {
		return []string{n.ID + " does not run"}
	}
	p, err := m.Statements.Queries.FullState(ctx)
	if err != nil {
		return []string{n.ID + ": " + err.Error()}
	}
	return w.Records.CheckFullState(p)
}
