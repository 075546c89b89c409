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
	// maxServices and maxRuns bound the known services and runs. Ended runs count too: they are
	// remembered for endedRunRetention so that delayed updates do not bring them back.
	maxServices       = 4096
	maxRuns           = 16384
	endedRunRetention = 5 * time.Minute
	// sameRegionDistance is the cost factor of other zones in the same region,
	// otherRegionDistance that of all other zones; the own zone has 1.
	sameRegionDistance  = 3
	otherRegionDistance = 9
	// defaultGateways is the assumed number of nodes sharing the targets until it is known.
	defaultGateways = 16
	// minConfigAgeLimit is an age that the configuration may reach on a slow link without any fault:
	// a lower NewsWithin counts as this.
	minConfigAgeLimit = time.Second
	// pauseCheckInterval is how often the node checks whether the process itself was paused.
	pauseCheckInterval = 500 * time.Millisecond
)

// Config holds the settings and dependencies of a node.
type Config struct {
	Settings Settings
	Clock    clock.Clock
	Log      *log.Logger
	// Dial opens connections to targets; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Node is a proxy of the data plane.
type Node struct {
	settings     Settings
	clock        clock.Clock
	log          *log.Logger
	memory       memoryBudget
	largeAnswers largeAnswerMemory
	stats        stats
	budget       *budget.Budget
	dialContext  func(ctx context.Context, addr string) (net.Conn, error)
	pauses       *liveness.PauseMonitor
	probePacer   probePacer
	inbound      bodyPacer        // large bodies from targets
	outbound     bodyPacer        // large bodies to callers
	downloads    *downloadLimiter // nil on a wide link

	view            atomic.Pointer[routingView]
	gateways        atomic.Int64
	gatewaysNear    atomic.Int64
	synced          atomic.Bool
	asOf            atomic.Pointer[time.Time] // time up to which all changes are known
	configAge       configAgeMonitor
	stopping        atomic.Bool
	closingIdle     atomic.Bool   // idle caller connections are being closed
	listenersClosed atomic.Bool   // closed on purpose
	sendsClosed     chan struct{} // closed near the end of a planned stop: nothing more is sent
	lastWarning     atomic.Int64
	maxCallers      int64
	// noAnswerEvidence and noFates disable an extension of the failure detector, for measurements.
	noAnswerEvidence, noPassiveHealth bool

	mu       sync.Mutex // guards items, services, runs
	items    *item.Set
	services map[string]*service
	runs     map[string]*runRecord

	callersMu sync.Mutex // guards callers, listeners
	callers   map[*callerConn]struct{}
	listeners []net.Listener
	callersWG sync.WaitGroup
}

// routingView is the immutable snapshot of routes and services that the request path reads.
type routingView struct {
	table    *route.Table
	services []*service // by the table's index
	limits   route.Limits
}

// runRecord is the state of a run merged from updates.
type runRecord struct {
	run     target.Run
	svc     *service
	endedAt time.Time
}

// New returns a node; it is ready once it is synced and has routes.
func New(cfg Config) *Node {
	s := cfg.Settings.withDefaults()
	n := &Node{
		settings: s, clock: cfg.Clock, log: cfg.Log, dialContext: cfg.Dial,
		memory:       memoryBudget{limit: int64(s.MemoryMB) << 20 / 5},
		largeAnswers: newLargeAnswerMemory(s.MemoryMB),
		budget:       budget.New(s.BudgetRatio, s.BudgetWindow, s.BudgetSlack, cfg.Clock),
		pauses:       liveness.NewPauseMonitorEvery(cfg.Clock, pauseCheckInterval),
		maxCallers:   int64(s.MaxFiles) * 5 / 8,
		items:        item.NewSet(), services: map[string]*service{}, runs: map[string]*runRecord{},
		callers: map[*callerConn]struct{}{}, sendsClosed: make(chan struct{}),
	}
	if n.log == nil {
		n.log = log.New(io.Discard)
	}
	n.inbound, n.outbound = newBodyPacer(n, s.LinkMbps), newBodyPacer(n, s.LinkMbps)
	n.downloads = newDownloadLimiter(n.clock, s.LinkMbps, s.stopTimeout())
	n.probePacer.base, n.probePacer.freeRate = s.ProbeInterval, s.FreeProbes
	n.probePacer.current.Store(int64(s.ProbeInterval))
	n.gateways.Store(defaultGateways)
	n.view.Store(&routingView{})
	return n
}

// distanceTo returns the factor by which the distance to a zone raises the cost of its endpoints.
func (n *Node) distanceTo(zone string) float64 {
	switch own := n.settings.Zones[n.settings.Zone]; {
	case zone == n.settings.Zone:
		return 1
	case own != "" && n.settings.Zones[zone] == own:
		return sameRegionDistance
	}
	return otherRegionDistance
}

// service returns the service with the name and creates it if necessary; nil if there are too many. Under mu.
func (n *Node) service(name string) *service {
	s := n.services[name]
	if s == nil && len(n.services) < maxServices {
		s = newService(n, name)
		n.services[name] = s
	}
	return s
}

// ApplyItems merges updates of routes, services and limits: the highest version of each item wins,
// in whatever order they arrive.
func (n *Node) ApplyItems(items []item.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var changed []item.Item
	for _, i := range items {
		if n.items.Merge(i) {
			changed = append(changed, i)
		}
	}
	if len(changed) == 0 {
		return
	}
	n.applyUpgrades(changed)
	t := n.view.Load().table.With(changed...)
	services := t.Services()
	v := &routingView{table: t, limits: t.Limits(), services: make([]*service, len(services))}
	for i, k := range services {
		if s := n.service(k.Name); s != nil {
			s.setConfig(k.Service)
			v.services[i] = s
		}
	}
	n.view.Store(v)
}

// ApplyRuns merges updates of targets. A run's state, its heartbeat number and the heartbeat after which
// it was silent only increase; an ended run does not come back.
func (n *Node) ApplyRuns(runs []target.Run) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := map[*service][]target.Run{}
	for _, r := range runs {
		k := n.runs[r.ID]
		if k == nil {
			if len(n.runs) >= maxRuns {
				n.dropEndedRuns(now)
			}
			s := n.service(r.Service)
			if s == nil || len(n.runs) >= maxRuns {
				n.warnLimited("a run is left out", "step", "news", "peer", r.ID, "runs", len(n.runs))
				continue
			}
			k = &runRecord{run: r, svc: s}
			n.runs[r.ID] = k
		} else {
			mergeRun(&k.run, r)
		}
		if k.run.State == target.Ended && k.endedAt.IsZero() {
			k.endedAt = now
		}
		changed[k.svc] = append(changed[k.svc], k.run)
	}
	for s, rs := range changed {
		s.update(rs, now)
	}
}

