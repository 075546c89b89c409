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

// Shape is the size of a simulated deployment.
type Shape struct {
	Zones, Disks, Controllers, Gateways int
	Targets                             map[string]int
	// Spares is how many control machines stand by as replacements; the n-th may replace
	// the n-th controller.
	Spares int
	// Retention is how long controllers keep decisions; 0 means their default.
	Retention time.Duration
	Log       io.Writer
}

// Small is a deployment that CI can afford to simulate.
func Small() Shape {
	return Shape{Zones: 3, Disks: 3, Controllers: 4, Gateways: 4, Targets: map[string]int{"orders": 5, "records": 5}, Spares: 1}
}

// Tiny is the smallest deployment, for tests that need few nodes of each kind.
func Tiny() Shape {
	return Shape{Zones: 3, Disks: 3, Controllers: 3, Gateways: 3, Targets: map[string]int{"orders": 3, "records": 3}}
}

// Alcazar has the size of one of the two present deployments; Grachtwerk that of the other.
func Alcazar() Shape {
	return Shape{Zones: 3, Disks: 3, Controllers: 5, Gateways: 8, Targets: map[string]int{"orders": 14, "records": 16}, Spares: 1}
}

// Grachtwerk has a fourth disk as a standby.
func Grachtwerk() Shape {
	return Shape{Zones: 4, Disks: 4, Controllers: 6, Gateways: 8, Targets: map[string]int{"orders": 20, "records": 20}, Spares: 2}
}

// Node is a simulated controller or gateway.
type Node struct {
	*Host
	Kind   string
	Disk   *Disk
	Faults *fault.Set
	world  *World

	mu          sync.Mutex
	controller  *controller.Controller
	gateway     *gateway.Gateway
	cancel      context.CancelFunc
	done        chan struct{}
	incarnation uint64
	outage      stand.OutageTracker // guarded by mu
	// seenReady is whether the gateway was ready when the platform last polled it.
	seenReady atomic.Bool
	// excluded is set while the machine is not part of the deployment: not yet, or no longer.
	excluded atomic.Bool
	// swappedIn is set once a spare machine has become part of the deployment.
	swappedIn bool
}

// World is a simulated deployment on a virtual clock.
type World struct {
	Net        *Net
	Nodes      []*Node
	Targets    []*Target
	Records    *stand.Records
	Shape      Shape
	log        *log.Logger
	seed       uint64
	randMu     sync.Mutex
	rngs       map[string]*rand.Rand
	seedAddrs  []string
	orderCount int
	targetAt   map[string]*Target // the target that currently has the address
	// Logf, set before the start, logs the events of the simulation.
	Logf         func(format string, args ...any)
	lastDiskLoss time.Time
	duplicates   int // changes that a resend executed a second time
	tokens       int // how many change tokens were issued
	// restarting and replacing are set while a rolling restart of all nodes, or a rolling
	// replacement of a service's targets, is under way.
	restarting, replacing bool
	stop                  context.CancelFunc
	ctx                   context.Context
	wg                    sync.WaitGroup
}

