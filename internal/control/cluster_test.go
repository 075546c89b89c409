package control

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/route"
	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

var seeds = flag.Int("control.seeds", defaultSeeds, "how many seeds the random runs of this package take")

// propagationLimit is the time within which every gateway must know what was acknowledged.
const propagationLimit = 2 * time.Second

// controllerHost is a machine that runs a control-plane node.
type controllerHost struct {
	*host
	cluster *cluster
	id      string
	zone    string
	inc     uint64

	mu   sync.Mutex
	node *Node
}

// gatewayHost is a machine that runs a subscriber. It fails the test when an item or run
// regresses while one process runs.
type gatewayHost struct {
	*host
	cluster *cluster
	id      string
	zone    string
	inc     uint64

	mu           sync.Mutex
	subscription *watch.Subscriber
	items        map[item.Key]item.Item
	runs         map[string]target.Run
}

// cluster is a complete deployment on a virtual clock.
type cluster struct {
	t            *testing.T
	ctx          context.Context
	rnd          *rand.Rand
	net          *network
	controllers  []*controllerHost
	gateways     []*gatewayHost
	tolerance    quorum.Tolerance
	regions      map[string]string // by zone; nil if the deployment has none
	initialStart bool

	mu           sync.Mutex
	seeds        []string
	acknowledged map[item.Key]item.Item
	wg           sync.WaitGroup
}

// clusterShape is the size and layout of a cluster.
type clusterShape struct {
	zones, disks, others, gateways int
	tolerance                      quorum.Tolerance
	// layout gives the zone of each disk, and regions the region of each zone. Without them,
	// zones are assigned round-robin.
	layout  []string
	regions map[string]string
}

var smallCluster = clusterShape{zones: 3, disks: 3, others: 3, gateways: 6, tolerance: quorum.Tolerance{Machines: 1}}
var largeCluster = clusterShape{zones: 4, disks: 5, others: 3, gateways: 8, tolerance: quorum.Tolerance{Machines: 2}}

// runCluster runs f in a cluster that has formed a core and synced every gateway.
func runCluster(t *testing.T, seed uint64, s clusterShape, f func(cl *cluster)) {
	runClusterOn(t, seed, s, func(*cluster) {}, f)
}

// runClusterOn is runCluster on disks that prepare has written to.
func runClusterOn(t *testing.T, seed uint64, s clusterShape, prepare, f func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cl := &cluster{t: t, ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 1)), tolerance: s.tolerance, regions: s.regions, initialStart: true, acknowledged: map[item.Key]item.Item{}}
		cl.net = newNetwork(seed)
		defer func() {
			for _, m := range cl.controllers {
				m.kill()
			}
			for _, x := range cl.gateways {
				x.kill()
			}
			cancel()
			// Deliver the messages that are still in flight.
			time.Sleep(10 * time.Second)
		}()
		for i := range s.disks + s.others {
			zone := fmt.Sprintf("z%d", i%s.zones)
			if i < len(s.layout) {
				zone = s.layout[i]
			}
			m := cl.addController(fmt.Sprintf("m%d", i), zone, i < s.disks)
			if i < 3 {
				cl.seeds = append(cl.seeds, m.addr)
			}
		}
		for i := range s.gateways {
			id := fmt.Sprintf("f%d", i)
			cl.gateways = append(cl.gateways, &gatewayHost{host: cl.net.addHost(id, nil), cluster: cl, id: id, zone: fmt.Sprintf("z%d", i%s.zones)})
		}
		prepare(cl)
		for _, m := range cl.controllers {
			m.boot()
			time.Sleep(time.Duration(cl.randN(50)) * time.Millisecond)
		}
		for _, x := range cl.gateways {
			x.boot()
		}
		cl.initialStart = false
		cl.await("a first core", 6*time.Second, func() bool {
			return lo.EveryBy(cl.gateways, func(x *gatewayHost) bool { return x.subscriber().Synced() })
		})
		f(cl)
		cl.wg.Wait()
	})
}

func (cl *cluster) addController(id, zone string, disked bool) *controllerHost {
	var d *disk
	if disked {
		d = newDisk(rand.New(rand.NewPCG(cl.rnd.Uint64(), 3)))
	}
	m := &controllerHost{host: cl.net.addHost("in-"+id, d), cluster: cl, id: id, zone: zone}
	cl.controllers = append(cl.controllers, m)
	return m
}

func (cl *cluster) seedList() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.seeds)
}

func discardLog() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}

