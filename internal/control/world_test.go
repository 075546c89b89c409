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

// bound is the time in which what is acknowledged must be known at every gateway.
const bound = 2 * time.Second

// controllerHost is a machine that runs a control node.
type controllerHost struct {
	*host
	w    *world
	id   string
	zone string
	inc  uint64

	mu   sync.Mutex
	node *Node
}

// gatewayHost is a machine that runs a subscriber. It notes whatever goes back within one
// life.
type gatewayHost struct {
	*host
	w    *world
	id   string
	zone string
	inc  uint64

	mu    sync.Mutex
	sub   *watch.Subscriber
	items map[item.Key]item.Item
	runs  map[string]target.Run
}

// world is a whole deployment on a virtual clock.
type world struct {
	t           *testing.T
	ctx         context.Context
	rnd         *rand.Rand
	net         *network
	controllers []*controllerHost
	gateways    []*gatewayHost
	tolerance   quorum.Tolerance
	regions     map[string]string // by zone; nil where the deployment has none
	first       bool

	mu    sync.Mutex
	seeds []string
	acked map[item.Key]item.Item
	wg    sync.WaitGroup
}

// shape says how many of everything a world has.
type shape struct {
	zones, disks, others, gateways int
	tolerance                      quorum.Tolerance
	// layout gives the zone of each disk and regions the region of each zone, where they are not
	// dealt out in turn.
	layout  []string
	regions map[string]string
}

var small = shape{zones: 3, disks: 3, others: 3, gateways: 6, tolerance: quorum.Tolerance{Machines: 1}}
var large = shape{zones: 4, disks: 5, others: 3, gateways: 8, tolerance: quorum.Tolerance{Machines: 2}}

// play runs f in a world in which a core is formed and every gateway is synced.
func play(t *testing.T, seed uint64, s shape, f func(w *world)) {
	playOn(t, seed, s, func(*world) {}, f)
}

// playOn plays as play does, on disks that prepare has written to.
func playOn(t *testing.T, seed uint64, s shape, prepare, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		w := &world{t: t, ctx: ctx, rnd: rand.New(rand.NewPCG(seed, 1)), tolerance: s.tolerance, regions: s.regions, first: true, acked: map[item.Key]item.Item{}}
		w.net = newNetwork(seed)
		defer func() {
			for _, m := range w.controllers {
				m.kill()
			}
			for _, x := range w.gateways {
				x.kill()
			}
			end()
			// What is still on its way gets there.
			time.Sleep(10 * time.Second)
		}()
		for i := range s.disks + s.others {
			zone := fmt.Sprintf("z%d", i%s.zones)
			if i < len(s.layout) {
				zone = s.layout[i]
			}
			m := w.addController(fmt.Sprintf("m%d", i), zone, i < s.disks)
			if i < 3 {
				w.seeds = append(w.seeds, m.addr)
			}
		}
		for i := range s.gateways {
			id := fmt.Sprintf("f%d", i)
			w.gateways = append(w.gateways, &gatewayHost{host: w.net.add(id, nil), w: w, id: id, zone: fmt.Sprintf("z%d", i%s.zones)})
		}
		prepare(w)
		for _, m := range w.controllers {
			m.boot()
			time.Sleep(time.Duration(w.chance(50)) * time.Millisecond)
		}
		for _, x := range w.gateways {
			x.boot()
		}
		w.first = false
		w.await("a first core", 6*time.Second, func() bool {
			return lo.EveryBy(w.gateways, func(x *gatewayHost) bool { return x.subscriber().Synced() })
		})
		f(w)
		w.wg.Wait()
	})
}

func (w *world) addController(id, zone string, disked bool) *controllerHost {
	var d *disk
	if disked {
		d = newDisk(rand.New(rand.NewPCG(w.rnd.Uint64(), 3)))
	}
	m := &controllerHost{host: w.net.add("in-"+id, d), w: w, id: id, zone: zone}
	w.controllers = append(w.controllers, m)
	return m
}

func (w *world) seedList() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.seeds)
}

func quietLog() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}

