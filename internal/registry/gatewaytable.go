package registry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/membership"
	"walkrudder/internal/owner"
)

// Target is one target run as a gateway knows it. Plain fields are set once; what changes is
// atomic, because the request path reads it.
type Target struct {
	ID      string
	Service string
	Inc     uint64
	Addr    string
	Zone    string

	Capacity atomic.Int64
	Leaving  atomic.Bool
	Gone     atomic.Bool
	// InFlight counts the requests in progress at the target.
	InFlight atomic.Int64
	// meanLatency is the moving average of the response times, in nanoseconds.
	meanLatency atomic.Int64
	// lastProof is when the last probe or request was sent that proved the target's identity,
	// in nanoseconds since the table's epoch.
	lastProof   atomic.Int64
	Detector    *liveness.Detector
	inSubset    atomic.Bool
	lastBeat    httpapi.Beat // accessed by the table's owner only
	subsetSince time.Time    // accessed by the table's owner only
	// lastListed is when a home last listed the target, in nanoseconds since the table's epoch.
	lastListed atomic.Int64
}

// Key returns the service and ID of the target.
func (t *Target) Key() string { return t.Service + "/" + t.ID }

// MeanLatency returns the moving average of the response times, 0 before the first one.
func (t *Target) MeanLatency() time.Duration { return time.Duration(t.meanLatency.Load()) }

// ObserveLatency adds a response time to the moving average, with slowerWeight if it is above
// the average, else with fasterWeight.
func (t *Target) ObserveLatency(d time.Duration, slowerWeight, fasterWeight float64) {
	for {
		old := t.meanLatency.Load()
		updated := int64(d)
		switch {
		case old > 0 && updated > old:
			updated = old + int64(slowerWeight*float64(updated-old))
		case old > 0:
			updated = old + int64(fasterWeight*float64(updated-old))
		}
		if t.meanLatency.CompareAndSwap(old, max(updated, 1)) {
			return
		}
	}
}

// GatewayTable is a gateway's table of targets, by service. Its owner goroutine replaces the
// snapshot that the request path reads.
type GatewayTable struct {
	Transport   link.Transport
	Clock       clock.Clock
	Pauses      *liveness.PauseMonitor
	Self        string
	Zone        string
	Controllers func() []membership.Member
	// ProbeInterval is the time between two probes of a target.
	ProbeInterval time.Duration
	// OnNewTarget is called for each new target, to start probing it. ctx ends when the table
	// drops the target.
	OnNewTarget func(ctx context.Context, s *Target)

	owner    *owner.Owner
	epoch    time.Time
	snapshot atomic.Pointer[map[string][]*Target]
	followed atomic.Pointer[map[string]bool]
	reported atomic.Pointer[map[string]bool] // services of which some home sent its table

	// The owner goroutine alone accesses these.
	targets    map[string]*Target // by service/id
	cancels    map[string]context.CancelFunc
	leaving    map[string]leaveMark // by service/id
	subsetting bool                 // the targets of some service are not all in the subset
	ctx        context.Context
}

// leaveMark is the latest run of a target that may get no new requests.
type leaveMark struct {
	inc  uint64
	gone bool
}

const (
	// maxGatewayTargets bounds a gateway's table.
	maxGatewayTargets = 8192
	// unlistedRetention is how long a target that no home lists any more is kept without a
	// proof of its identity.
	unlistedRetention = 30 * time.Second
)

// Init prepares the table for use.
func (g *GatewayTable) Init() {
	g.owner = owner.New(1024)
	g.epoch = g.Clock.Now()
	g.targets, g.cancels, g.leaving = map[string]*Target{}, map[string]context.CancelFunc{}, map[string]leaveMark{}
	g.snapshot.Store(&map[string][]*Target{})
	g.followed.Store(&map[string]bool{})
	g.reported.Store(&map[string]bool{})
}

// Targets lists the targets of a service that the gateway uses.
func (g *GatewayTable) Targets(service string) []*Target { return (*g.snapshot.Load())[service] }

// All returns the snapshot: the targets that the gateway uses, by service.
func (g *GatewayTable) All() map[string][]*Target { return *g.snapshot.Load() }

