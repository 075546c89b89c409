// Package gateway assembles a data-plane node (design 2.1).
package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"walkrudder/internal/claim"
	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/membership"
	"walkrudder/internal/passage"
	"walkrudder/internal/quorum"
	"walkrudder/internal/registry"
	"walkrudder/internal/rollout"
	"walkrudder/internal/spec"
	"walkrudder/internal/startup"
)

const (
	// probeInterval is the interval between probes of a target.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 600 * time.Millisecond
)

// Config holds a gateway's settings and dependencies: real ones in a daemon, simulated ones
// in a simulation.
type Config struct {
	Startup      startup.Gateway
	Incarnation  uint64
	Transport    link.Transport
	Clock        clock.Clock
	TargetClient passage.Transport
	Log          *log.Logger
	Faults       *fault.Set
	Count        func(what, service string)
}

// Gateway is a data-plane node.
type Gateway struct {
	Config
	Mux        *link.Mux
	Membership *membership.LeaseClient
	Sheets     *rollout.SheetStore
	Targets    *registry.GatewayTable
	Proxy      *passage.Pipeline
	Pauses     *liveness.PauseMonitor

	start    func(context.Context)
	stopping atomic.Bool
	drained  atomic.Bool  // drained by an operator
	warm     atomic.Bool  // the state of the targets is known, or maxWarmup has passed
	lastOpen atomic.Int64 // when the gate was last seen open, in ns since created, plus 1; 0 is never
	created  time.Time
	wg       sync.WaitGroup
}

// New assembles a gateway; Run starts it.
func New(cfg Config) *Gateway {
	injector := do.New()
	do.ProvideValue(injector, cfg)
	do.Provide(injector, func(do.Injector) (*quorum.Proposer, error) {
		return quorum.NewProposer(cfg.Startup.ID, cfg.Transport, cfg.Clock), nil
	})
	do.Provide(injector, func(injector do.Injector) (*quorum.Bootstrapper, error) {
		return &quorum.Bootstrapper{Seeds: cfg.Startup.Seeds, Self: cfg.Startup.Inner, Transport: cfg.Transport, Clock: cfg.Clock,
			Proposer: do.MustInvoke[*quorum.Proposer](injector)}, nil
	})
	do.Provide(injector, func(do.Injector) (*liveness.PauseMonitor, error) { return liveness.NewPauseMonitor(cfg.Clock), nil })
	do.Provide(injector, func(injector do.Injector) (*membership.LeaseClient, error) {
		return &membership.LeaseClient{Transport: cfg.Transport, Clock: cfg.Clock, Proposer: do.MustInvoke[*quorum.Proposer](injector)}, nil
	})
	do.Provide(injector, newTargets)
	do.Provide(injector, newSheets)
	do.Provide(injector, newClaims)
	do.Provide(injector, newProxy)
	g := &Gateway{Config: cfg, created: cfg.Clock.Now(), Mux: link.NewMux(), Membership: do.MustInvoke[*membership.LeaseClient](injector), Pauses: do.MustInvoke[*liveness.PauseMonitor](injector),
		Sheets: do.MustInvoke[*rollout.SheetStore](injector), Targets: do.MustInvoke[*registry.GatewayTable](injector), Proxy: do.MustInvoke[*passage.Pipeline](injector)}
	upSince := time.Now().UnixMilli()
	g.Membership.Self = func() membership.Member {
		return membership.Member{ID: cfg.Startup.ID, Inc: cfg.Incarnation, Kind: "gateway", Inner: cfg.Startup.Inner, Door: cfg.Startup.Door,
			Zone: cfg.Startup.Zone, Spec: g.Sheets.Version(), Since: upSince, Rest: g.drained.Load()}
	}
	g.Targets.OnNewTarget = g.probeTarget
	g.Sheets.Serve(g.Mux)
	g.Targets.Serve(g.Mux)
	claims := do.MustInvoke[*claim.Coordinator](injector)
	claims.Serve(g.Mux)
	g.Proxy.Serve(g.Mux)
	membership.ServeDrain(g.Mux, &g.drained)
	bootstrapper := do.MustInvoke[*quorum.Bootstrapper](injector)
	bootstrapper.Serve(g.Mux)
	g.start = func(ctx context.Context) {
		g.wg.Go(func() {
			clock.Every(ctx, cfg.Clock, maxGateClosed/8, func() { g.Ready() })
		})
		for _, run := range []func(context.Context){bootstrapper.Run, g.Membership.Run, g.Sheets.Run, g.Targets.Run, g.Proxy.Run, g.Pauses.Run, claims.Run} {
			g.wg.Go(func() { run(ctx) })
		}
	}
	return g
}

