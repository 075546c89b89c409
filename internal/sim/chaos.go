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

// Defects says which failures a run may bring about.
type Defects struct {
	Nodes   bool // kills, freezes, planned stops, herds, zones out
	Disks   bool // lost, failing and slow disks, control machines swapped
	Net     bool // cuts, splits, loss
	Targets bool // crash, misbehave, leave, pass an address on
	Crowds  bool // crowds of calls, storms of changes
	// Span is how long failures go on.
	Span time.Duration
	// Day is one failure at a time, as far apart as on a bad day, the core's
	// outages among them.
	Day bool
}

// act is a failure: it tells whether it could be brought about now.
type act func() bool

// acts lists every failure by its name; the fleet has the same list.
func (w *World) acts() map[string]act {
	return map[string]act{
		"node killed": w.killOne, "node frozen": w.freezeOne, "node stopped as planned": w.retireOne, "all nodes restarted in turn": w.rolling,
		"gateways killed together": func() bool { return w.herd(w.Of("gateway")) }, "core killed": w.coreOut,
		"half of all killed": func() bool {
			return w.herd(lo.Filter(w.In(), func(*Node, int) bool { return w.Rand(2) == 0 }))
		},
		"zone killed": w.zoneOut, "disk lost": w.loseDisk, "sync failed": w.failDisk, "disk slow": w.slowDisk, "control machine swapped": w.swapMachine,
		"disk lost at the last moment": w.lastLoss,
		"node cut off":                 w.cutOne, "link cut": w.cutPair, "core cut apart": w.coreCut, "zone cut off": w.split, "halves": w.halves, "messages lost": w.lossy,
		"target crashed": w.crashTarget, "target misbehaved": w.misbehave, "target left": w.leaveTarget, "address passed on": w.passOn,
		"release": w.release, "target removed": w.removeTarget, "target lost for good": w.loseTarget,
		"crowd": w.crowd, "storm of changes": w.storm,
	}
}

// last are failures that end a day; no suite draws them in its middle.
var last = []string{"disk lost at the last moment"}

// suites tells which failures belong to which part of Defects.
func (d Defects) names() (out []string) {
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

// Chaos brings failures about until ctx ends, then heals everything. Each comes in
// its turn, in an order by the seed, before any comes again.
func (w *World) Chaos(ctx context.Context, d Defects) {
	acts, names := w.acts(), d.names()
	var deck []string
	for ctx.Err() == nil {
		if d.Day {
			time.Sleep(w.span(6000, 9000))
		}
		time.Sleep(time.Duration(300+w.Rand(1800)) * time.Millisecond)
		for ctx.Err() == nil {
			if len(deck) == 0 {
				deck = slices.Clone(names)
				for i := range deck {
					j := w.Rand(i + 1)
					deck[i], deck[j] = deck[j], deck[i]
				}
			}
			n := deck[0]
			if deck = deck[1:]; acts[n]() {
				w.Rec.CountFailure(n)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.Heal()
}

// Heal ends every failure.
func (w *World) Heal() {
	w.Net.Mend("")
	w.Net.Lose(0)
	for _, n := range w.In() {
		n.Thaw()
		if n.Disk != nil {
			n.Disk.Pace(200*time.Microsecond, 4*time.Millisecond)
		}
		n.Start()
	}
	for _, t := range w.Targets {
		t.Set(stand.Healthy)
		// One that takes over an address comes when its time has come.
		if !t.Up() && !t.passed && !t.lost && t.Ran() {
			t.Start()
		}
	}
}

func (w *World) tell(format string, args ...any) {
	if w.Say != nil {
		w.Say("%s "+format, append([]any{time.Now().Format("05.000")}, args...)...)
	}
}

// later runs f after d, unless the world has ended.
func (w *World) later(d time.Duration, f func()) {
	w.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
			f()
		}
	})
}

func (w *World) span(least, most int) time.Duration { return w.pause("chaos", least, most) }

func (w *World) pause(name string, least, most int) time.Duration {
	return time.Duration(least+w.Draw(name, most-least)) * time.Millisecond
}

// any draws a node.
func (w *World) any() *Node {
	ns := w.In()
	return ns[w.Rand(len(ns))]
}

func (w *World) killOne() bool {
	n := w.any()
	w.tell("kill %s", n.ID)
	n.Kill()
	w.later(w.span(200, 4000), n.Start)
	return true
}

func (w *World) freezeOne() bool {
	n := w.any()
	w.tell("freeze %s", n.ID)
	n.Freeze()
	w.later(w.span(100, 5000), func() { w.tell("thaw %s", n.ID); n.Thaw() })
	return true
}

// herd kills nodes together; they come back one by one.
func (w *World) herd(ns []*Node) bool {
	w.tell("herd of %d", len(ns))
	for _, n := range ns {
		n.Kill()
		w.later(w.span(500, 3000), n.Start)
	}
	return len(ns) > 1
}

// coreOut kills every node with a disk, for longer than a call may take.
func (w *World) coreOut() bool {
	w.tell("core out")
	for _, n := range w.Disks() {
		n.Kill()
		w.later(w.span(4000, 7000), n.Start)
	}
	return true
}

// rolling stops every node in turn as planned, and starts it again.
func (w *World) rolling() bool {
	if w.turning {
		return false
	}
	w.turning = true
	w.tell("all nodes restart in turn")
	w.Go(func(ctx context.Context) {
		for _, n := range w.In() {
			if ctx.Err() != nil {
				return
			}
			n.Retire()
			n.Start()
			time.Sleep(time.Second)
		}
		w.tell("all nodes have restarted")
		w.turning = false
	})
	return true
}

// lastLoss has a change and a leaving acknowledged, and empties the disk of the controller
// that acknowledged, or of a voter, in the same instant.
func (w *World) lastLoss() bool {
	n := w.spareDisk()
	if n == nil {
		return false
	}
	to := lo.Ternary(w.Rand(2) == 0, "records", "orders")
	b := binding(kinds[2], to)
	cx, end := context.WithTimeout(w.ctx, 10*time.Second)
	defer end()
	left := w.live()[0]
	done := make(chan bool, 1)
	go func() { done <- left.Leave(cx) }()
	r, ok := w.insist(cx, "last", stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.PutBinding, Binding: &b}}}, nil)
	w.tell("the last change is told: %+v; %s loses its disk", r, n.ID)
	n.Kill()
	n.Disk.Wipe()
	return ok && <-done
}

