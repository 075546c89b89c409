package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/budget"
	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/liveness"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
)

const (
	// maxServices bounds the services known, and maxRuns the runs, ended ones among
	// them, which are remembered for endedFor so that late news bring none back.
	maxServices = 4096
	maxRuns     = 16384
	endedFor    = 5 * time.Minute
	// farZone is the weight of the way to a zone of the own region, farRegion that to
	// any other.
	farZone   = 3
	farRegion = 9
	// unknownGateways is how many nodes share the targets until that is told.
	unknownGateways = 16
	// leastNews is an age that news may reach on a slow link without any trouble.
	leastNews = time.Second
	// pauseTick is how often the node looks whether it stood still itself.
	pauseTick = 500 * time.Millisecond
)

// Parts are what a node is put together from.
type Parts struct {
	Settings Settings
	Clock    clock.Clock
	Log      *log.Logger
	// Dial makes connections to targets; nil is TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Node is one proxy of the data plane.
type Node struct {
	set    Settings
	clock  clock.Clock
	log    *log.Logger
	mem    memory
	room   answerRoom
	stats  stats
	budget *budget.Budget
	call   func(ctx context.Context, addr string) (net.Conn, error)
	pauses *liveness.PauseMonitor
	rhythm rhythm
	in     bulk       // large bodies from targets
	out    bulk       // and to callers
	downs  *downloads // nil on a wide link

	view         atomic.Pointer[view]
	gateways     atomic.Int64
	gatewaysNear atomic.Int64
	synced       atomic.Bool
	asOf         atomic.Pointer[time.Time] // until when all changes are known
	newsWatch    newsWatch
	stopping     atomic.Bool
	leaving      atomic.Bool   // idle callers are closed
	ended        atomic.Bool   // the listener is closed on purpose
	lastCall     chan struct{} // closed near the end of a planned stop: nothing is sent any more
	warned       atomic.Int64
	maxCallers   int64
	// noStandIn and noFates leave an extension of the detector out, for measurement.
	noStandIn, noFates bool

	mu       sync.Mutex // news
	items    *item.Set
	services map[string]*service
	runs     map[string]*known

	cm      sync.Mutex // callers
	callers map[*caller]struct{}
	lns     []net.Listener
	wg      sync.WaitGroup
}

// view is what the request path reads of routes and services; a change makes a new one.
type view struct {
	table    *route.Table
	services []*service // by the table's index
	limits   route.Limits
}

// known is a run as news told it.
type known struct {
	run   target.Run
	svc   *service
	ended time.Time
}

// New makes a node; it is ready once it is synced and has routes.
func New(p Parts) *Node {
	s := p.Settings.filled()
	n := &Node{
		set: s, clock: p.Clock, log: p.Log, call: p.Dial,
		mem:        memory{most: int64(s.MemoryMB) << 20 / 5},
		room:       newAnswerRoom(s.MemoryMB),
		budget:     budget.New(s.BudgetRatio, s.BudgetWindow, s.BudgetSlack, p.Clock),
		pauses:     liveness.NewPauseMonitorEvery(p.Clock, pauseTick),
		maxCallers: int64(s.MaxFiles) * 5 / 8,
		items:      item.NewSet(), services: map[string]*service{}, runs: map[string]*known{},
		callers: map[*caller]struct{}{}, lastCall: make(chan struct{}),
	}
	if n.log == nil {
		n.log = log.New(io.Discard)
	}
	n.in, n.out = newBulk(n, s.LinkMbps), newBulk(n, s.LinkMbps)
	n.downs = newDownloads(n.clock, s.LinkMbps, s.stopTime())
	n.rhythm.base, n.rhythm.free = s.ProbeEvery, s.FreeProbes
	n.rhythm.every.Store(int64(s.ProbeEvery))
	n.gateways.Store(unknownGateways)
	n.view.Store(&view{})
	return n
}

// far weighs the way to a zone.
func (n *Node) far(zone string) float64 {
	switch own := n.set.Zones[n.set.Zone]; {
	case zone == n.set.Zone:
		return 1
	case own != "" && n.set.Zones[zone] == own:
		return farZone
	}
	return farRegion
}

// service finds or makes a service, under mu; nil is one too many.
func (n *Node) service(name string) *service {
	s := n.services[name]
	if s == nil && len(n.services) < maxServices {
		s = newService(n, name)
		n.services[name] = s
	}
	return s
}

// TakeItems takes in news of routes, services and limits: of each item the highest
// version stands, whatever the order in which they come.
func (n *Node) TakeItems(items []item.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var fresh []item.Item
	for _, i := range items {
		if n.items.Merge(i) {
			fresh = append(fresh, i)
		}
	}
	if len(fresh) == 0 {
		return
	}
	n.takeUpgrades(fresh)
	t := n.view.Load().table.With(fresh...)
	known := t.Services()
	v := &view{table: t, limits: t.Limits(), services: make([]*service, len(known))}
	for i, k := range known {
		if s := n.service(k.Name); s != nil {
			s.define(k.Service)
			v.services[i] = s
		}
	}
	n.view.Store(v)
}

// TakeRuns takes in news of targets. A run's state, its beat and the beat after which
// it was silent only rise; one that ended does not come back.
func (n *Node) TakeRuns(runs []target.Run) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := map[*service][]target.Run{}
	for _, r := range runs {
		k := n.runs[r.ID]
		if k == nil {
			if len(n.runs) >= maxRuns {
				n.forget(now)
			}
			s := n.service(r.Service)
			if s == nil || len(n.runs) >= maxRuns {
				n.warn("a run is left out", "step", "news", "peer", r.ID, "runs", len(n.runs))
				continue
			}
			k = &known{run: r, svc: s}
			n.runs[r.ID] = k
		} else {
			merge(&k.run, r)
		}
		if k.run.State == target.Ended && k.ended.IsZero() {
			k.ended = now
		}
		changed[k.svc] = append(changed[k.svc], k.run)
	}
	for s, rs := range changed {
		s.set(rs, now)
	}
}