// newTargets, newSheets, newProxy and newClaims construct the components of a gateway for the
// injector.
func newTargets(injector do.Injector) (*registry.GatewayTable, error) {
	cfg, members := do.MustInvoke[Config](injector), do.MustInvoke[*membership.LeaseClient](injector)
	targets := &registry.GatewayTable{Transport: cfg.Transport, Clock: cfg.Clock, Pauses: do.MustInvoke[*liveness.PauseMonitor](injector), Self: cfg.Startup.ID, Zone: cfg.Startup.Zone,
		Controllers: func() []membership.Member { return members.MembersOfKind("controller") }, ProbeInterval: probeInterval}
	targets.Init()
	return targets, nil
}

func newSheets(injector do.Injector) (*rollout.SheetStore, error) {
	cfg, members, targets := do.MustInvoke[Config](injector), do.MustInvoke[*membership.LeaseClient](injector), do.MustInvoke[*registry.GatewayTable](injector)
	sheets := &rollout.SheetStore{Membership: members, Transport: cfg.Transport, Clock: cfg.Clock, ID: cfg.Startup.ID, Log: cfg.Log,
		Controllers: func() []string { return controllersByDistance(members.MembersOfKind("controller"), cfg.Startup) },
		Peers: func() []string {
			return lo.Union(members.OtherAddrs(cfg.Startup.ID), lo.Without(cfg.Startup.Seeds, cfg.Startup.Inner))
		},
		OnSheet: func(table *spec.Table) {
			targets.SetFollowed(lo.Map(table.Services, func(s spec.Service, _ int) string { return s.Name }))
		},
		OnLeaves: func(ls []rollout.Leave) {
			for _, l := range ls {
				_ = targets.Drain(context.Background(), l.Service, l.ID, l.Inc, l.Gone)
			}
		},
	}
	sheets.Init()
	return sheets, nil
}

// controllersByDistance lists the addresses of the controllers to ask, those of the gateway's own
// zone first. Gateways start at different ones, to spread the load. Before any member is known,
// it returns the seeds.
func controllersByDistance(members []membership.Member, s startup.Gateway) []string {
	if len(members) == 0 {
		return s.Seeds
	}
	ownZone, otherZones := lo.FilterReject(members, func(m membership.Member, _ int) bool { return m.Zone == s.Zone })
	hash := 0
	for _, c := range []byte(s.ID) {
		hash = hash*31 + int(c)
	}
	rotate := func(l []membership.Member) []membership.Member {
		if len(l) == 0 {
			return l
		}
		start := (hash%len(l) + len(l)) % len(l)
		return append(append([]membership.Member(nil), l[start:]...), l[:start]...)
	}
	return lo.Map(append(rotate(ownZone), rotate(otherZones)...), func(m membership.Member, _ int) string { return m.Inner })
}

func newProxy(injector do.Injector) (*passage.Pipeline, error) {
	cfg, members := do.MustInvoke[Config](injector), do.MustInvoke[*membership.LeaseClient](injector)
	proxy := &passage.Pipeline{Clock: cfg.Clock, Sheets: do.MustInvoke[*rollout.SheetStore](injector), Targets: do.MustInvoke[*registry.GatewayTable](injector),
		Transport: cfg.TargetClient, Zone: cfg.Startup.Zone, ZoneMap: cfg.Startup.Chart, ID: cfg.Startup.ID, Inc: cfg.Incarnation, Faults: cfg.Faults, Log: cfg.Log, Count: cfg.Count,
		Gateways: func() int {
			// Called for every selection of a target, so the members are counted without building a list.
			return lo.CountBy(members.Members(), func(m membership.Member) bool { return m.Kind == "gateway" }) + 1
		},
		Claims: do.MustInvoke[*claim.Coordinator](injector)}
	proxy.Init()
	return proxy, nil
}

func newClaims(injector do.Injector) (*claim.Coordinator, error) {
	cfg, members, sheets := do.MustInvoke[Config](injector), do.MustInvoke[*membership.LeaseClient](injector), do.MustInvoke[*rollout.SheetStore](injector)
	claims := &claim.Coordinator{Self: cfg.Startup.ID, Transport: cfg.Transport, Clock: cfg.Clock, Log: cfg.Log, Peers: sheets.Peers, HasLease: members.Held, CoreLost: sheets.ServesWithoutLease, Voters: sheets.Voters,
		LeasedPeers: func() []string { return members.OtherAddrs(cfg.Startup.ID) },
		Store:       &claimClient{transport: cfg.Transport, clock: cfg.Clock, controllers: func() []string { return controllersByDistance(members.MembersOfKind("controller"), cfg.Startup) }}}
	claims.Init()
	return claims, nil
}

// claimClient makes and ends claims on idempotency keys through any controller that answers.
type claimClient struct {
	transport   link.Transport
	clock       clock.Clock
	controllers func() []string
}

// claimTimeout bounds the wait for the answer of one controller.
const claimTimeout = 700 * time.Millisecond

func (c *claimClient) Take(ctx context.Context, a claim.TakeAsk) (claim.TakeTold, error) {
	return askAny[claim.TakeTold](ctx, c, a)
}