// coreCut cuts the nodes with a disk off from each other, so that none of them is
// part of a majority.
func (w *World) coreCut() bool {
	w.tell("core cut apart")
	ds := w.Disks()
	for _, a := range ds {
		for _, b := range w.In() {
			if a != b {
				w.Net.Cut(a.ID, b.ID)
				w.Net.Cut(b.ID, a.ID)
			}
		}
	}
	w.later(w.span(4000, 7000), func() { w.Net.Mend("") })
	return true
}

// loseDisk empties one disk, where all the others are well: more than one at a
// time is beyond what is promised.
func (w *World) loseDisk() bool {
	n := w.spareDisk()
	if n == nil {
		return false
	}
	w.tell("lose disk of %s", n.ID)
	n.Kill()
	n.Disk.Wipe()
	w.later(w.span(200, 2000), n.Start)
	return true
}

// spareDisk draws a disk that may be lost now: all seats vote, and the last loss
// is a while ago. nil where none may.
func (w *World) spareDisk() *Node {
	ds := w.Disks()
	for _, n := range ds {
		m := n.Controller()
		if m == nil || n.Frozen() || time.Since(w.lost) < 12*time.Second {
			return nil
		}
		c := m.Voter.Core()
		if c.Epoch == 0 || !lo.EveryBy(c.Seats, func(s quorum.Seat) bool {
			x, ok := lo.Find(ds, func(x *Node) bool { return x.ID == s.ID })
			if !ok {
				return false
			}
			v := x.Controller()
			return v != nil && v.Voter.Seat().Disk == s.Disk && v.Voter.Voting()
		}) {
			return nil
		}
	}
	w.lost = time.Now()
	return ds[w.Rand(len(ds))]
}

// swapMachine takes a control machine out for good; a new one, with an empty disk,
// an address and a name of its own, comes in.
func (w *World) swapMachine() bool {
	var in *Node
	for _, n := range w.Nodes[w.Shape.Controllers+w.Shape.Gateways:] {
		if n.out.Load() && !n.came {
			in = n
		}
	}
	if in == nil || w.spareDisk() == nil {
		return false
	}
	out := w.Node(in.ID[:len(in.ID)-1])
	w.tell("swap machine %s for %s", out.ID, in.ID)
	in.came = true
	out.out.Store(true)
	out.Kill()
	in.out.Store(false)
	in.Start()
	return true
}