// New builds a world from a seed.
func New(seed uint64, s Shape) *World {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	newRNG := func() *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) }
	w := &World{Net: newNet(seed), Records: stand.NewRecords(), Shape: s, seed: seed, rngs: map[string]*rand.Rand{}, targetAt: map[string]*Target{}}
	if s.Log == nil {
		s.Log = io.Discard
	}
	w.log = log.NewWithOptions(s.Log, log.Options{Formatter: log.JSONFormatter, Level: log.DebugLevel, ReportTimestamp: true, TimeFormat: "15:04:05.000"})
	w.ctx, w.stop = context.WithCancel(context.Background())
	for i := range s.Controllers + s.Gateways {
		n := &Node{world: w, Faults: &fault.Set{}, Host: &Host{net: w.Net, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1)}}
		if i < s.Controllers {
			n.ID, n.Kind, n.Zone = fmt.Sprintf("m%d", i+1), "controller", fmt.Sprintf("z%d", i%s.Zones+1)
			if i < s.Disks {
				n.Disk = newDisk(newRNG())
			}
		} else {
			k := i - s.Controllers
			n.ID, n.Kind, n.Zone = fmt.Sprintf("f%d", k+1), "gateway", fmt.Sprintf("z%d", k%s.Zones+1)
		}
		w.Net.hosts[n.Addr] = n.Host
		w.Nodes = append(w.Nodes, n)
		if i < 3 {
			w.seedAddrs = append(w.seedAddrs, n.Addr)
		}
	}
	for i := range s.Spares {
		old := w.Nodes[i]
		n := &Node{world: w, Kind: "controller", Faults: &fault.Set{}, Disk: newDisk(newRNG()),
			Host: &Host{net: w.Net, ID: old.ID + "b", Zone: old.Zone, Addr: fmt.Sprintf("10.0.2.%d:7000", i+1)}}
		n.excluded.Store(true)
		w.Net.hosts[n.Addr] = n.Host
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.outage = stand.OutageTracker{Rec: w.Records, Node: n.ID}
	}
	i := 0
	for _, svc := range []string{"orders", "records"} {
		for k := range s.Targets[svc] {
			i++
			t := &Target{world: w, ID: fmt.Sprintf("%s-%d", svc, k+1), Service: svc, Zone: fmt.Sprintf("z%d", k%s.Zones+1), Addr: fmt.Sprintf("10.0.1.%d:80", i), rng: newRNG()}
			w.Targets = append(w.Targets, t)
		}
	}
	return w
}

// rng returns the random generator of one purpose. With a generator per purpose, draws of one
// part of the simulation don't shift those of another, so that a seed reproduces its failures.
func (w *World) rng(name string) *rand.Rand {
	r := w.rngs[name]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name))
		r = rand.New(rand.NewPCG(w.seed, h.Sum64()))
		w.rngs[name] = r
	}
	return r
}

// RandN draws a number below n for a purpose.
func (w *World) RandN(name string, n int) int {
	w.randMu.Lock()
	defer w.randMu.Unlock()
	return w.rng(name).IntN(n)
}

// FailureRandN draws a number below n for the failures.
func (w *World) FailureRandN(n int) int { return w.RandN("chaos", n) }

// ActiveNodes returns the nodes that are part of the deployment.
func (w *World) ActiveNodes() []*Node {
	return lo.Filter(w.Nodes, func(n *Node, _ int) bool { return !n.excluded.Load() })
}

// NodesOfKind returns the active nodes of a kind.
func (w *World) NodesOfKind(kind string) []*Node {
	return lo.Filter(w.ActiveNodes(), func(n *Node, _ int) bool { return n.Kind == kind })
}

// NodesWithDisk returns the active nodes that have a disk.
func (w *World) NodesWithDisk() []*Node {
	return lo.Filter(w.ActiveNodes(), func(n *Node, _ int) bool { return n.Disk != nil })
}

// Node returns the node with an ID, nil if there is none.
func (w *World) Node(id string) *Node {
	n, _ := lo.Find(w.Nodes, func(n *Node) bool { return n.ID == id })
	return n
}

// Go runs f in a goroutine that End waits for; its context ends with the world.
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

