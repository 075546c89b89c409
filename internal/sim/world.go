package sim

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/commands"
	"walkrudder/internal/controller"
	"walkrudder/internal/fault"
	"walkrudder/internal/gateway"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/passage"
	"walkrudder/internal/shell"
	"walkrudder/internal/spec"
	"walkrudder/internal/startup"
	"walkrudder/tools/stand"
)

// Shape is the size of a world.
type Shape struct {
	Zones, Disks, Controllers, Gateways int
	Targets                             map[string]int
	// Spares is how many control machines stand by to be swapped in; the n-th of
	// them may take the place of the n-th controller.
	Spares int
	// Keep is how long controllers keep decisions; 0 for as long as they do by default.
	Keep time.Duration
	Log  io.Writer
}

// Small is a world that a run in CI can afford.
func Small() Shape {
	return Shape{Zones: 3, Disks: 3, Controllers: 4, Gateways: 4, Targets: map[string]int{"orders": 5, "records": 5}, Spares: 1}
}

// Tiny is a world for tests that need few of everything.
func Tiny() Shape {
	return Shape{Zones: 3, Disks: 3, Controllers: 3, Gateways: 3, Targets: map[string]int{"orders": 3, "records": 3}}
}

// Alcazar and Grachtwerk are the deployments of today.
func Alcazar() Shape {
	return Shape{Zones: 3, Disks: 3, Controllers: 5, Gateways: 8, Targets: map[string]int{"orders": 14, "records": 16}, Spares: 1}
}

// Grachtwerk has a fourth disk that stands by.
func Grachtwerk() Shape {
	return Shape{Zones: 4, Disks: 4, Controllers: 6, Gateways: 8, Targets: map[string]int{"orders": 20, "records": 20}, Spares: 2}
}

// Node is one node of the world.
type Node struct {
	*Host
	Kind   string
	Disk   *Disk
	Faults *fault.Set
	w      *World

	mu         sync.Mutex
	controller *controller.Controller
	gateway    *gateway.Gateway
	end        context.CancelFunc
	done       chan struct{}
	inc        uint64
	struck     stand.OutageTracker // guarded by mu
	// looked is what the platform last saw: ready or not.
	looked atomic.Bool
	// out says that the machine is not part of the deployment: not yet, or no more.
	out atomic.Bool
	// came says that a spare machine was swapped in.
	came bool
}

// World is a whole deployment on a virtual clock.
type World struct {
	Net     *Net
	Nodes   []*Node
	Targets []*Target
	Rec     *stand.Records
	Shape   Shape
	log     *log.Logger
	seed    uint64
	rmu     sync.Mutex
	streams map[string]*rand.Rand
	seeds   []string
	orders  int
	at      map[string]*Target // by address: who stands there now
	// Say, set before the start, is told what happens.
	Say   func(format string, args ...any)
	lost  time.Time // when the last disk was lost
	twice int       // orders that a resend did again
	told  int       // how many tokens were given out
	// turning and freed say that all nodes, or the targets of a service, are being
	// replaced in turn.
	turning, freed bool
	stop           context.CancelFunc
	ctx            context.Context
	wg             sync.WaitGroup
}

// New lays a world out from a seed.
func New(seed uint64, s Shape) *World {
	rnd := rand.New(rand.NewPCG(seed, 0x5eed))
	sub := func() *rand.Rand { return rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())) }
	w := &World{Net: newNet(seed), Rec: stand.NewRecords(), Shape: s, seed: seed, streams: map[string]*rand.Rand{}, at: map[string]*Target{}}
	if s.Log == nil {
		s.Log = io.Discard
	}
	w.log = log.NewWithOptions(s.Log, log.Options{Formatter: log.JSONFormatter, Level: log.DebugLevel, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
	w.ctx, w.stop = context.WithCancel(context.Background())
	for i := range s.Controllers + s.Gateways {
		n := &Node{w: w, Faults: &fault.Set{}, Host: &Host{net: w.Net, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1)}}
		if i < s.Controllers {
			n.ID, n.Kind, n.Zone = fmt.Sprintf("m%d", i+1), "controller", fmt.Sprintf("z%d", i%s.Zones+1)
			if i < s.Disks {
				n.Disk = newDisk(sub())
			}
		} else {
			k := i - s.Controllers
			n.ID, n.Kind, n.Zone = fmt.Sprintf("f%d", k+1), "gateway", fmt.Sprintf("z%d", k%s.Zones+1)
		}
		w.Net.at[n.Addr] = n.Host
		w.Nodes = append(w.Nodes, n)
		if i < 3 {
			w.seeds = append(w.seeds, n.Addr)
		}
	}
	for i := range s.Spares {
		old := w.Nodes[i]
		n := &Node{w: w, Kind: "controller", Faults: &fault.Set{}, Disk: newDisk(sub()),
			Host: &Host{net: w.Net, ID: old.ID + "b", Zone: old.Zone, Addr: fmt.Sprintf("10.0.2.%d:7000", i+1)}}
		n.out.Store(true)
		w.Net.at[n.Addr] = n.Host
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.struck = stand.OutageTracker{Rec: w.Rec, Node: n.ID}
	}
	i := 0
	for _, svc := range []string{"orders", "records"} {
		for k := range s.Targets[svc] {
			i++
			t := &Target{w: w, ID: fmt.Sprintf("%s-%d", svc, k+1), Service: svc, Zone: fmt.Sprintf("z%d", k%s.Zones+1), Addr: fmt.Sprintf("10.0.1.%d:80", i), rnd: sub()}
			w.Targets = append(w.Targets, t)
		}
	}
	return w
}