// boot starts the process of a controller.
func (m *controllerHost) boot() {
	proc := m.Start(m.cluster.ctx, "")
	m.inc += 1 + uint64(m.cluster.randN(1000))
	cfg := Config{Settings: Settings{ID: m.id, Zone: m.zone, Region: m.cluster.regions[m.zone], Zones: m.cluster.regions, InternalAddr: m.addr, Seeds: m.cluster.seedList(), Tolerance: m.cluster.tolerance, InitialStart: m.cluster.initialStart, HeartbeatInterval: time.Second},
		Incarnation: m.inc, NewDiskID: fmt.Sprintf("%s-%d", m.id, m.inc), Transport: simnet.LinkClient{Proc: proc}, Clock: simnet.Clock{Proc: proc}, Log: discardLog(), OnDiskFailure: func(error) { proc.Kill() }}
	var h *simnet.Handle
	if m.disk != nil {
		h = &simnet.Handle{Disk: m.disk.Disk, Proc: proc, SkipDelay: true}
		cfg.Disk, cfg.RunJournal = h, &diskJournal{m.disk, proc.Context()}
	}
	n, err := New(cfg)
	if err != nil {
		m.cluster.t.Fatal(err)
	}
	if h != nil {
		h.SkipDelay = false
	}
	m.mu.Lock()
	m.node = n
	m.mu.Unlock()
	m.start(proc, n.Mux, n.Run)
}

func (m *controllerHost) control() *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// boot starts the process of a gateway, which keeps no state from its previous process.
func (x *gatewayHost) boot() {
	proc := x.Start(x.cluster.ctx, "")
	x.inc++
	s := &watch.Subscriber{Me: watch.Member{ID: x.id, Kind: watch.Gateway, Zone: x.zone, Inc: x.inc}, Transport: simnet.LinkClient{Proc: proc}, Clock: simnet.Clock{Proc: proc}, Log: discardLog()}
	items, runs := map[item.Key]item.Item{}, map[string]target.Run{}
	s.OnUpdate = func(t watch.WatchTold) {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, i := range t.Items {
			if old, ok := items[i.Key]; ok && i.Compare(old) <= 0 {
				x.cluster.t.Errorf("%s: item %v went from %d to %d", x.id, i.Key, old.Version, i.Version)
			}
			items[i.Key] = i
		}
		for _, r := range t.Runs {
			if r.State < runs[r.ID].State {
				x.cluster.t.Errorf("%s: run %s went from state %d to %d", x.id, r.ID, runs[r.ID].State, r.State)
			}
			runs[r.ID] = r
		}
	}
	s.Init(x.cluster.seedList())
	x.mu.Lock()
	x.subscription, x.items, x.runs = s, items, runs
	x.mu.Unlock()
	x.start(proc, newMux(), s.Run)
}

func (x *gatewayHost) subscriber() *watch.Subscriber {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.subscription
}

func (x *gatewayHost) item(k item.Key) item.Item {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.items[k]
}

func (x *gatewayHost) run(id string) target.Run {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.runs[id]
}

func (cl *cluster) await(what string, limit time.Duration, f func() bool) {
	cl.t.Helper()
	for at := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(at) > limit {
			cl.t.Fatalf("no %s within %v", what, limit)
		}
	}
}

// alive returns the controllers whose process is running.
func (cl *cluster) alive() []*controllerHost {
	return lo.Filter(cl.controllers, func(m *controllerHost, _ int) bool { return m.processContext() != nil })
}

// withDisk returns the hosts that have a disk.
func withDisk(ms []*controllerHost) []*controllerHost {
	return lo.Filter(ms, func(m *controllerHost, _ int) bool { return m.disk != nil })
}

// randN draws from the seeded generator; it is safe for concurrent use.
func (cl *cluster) randN(n int) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rnd.IntN(n)
}

func pick[T any](cl *cluster, of []T) T { return of[cl.randN(len(of))] }

// shuffled returns a copy of a list in random order.
func shuffled[T any](cl *cluster, of []T) []T {
	out := slices.Clone(of)
	for i := len(out) - 1; i > 0; i-- {
		j := cl.randN(i + 1)
		out[i], out[j] = out[j], out[i]
	}
	return out
}

// recordAcknowledged records acknowledged items, and fails the test if two contents of one version were acknowledged.
func (cl *cluster) recordAcknowledged(is []item.Item) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, i := range is {
		old, ok := cl.acknowledged[i.Key]
		if ok && i.Version == old.Version && content(i) != content(old) {
			cl.t.Errorf("two contents of %v at version %d were acknowledged", i.Key, i.Version)
		}
		if !ok || i.Version > old.Version {
			cl.acknowledged[i.Key] = i
		}
	}
}

// itemsOf returns the items of a change.
func itemsOf(c Change) []item.Item {
	is, _ := c.items()
	return is
}