// End stops all nodes and targets and waits for their goroutines.
func (w *World) End() {
	w.stop()
	w.Net.Restore("")
	defer time.Sleep(10 * time.Second) // lets every remaining timer expire
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

// Start starts the node's process, unless it is running.
func (n *Node) Start() {
	// The lock is released while waiting: the clock of a synctest bubble stands still as
	// long as any goroutine waits for a lock.
	n.mu.Lock()
	for n.cancel == nil && n.done != nil {
		d := n.done
		n.mu.Unlock()
		<-d
		n.mu.Lock()
		if n.done == d {
			n.done = nil
		}
	}
	defer n.mu.Unlock()
	if n.cancel != nil || n.world.ctx.Err() != nil || n.excluded.Load() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.incarnation++
	transport := &linkClient{host: n.Host, procCtx: ctx}
	s := startup.Node{ID: n.ID, Zone: n.Zone, Inner: n.Addr, Door: n.Addr + "d", Seeds: n.world.seedAddrs}
	logger := n.world.log.With("node", n.ID)
	var run func(context.Context)
	if n.Kind == "controller" {
		cfg := controller.Config{Startup: startup.Controller{Node: s, Core: min(3, n.world.Shape.Disks)}, Incarnation: n.incarnation, NewDiskID: fmt.Sprintf("%s-%d", n.ID, n.incarnation),
			Retention: n.world.Shape.Retention, Transport: transport, Clock: hostClock{n.Host}, Log: logger, Faults: n.Faults, WallMS: func() int64 { return time.Now().UnixMilli() },
			OnDiskFailure: func(error) {
				if ctx.Err() != nil {
					return // the process was killed, and its disk handle with it
				}
				// The process ends, and its supervisor restarts it.
				go n.Kill()
				n.world.after(time.Second, n.Start)
			}}
		d := &diskHandle{disk: n.Disk, host: n.Host, client: transport, skipDelay: true}
		if n.Disk != nil {
			cfg.Disk = d
		}
		ctl, err := controller.New(cfg)
		if err != nil {
			panic(err)
		}
		d.skipDelay = false
		n.controller, run = ctl, ctl.Run
		n.Host.mu.Lock()
		n.handler = ctl.Mux
		n.Host.mu.Unlock()
	} else {
		gw := gateway.New(gateway.Config{Startup: startup.Gateway{Node: s}, Incarnation: n.incarnation, Transport: transport, Clock: hostClock{n.Host}, Log: logger, Faults: n.Faults,
			TargetClient: &targetTransport{world: n.world, host: n.Host, procCtx: ctx}})
		n.gateway, run = gw, gw.Run
		n.Host.mu.Lock()
		n.handler = gw.Mux
		n.Host.mu.Unlock()
	}
	done := make(chan struct{})
	n.cancel, n.done = cancel, done
	n.outage.End()
	n.Host.mu.Lock()
	n.procCtx = ctx
	n.Host.mu.Unlock()
	go func() {
		run(ctx)
		close(done)
	}()
}

// Kill ends the process without notice; what it had not synced is lost.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cancel != nil {
		n.outage.Begin("killed")
	}
	n.stopLocked()
}

// stopLocked ends the process. n.mu must be held.
func (n *Node) stopLocked() {
	if n.cancel != nil {
		n.cancel()
		n.cancel = nil
	}
	n.Host.Thaw()
}

// Freeze suspends the node.
func (n *Node) Freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outage.Begin("frozen")
	n.Host.Freeze()
}

// Thaw resumes the node.
func (n *Node) Thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Host.Thaw()
	if n.cancel != nil {
		n.outage.End()
	}
}

// drainLinger and stopTimeout are the periods of a planned stop, as in production.
const (
	drainLinger = shell.AcceptAfterStop
	stopTimeout = shell.StopDeadline
)