// stream is one purpose's own chance: what one part of the world draws does not
// shift what another gets, so that a seed gives the same failures again.
func (w *World) stream(name string) *rand.Rand {
	r := w.streams[name]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		r = rand.New(rand.NewPCG(w.seed, h.Sum64()))
		w.streams[name] = r
	}
	return r
}

// Draw draws below n for a purpose.
func (w *World) Draw(name string, n int) int {
	w.rmu.Lock()
	defer w.rmu.Unlock()
	return w.stream(name).IntN(n)
}

// Rand draws below n for the failures.
func (w *World) Rand(n int) int { return w.Draw("chaos", n) }

// In lists the nodes that are part of the deployment.
func (w *World) In() []*Node {
	return lo.Filter(w.Nodes, func(n *Node, _ int) bool { return !n.out.Load() })
}

// Of lists the nodes of a kind.
func (w *World) Of(kind string) []*Node {
	return lo.Filter(w.In(), func(n *Node, _ int) bool { return n.Kind == kind })
}

// Disks lists the nodes with a disk.
func (w *World) Disks() []*Node {
	return lo.Filter(w.In(), func(n *Node, _ int) bool { return n.Disk != nil })
}

// Node finds a node.
func (w *World) Node(id string) *Node {
	n, _ := lo.Find(w.Nodes, func(n *Node) bool { return n.ID == id })
	return n
}

// Go runs f until the world ends.
func (w *World) Go(f func(ctx context.Context)) {
	w.wg.Go(func() { f(w.ctx) })
}

// Start starts every node and target.
func (w *World) Start() {
	for _, n := range w.Nodes {
		n.Start()
	}
	for _, t := range w.Targets {
		t.Start()
	}
}

// End ends everything and waits for it.
func (w *World) End() {
	w.stop()
	w.Net.Mend("")
	defer time.Sleep(10 * time.Second) // whatever still waits on a clock ends
	for _, n := range w.Nodes {
		n.Thaw()
		n.Kill()
	}
	for _, t := range w.Targets {
		t.Crash()
	}
	w.wg.Wait()
	for _, n := range w.Nodes {
		n.mu.Lock()
		d := n.done
		n.mu.Unlock()
		if d != nil {
			<-d
		}
	}
}