// up starts the process of a controller.
func (m *controllerHost) boot() {
	proc := m.Start(m.w.ctx, "")
	m.inc += 1 + uint64(m.w.chance(1000))
	p := Parts{Settings: Settings{ID: m.id, Zone: m.zone, Region: m.w.regions[m.zone], Zones: m.w.regions, Inner: m.addr, Seeds: m.w.seedList(), Tolerance: m.w.tolerance, First: m.w.first, BeatEvery: time.Second},
		Inc: m.inc, Fresh: fmt.Sprintf("%s-%d", m.id, m.inc), Line: simnet.Line{P: proc}, Clock: simnet.Clock{P: proc}, Log: quietLog(), OnBad: func(error) { proc.Kill() }}
	var h *simnet.Handle
	if m.disk != nil {
		h = &simnet.Handle{D: m.disk.Disk, P: proc, Calm: true}
		p.Disk, p.Notes = h, &journal{m.disk, proc.Context()}
	}
	n, err := New(p)
	if err != nil {
		m.w.t.Fatal(err)
	}
	if h != nil {
		h.Calm = false
	}
	m.mu.Lock()
	m.node = n
	m.mu.Unlock()
	m.start(proc, n.Desk, n.Run)
}

func (m *controllerHost) control() *Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// up starts the process of a gateway, which knows nothing of its life before.
func (x *gatewayHost) boot() {
	proc := x.Start(x.w.ctx, "")
	x.inc++
	s := &watch.Subscriber{Me: watch.Member{ID: x.id, Kind: watch.Gateway, Zone: x.zone, Inc: x.inc}, Line: simnet.Line{P: proc}, Clock: simnet.Clock{P: proc}, Log: quietLog()}
	items, runs := map[item.Key]item.Item{}, map[string]target.Run{}
	s.OnUpdate = func(t watch.WatchTold) {
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, i := range t.Items {
			if old, ok := items[i.Key]; ok && i.Compare(old) <= 0 {
				x.w.t.Errorf("%s: item %v went from %d to %d", x.id, i.Key, old.Version, i.Version)
			}
			items[i.Key] = i
		}
		for _, r := range t.Runs {
			if r.State < runs[r.ID].State {
				x.w.t.Errorf("%s: run %s went from state %d to %d", x.id, r.ID, runs[r.ID].State, r.State)
			}
			runs[r.ID] = r
		}
	}
	s.Init(x.w.seedList())
	x.mu.Lock()
	x.sub, x.items, x.runs = s, items, runs
	x.mu.Unlock()
	x.start(proc, newDesk(), s.Run)
}

func (x *gatewayHost) subscriber() *watch.Subscriber {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sub
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

func (w *world) await(what string, limit time.Duration, f func() bool) {
	w.t.Helper()
	for at := time.Now(); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Since(at) > limit {
			w.t.Fatalf("no %s within %v", what, limit)
		}
	}
}

// alive are the controllers whose process runs.
func (w *world) alive() []*controllerHost {
	return lo.Filter(w.controllers, func(m *controllerHost, _ int) bool { return m.up() != nil })
}

// disked are those of ms that have a disk.
func disked(ms []*controllerHost) []*controllerHost {
	return lo.Filter(ms, func(m *controllerHost, _ int) bool { return m.disk != nil })
}