func merge(k *target.Run, r target.Run) {
	if r.Seq >= k.Seq && r.State >= k.State {
		k.Addr, k.Zone, k.Version, k.Slots, k.Cold = r.Addr, r.Zone, r.Version, r.Slots, r.Cold
	}
	k.State = max(k.State, r.State)
	k.Seq = max(k.Seq, r.Seq)
	k.Silent = max(k.Silent, r.Silent)
}

// forget drops runs that ended long ago, under mu.
func (n *Node) forget(now time.Time) {
	for id, k := range n.runs {
		if !k.ended.IsZero() && now.Sub(k.ended) > endedFor {
			delete(n.runs, id)
		}
	}
}

// SetGateways tells how many nodes such as this one there are, in all and in its zone. It
// is to be told again now and then, for the budget trusts an old number no longer.
func (n *Node) SetGateways(all, near int) {
	n.gateways.Store(int64(max(1, all)))
	n.gatewaysNear.Store(int64(max(1, near)))
	n.budget.SetNodes(all)
}

// SetSynced tells whether a fresh node of the control plane has told everything once.
func (n *Node) SetSynced(ok bool) { n.synced.Store(ok) }

// SetAsOf tells until when the node knows all that came into force.
func (n *Node) SetAsOf(t time.Time) {
	n.asOf.Store(&t)
	n.proveVersions(t)
}

// Ready tells whether callers may be sent here.
func (n *Node) Ready() bool {
	return n.synced.Load() && !n.stopping.Load() && n.view.Load().table.Len() > 0
}

// Run probes targets, closes what lies idle and ends the requests of callers that left, until ctx
// ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.pauses.Run(ctx) })
	wg.Go(func() { n.probe(ctx) })
	wg.Go(func() { n.watchCallers(ctx) })
	wg.Wait()
}

// warn logs at most once a second: many answers may be spoilt at once.
func (n *Node) warn(what string, more ...any) {
	now := n.clock.Now().UnixNano()
	if last := n.warned.Load(); now-last >= int64(time.Second) && n.warned.CompareAndSwap(last, now) {
		n.log.Warn(what, more...)
	}
}

// all are the services known.
func (n *Node) all() []*service {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*service, 0, len(n.services))
	for _, s := range n.services {
		out = append(out, s)
	}
	return out
}

// spreadOut keeps callers that are refused together from coming back together.
func (n *Node) spreadOut(d time.Duration) time.Duration {
	return max(minRetry, time.Duration(float64(d)*(0.8+0.2*rand.Float64())))
}
