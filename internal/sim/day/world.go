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

// headerNames are the header names that simulated callers and targets use.
var headerNames = proxy.HeaderNames{RequestID: "X-Id", RemainingTime: "X-Left", Seal: "X-Seal", ExpectedRun: "X-Run",
	NotRun: "X-Not-Run", RetryAfter: "Retry-After", Instance: "X-Instance"}

const (
	requestHost       = "h.example"
	heartbeatInterval = time.Second
	// warmUp is how long the machines run before the first callers.
	warmUp = 8 * time.Second
)

// Stream is a stream of requests of one kind.
type Stream struct {
	Route         string
	Repeat        route.RetryPolicy
	Service       string
	Rate          float64 // requests per second
	WorkTime      time.Duration
	LatencyTarget time.Duration
	Deadline      time.Duration
	Retries       int // by the caller, after the first attempt
	BodyBytes     int // of a response
	Priority      int
}

// Deployment describes the machines, targets and traffic of a simulated system.
type Deployment struct {
	Zones, Machines, Disks, MaxLostMachines int
	// Regions is the number of regions that the zones belong to; 0 if the deployment has none. MaxLostZones and
	// MaxLostRegions are how many zones and regions may be lost at once, in addition to MaxLostMachines machines.
	Regions, MaxLostZones, MaxLostRegions int
	Targets                               map[string]int // number of targets by service
	Slots, Queue, MaxConns                int
	Streams                               []Stream
	Bounds                                Bounds
	// LinkMbps is the bandwidth of each machine's link as configured at its gateway; 0 is unlimited.
	LinkMbps float64
}

// SmallDeployment has three machines with a disk, of which one may be lost.
func SmallDeployment() Deployment {
	return Deployment{Zones: 3, Machines: 6, Disks: 3, MaxLostMachines: 1, Targets: map[string]int{"orders": 7, "archive": 4}, Slots: 2, Queue: 4, MaxConns: 40, Bounds: DefaultBounds(),
		Streams: []Stream{
			{Route: "read", Repeat: route.Idempotent, Service: "orders", Rate: 30, WorkTime: 120 * time.Millisecond, LatencyTarget: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, Retries: 2, BodyBytes: 400, Priority: 1},
			{Route: "submit", Repeat: route.AtMostOnce, Service: "orders", Rate: 15, WorkTime: 160 * time.Millisecond, LatencyTarget: 500 * time.Millisecond, Deadline: 3 * time.Second, Retries: 2, BodyBytes: 200},
			{Route: "bundle", Repeat: route.Download, Service: "archive", Rate: 6, WorkTime: 96 * time.Millisecond, LatencyTarget: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, Retries: 2, BodyBytes: 12 << 10, Priority: 2},
			{Route: "lookup", Repeat: route.Idempotent, Service: "archive", Rate: 12, WorkTime: 48 * time.Millisecond, LatencyTarget: 150 * time.Millisecond, Deadline: time.Second, Retries: 1, BodyBytes: 300, Priority: 1},
		}}
}

// NarrowLinkDeployment is the small deployment on narrow links, with downloads large enough to be
// forwarded to the caller while they are still being received.
func NarrowLinkDeployment() Deployment {
	s := SmallDeployment()
	s.LinkMbps = 3.2
	s.Streams = slices.Clone(s.Streams)
	for i := range s.Streams {
		if s.Streams[i].Repeat == route.Download {
			s.Streams[i].BodyBytes, s.Streams[i].LatencyTarget = 40<<10, 1500*time.Millisecond
		}
	}
	return s
}

// OverloadedLinkDeployment is the small deployment on narrow links, some of which receive more downloads than they can
// carry. The callers wait long enough to observe it.
func OverloadedLinkDeployment() Deployment {
	s := NarrowLinkDeployment()
	s.Streams = slices.Clone(s.Streams)
	for i := range s.Streams {
		if s.Streams[i].Repeat == route.Download {
			s.Streams[i].Rate, s.Streams[i].BodyBytes, s.Streams[i].Deadline = 10, 160<<10, 10*time.Second
		}
	}
	return s
}

// LargeDeployment has six machines with a disk, of which two may be lost.
func LargeDeployment() Deployment {
	s := SmallDeployment()
	s.Zones, s.Machines, s.Disks, s.MaxLostMachines = 4, 10, 6, 2
	s.Targets = map[string]int{"orders": 13, "archive": 8}
	s.Streams = slices.Clone(s.Streams)
	for i := range s.Streams {
		s.Streams[i].Rate *= 2
	}
	return s
}

// World is a running deployment on the virtual clock.
type World struct {
	t          *testing.T
	Deployment Deployment
	ctx        context.Context
	startedAt  time.Time
	net        *simnet.Net
	dir        string
	zones      map[string]string

	Machines     []*Machine
	targets      *targetSet
	initialStart bool

	mu                sync.Mutex
	rng               *rand.Rand
	record            *Record
	seeds             []string
	finished          bool     // the day has ended and nothing new may start
	finalCleanups     []func() // ends the faults that last until the final read
	loadFactor        float64
	aggressiveRetries bool
	disconnects       disconnectRate
	ackLossRate       float64 // the share of acknowledgements to operators that is lost
	lastID            int
	version           uint64
	activities        sync.WaitGroup // callers, operators and scenarios
	processes         sync.WaitGroup // processes of machines
}