// failDisk makes the next sync of a disk fail: its process ends, and comes back.
func (w *World) failDisk() bool {
	ds := w.Disks()
	n := ds[w.Rand(len(ds))]
	w.tell("failing sync at %s", n.ID)
	n.Disk.Fail()
	return true
}

// retireOne stops a node as planned, and starts it again.
func (w *World) retireOne() bool {
	n := w.any()
	w.tell("planned stop of %s", n.ID)
	w.Go(func(context.Context) {
		n.Retire()
		w.tell("%s has stopped", n.ID)
		n.Start()
	})
	return true
}

// zoneOut kills whatever stands in a zone, targets included.
func (w *World) zoneOut() bool {
	z := fmt.Sprintf("z%d", 1+w.Rand(w.Shape.Zones))
	w.tell("zone %s out", z)
	back := w.span(2000, 6000)
	for _, n := range w.In() {
		if n.Zone == z {
			n.Kill()
			w.later(back, n.Start)
		}
	}
	for _, t := range w.live() {
		if t.Zone == z {
			t.Crash()
			w.later(back, w.back(t))
		}
	}
	return true
}

func (w *World) slowDisk() bool {
	ds := w.Disks()
	n := ds[w.Rand(len(ds))]
	w.tell("slow disk of %s", n.ID)
	n.Disk.Pace(50*time.Millisecond, 400*time.Millisecond)
	w.later(w.span(1000, 5000), func() { n.Disk.Pace(200*time.Microsecond, 4*time.Millisecond) })
	return true
}

// cutOne cuts one node off: wholly, or in one direction.
func (w *World) cutOne() bool {
	n := w.any()
	way := w.Rand(3)
	w.tell("cut %s way %d", n.ID, way)
	for _, x := range w.In() {
		if way != 1 {
			w.Net.Cut(n.ID, x.ID)
		}
		if way != 0 {
			w.Net.Cut(x.ID, n.ID)
		}
	}
	w.later(w.span(500, 4000), func() { w.Net.Mend(n.ID) })
	return true
}

// cutPair breaks the way from one node to another, in one direction or both.
func (w *World) cutPair() bool {
	a, b := w.any(), w.any()
	both := w.Rand(2) == 0
	w.tell("cut %s to %s, both %v", a.ID, b.ID, both)
	w.Net.Cut(a.ID, b.ID)
	if both {
		w.Net.Cut(b.ID, a.ID)
	}
	w.later(w.span(500, 6000), func() { w.Net.Join(a.ID, b.ID) })
	return true
}

// split cuts one zone off from the rest.
func (w *World) split() bool {
	z := fmt.Sprintf("z%d", 1+w.Rand(w.Shape.Zones))
	w.part("zone "+z, w.span(500, 4000), func(n *Node) bool { return n.Zone == z })
	return true
}

// halves parts the world: two zones from the others, which splits four disks in
// two pairs, or every node by the toss of a coin.
func (w *World) halves() bool {
	a, b := w.Rand(w.Shape.Zones), w.Rand(w.Shape.Zones)
	toss := w.Rand(2) == 0
	side := map[*Node]bool{}
	for _, n := range w.In() {
		side[n] = w.Rand(2) == 0
		if !toss {
			side[n] = n.Zone == fmt.Sprintf("z%d", a+1) || n.Zone == fmt.Sprintf("z%d", b+1)
		}
	}
	w.part("halves", w.span(500, 4000), func(n *Node) bool { return side[n] })
	return true
}

// part cuts every way between the two sides for a while.
func (w *World) part(what string, long time.Duration, side func(*Node) bool) {
	w.tell("split %s", what)
	for _, a := range w.In() {
		for _, b := range w.In() {
			if side(a) != side(b) {
				w.Net.Cut(a.ID, b.ID)
			}
		}
	}
	w.later(long, func() { w.Net.Mend("") })
}

// lossy loses a share of all messages for a while.
func (w *World) lossy() bool {
	n := 2 + w.Rand(20)
	w.tell("%d of 100 messages are lost", n)
	w.Net.Lose(float64(n) / 100)
	w.later(w.span(500, 4000), func() { w.Net.Lose(0) })
	return true
}

// crowd brings many callers at once.
func (w *World) crowd() bool {
	// Well beyond what the targets' places can do in the time.
	n := 2*len(w.live())*capacity*int(time.Second/((least+most)/2)) + w.Rand(300)
	w.tell("crowd of %d", n)
	w.Rush(n, time.Second)
	return true
}

