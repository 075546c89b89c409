// Package gateway puts the data plane together (design 2.1).
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
	// probeEvery is the interval of probes to each target.
	probeEvery = 400 * time.Millisecond
	// probeTime bounds one probe.
	probeTime = 600 * time.Millisecond
)

// Parts is what a gateway stands on: the real things in a daemon, the simulator's in
// a simulated run.
type Parts struct {
	Startup startup.Gateway
	Inc     uint64
	Line    link.Line
	Clock   clock.Clock
	Courier passage.Courier
	Log     *log.Logger
	Faults  *fault.Set
	Count   func(what, service string)
}

// Gateway is one data-plane node.
type Gateway struct {
	Parts
	Desk    *link.Mux
	Tenant  *membership.Tenant
	Rack    *rollout.Rack
	Roster  *registry.Roster
	Passage *passage.Passage
	Pauses  *liveness.Pauses

	start    func(context.Context)
	stopping atomic.Bool
	resting  atomic.Bool // drained by hand
	warm     atomic.Bool
	opened   atomic.Int64 // when the gate was last seen open, since born
	born     time.Time
	wg       sync.WaitGroup
}

// New puts a gateway together; Run starts it.
func New(p Parts) *Gateway {
	i := do.New()
	do.ProvideValue(i, p)
	do.Provide(i, func(do.Injector) (*quorum.Proposer, error) {
		return quorum.NewProposer(p.Startup.ID, p.Line, p.Clock), nil
	})
	do.Provide(i, func(i do.Injector) (*quorum.Bootstrapper, error) {
		return &quorum.Bootstrapper{Seeds: p.Startup.Seeds, Self: p.Startup.Inner, Transport: p.Line, Clock: p.Clock,
			Proposer: do.MustInvoke[*quorum.Proposer](i)}, nil
	})
	do.Provide(i, func(do.Injector) (*liveness.Pauses, error) { return liveness.NewPauses(p.Clock), nil })
	do.Provide(i, func(i do.Injector) (*membership.Tenant, error) {
		return &membership.Tenant{Line: p.Line, Clock: p.Clock, Core: do.MustInvoke[*quorum.Proposer](i)}, nil
	})
	do.Provide(i, newRoster)
	do.Provide(i, newRack)
	do.Provide(i, newCircle)
	do.Provide(i, newPassage)
	f := &Gateway{Parts: p, born: p.Clock.Now(), Desk: link.NewMux(), Tenant: do.MustInvoke[*membership.Tenant](i), Pauses: do.MustInvoke[*liveness.Pauses](i),
		Rack: do.MustInvoke[*rollout.Rack](i), Roster: do.MustInvoke[*registry.Roster](i), Passage: do.MustInvoke[*passage.Passage](i)}
	since := time.Now().UnixMilli()
	f.Tenant.Me = func() membership.Member {
		return membership.Member{ID: p.Startup.ID, Inc: p.Inc, Kind: "gateway", Inner: p.Startup.Inner, Door: p.Startup.Door,
			Zone: p.Startup.Zone, Spec: f.Rack.N(), Since: since, Rest: f.resting.Load()}
	}
	f.Roster.OnStand = f.watch
	f.Rack.Serve(f.Desk)
	f.Roster.Serve(f.Desk)
	circle := do.MustInvoke[*claim.Circle](i)
	circle.Serve(f.Desk)
	f.Passage.Serve(f.Desk)
	membership.ServeRest(f.Desk, &f.resting)
	fm := do.MustInvoke[*quorum.Bootstrapper](i)
	fm.Serve(f.Desk)
	f.start = func(ctx context.Context) {
		f.wg.Go(func() {
			clock.Every(ctx, p.Clock, closedTime/8, func() { f.Ready() })
		})
		for _, run := range []func(context.Context){fm.Run, f.Tenant.Run, f.Rack.Run, f.Roster.Run, f.Passage.Run, f.Pauses.Run, circle.Run} {
			f.wg.Go(func() { run(ctx) })
		}
	}
	return f
}

func newRoster(i do.Injector) (*registry.Roster, error) {
	p, t := do.MustInvoke[Parts](i), do.MustInvoke[*membership.Tenant](i)
	r := &registry.Roster{Line: p.Line, Clock: p.Clock, Pause: do.MustInvoke[*liveness.Pauses](i), Me: p.Startup.ID, Zone: p.Startup.Zone,
		Controllers: func() []membership.Member { return t.Kind("controller") }, Every: probeEvery}
	r.Init()
	return r, nil
}