func (c *claimClient) End(ctx context.Context, a claim.EndAsk) error {
	_, err := askAny[claim.EndTold](ctx, c, a)
	return err
}

// askAny asks one controller after another until one answers or ctx ends. Requests of both
// kinds are idempotent and may be repeated.
func askAny[R any](ctx context.Context, c *claimClient, ask any) (r R, err error) {
	err = errors.New("no controller known")
	for {
		for _, a := range c.controllers() {
			callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
			r, err = link.Call[R](callCtx, c.transport, a, ask)
			cancel()
			if err == nil {
				return r, nil
			}
			if ctx.Err() != nil {
				return r, err
			}
		}
		if c.clock.Sleep(ctx, 20*time.Millisecond) != nil {
			return r, err
		}
	}
}

// Run runs the gateway until ctx ends, then waits for its components.
func (g *Gateway) Run(ctx context.Context) {
	g.start(ctx)
	g.wg.Wait()
}

// maxWarmup bounds how long a started gateway may wait to learn the state of the targets
// before it reports ready. After that it is ready in any case.
const maxWarmup = 4 * time.Second

// maxGateClosed is how long the gate may be closed before this node reports not ready. If the
// core is lost in the middle of a hold, the gate closes on all gateways at once. It stays closed
// until their leases have expired and they have found each other, or until the core is back and
// its lease tables have waited for the length of a lease. Calls wait at the gate during that time,
// which they could not if no gateway were ready. A gateway that is cut off alone detects that
// much sooner.
const maxGateClosed = 2*membership.LeaseDuration + 200*time.Millisecond

// Ready returns the readiness reported to the platform: the node serves calls and is not stopping.
func (g *Gateway) Ready() bool {
	now := g.Clock.Now()
	if _, open := g.Sheets.Gate(); open {
		g.lastOpen.Store(int64(now.Sub(g.created)) + 1)
	}
	// A gateway that is cut off reports so before its lease ends, because the platform takes
	// a second to notice.
	if g.Sheets.Isolated() || g.drained.Load() {
		return false
	}
	// A hold closes the gate for a moment on all gateways at once. That alone must not make
	// all of them not ready.
	if o := g.lastOpen.Load(); o == 0 || now.Sub(g.created)-time.Duration(o) > maxGateClosed || g.stopping.Load() {
		return false
	}
	if g.Sheets.Version() == 0 {
		// No binding is in force yet, so there are no targets to learn about.
		return true
	}
	if !g.warm.Load() && (g.Targets.Ready(now) || now.Sub(g.created) > maxWarmup) {
		g.warm.Store(true)
	}
	return g.warm.Load()
}

// Stop makes the node report to the platform that it is not ready.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Deregister removes this node from the cluster: it serves no more calls, nobody needs to
// wait for it, and it no longer counts among the gateways.
func (g *Gateway) Deregister(ctx context.Context) {
	g.Membership.Release(ctx)
	for _, a := range g.Sheets.Controllers() {
		if r, err := link.Call[rollout.PartTold](ctx, g.Transport, a, rollout.PartAsk{ID: g.Startup.ID}); err == nil && r.OK {
			return
		}
	}
}

// Stopping reports whether a planned stop is under way.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// probeTarget probes a target run until ctx ends. Probes carry this gateway's own sequence
// numbers. An answer that names another run is no evidence (design 10.2).
func (g *Gateway) probeTarget(ctx context.Context, target *registry.Target) {
	var seq uint64
	first := true
	for {
		if !target.InSubset() {
			if g.Clock.Sleep(ctx, probeInterval/8) != nil {
				return
			}
			continue
		}
		seq++
		go g.probe(ctx, target, seq)
		d := probeInterval
		if first {
			// Probe a new target again soon, to learn its state quickly.
			first, d = false, probeInterval/4
		}
		if g.Clock.Sleep(ctx, d) != nil {
			return
		}
	}
}

// probe sends one probe to a target run and records a valid answer.
func (g *Gateway) probe(ctx context.Context, target *registry.Target, seq uint64) {
	sent := g.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	name := httpapi.TargetName(target.ID, target.Service, target.Inc)
	response, _, err := g.TargetClient.Send(callCtx, &passage.SendRequest{Addr: target.Addr, Target: "probe:" + name, SendID: httpapi.ProbeRequestID(seq), Expiry: sent.Add(probeTimeout),
		Req: &passage.Request{Method: "GET", URI: httpapi.ProbeURI(seq), Host: target.Addr}})
	if err != nil || response.Status != 200 || !response.Complete {
		return
	}
	p, err := httpapi.ParseProbe(response.Body)
	if err != nil || p.Seq != seq || p.ID != target.ID || p.Service != target.Service || p.Inc != target.Inc {
		return
	}
	g.Targets.RecordProof(target, sent)
	target.Detector.RecordArrival(seq, g.Clock.Now())
	if p.Leaving {
		_ = g.Targets.Drain(ctx, target.Service, target.ID, target.Inc, false)
	}
}