// chance draws from the seed; targets draw side by side.
func (w *world) chance(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

func pick[T any](w *world, of []T) T { return of[w.chance(len(of))] }

// mixed is a copy of a list in an order by chance.
func mixed[T any](w *world, of []T) []T {
	out := slices.Clone(of)
	for i := len(out) - 1; i > 0; i-- {
		j := w.chance(i + 1)
		out[i], out[j] = out[j], out[i]
	}
	return out
}

// note keeps in mind what was acknowledged.
func (w *world) note(is []item.Item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range is {
		old, ok := w.acked[i.Key]
		if ok && i.Version == old.Version && content(i) != content(old) {
			w.t.Errorf("two contents of %v at version %d were acknowledged", i.Key, i.Version)
		}
		if !ok || i.Version > old.Version {
			w.acked[i.Key] = i
		}
	}
}

// sent is a change with the items that it holds.
func itemsOf(c Change) []item.Item {
	is, _ := c.items()
	return is
}

// order sends a change as an operator does: to some controller of those named, again until
// it is acknowledged. It tells how long that took.
func (w *world) order(c Change, to []*controllerHost) time.Duration {
	w.t.Helper()
	begun := time.Now()
	for try := 0; ; try++ {
		if time.Since(begun) > 20*time.Second {
			w.t.Fatalf("change not acknowledged: %+v", c)
		}
		m := to[try%len(to)]
		ps, err := w.apply(m, c)
		if len(ps) > 0 {
			w.t.Fatalf("valid change refused: %v", ps)
		}
		if err == nil {
			w.note(itemsOf(c))
			return time.Since(begun)
		}
		time.Sleep(50 * time.Millisecond << min(try, 3))
	}
}

// apply sends a change once, over the network as it were: a frozen or dead controller does
// not answer.
func (w *world) apply(m *controllerHost, c Change) ([]route.Problem, error) {
	run := m.up()
	if run == nil {
		return nil, errRefused
	}
	cx, end := context.WithTimeout(w.ctx, time.Second)
	defer end()
	type back struct {
		ps  []route.Problem
		err error
	}
	ch := make(chan back, 1)
	go func() {
		m.awake()
		ps, err := m.control().Apply(cx, c)
		m.awake()
		if run.Err() == nil {
			ch <- back{ps, err}
		}
	}()
	select {
	case b := <-ch:
		return b.ps, b.err
	case <-cx.Done():
		return nil, cx.Err()
	}
}

// known checks, once bound has passed, that what was acknowledged now is at gateways.
func (w *world) known(is []item.Item, gateways []*gatewayHost) {
	at := time.Now()
	w.wg.Go(func() {
		time.Sleep(bound)
		for _, x := range gateways {
			for _, i := range is {
				if got := x.item(i.Key); got.Version < i.Version {
					w.t.Errorf("%s has version %d of %v, %d acknowledged at %v (follows %s)", x.id, got.Version, i.Key, i.Version, at.Format("05.000"), x.subscriber().Following().ID)
				}
			}
		}
	})
}

func (w *world) drained(id string, s target.State, gateways []*gatewayHost) {
	at := time.Now()
	w.wg.Go(func() {
		time.Sleep(bound)
		for _, x := range gateways {
			if got := x.run(id); got.State < s {
				w.t.Errorf("%s has run %s in state %d, %d acknowledged at %v (follows %s)", x.id, id, got.State, s, at.Format("05.000"), x.subscriber().Following().ID)
			}
		}
	})
}

// readBack checks that everything acknowledged stands at some controller that answers.
func (w *world) readBack(to []*controllerHost) {
	w.t.Helper()
	var st State
	var err error
	w.await("answer to a read", 15*time.Second, func() bool {
		m := pick(w, to)
		cx, end := context.WithTimeout(w.ctx, time.Second)
		defer end()
		st, err = m.control().Current(cx)
		return err == nil
	})
	got := map[item.Key]item.Item{}
	for _, r := range st.Routes {
		got[r.Item().Key] = r.Item()
	}
	for _, s := range st.Services {
		got[s.Item().Key] = s.Item()
	}
	if st.Limits != nil {
		got[st.Limits.Item().Key] = st.Limits.Item()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, i := range w.acked {
		g, ok := got[k]
		switch {
		case i.Gone && ok && g.Version <= i.Version:
			w.t.Errorf("%v is back at version %d, dropped at %d", k, g.Version, i.Version)
		case !i.Gone && (!ok || g.Version < i.Version):
			w.t.Errorf("%v read back as version %d (%v), acknowledged %d", k, g.Version, ok, i.Version)
		case !i.Gone && g.Version == i.Version && string(g.Body) != string(i.Body):
			w.t.Errorf("%v read back with another content", k)
		}
	}
}

// service and routeTo are items of a test's configuration.
func service(name string, v uint64) route.Service {
	return route.Service{Name: name, Version: v, Health: "/health", Source: fmt.Appendf(nil, `{"name":%q,"v":%d}`, name, v)}
}

func routeTo(name string, v uint64, to string) route.Route {
	return route.Route{Name: name, Version: v, Host: "h.example", Prefix: "/" + name + "/", Repeat: route.Idempotent, Shares: []route.Share{{Service: to, Weight: 1}},
		Source: fmt.Appendf(nil, `{"name":%q,"v":%d}`, name, v)}
}

// base is the first configuration.
func base(n int) Change {
	c := Change{Services: []route.Service{service("a", 1), service("b", 1)}, Limits: &route.Limits{Version: 1, BodyBytes: 1 << 20}}
	for i := range n {
		c.Routes = append(c.Routes, routeTo(fmt.Sprintf("r%d", i), 1, "a"))
	}
	return c
}

func newDesk() *link.Desk { return link.NewDesk() }