// Start starts the node's process, if it does not run.
func (n *Node) Start() {
	// A lock is not held while waiting: a bubble's clock stands still as long as
	// anybody waits for a lock.
	n.mu.Lock()
	for n.end == nil && n.done != nil {
		d := n.done
		n.mu.Unlock()
		<-d
		n.mu.Lock()
		if n.done == d {
			n.done = nil
		}
	}
	defer n.mu.Unlock()
	if n.end != nil || n.w.ctx.Err() != nil || n.out.Load() {
		return
	}
	ctx, end := context.WithCancel(context.Background())
	n.inc++
	l := &line{h: n.Host, run: ctx}
	s := startup.Node{ID: n.ID, Zone: n.Zone, Inner: n.Addr, Door: n.Addr + "d", Seeds: n.w.seeds}
	lg := n.w.log.With("node", n.ID)
	var run func(context.Context)
	if n.Kind == "controller" {
		p := controller.Parts{Startup: startup.Controller{Node: s, Core: min(3, n.w.Shape.Disks)}, Inc: n.inc, Fresh: fmt.Sprintf("%s-%d", n.ID, n.inc),
			Keep: n.w.Shape.Keep, Line: l, Clock: clock{n.Host}, Log: lg, Faults: n.Faults, WallMS: func() int64 { return time.Now().UnixMilli() },
			OnBad: func(error) {
				if ctx.Err() != nil {
					return // it was killed: its disk was cut off with it
				}
				// The process ends; whoever looks after it starts it again.
				go n.Kill()
				n.w.later(time.Second, n.Start)
			}}
		d := &handle{d: n.Disk, h: n.Host, l: l, calm: true}
		if n.Disk != nil {
			p.Disk = d
		}
		m, err := controller.New(p)
		if err != nil {
			panic(err)
		}
		d.calm = false
		n.controller, run = m, m.Run
		n.Host.mu.Lock()
		n.desk = m.Desk
		n.Host.mu.Unlock()
	} else {
		f := gateway.New(gateway.Parts{Startup: startup.Gateway{Node: s}, Inc: n.inc, Line: l, Clock: clock{n.Host}, Log: lg, Faults: n.Faults,
			Courier: &courier{w: n.w, h: n.Host, run: ctx}})
		n.gateway, run = f, f.Run
		n.Host.mu.Lock()
		n.desk = f.Desk
		n.Host.mu.Unlock()
	}
	done := make(chan struct{})
	n.end, n.done = end, done
	n.struck.End()
	n.Host.mu.Lock()
	n.run = ctx
	n.Host.mu.Unlock()
	go func() {
		run(ctx)
		close(done)
	}()
}

// Kill ends the process at once; what it had not synced is lost.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.end != nil {
		n.struck.Begin("killed")
	}
	n.halt()
}

// halt ends the process; n.mu is held.
func (n *Node) halt() {
	if n.end != nil {
		n.end()
		n.end = nil
	}
	n.Host.Thaw()
}

// Freeze stops the node in its tracks.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.struck.Begin("frozen")
	n.Host.Freeze()
}

// Thaw lets it go on.
func (n *Node) Thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Host.Thaw()
	if n.end != nil {
		n.struck.End()
	}
}

// linger and whole are the times of a planned stop, as the programs keep them.
const (
	linger = shell.Linger
	whole  = shell.Whole
)

// Retire stops the process as planned; the platform kills it 6 s after its
// warning. What was cut off by it is for the checker to find.
func (n *Node) Retire() {
	f, m, up := n.Gateway(), n.Controller(), n.Host.up()
	if up == nil || n.Frozen() {
		return
	}
	from, cold := time.Now(), n.colds()
	switch {
	case f != nil:
		f.Stop()
		time.Sleep(linger)
		for f.Passage.Flying() > 0 && time.Since(from) < whole-200*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		cx, end := context.WithTimeout(up, 300*time.Millisecond)
		f.Part(cx)
		end()
	case m != nil:
		m.Stop()
		time.Sleep(linger / 2)
		cx, end := context.WithTimeout(up, 150*time.Millisecond)
		m.Tenant.Leave(cx)
		end()
	}
	n.awake()
	// Another failure may have come first.
	if up.Err() == nil && n.colds() == cold && f != nil {
		n.w.Rec.RecordStop(stand.Stop{Gateway: n.ID, From: from, End: time.Now()})
	}
	if up.Err() == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.halt()
	}
}

// Up tells whether the process runs.
func (n *Node) Up() bool { return n.Host.up() != nil }

// Controller is the running controller, nil when none runs.
func (n *Node) Controller() *controller.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.end == nil {
		return nil
	}
	return n.controller
}

// Gateway is the running gateway, nil when none runs.
func (n *Node) Gateway() *gateway.Gateway {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.end == nil {
		return nil
	}
	return n.gateway
}

// Frozen tells whether the host stands still.
func (n *Node) Frozen() bool {
	n.Host.mu.Lock()
	defer n.Host.mu.Unlock()
	return n.ice != nil
}

// Order sends an order to a controller, as an operator would over HTTP; ok is false
// when no answer came.
func (w *World) Order(ctx context.Context, n *Node, o commands.Order) (commands.Result, bool) {
	return speak(ctx, n, func(cx context.Context, m *controller.Controller) commands.Result { return m.Changer.Change(cx, o) })
}

