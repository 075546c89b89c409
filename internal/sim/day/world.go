package day

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/control"
	"walkrudder/internal/item"
	"walkrudder/internal/proxy"
	"walkrudder/internal/route"
	"walkrudder/internal/sim/simnet"
)

// dialect is what the callers and targets of simulated days agreed on.
var dialect = proxy.HeaderNames{RequestID: "X-Id", RemainingTime: "X-Left", Seal: "X-Seal", ExpectedRun: "X-Run",
	NotRun: "X-Not-Run", RetryAfter: "Retry-After", Instance: "X-Instance"}

const (
	host      = "h.example"
	beatEvery = time.Second
	// warmUp is how long before the callers the machines start.
	warmUp = 8 * time.Second
)

// Stream is one kind of request.
type Stream struct {
	Route    string
	Repeat   route.RetryPolicy
	Service  string
	Rate     float64 // a second
	Work     time.Duration
	Aim      time.Duration
	Deadline time.Duration
	Tries    int // further ones of the caller
	Body     int // bytes of an answer
	Priority int
}

// Shape is a deployment.
type Shape struct {
	Zones, Machines, Disks, Bear int
	// Regions is how many regions the zones stand in; 0 where the deployment has none. BearZones and BearRegions are how
	// many of each may be lost at once, besides Bear machines.
	Regions, BearZones, BearRegions int
	Targets                         map[string]int // by service
	Slots, Queue, MaxConns          int
	Streams                         []Stream
	Bounds                          Bounds
	// LinkMbps is the width of each machine's link, as its gateway is told it; 0 is wide.
	LinkMbps float64
}

// Small is a deployment with three machines that have a disk, of which one may be lost.
func Small() Shape {
	return Shape{Zones: 3, Machines: 6, Disks: 3, Bear: 1, Targets: map[string]int{"orders": 7, "archive": 4}, Slots: 2, Queue: 4, MaxConns: 40, Bounds: Usual(),
		Streams: []Stream{
			{Route: "read", Repeat: route.Idempotent, Service: "orders", Rate: 30, Work: 120 * time.Millisecond, Aim: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, Tries: 2, Body: 400, Priority: 1},
			{Route: "submit", Repeat: route.AtMostOnce, Service: "orders", Rate: 15, Work: 160 * time.Millisecond, Aim: 500 * time.Millisecond, Deadline: 3 * time.Second, Tries: 2, Body: 200},
			{Route: "bundle", Repeat: route.Download, Service: "archive", Rate: 6, Work: 96 * time.Millisecond, Aim: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, Tries: 2, Body: 12 << 10, Priority: 2},
			{Route: "lookup", Repeat: route.Idempotent, Service: "archive", Rate: 12, Work: 48 * time.Millisecond, Aim: 150 * time.Millisecond, Deadline: time.Second, Tries: 1, Body: 300, Priority: 1},
		}}
}

// Narrow is the small deployment on narrow links, with downloads large enough to go on to
// the caller while they come in.
func Narrow() Shape {
	s := Small()
	s.LinkMbps = 3.2
	s.Streams = slices.Clone(s.Streams)
	for i := range s.Streams {
		if s.Streams[i].Repeat == route.Download {
			s.Streams[i].Body, s.Streams[i].Aim = 40<<10, 1500*time.Millisecond
		}
	}
	return s
}

// Heavy is the small deployment on narrow links to some of which more downloads come than they can
// carry, for callers that wait long enough to see it.
func Heavy() Shape {
	s := Narrow()
	s.Streams = slices.Clone(s.Streams)
	for i := range s.Streams {
		if s.Streams[i].Repeat == route.Download {
			s.Streams[i].Rate, s.Streams[i].Body, s.Streams[i].Deadline = 10, 160<<10, 10*time.Second
		}
	}
	return s
}

// Large is a deployment with six machines that have a disk, of which two may be lost.
func Large() Shape {
	s := Small()
	s.Zones, s.Machines, s.Disks, s.Bear = 4, 10, 6, 2
	s.Targets = map[string]int{"orders": 13, "archive": 8}
	s.Streams = slices.Clone(s.Streams)
	for i := range s.Streams {
		s.Streams[i].Rate *= 2
	}
	return s
}

// World is a deployment on the virtual clock.
type World struct {
	t     *testing.T
	Shape Shape
	ctx   context.Context
	began time.Time
	net   *simnet.Net
	dir   string
	zones map[string]string

	Machines []*Machine
	herd     *herd
	first    bool

	mu      sync.Mutex
	rnd     *rand.Rand
	rec     *Record
	seeds   []string
	closing bool     // the day is over, nothing new begins
	lasting []func() // ends the troubles that last until all was read back
	press   float64
	abuse   bool
	leavers leavers
	ackLoss float64 // the part of the acknowledgements to operators that is lost
	ids     int
	version uint64
	wg      sync.WaitGroup // of callers, operators and troubles
	procs   sync.WaitGroup // of processes
}