// mustApply sends a change as an operator does: to the given controllers in turn, until it is
// acknowledged. It returns how long that took.
func (cl *cluster) mustApply(c Change, to []*controllerHost) time.Duration {
	cl.t.Helper()
	start := time.Now()
	for try := 0; ; try++ {
		if time.Since(start) > 20*time.Second {
			cl.t.Fatalf("change not acknowledged: %+v", c)
		}
		m := to[try%len(to)]
		ps, err := cl.apply(m, c)
		if len(ps) > 0 {
			cl.t.Fatalf("valid change refused: %v", ps)
		}
		if err == nil {
			cl.recordAcknowledged(itemsOf(c))
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond << min(try, 3))
	}
}

// apply sends a change once, as if over the network: a frozen or dead controller does not
// answer.
func (cl *cluster) apply(m *controllerHost, c Change) ([]route.Problem, error) {
	run := m.processContext()
	if run == nil {
		return nil, errRefused
	}
	callCtx, cancel := context.WithTimeout(cl.ctx, time.Second)
	defer cancel()
	type result struct {
		ps  []route.Problem
		err error
	}
	ch := make(chan result, 1)
	go func() {
		m.waitWhileFrozen()
		ps, err := m.control().Apply(callCtx, c)
		m.waitWhileFrozen()
		if run.Err() == nil {
			ch <- result{ps, err}
		}
	}()
	select {
	case b := <-ch:
		return b.ps, b.err
	case <-callCtx.Done():
		return nil, callCtx.Err()
	}
}

// expectItems checks, after propagationLimit, that the gateways have items that were acknowledged now.
func (cl *cluster) expectItems(is []item.Item, gateways []*gatewayHost) {
	at := time.Now()
	cl.wg.Go(func() {
		time.Sleep(propagationLimit)
		for _, x := range gateways {
			for _, i := range is {
				if got := x.item(i.Key); got.Version < i.Version {
					cl.t.Errorf("%s has version %d of %v, %d acknowledged at %v (follows %s)", x.id, got.Version, i.Key, i.Version, at.Format("05.000"), x.subscriber().Following().ID)
				}
			}
		}
	})
}

func (cl *cluster) expectState(id string, s target.State, gateways []*gatewayHost) {
	at := time.Now()
	cl.wg.Go(func() {
		time.Sleep(propagationLimit)
		for _, x := range gateways {
			if got := x.run(id); got.State < s {
				cl.t.Errorf("%s has run %s in state %d, %d acknowledged at %v (follows %s)", x.id, id, got.State, s, at.Format("05.000"), x.subscriber().Following().ID)
			}
		}
	})
}

// expectAcknowledged reads the configuration from some controller that answers, and checks that it has everything acknowledged.
func (cl *cluster) expectAcknowledged(to []*controllerHost) {
	cl.t.Helper()
	var config Configuration
	var err error
	cl.await("answer to a read", 15*time.Second, func() bool {
		m := pick(cl, to)
		callCtx, cancel := context.WithTimeout(cl.ctx, time.Second)
		defer cancel()
		config, err = m.control().Current(callCtx)
		return err == nil
	})
	got := map[item.Key]item.Item{}
	for _, r := range config.Routes {
		got[r.Item().Key] = r.Item()
	}
	for _, s := range config.Services {
		got[s.Item().Key] = s.Item()
	}
	if config.Limits != nil {
		got[config.Limits.Item().Key] = config.Limits.Item()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for k, i := range cl.acknowledged {
		g, ok := got[k]
		switch {
		case i.Gone && ok && g.Version <= i.Version:
			cl.t.Errorf("%v is back at version %d, dropped at %d", k, g.Version, i.Version)
		case !i.Gone && (!ok || g.Version < i.Version):
			cl.t.Errorf("%v read back as version %d (%v), acknowledged %d", k, g.Version, ok, i.Version)
		case !i.Gone && g.Version == i.Version && string(g.Body) != string(i.Body):
			cl.t.Errorf("%v read back with another content", k)
		}
	}
}

// testService and routeTo build items of a test configuration.
func testService(name string, v uint64) route.Service {
	return route.Service{Name: name, Version: v, Health: "/health", Source: fmt.Appendf(nil, `{"name":%q,"v":%d}`, name, v)}
}

func routeTo(name string, v uint64, to string) route.Route {
	return route.Route{Name: name, Version: v, Host: "h.example", Prefix: "/" + name + "/", Repeat: route.Idempotent, Shares: []route.Share{{Service: to, Weight: 1}},
		Source: fmt.Appendf(nil, `{"name":%q,"v":%d}`, name, v)}
}

// baseChange is the initial configuration, with n routes.
func baseChange(n int) Change {
	c := Change{Services: []route.Service{testService("a", 1), testService("b", 1)}, Limits: &route.Limits{Version: 1, BodyBytes: 1 << 20}}
	for i := range n {
		c.Routes = append(c.Routes, routeTo(fmt.Sprintf("r%d", i), 1, "a"))
	}
	return c
}

func newMux() *link.Mux { return link.NewMux() }