// Ready reports whether a home has sent its table of every followed service, and a target of
// each service has proved its identity. A home that knows no targets may only just have started,
// so callers wait for a limited time only.
func (g *GatewayTable) Ready(now time.Time) bool {
	h := *g.reported.Load()
	for n := range *g.followed.Load() {
		if !h[n] {
			return false
		}
		if !lo.SomeBy(g.Targets(n), func(s *Target) bool { return !s.Leaving.Load() && g.ProofAge(s, now) < time.Second }) {
			return false
		}
	}
	return true
}

// SetFollowed sets the services to follow.
func (g *GatewayTable) SetFollowed(names []string) {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	g.followed.Store(&m)
}

// RecordProof records that a probe or request sent at t proved the identity of s.
func (g *GatewayTable) RecordProof(s *Target, t time.Time) {
	n := int64(t.Sub(g.epoch))
	for {
		old := s.lastProof.Load()
		if n <= old || s.lastProof.CompareAndSwap(old, n) {
			return
		}
	}
}

// ProofAge returns the time since the last proof of the identity of s was sent.
func (g *GatewayTable) ProofAge(s *Target, now time.Time) time.Duration {
	p := s.lastProof.Load()
	if p == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(g.epoch.Add(time.Duration(p)))
}

// RunWithoutHomes executes the table's commands until ctx ends, without following any home.
func (g *GatewayTable) RunWithoutHomes(ctx context.Context) {
	g.ctx = ctx
	g.owner.Run(ctx)
}

// Run follows the services of SetFollowed until ctx ends.
func (g *GatewayTable) Run(ctx context.Context) {
	g.ctx = ctx
	go g.owner.Run(ctx)
	subscriptions := map[string]context.CancelFunc{}
	for {
		followed := *g.followed.Load()
		for n := range followed {
			if subscriptions[n] == nil {
				followCtx, end := context.WithCancel(ctx)
				subscriptions[n] = end
				go g.follow(followCtx, n)
			}
		}
		for n, end := range subscriptions {
			if !followed[n] {
				end()
				delete(subscriptions, n)
				g.dropService(ctx, n)
			}
		}
		_ = g.owner.Do(ctx, g.sweep)
		if g.Clock.Sleep(ctx, 100*time.Millisecond) != nil {
			return
		}
	}
}

// follow subscribes to one service at its home in the gateway's own zone, or, after a failure,
// at the next home. Entries merge by run and beat, so a change of home never brings old state
// back, and the table is kept while no home answers (design 12.2).
func (g *GatewayTable) follow(ctx context.Context, service string) {
	var incarnation, seen uint64
	addr, failures := "", 0
	for ctx.Err() == nil {
		homes := Homes(service, g.Controllers())
		for i, home := range homes {
			if home.Zone == g.Zone {
				homes[0], homes[i] = homes[i], homes[0]
			}
		}
		if len(homes) == 0 {
			if g.Clock.Sleep(ctx, 100*time.Millisecond) != nil {
				return
			}
			continue
		}
		home := homes[failures%len(homes)]
		if home.Inner != addr {
			addr, incarnation, seen = home.Inner, 0, 0
		}
		askCtx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
		t, err := link.Call[WatchTold](askCtx, g.Transport, home.Inner, WatchAsk{Service: service, Run: incarnation, Seen: seen, WaitMS: 500})
		cancel()
		if err != nil {
			failures++
			if g.Clock.Sleep(ctx, 50*time.Millisecond) != nil {
				return
			}
			continue
		}
		if t.Same {
			_ = g.owner.Do(ctx, func() {
				n := int64(g.Clock.Now().Sub(g.epoch))
				for _, s := range g.Targets(service) {
					s.lastListed.Store(n)
				}
			})
		} else {
			_ = g.MergeEntries(ctx, service, t.Entries)
			incarnation, seen = t.Run, t.Version
		}
		// After a success at another home the one in the own zone is tried again.
		if failures > 0 && failures%len(homes) != 0 {
			failures += len(homes) - failures%len(homes)
		}
	}
}

// MergeEntries merges a home's table of a service.
func (g *GatewayTable) MergeEntries(ctx context.Context, service string, es []Entry) error {
	return g.owner.Do(ctx, func() {
		for _, e := range es {
			g.merge(e)
		}
		g.publish()
		if h := *g.reported.Load(); !h[service] {
			n := map[string]bool{service: true}
			for k := range h {
				n[k] = true
			}
			g.reported.Store(&n)
		}
	})
}