// GracefulStop performs a planned stop; the platform kills the process 6 s after the stop
// signal. The checker looks for requests that the stop cut off.
func (n *Node) GracefulStop() {
	gw, ctl, procCtx := n.Gateway(), n.Controller(), n.Host.runningProc()
	if procCtx == nil || n.Frozen() {
		return
	}
	from, freezesBefore := time.Now(), n.freezeCount()
	switch {
	case gw != nil:
		gw.Stop()
		time.Sleep(drainLinger)
		for gw.Proxy.InFlight() > 0 && time.Since(from) < stopTimeout-200*time.Millisecond {
			time.Sleep(10 * time.Millisecond)
		}
		callCtx, cancel := context.WithTimeout(procCtx, 300*time.Millisecond)
		gw.Deregister(callCtx)
		cancel()
	case ctl != nil:
		ctl.Stop()
		time.Sleep(drainLinger / 2)
		callCtx, cancel := context.WithTimeout(procCtx, 150*time.Millisecond)
		ctl.Membership.Release(callCtx)
		cancel()
	}
	n.waitThawed()
	// Another failure may have hit the node meanwhile.
	if procCtx.Err() == nil && n.freezeCount() == freezesBefore && gw != nil {
		n.world.Records.RecordStop(stand.Stop{Gateway: n.ID, From: from, End: time.Now()})
	}
	if procCtx.Err() == nil {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.stopLocked()
	}
}

// Running reports whether the process runs.
func (n *Node) Running() bool { return n.Host.runningProc() != nil }

// Controller returns the running controller, nil when none runs.
func (n *Node) Controller() *controller.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cancel == nil {
		return nil
	}
	return n.controller
}

// Gateway returns the running gateway, nil when none runs.
func (n *Node) Gateway() *gateway.Gateway {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cancel == nil {
		return nil
	}
	return n.gateway
}

// Frozen reports whether the host is frozen.
func (n *Node) Frozen() bool {
	n.Host.mu.Lock()
	defer n.Host.mu.Unlock()
	return n.thawed != nil
}

// SendChange sends a change to a controller, as an operator would over HTTP; ok is false when
// no answer came.
func (w *World) SendChange(ctx context.Context, n *Node, o commands.Order) (commands.Result, bool) {
	return callController(ctx, n, func(callCtx context.Context, m *controller.Controller) commands.Result {
		return m.Changer.Apply(callCtx, o)
	})
}

// submitUntilFinal sends a change to random controllers until it has a final result, and records it.
func (w *World) submitUntilFinal(ctx context.Context, who string, a stand.ChangeRequest, base *uint64) (commands.Result, bool) {
	w.randMu.Lock()
	w.tokens++
	a.Token, a.SubmittedAt = fmt.Sprintf("%s-%d", who, w.tokens), time.Now()
	w.randMu.Unlock()
	send := func() (commands.Result, bool) {
		controllers := w.NodesOfKind("controller")
		n := controllers[w.RandN(who, len(controllers))]
		if a.RollbackTo == 0 {
			return w.SendChange(ctx, n, commands.Order{Token: a.Token, Base: base, Edits: a.Edits})
		}
		return callController(ctx, n, func(callCtx context.Context, m *controller.Controller) commands.Result {
			x, err := m.Statements.Execute(callCtx, fmt.Sprintf("roll back to %d token %s", a.RollbackTo, a.Token))
			if err != nil {
				return commands.Result{Outcome: commands.NoMajority, Reason: err.Error()}
			}
			return x.Data.(commands.Result)
		})
	}
	r, ok := w.Records.SubmitUntilFinal(ctx, a, send, func() { time.Sleep(w.randomDelay(who, 20, 200)) })
	if ok && r.Outcome == commands.InForce {
		w.logf("version %d in force: %s", r.Version, a.Token)
		if w.RandN(who, 4) == 0 {
			// Simulates a lost acknowledgement: the same change is sent once more.
			if x, ok := send(); ok && x.Outcome == commands.InForce && !x.Duplicate {
				w.logf("change %s was executed twice", a.Token)
				w.duplicates++
			}
		}
	}
	return r, ok
}

// callController runs an operator's request at a controller; ok is false when no answer came.
func callController[R any](ctx context.Context, n *Node, do func(context.Context, *controller.Controller) R) (r R, ok bool) {
	w := n.world
	ctl, procCtx := n.Controller(), n.Host.runningProc()
	if ctl == nil || procCtx == nil {
		return r, false
	}
	callCtx, cancel := context.WithTimeout(procCtx, 10*time.Second)
	defer cancel()
	ch := make(chan R, 1)
	go func() {
		time.Sleep(w.Net.delay("op", n.ID))
		n.waitThawed()
		r := do(callCtx, ctl)
		n.waitThawed()
		if procCtx.Err() == nil {
			ch <- r
		}
	}()
	select {
	case r = <-ch:
		return r, true
	case <-ctx.Done():
	case <-callCtx.Done():
	}
	return r, false
}