func newRack(i do.Injector) (*rollout.Rack, error) {
	p, t, r := do.MustInvoke[Parts](i), do.MustInvoke[*membership.Tenant](i), do.MustInvoke[*registry.Roster](i)
	k := &rollout.Rack{Tenant: t, Line: p.Line, Clock: p.Clock, ID: p.Startup.ID, Log: p.Log,
		Controllers: func() []string { return nearest(t.Kind("controller"), p.Startup) },
		Mates: func() []string {
			return lo.Union(t.Others(p.Startup.ID), lo.Without(p.Startup.Seeds, p.Startup.Inner))
		},
		OnSpec: func(t *spec.Table) {
			r.Want(lo.Map(t.Services, func(s spec.Service, _ int) string { return s.Name }))
		},
		OnLeaves: func(ls []rollout.Leave) {
			for _, l := range ls {
				_ = r.Drain(context.Background(), l.Service, l.ID, l.Inc, l.Gone)
			}
		},
	}
	k.Init()
	return k, nil
}

// nearest lists controllers to ask: the own zone first, then the rest, each gateway from
// another start; before any member is known, the seeds.
func nearest(ms []membership.Member, s startup.Gateway) []string {
	if len(ms) == 0 {
		return s.Seeds
	}
	near, far := lo.FilterReject(ms, func(m membership.Member, _ int) bool { return m.Zone == s.Zone })
	n := 0
	for _, c := range []byte(s.ID) {
		n = n*31 + int(c)
	}
	turn := func(l []membership.Member) []membership.Member {
		if len(l) == 0 {
			return l
		}
		k := (n%len(l) + len(l)) % len(l)
		return append(append([]membership.Member(nil), l[k:]...), l[:k]...)
	}
	return lo.Map(append(turn(near), turn(far)...), func(m membership.Member, _ int) string { return m.Inner })
}

func newPassage(i do.Injector) (*passage.Passage, error) {
	p, t := do.MustInvoke[Parts](i), do.MustInvoke[*membership.Tenant](i)
	g := &passage.Passage{Clock: p.Clock, Rack: do.MustInvoke[*rollout.Rack](i), Roster: do.MustInvoke[*registry.Roster](i),
		Courier: p.Courier, Zone: p.Startup.Zone, Chart: p.Startup.Chart, ID: p.Startup.ID, Inc: p.Inc, Faults: p.Faults, Log: p.Log, Count: p.Count,
		Gateways: func() int {
			// Read at every choice: counted, not listed.
			return lo.CountBy(t.Members(), func(m membership.Member) bool { return m.Kind == "gateway" }) + 1
		},
		Claims: do.MustInvoke[*claim.Circle](i)}
	g.Init()
	return g, nil
}

func newCircle(i do.Injector) (*claim.Circle, error) {
	p, t, k := do.MustInvoke[Parts](i), do.MustInvoke[*membership.Tenant](i), do.MustInvoke[*rollout.Rack](i)
	c := &claim.Circle{Me: p.Startup.ID, Line: p.Line, Clock: p.Clock, Log: p.Log, Mates: k.Mates, Held: t.Held, Alone: k.Stranded, Gateways: k.Counts,
		Members: func() []string { return t.Others(p.Startup.ID) },
		Keep:    &claims{line: p.Line, clock: p.Clock, controllers: func() []string { return nearest(t.Kind("controller"), p.Startup) }}}
	c.Init()
	return c, nil
}

// claims takes claims through whichever controller answers.
type claims struct {
	line        link.Line
	clock       clock.Clock
	controllers func() []string
}

// claimTime bounds the wait for one controller.
const claimTime = 700 * time.Millisecond

func (c *claims) Take(ctx context.Context, a claim.TakeAsk) (claim.TakeTold, error) {
	return each[claim.TakeTold](ctx, c, a)
}

func (c *claims) End(ctx context.Context, a claim.EndAsk) error {
	_, err := each[claim.EndTold](ctx, c, a)
	return err
}