// insist sends an order to any controller until it has a final result, and notes it.
func (w *World) insist(ctx context.Context, who string, a stand.ChangeRequest, base *uint64) (commands.Result, bool) {
	w.rmu.Lock()
	w.told++
	a.Token, a.SubmittedAt = fmt.Sprintf("%s-%d", who, w.told), time.Now()
	w.rmu.Unlock()
	send := func() (commands.Result, bool) {
		ms := w.Of("controller")
		n := ms[w.Draw(who, len(ms))]
		if a.RollbackTo == 0 {
			return w.Order(ctx, n, commands.Order{Token: a.Token, Base: base, Edits: a.Edits})
		}
		return speak(ctx, n, func(cx context.Context, m *controller.Controller) commands.Result {
			x, err := m.Speaker.Say(cx, fmt.Sprintf("roll back to %d token %s", a.RollbackTo, a.Token))
			if err != nil {
				return commands.Result{Outcome: commands.NoCore, Why: err.Error()}
			}
			return x.Data.(commands.Result)
		})
	}
	r, ok := w.Rec.SubmitUntilFinal(ctx, a, send, func() { time.Sleep(w.pause(who, 20, 200)) })
	if ok && r.Outcome == commands.InForce {
		w.tell("version %d in force: %s", r.Version, a.Token)
		if w.Draw(who, 4) == 0 {
			// An acknowledgement that never arrived: the same order once more.
			if x, ok := send(); ok && x.Outcome == commands.InForce && !x.Again {
				w.tell("order %s done twice", a.Token)
				w.twice++
			}
		}
	}
	return r, ok
}

// speak has a controller do something for an operator; ok is false when no answer came.
func speak[R any](ctx context.Context, n *Node, do func(context.Context, *controller.Controller) R) (r R, ok bool) {
	w := n.w
	m, up := n.Controller(), n.Host.up()
	if m == nil || up == nil {
		return r, false
	}
	cx, end := context.WithTimeout(up, 10*time.Second)
	defer end()
	ch := make(chan R, 1)
	go func() {
		time.Sleep(w.Net.delay("op", n.ID))
		n.awake()
		r := do(cx, m)
		n.awake()
		if up.Err() == nil {
			ch <- r
		}
	}()
	select {
	case r = <-ch:
		return r, true
	case <-ctx.Done():
	case <-cx.Done():
	}
	return r, false
}

// kinds of call in a world.
var kinds = []stand.CallKind{
	{Method: "POST", Path: "/orders", Service: "orders"},
	{Method: "GET", Path: "/status", Service: "orders", Repeatable: true},
	{Method: "GET", Path: "/glossary", Service: "records", Repeatable: true},
	{Method: "GET", Path: "/draft", Service: "records", Repeatable: true},
	{Method: "GET", Path: "/notice", Service: "records", Repeatable: true, MayBeUnbound: true},
}

// Sheet is the world's first sheet.
func Sheet() spec.Sheet {
	s := spec.Sheet{Services: []spec.Service{{Name: "orders"}, {Name: "records"}}}
	for _, k := range kinds {
		s.Bindings = append(s.Bindings, binding(k, k.Service))
	}
	return s.Sorted()
}

func binding(k stand.CallKind, service string) spec.Binding {
	return spec.Binding{Name: k.Path[1:], Service: service, Methods: []string{k.Method}, Path: k.Path, ExpiryMS: 3000, Repeatable: k.Repeatable}
}