// callKinds are the kinds of calls that clients make.
var callKinds = []stand.CallKind{
	{Method: "POST", Path: "/orders", Service: "orders"},
	{Method: "GET", Path: "/status", Service: "orders", Repeatable: true},
	{Method: "GET", Path: "/glossary", Service: "records", Repeatable: true},
	{Method: "GET", Path: "/draft", Service: "records", Repeatable: true},
	{Method: "GET", Path: "/notice", Service: "records", Repeatable: true, MayBeUnbound: true},
}

// Sheet returns the first route sheet.
func Sheet() spec.Sheet {
	s := spec.Sheet{Services: []spec.Service{{Name: "orders"}, {Name: "records"}}}
	for _, k := range callKinds {
		s.Bindings = append(s.Bindings, bindingFor(k, k.Service))
	}
	return s.Sorted()
}

func bindingFor(k stand.CallKind, service string) spec.Binding {
	return spec.Binding{Name: k.Path[1:], Service: service, Methods: []string{k.Method}, Path: k.Path, ExpiryMS: 3000, Repeatable: k.Repeatable}
}

// WaitReady puts the first sheet in force and waits until every gateway is ready.
func (w *World) WaitReady(within time.Duration) error {
	ctx, cancel := context.WithTimeout(w.ctx, within)
	defer cancel()
	s := Sheet()
	if r, ok := w.submitUntilFinal(ctx, "form", stand.ChangeRequest{Edits: []spec.Edit{{Op: spec.Replace, Sheet: &s}}}, nil); !ok {
		return fmt.Errorf("the first sheet did not come into force: %+v", r)
	}
	for !lo.EveryBy(w.NodesOfKind("gateway"), func(n *Node) bool { f := n.Gateway(); return f != nil && f.Ready() }) {
		if ctx.Err() != nil {
			return fmt.Errorf("gateways not ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// Call makes one call at a random gateway among those that the platform saw ready, and records
// the outcome. An order carries an idempotency key and is retried under it, through any
// gateway, while its caller does not know that it was executed.
func (w *World) Call(k stand.CallKind) {
	w.randMu.Lock()
	w.orderCount++
	order := fmt.Sprintf("o%d", w.orderCount)
	w.randMu.Unlock()
	o := w.call(k, order, "")
	for i := 0; i < 3 && !k.Repeatable && (o.Status >= 300 || o.Err != ""); i++ {
		time.Sleep(w.randomDelay("again", 10, 1500))
		if o = w.call(k, order, ""); o.Code == httpapi.AlreadyRun {
			return
		}
	}
}

// call makes one call, without retries. A call with a client name belongs to an abusive client
// and does not count as valid.
func (w *World) call(k stand.CallKind, order, client string) (o stand.Outcome) {
	var ready []*Node
	for _, n := range w.NodesOfKind("gateway") {
		if n.seenReady.Load() {
			ready = append(ready, n)
		}
	}
	o = stand.Outcome{Order: order, Path: k.Path, Service: k.Service, Repeatable: k.Repeatable, Valid: !k.MayBeUnbound && client == "", Sent: time.Now()}
	defer func() { o.Done = time.Now(); w.Records.RecordOutcome(o) }()
	if len(ready) == 0 {
		o.Err = stand.NoNode
		return o
	}
	n := ready[w.RandN("calls", len(ready))]
	o.Gateway = n.ID
	gw, procCtx := n.Gateway(), n.Host.runningProc()
	if gw == nil || procCtx == nil {
		o.Err = "connection refused"
		return o
	}
	key := ""
	if !k.Repeatable {
		key = "key-" + order
	}
	ch := make(chan *passage.Call, 1)
	go func() {
		time.Sleep(w.Net.delay("op", n.ID))
		n.waitThawed()
		if procCtx.Err() != nil {
			return
		}
		result := gw.Proxy.Handle(procCtx, client, key, &passage.Request{Method: k.Method, URI: k.Path, Host: "x", Header: [][2]string{{stand.OrderHeader, order}}})
		n.waitThawed()
		if procCtx.Err() == nil {
			ch <- result
		}
	}()
	var result *passage.Call
	select {
	case result = <-ch:
	case <-procCtx.Done():
		o.Err = "connection reset"
		return o
	case <-time.After(15 * time.Second):
		o.Err = "Timeout"
		return o
	}
	if result.ErrorResponse != nil {
		o.Call = result.ID
		o.Status, o.Code, o.Reason, o.Forwarded = result.ErrorResponse.Status, result.ErrorResponse.Code, result.ErrorResponse.Reason, result.ErrorResponse.Sent
		if result.ErrorResponse.RetryDelay > 0 {
			o.RetryAfter = result.ErrorResponse.RetryAfter()
		}
		return o
	}
	o.Status, o.Stamp = result.Response.Status, result.Response.Stamp
	o.BodyOrder, o.BodyComplete, o.Digest = string(result.Response.Body), result.Response.Complete, stand.Digest(result.Response.Body)
	if len(o.BodyOrder) > 0 && o.BodyOrder[len(o.BodyOrder)-1] == '.' {
		o.BodyOrder = o.BodyOrder[:len(o.BodyOrder)-1]
	} else {
		o.BodyComplete = false
	}
	return o
}

// logTimeline logs the results of the calls of each second.
func (w *World) logTimeline() {
	by := map[int64]map[string]int{}
	for _, o := range w.Records.Outcomes {
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
		w.logf("calls sent in second %d: %v", n%60, by[n])
	}
}

// PollReadiness is the platform's readiness check: it polls every gateway once a second.
func (w *World) PollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range w.NodesOfKind("gateway") {
			f := n.Gateway()
			n.seenReady.Store(f != nil && !n.Frozen() && f.Ready())
		}
		time.Sleep(time.Second)
	}
}

// Burst makes n calls within d, independent of each other. Calls that are refused are retried
// every 100 ms, up to five attempts in all.
func (w *World) Burst(n int, d time.Duration) {
	for range n {
		k, at := callKinds[w.RandN("rush", len(callKinds))], w.randomDelay("rush", 0, int(d.Milliseconds()))
		w.Go(func(ctx context.Context) {
			time.Sleep(at)
			w.randMu.Lock()
			w.orderCount++
			order := fmt.Sprintf("o%d", w.orderCount)
			w.randMu.Unlock()
			for range 5 {
				if o := w.call(k, order, ""); ctx.Err() != nil || o.Err == "" && o.Status < 500 {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
}

// RunAbusiveClient sends the same order and reads over and over, 20 ms after each answer,
// whatever the answer is, until ctx ends.
func (w *World) RunAbusiveClient(ctx context.Context, client string) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				k := callKinds[i%2]
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

// RunCallers makes rate calls a second until ctx ends, then waits for the open ones.
func (w *World) RunCallers(ctx context.Context, rate float64) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		w.randMu.Lock()
		r := w.rng("callers")
		d := time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		k := callKinds[r.IntN(len(callKinds))]
		w.randMu.Unlock()
		time.Sleep(d)
		wg.Go(func() { w.Call(k) })
	}
	wg.Wait()
}

// contextUntil returns a context that ends at t, or with the world.
func (w *World) contextUntil(t time.Time) context.Context {
	ctx, cancel := context.WithDeadline(w.ctx, t)
	context.AfterFunc(ctx, cancel)
	return ctx
}