// each asks one controller after the other until one answers or ctx ends; asks of both
// kinds may be repeated.
func each[R any](ctx context.Context, c *claims, ask any) (r R, err error) {
	err = errors.New("no controller known")
	for {
		for _, a := range c.controllers() {
			cx, end := context.WithTimeout(ctx, claimTime)
			r, err = link.Call[R](cx, c.line, a, ask)
			end()
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

// Run works until ctx ends, then waits for its parts.
func (f *Gateway) Run(ctx context.Context) {
	f.start(ctx)
	f.wg.Wait()
}

// warmTime is how long after its start a gateway may still be getting to know the
// targets; after that it is ready without.
const warmTime = 4 * time.Second

// closedTime is how long the gate may be closed before this node is not ready. A hold
// in whose middle the core is lost closes it on all gateways alike until their leases have
// lapsed and they have found each other, or until the core is back and its courts have
// waited a lease's length: calls wait at the gate, and with all gateways not ready they
// could not even do that. Who alone is cut off knows much sooner.
const closedTime = 2*membership.Lease + 200*time.Millisecond

// Ready is what the platform is told: this node serves, and is not stopping.
func (f *Gateway) Ready() bool {
	now := f.Clock.Now()
	if _, open := f.Rack.Gate(); open {
		f.opened.Store(int64(now.Sub(f.born)) + 1)
	}
	// A hold closes the gate for a moment, on all gateways at once: that alone must
	// not take them all out of the platform's choice.
	// Who is cut off says so before its lease ends: the platform takes a second to
	// notice.
	if f.Rack.Lone() || f.resting.Load() {
		return false
	}
	if o := f.opened.Load(); o == 0 || now.Sub(f.born)-time.Duration(o) > closedTime || f.stopping.Load() {
		return false
	}
	if f.Rack.N() == 0 {
		// Nothing is bound yet: there are no targets to get to know.
		return true
	}
	if !f.warm.Load() && (f.Roster.Warm(now) || now.Sub(f.born) > warmTime) {
		f.warm.Store(true)
	}
	return f.warm.Load()
}

// Stop makes the node tell the platform that it is not ready.
func (f *Gateway) Stop() { f.stopping.Store(true) }

// Part takes leave of the others: this node serves no more, nobody need wait for
// it, and it counts no longer among the gateways.
func (f *Gateway) Part(ctx context.Context) {
	f.Tenant.Leave(ctx)
	for _, a := range f.Rack.Controllers() {
		if r, err := link.Call[rollout.PartTold](ctx, f.Line, a, rollout.PartAsk{ID: f.Startup.ID}); err == nil && r.OK {
			return
		}
	}
}

// Stopping tells whether a planned stop is under way.
func (f *Gateway) Stopping() bool { return f.stopping.Load() }

// watch probes one target run until ctx ends. Probes carry this gateway's own
// numbers; an answer that names another run proves nothing (design 10.2).
func (f *Gateway) watch(ctx context.Context, s *registry.Stand) {
	var seq uint64
	first := true
	for {
		if !s.Near() {
			if f.Clock.Sleep(ctx, probeEvery/8) != nil {
				return
			}
			continue
		}
		seq++
		go f.probe(ctx, s, seq)
		d := probeEvery
		if first {
			// A new target is worth knowing soon.
			first, d = false, probeEvery/4
		}
		if f.Clock.Sleep(ctx, d) != nil {
			return
		}
	}
}

func (f *Gateway) probe(ctx context.Context, s *registry.Stand, seq uint64) {
	sent := f.Clock.Now()
	cx, end := context.WithTimeout(ctx, probeTime)
	defer end()
	name := httpapi.TargetName(s.ID, s.Service, s.Inc)
	a, _, err := f.Courier.Carry(cx, &passage.Sending{Addr: s.Addr, Target: "probe:" + name, Number: httpapi.ProbeNumber(seq), Expiry: sent.Add(probeTime),
		Req: &passage.Request{Method: "GET", URI: httpapi.ProbeURI(seq), Host: s.Addr}})
	if err != nil || a.Status != 200 || !a.Whole {
		return
	}
	p, err := httpapi.ReadProbe(a.Body)
	if err != nil || p.Seq != seq || p.ID != s.ID || p.Service != s.Service || p.Inc != s.Inc {
		return
	}
	f.Roster.Proved(s, sent)
	s.Det.Arrive(seq, f.Clock.Now())
	if p.Leaving {
		_ = f.Roster.Drain(ctx, s.Service, s.ID, s.Inc, false)
	}
}