// merge adds an entry unless a newer one of the same target is known.
func (g *GatewayTable) merge(e Entry) {
	b := e.Beat
	k := b.Service + "/" + b.ID
	s := g.targets[k]
	if s != nil && b.Inc < s.Inc {
		return
	}
	if s == nil || b.Inc > s.Inc || b.Addr != s.Addr {
		if s != nil && b.Inc == s.Inc && b.Seq <= s.lastBeat.Seq {
			return
		}
		if s == nil && len(g.targets) >= maxGatewayTargets {
			return
		}
		g.remove(k)
		now := g.Clock.Now()
		s = &Target{ID: b.ID, Service: b.Service, Inc: b.Inc, Addr: b.Addr, Zone: b.Zone,
			Detector: liveness.NewDetector(liveness.DefaultOptions(g.ProbeInterval), g.Pauses, now)}
		targetCtx, cancel := context.WithCancel(g.ctx)
		g.targets[k], g.cancels[k] = s, cancel
		if l := g.leaving[k]; l.inc >= s.Inc {
			s.Leaving.Store(true)
			s.Gone.Store(l.gone)
		}
		if g.OnNewTarget != nil {
			go g.OnNewTarget(targetCtx, s)
		}
	}
	if b.Seq >= s.lastBeat.Seq {
		s.lastBeat = b
		s.Capacity.Store(int64(b.Capacity))
	}
	s.lastListed.Store(int64(g.Clock.Now().Sub(g.epoch)))
	if b.Leaving || e.Gone {
		g.markLeaving(k, b.Inc, e.Gone)
	}
}

func (g *GatewayTable) remove(k string) {
	if end := g.cancels[k]; end != nil {
		end()
		delete(g.cancels, k)
	}
	delete(g.targets, k)
}

// markLeaving excludes run inc of target k, and all runs before it, from new requests.
func (g *GatewayTable) markLeaving(k string, inc uint64, gone bool) {
	l := g.leaving[k]
	if inc > l.inc {
		l = leaveMark{inc: inc}
	}
	if inc == l.inc {
		l.gone = l.gone || gone
	}
	g.leaving[k] = l
	if s := g.targets[k]; s != nil && s.Inc <= l.inc {
		s.Leaving.Store(true)
		if l.gone {
			s.Gone.Store(true)
		}
	}
}

// Drain excludes a target run from new requests. Once it has returned, no request is assigned
// to the run.
func (g *GatewayTable) Drain(ctx context.Context, service, id string, inc uint64, gone bool) error {
	return g.owner.Do(ctx, func() { g.markLeaving(service+"/"+id, inc, gone) })
}

func (g *GatewayTable) publish() {
	m := map[string][]*Target{}
	for _, s := range g.targets {
		m[s.Service] = append(m[s.Service], s)
	}
	subset := map[*Target]bool{}
	g.subsetting = false
	for n, ss := range m {
		g.subsetting = g.subsetting || len(ss) > subsetSize
		m[n] = g.chooseSubset(ss)
		for _, s := range m[n] {
			subset[s] = true
		}
	}
	g.markSubset(subset)
	g.snapshot.Store(&m)
}

// dropService removes a service that no binding names any more.
func (g *GatewayTable) dropService(ctx context.Context, service string) {
	_ = g.owner.Do(ctx, func() {
		for k, s := range g.targets {
			if s.Service == service {
				g.remove(k)
			}
		}
		g.publish()
	})
}

// sweep removes targets that are gone, and those that no home lists and that prove no identity
// any more. A target with requests in progress stays.
func (g *GatewayTable) sweep() {
	now := g.Clock.Now()
	n := 0
	for k, s := range g.targets {
		if s.InFlight.Load() > 0 {
			continue
		}
		unlisted := now.Sub(g.epoch.Add(time.Duration(s.lastListed.Load()))) > unlistedRetention && g.ProofAge(s, now) > unlistedRetention
		if unlisted || s.Gone.Load() {
			g.remove(k)
			n++
		}
	}
	if n > 0 || g.subsetting {
		g.publish()
	}
	if len(g.leaving) > 2*maxGatewayTargets {
		g.leaving = map[string]leaveMark{}
	}
}

// Serve registers the handlers for leave notifications and for queries of the gateway's views.
func (g *GatewayTable) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a DrainAsk) (DrainTold, error) {
		err := g.Drain(ctx, a.Service, a.ID, a.Inc, a.Gone)
		return DrainTold{OK: err == nil}, err
	})
	link.Handle(mux, func(context.Context, link.Identity, ViewAsk) (ViewTold, error) { return ViewTold{g.Views()}, nil })
}