// storm brings many orders at once, to all controllers, some of them for a version that
// does not stand any more, some invalid.
func (w *World) storm() bool {
	n := 5 + w.Rand(20)
	w.tell("storm of %d changes", n)
	for i := range n {
		a := stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.PutService, Service: &spec.Service{Name: fmt.Sprintf("s%d", w.Rand(2))}}}}
		if i%5 == 4 {
			a.MustBeRefused, a.Edits = true, append(a.Edits, spec.Edit{Op: spec.DropBinding, Name: "none"})
		}
		var base *uint64
		if i%4 == 3 {
			v := uint64(w.Rand(10))
			base = &v
		}
		w.Go(func(ctx context.Context) { w.insist(ctx, "storm", a, base) })
	}
	return true
}

func (w *World) live() []*Target {
	return lo.Filter(w.Targets, func(t *Target, _ int) bool { return t.Up() })
}

func (w *World) crashTarget() bool {
	ts := w.live()
	if len(ts) < 5 {
		return false
	}
	t := ts[w.Rand(len(ts))]
	w.tell("crash %s", t.ID)
	t.Crash()
	w.later(w.span(2000, 8000), w.back(t))
	return true
}

// back starts a target again, unless it is not to come back.
func (w *World) back(t *Target) func() {
	return func() {
		if !t.passed && !t.lost {
			t.Start()
		}
	}
}

func (w *World) misbehave() bool {
	ts := w.live()
	t := ts[w.Rand(len(ts))]
	m := []stand.Mode{stand.Slow, stand.Silent, stand.ClosingAfterRun, stand.BadStamp, stand.Truncating, stand.Refusing, stand.Swapping, stand.Unresponsive}[w.Rand(8)]
	w.tell("%s behaves %d", t.ID, m)
	t.Set(m)
	w.later(w.span(500, 3000), func() { t.Set(stand.Healthy) })
	return true
}

func (w *World) leaveTarget() bool {
	ts := w.live()
	if len(ts) < 6 {
		return false
	}
	t := ts[w.Rand(len(ts))]
	w.tell("leave %s", t.ID)
	w.Go(func(context.Context) {
		if w.depart(t, 4*time.Second) {
			w.later(2*time.Second, w.back(t))
		}
	})
	return true
}

// depart has a target leave: announced, acknowledged, and ended after a while.
func (w *World) depart(t *Target, after time.Duration) bool {
	cx, end := context.WithTimeout(w.ctx, 15*time.Second)
	defer end()
	if !t.Leave(cx) {
		return false
	}
	w.tell("left %s", t.ID)
	select {
	case <-cx.Done():
	case <-time.After(after):
	}
	t.Crash()
	return true
}

// spareTarget draws a target of which its service has enough others; nil where none.
func (w *World) spareTarget() *Target {
	by := lo.GroupBy(lo.Filter(w.live(), func(t *Target, _ int) bool { return !t.passed }), func(t *Target) string { return t.Service })
	ts := by[[]string{"orders", "records"}[w.Rand(2)]]
	if len(ts) < 4 {
		return nil
	}
	return ts[w.Rand(len(ts))]
}

// release replaces the targets of a service one by one with new runs.
func (w *World) release() bool {
	if w.freed {
		return false
	}
	w.freed = true
	svc := []string{"orders", "records"}[w.Rand(2)]
	ts := lo.Filter(w.live(), func(t *Target, _ int) bool { return t.Service == svc && !t.passed })
	w.tell("release of %s: %d targets", svc, len(ts))
	w.Go(func(ctx context.Context) {
		for _, t := range ts {
			if ctx.Err() == nil && t.Up() && w.depart(t, 1200*time.Millisecond) {
				time.Sleep(200 * time.Millisecond)
				w.back(t)()
				time.Sleep(500 * time.Millisecond)
			}
		}
		w.tell("released %s", svc)
		w.freed = false
	})
	return len(ts) > 0
}

// removeTarget takes a target out for good, as announced.
func (w *World) removeTarget() bool {
	t := w.spareTarget()
	if t == nil {
		return false
	}
	w.tell("remove %s", t.ID)
	t.lost = true
	w.Go(func(context.Context) { w.depart(t, 4*time.Second) })
	return true
}