// Form waits until the first sheet is in force and every gateway is ready.
func (w *World) Form(within time.Duration) error {
	ctx, end := context.WithTimeout(w.ctx, within)
	defer end()
	s := Sheet()
	if r, ok := w.insist(ctx, "form", stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.Replace, Sheet: &s}}}, nil); !ok {
		return fmt.Errorf("no first sheet: %+v", r)
	}
	for !lo.EveryBy(w.Of("gateway"), func(n *Node) bool { f := n.Gateway(); return f != nil && f.Ready() }) {
		if ctx.Err() != nil {
			return fmt.Errorf("gateways not ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// Call makes one call at a gateway, chosen among the ready ones as the platform
// does, and notes the outcome.
// An order goes out under a key, and is sent again under it, through any gateway,
// while its caller does not know that it ran.
func (w *World) Call(k stand.CallKind) {
	w.rmu.Lock()
	w.orders++
	order := fmt.Sprintf("o%d", w.orders)
	w.rmu.Unlock()
	o := w.call(k, order, "")
	for i := 0; i < 3 && !k.Repeatable && (o.Status >= 300 || o.Err != ""); i++ {
		time.Sleep(w.pause("again", 10, 1500))
		if o = w.call(k, order, ""); o.Code == httpapi.AlreadyRun {
			return
		}
	}
}

// call sends one call once. One that names its client hammers, and is not proper.
func (w *World) call(k stand.CallKind, order, client string) (o stand.Outcome) {
	var ready []*Node
	for _, n := range w.Of("gateway") {
		if n.looked.Load() {
			ready = append(ready, n)
		}
	}
	o = stand.Outcome{Order: order, Path: k.Path, Service: k.Service, Repeatable: k.Repeatable, Valid: !k.MayBeUnbound && client == "", Sent: time.Now()}
	defer func() { o.Done = time.Now(); w.Rec.RecordOutcome(o) }()
	if len(ready) == 0 {
		o.Err = stand.NoNode
		return o
	}
	n := ready[w.Draw("calls", len(ready))]
	o.Gateway = n.ID
	f, up := n.Gateway(), n.Host.up()
	if f == nil || up == nil {
		o.Err = "connection refused"
		return o
	}
	key := ""
	if !k.Repeatable {
		key = "key-" + order
	}
	ch := make(chan *passage.Trip, 1)
	go func() {
		time.Sleep(w.Net.delay("op", n.ID))
		n.awake()
		if up.Err() != nil {
			return
		}
		t := f.Passage.Enter(up, client, key, &passage.Request{Method: k.Method, URI: k.Path, Host: "x", Header: [][2]string{{stand.OrderField, order}}})
		n.awake()
		if up.Err() == nil {
			ch <- t
		}
	}()
	var t *passage.Trip
	select {
	case t = <-ch:
	case <-up.Done():
		o.Err = "connection reset"
		return o
	case <-time.After(15 * time.Second):
		o.Err = "Timeout"
		return o
	}
	if t.Out != nil {
		o.Call = t.Call
		o.Status, o.Code, o.Reason, o.Forwarded = t.Out.Status, t.Out.Code, t.Out.Why, t.Out.Sent
		if t.Out.Retry > 0 {
			o.RetryAfter = t.Out.RetryAfter()
		}
		return o
	}
	o.Status, o.Stamp = t.Answer.Status, t.Answer.Stamp
	o.BodyOrder, o.BodyComplete, o.Digest = string(t.Answer.Body), t.Answer.Whole, stand.Digest(t.Answer.Body)
	if len(o.BodyOrder) > 0 && o.BodyOrder[len(o.BodyOrder)-1] == '.' {
		o.BodyOrder = o.BodyOrder[:len(o.BodyOrder)-1]
	} else {
		o.BodyComplete = false
	}
	return o
}

// timeline tells, for each second, what callers got.
func (w *World) timeline() {
	by := map[int64]map[string]int{}
	for _, o := range w.Rec.Outcomes {
		k := "ok"
		if o.Err != "" || o.Status >= 300 {
			k = o.Err + o.Code + " " + o.Reason
		}
		n := o.Sent.Unix()
		if by[n] == nil {
			by[n] = map[string]int{}
		}
		by[n][k]++
	}
	for _, n := range slices.Sorted(maps.Keys(by)) {
		w.tell("calls sent in second %d: %v", n%60, by[n])
	}
}

// Platform asks every gateway once a second whether it is ready.
func (w *World) Platform(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range w.Of("gateway") {
			f := n.Gateway()
			n.looked.Store(f != nil && !n.Frozen() && f.Ready())
		}
		time.Sleep(time.Second)
	}
}

// Rush is a crowd: n calls within d, of whom nobody waits for another. Those who
// are refused come again at once and then every 100 ms, five times.
func (w *World) Rush(n int, d time.Duration) {
	for range n {
		k, at := kinds[w.Draw("rush", len(kinds))], w.pause("rush", 0, int(d.Milliseconds()))
		w.Go(func(ctx context.Context) {
			time.Sleep(at)
			w.rmu.Lock()
			w.orders++
			order := fmt.Sprintf("o%d", w.orders)
			w.rmu.Unlock()
			for range 5 {
				if o := w.call(k, order, ""); ctx.Err() != nil || o.Err == "" && o.Status < 500 {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// Hammer is a client that sends the same order and reads again and again, without a
// pause, whatever he is told, until ctx ends.
func (w *World) Hammer(ctx context.Context, client string) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				k := kinds[i%2]
				order := fmt.Sprintf("%s-%d", client, n/50)
				if k.Repeatable {
					order = fmt.Sprintf("%s-%d-%d", client, i, n)
				}
				w.call(k, order, client)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// Callers calls at rate a second until ctx ends, then waits for what is open.
func (w *World) Callers(ctx context.Context, rate float64) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		w.rmu.Lock()
		r := w.stream("callers")
		d := time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		k := kinds[r.IntN(len(kinds))]
		w.rmu.Unlock()
		time.Sleep(d)
		wg.Go(func() { w.Call(k) })
	}
	wg.Wait()
}

// till is a context that ends at t, or with the world.
func (w *World) till(t time.Time) context.Context {
	ctx, end := context.WithDeadline(w.ctx, t)
	context.AfterFunc(ctx, end)
	return ctx
}