// Play runs a day of a length with troubles and returns what it showed. It is to run in
// a bubble of testing/synctest.
func Play(t *testing.T, seed uint64, s Shape, length time.Duration, troubles ...Trouble) *Record {
	ctx, end := context.WithCancel(t.Context())
	w := &World{t: t, Shape: s, ctx: ctx, began: time.Now(), dir: t.TempDir(), first: true, press: 1, version: 1,
		net: simnet.New(seed, 300*time.Microsecond, 600*time.Microsecond, 700*time.Microsecond), rnd: rand.New(rand.NewPCG(seed, 1)), zones: map[string]string{},
		rec: &Record{Bounds: s.Bounds, PassOn: s.LinkMbps > 0, Harmed: map[string][]*Span{}}}
	for i := range s.Zones {
		w.zones[zone(i)] = "region"
	}
	for i := range s.Machines {
		w.addMachine(i)
	}
	for _, m := range w.Machines {
		if m.disk != nil {
			w.rec.Core = append(w.rec.Core, m.ID)
			w.seeds = append(w.seeds, m.innerAddr())
		}
	}
	for _, m := range w.Machines {
		m.bootController()
		m.bootGateway()
	}
	w.first = false
	w.herd = newHerd(w)
	w.herd.startAll()
	w.firstOrder()
	time.Sleep(warmUp - w.now())
	for _, m := range w.Machines {
		w.wg.Go(m.watchReadiness)
	}
	var callers sync.WaitGroup
	for i := range s.Streams {
		for z := range s.Zones {
			callers.Go(func() { w.callers(s.Streams[i], zone(z), length) })
		}
	}
	var played sync.WaitGroup
	for _, x := range troubles {
		played.Go(func() { x(w) })
	}
	played.Wait()
	callers.Wait()
	w.sleepUntil(warmUp + length)
	w.readBack()
	all(w.lasting)()
	w.mu.Lock()
	w.closing = true
	w.rec.Length = w.now()
	for _, x := range w.rec.Spans {
		if x.To == 0 {
			x.To = w.rec.Length
		}
	}
	w.mu.Unlock()
	end()
	w.herd.end()
	for _, m := range w.Machines {
		m.host.Thaw()
		m.killAll()
	}
	w.wg.Wait()
	w.procs.Wait()
	time.Sleep(15 * time.Second) // what is still on its way gets there
	return w.rec
}

func zone(i int) string { return fmt.Sprintf("z%d", i) }

func (w *World) now() time.Duration { return time.Since(w.began) }

func (w *World) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// chance draws below n.
func (w *World) chance(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

// real draws from 0 to 1, and exp with a mean of 1.
func (w *World) real() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Float64()
}

func (w *World) exp() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.ExpFloat64()
}

// within draws a time up to d.
func (w *World) within(d time.Duration) time.Duration { return time.Duration(w.real() * float64(d)) }

func (w *World) id(prefix string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("%s%d", prefix, w.ids)
}

func (w *World) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// note changes the record.
func (w *World) note(f func(*Record)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.rec)
}

// trouble begins a span at a machine; the function that it returns ends it.
func (w *World) trouble(m *Machine, k Kind) (over func()) {
	s := &Span{Machine: m.ID, Kind: k, From: w.now()}
	w.note(func(r *Record) { r.Spans = append(r.Spans, s) })
	return func() { w.note(func(*Record) { s.To = w.now() }) }
}

// harm does so for the way to a run of a target.
func (w *World) harm(run string) (over func()) {
	s := &Span{From: w.now(), To: 1 << 62}
	w.note(func(r *Record) { r.Harmed[run] = append(r.Harmed[run], s) })
	return func() { w.note(func(*Record) { s.To = w.now() }) }
}

func pick[T any](w *World, of []T) T { return of[w.chance(len(of))] }

// some draws k different ones.
func some[T any](w *World, of []T, k int) []T {
	of = slices.Clone(of)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rnd.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
	return of[:min(k, len(of))]
}

func (w *World) seedList() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.seeds)
}

func quietLog() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}

// controllers are the machines that serve the control plane.
func (w *World) controllers() (out []*Machine) {
	for _, m := range w.Machines {
		if m.serves {
			out = append(out, m)
		}
	}
	return out
}

// core are the machines with a disk.
func (w *World) core() (out []*Machine) {
	for _, m := range w.Machines {
		if m.disk != nil {
			out = append(out, m)
		}
	}
	return out
}

func (w *World) machine(id string) *Machine {
	i := slices.IndexFunc(w.Machines, func(m *Machine) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return w.Machines[i]
}

func (w *World) diskDir(id string) string { return filepath.Join(w.dir, id) }

// routeOf is a stream's route at a version.
func (s Stream) route(version uint64, to ...route.Share) route.Route {
	return route.Route{Name: s.Route, Version: version, Host: host, Prefix: "/" + s.Route + "/", Repeat: s.Repeat, AimMS: int(s.Aim.Milliseconds()), Priority: s.Priority,
		Attempts: 3, Shares: to, Source: fmt.Appendf(nil, "%s %d %v", s.Route, version, to)}
}

func only(service string) route.Share { return route.Share{Service: service, Weight: 1} }

// firstChange declares everything.
func (w *World) firstChange() control.Change {
	c := control.Change{Limits: &route.Limits{Version: 1, HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderMS: 3000, IdleMS: 15000}}
	for name := range w.Shape.Targets {
		c.Services = append(c.Services, route.Service{Name: name, Version: 1, Health: "/health", MaxConns: w.Shape.MaxConns, Source: []byte(name)})
	}
	for _, s := range w.Shape.Streams {
		c.Routes = append(c.Routes, s.route(1, only(s.Service)))
	}
	return c
}

// itemsOf are the items of a change.
func itemsOf(c control.Change) (out []item.Item) {
	for _, s := range c.Services {
		out = append(out, s.Item())
	}
	for _, r := range c.Routes {
		out = append(out, r.Item())
	}
	if c.Limits != nil {
		out = append(out, c.Limits.Item())
	}
	for _, d := range c.Drops {
		out = append(out, item.Item{Key: item.Key{Kind: d.Kind, Name: d.Name}, Version: d.Version, Gone: true})
	}
	return out
}