// loseTarget ends a target for good, unannounced.
func (w *World) loseTarget() bool {
	t := w.spareTarget()
	if t == nil {
		return false
	}
	w.tell("%s is lost for good", t.ID)
	t.lost = true
	t.Crash()
	return true
}

// passOn lets a target vanish and, 2 s later, gives its address to a target of
// the other service.
func (w *World) passOn() bool {
	ts := lo.Filter(w.live(), func(t *Target, _ int) bool { return !t.passed })
	if len(ts) < 7 {
		return false
	}
	t := ts[w.Rand(len(ts))]
	w.tell("%s vanishes, its address passes on", t.ID)
	t.passed = true
	t.Crash()
	svc := lo.Ternary(t.Service == "orders", "records", "orders")
	n := &Target{w: w, ID: t.ID + "x", Service: svc, Zone: t.Zone, Addr: t.Addr, rnd: t.rnd}
	w.later(2*time.Second, func() {
		w.tell("%s stands at %s", n.ID, n.Addr)
		n.Start()
	})
	w.Targets = append(w.Targets, n)
	return true
}

// Operate sends the changes of two operators until ctx ends, and waits for their
// results. Between them they move a path, unbind and bind another, replace the whole
// sheet, roll back, and send the odd invalid order.
func (w *World) Operate(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.mover(ctx) })
	wg.Go(func() { w.keeper(ctx) })
	wg.Wait()
}

// mover moves one path between services, and unbinds and binds another.
func (w *World) mover(ctx context.Context) {
	put := func(k int, svc string) []spec.Edit {
		b := binding(kinds[k], svc)
		return []spec.Edit{{Op: spec.PutBinding, Binding: &b}}
	}
	at, gone := "records", false
	for ctx.Err() == nil {
		time.Sleep(w.pause("mover", 600, 3000))
		a := stand.ChangeRequest{}
		switch w.Draw("mover", 6) {
		case 0:
			a.MustBeRefused = true
			a.Edits = append([]spec.Edit{{Op: spec.DropBinding, Name: "orders"}}, put(2, "nowhere")...)
		case 1, 2:
			// Bound or not, also where the other operator has rolled it back meanwhile:
			// an order to unbind what is not bound is refused.
			if gone = !gone; gone {
				a.Edits = append(put(4, "records"), spec.Edit{Op: spec.DropBinding, Name: "notice"})
			} else {
				a.Edits = put(4, "records")
			}
		default:
			at = lo.Ternary(at == "records", "orders", "records")
			a.Edits = put(2, at)
		}
		w.insist(w.ctx, "mover", a, nil)
	}
}

// keeper replaces the whole sheet, made from the one that stands, and rolls back.
func (w *World) keeper(ctx context.Context) {
	var mine []uint64 // versions that were told in force
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(w.pause("keeper", 600, 3000))
		if w.Draw("keeper", 4) == 0 && len(mine) > 0 {
			w.insist(w.ctx, "keeper", stand.ChangeRequest{RollbackTo: mine[w.Draw("keeper", len(mine))]}, nil)
			continue
		}
		n := w.controllerAny()
		p, ok := speak(ctx, n, func(cx context.Context, m *controller.Controller) *queries.Picture {
			p, err := m.Speaker.Asker.Picture(cx)
			return lo.Ternary(err == nil, &p, nil)
		})
		if !ok || p == nil {
			continue
		}
		w.Rec.RecordShown(*p)
		s := p.Sheet.Sheet.Sorted()
		for i := range s.Bindings {
			if s.Bindings[i].Name == "draft" {
				s.Bindings[i].Service = lo.Ternary(s.Bindings[i].Service == "records", "orders", "records")
			}
		}
		if r, ok := w.insist(w.ctx, "keeper", stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.Replace, Sheet: &s}}}, &p.Sheet.Version); ok && r.Outcome == commands.InForce {
			mine = append(mine, r.Version)
		}
	}
}

func (w *World) controllerAny() *Node {
	ms := w.Of("controller")
	return ms[w.Draw("keeper", len(ms))]
}

// Picture reads the whole picture through a controller and holds it against what was told.
func (w *World) Picture(ctx context.Context, n *Node) []string {
	m := n.Controller()
	if m == nil {
		return []string{n.ID + " does not run"}
	}
	p, err := m.Speaker.Asker.Picture(ctx)
	if err != nil {
		return []string{n.ID + ": " + err.Error()}
	}
	return w.Rec.CheckPicture(p)
}