// RunDay simulates a day of the given length with scenarios and returns its record. It must run
// inside a testing/synctest bubble.
func RunDay(t *testing.T, seed uint64, s Deployment, length time.Duration, scenarios ...Scenario) *Record {
	ctx, cancel := context.WithCancel(t.Context())
	w := &World{t: t, Deployment: s, ctx: ctx, startedAt: time.Now(), dir: t.TempDir(), initialStart: true, loadFactor: 1, version: 1,
		net: simnet.New(seed, 300*time.Microsecond, 600*time.Microsecond, 700*time.Microsecond), rng: rand.New(rand.NewPCG(seed, 1)), zones: map[string]string{},
		record: &Record{Bounds: s.Bounds, ForwardsEarly: s.LinkMbps > 0, TargetPathFaults: map[string][]*FaultSpan{}}}
	for i := range s.Zones {
		w.zones[zone(i)] = "region"
	}
	for i := range s.Machines {
		w.addMachine(i)
	}
	for _, m := range w.Machines {
		if m.disk != nil {
			w.record.CoreMachines = append(w.record.CoreMachines, m.ID)
			w.seeds = append(w.seeds, m.internalAddr())
		}
	}
	for _, m := range w.Machines {
		m.startController()
		m.startGateway()
	}
	w.initialStart = false
	w.targets = newTargetSet(w)
	w.targets.startInitial()
	w.sendInitialChange()
	time.Sleep(warmUp - w.now())
	for _, m := range w.Machines {
		w.activities.Go(m.watchReadiness)
	}
	var callers sync.WaitGroup
	for i := range s.Streams {
		for z := range s.Zones {
			callers.Go(func() { w.runCallers(s.Streams[i], zone(z), length) })
		}
	}
	var running sync.WaitGroup
	for _, x := range scenarios {
		running.Go(func() { x(w) })
	}
	running.Wait()
	callers.Wait()
	w.sleepUntil(warmUp + length)
	w.readFinalConfiguration()
	runAll(w.finalCleanups)()
	w.mu.Lock()
	w.finished = true
	w.record.Length = w.now()
	for _, x := range w.record.Faults {
		if x.To == 0 {
			x.To = w.record.Length
		}
	}
	w.mu.Unlock()
	cancel()
	w.targets.killAll()
	for _, m := range w.Machines {
		m.host.Thaw()
		m.killAll()
	}
	w.activities.Wait()
	w.processes.Wait()
	time.Sleep(15 * time.Second) // lets messages that are still in transit arrive
	return w.record
}

func zone(i int) string { return fmt.Sprintf("z%d", i) }

func (w *World) now() time.Duration { return time.Since(w.startedAt) }

func (w *World) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }

// randIntN returns a random integer in [0, n).
func (w *World) randIntN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// randFloat returns a random number in [0, 1).
func (w *World) randFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// randExp returns an exponentially distributed random number with a mean of 1.
func (w *World) randExp() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.ExpFloat64()
}

// randDuration returns a random duration in [0, d).
func (w *World) randDuration(d time.Duration) time.Duration {
	return time.Duration(w.randFloat() * float64(d))
}

func (w *World) newID(prefix string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%s%d", prefix, w.lastID)
}

func (w *World) isFinished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finished
}

// updateRecord changes the record under the lock.
func (w *World) updateRecord(f func(*Record)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.record)
}

// beginFault records the start of a fault of a machine; the returned function records its end.
func (w *World) beginFault(m *Machine, k FaultKind) (end func()) {
	s := &FaultSpan{Machine: m.ID, Kind: k, From: w.now()}
	w.updateRecord(func(r *Record) { r.Faults = append(r.Faults, s) })
	return func() { w.updateRecord(func(*Record) { s.To = w.now() }) }
}

// beginTargetPathFault does the same for the network path to a run of a target.
func (w *World) beginTargetPathFault(run string) (end func()) {
	s := &FaultSpan{From: w.now(), To: 1 << 62}
	w.updateRecord(func(r *Record) { r.TargetPathFaults[run] = append(r.TargetPathFaults[run], s) })
	return func() { w.updateRecord(func(*Record) { s.To = w.now() }) }
}

func pickOne[T any](w *World, of []T) T { return of[w.randIntN(len(of))] }

// pickN returns k random distinct elements of a list.
func pickN[T any](w *World, of []T, k int) []T {
	of = slices.Clone(of)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rng.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
	return of[:min(k, len(of))]
}

func (w *World) seedList() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.seeds)
}

func discardLogger() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}

// controllers returns the machines that run a controller.
func (w *World) controllers() (out []*Machine) {
	for _, m := range w.Machines {
		if m.hasController {
			out = append(out, m)
		}
	}
	return out
}

// coreMachines returns the machines that have a disk.
func (w *World) coreMachines() (out []*Machine) {
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

// route returns the stream's route at a version.
func (s Stream) route(version uint64, to ...route.Share) route.Route {
	return route.Route{Name: s.Route, Version: version, Host: requestHost, Prefix: "/" + s.Route + "/", Repeat: s.Repeat, AimMS: int(s.LatencyTarget.Milliseconds()), Priority: s.Priority,
		Attempts: 3, Shares: to, Source: fmt.Appendf(nil, "%s %d %v", s.Route, version, to)}
}

func singleShare(service string) route.Share { return route.Share{Service: service, Weight: 1} }

// initialChange declares all services, routes and limits.
func (w *World) initialChange() control.Change {
	c := control.Change{Limits: &route.Limits{Version: 1, HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderMS: 3000, IdleMS: 15000}}
	for name := range w.Deployment.Targets {
		c.Services = append(c.Services, route.Service{Name: name, Version: 1, Health: "/health", MaxConns: w.Deployment.MaxConns, Source: []byte(name)})
	}
	for _, s := range w.Deployment.Streams {
		c.Routes = append(c.Routes, s.route(1, singleShare(s.Service)))
	}
	return c
}

// changeItems returns the items of a change.
func changeItems(c control.Change) (out []item.Item) {
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