func mergeRun(k *target.Run, r target.Run) {
	if r.Seq >= k.Seq && r.State >= k.State {
		k.Addr, k.Zone, k.Version, k.Slots, k.Cold = r.Addr, r.Zone, r.Version, r.Slots, r.Cold
	}
	k.State = max(k.State, r.State)
	k.Seq = max(k.Seq, r.Seq)
	k.Silent = max(k.Silent, r.Silent)
}

// dropEndedRuns removes runs that ended long ago. Under mu.
func (n *Node) dropEndedRuns(now time.Time) {
	for id, k := range n.runs {
		if !k.endedAt.IsZero() && now.Sub(k.endedAt) > endedRunRetention {
			delete(n.runs, id)
		}
	}
}

// SetGateways sets how many nodes like this one there are, in total and in its zone. It must be
// called more often than four times per BudgetWindow, also if the numbers are unchanged, because
// the retry budget ignores an older number.
func (n *Node) SetGateways(all, near int) {
	n.gateways.Store(int64(max(1, all)))
	n.gatewaysNear.Store(int64(max(1, near)))
	n.budget.SetNodes(all)
}

// SetSynced sets whether an up-to-date control plane node has sent the complete state once.
func (n *Node) SetSynced(ok bool) { n.synced.Store(ok) }

// SetAsOf sets the time up to which the node knows every change that came into force.
func (n *Node) SetAsOf(t time.Time) {
	n.asOf.Store(&t)
	n.confirmVersions(t)
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	return n.synced.Load() && !n.stopping.Load() && n.view.Load().table.Len() > 0
}

// Run probes targets, closes expired idle connections and cancels requests of disconnected callers, until ctx
// ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { n.pauses.Run(ctx) })
	wg.Go(func() { n.runProbes(ctx) })
	wg.Go(func() { n.watchDisconnects(ctx) })
	wg.Wait()
}

// warnLimited logs at most once a second, because many answers may be invalid at once.
func (n *Node) warnLimited(msg string, keyvals ...any) {
	now := n.clock.Now().UnixNano()
	if last := n.lastWarning.Load(); now-last >= int64(time.Second) && n.lastWarning.CompareAndSwap(last, now) {
		n.log.Warn(msg, keyvals...)
	}
}

// allServices returns the known services.
func (n *Node) allServices() []*service {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]*service, 0, len(n.services))
	for _, s := range n.services {
		out = append(out, s)
	}
	return out
}

// jitter spreads retry delays so that callers refused together don't return together.
func (n *Node) jitter(d time.Duration) time.Duration {
	return max(minRetryAfter, time.Duration(float64(d)*(0.8+0.2*rand.Float64())))
}
