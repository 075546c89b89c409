package day

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"walkrudder/internal/control"
	"walkrudder/internal/link"
	"walkrudder/internal/proxy"
	"walkrudder/internal/quorum"
	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/storage"
	"walkrudder/internal/upgrade"
	"walkrudder/internal/watch"
)

const (
	controllerPart = "controller"
	gatewayPart    = "gateway"
	// goingTime is how long a controller that stops still answers.
	goingTime = 300 * time.Millisecond
	// readyEvery is how often a machine is asked whether it is ready; after two misses it
	// gets no new callers.
	readyEvery = time.Second
)

// Machine runs a gateway, and where it serves a controller beside it.
type Machine struct {
	w      *World
	ID     string
	Zone   string
	host   *simnet.Host
	disk   *simnet.Disk
	serves bool

	booting sync.Mutex // held while a process is started, which takes no time

	mu            sync.Mutex
	controller    *control.Node
	controllerRun *life
	gateway       *proxy.Node
	sub           *watch.Subscriber
	gatewayRun    *life
	lives         int // of the gateway
	in            bool
	misses        int
	inc           uint64
	ending        bool // a planned stop is under way
}

// life is one run of a process.
type life struct {
	p    *simnet.Proc
	done chan struct{}
}

func (w *World) addMachine(i int) {
	s := w.Shape
	id := fmt.Sprintf("m%d", i)
	m := &Machine{w: w, ID: id, Zone: zone(i % s.Zones), host: w.net.Host(id, zone(i%s.Zones)), serves: i < max(s.Disks, 2*s.Zones), in: true}
	if i < s.Disks {
		dir := w.diskDir(id)
		if err := os.Mkdir(dir, 0o700); err != nil {
			w.t.Fatal(err)
		}
		m.disk = simnet.NewDisk(rand.New(rand.NewPCG(w.rnd.Uint64(), 3)), dir)
	}
	w.Machines = append(w.Machines, m)
}

func (m *Machine) innerAddr() string { return simnet.Addr(m.ID, controllerPart) }
func (m *Machine) frontAddr() string { return simnet.Addr(m.ID, gatewayPart) }

func (m *Machine) nextInc() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inc += 1 + uint64(m.w.chance(1000))
	return m.inc
}

// bootController starts the controller, if the machine has one and it does not run.
func (m *Machine) bootController() {
	w := m.w
	m.booting.Lock()
	defer m.booting.Unlock()
	if !m.serves || m.controllerLife() != nil || w.over() {
		return
	}
	p := m.host.Start(w.ctx, controllerPart)
	inc := m.nextInc()
	parts := control.Parts{Settings: control.Settings{ID: m.ID, Zone: m.Zone, Region: w.Shape.region(m.Zone), Zones: w.Shape.regions(), InternalAddr: m.innerAddr(), PublicAddr: m.innerAddr(), Seeds: w.seedList(),
		Tolerance: quorum.Tolerance{Machines: w.Shape.Bear, Zones: w.Shape.BearZones, Regions: w.Shape.BearRegions}, InitialStart: w.first, HeartbeatInterval: beatEvery},
		Incarnation: inc, NewDiskID: fmt.Sprintf("%s-%d", m.ID, inc), Line: simnet.LinkClient{Proc: p}, Clock: simnet.Clock{Proc: p}, Log: quietLog()}
	l := &life{p: p, done: make(chan struct{})}
	parts.OnDiskFailure = func(error) { go m.endController(l) }
	var h *simnet.Handle
	var notes *storage.FileJournal
	if m.disk != nil {
		h = &simnet.Handle{Disk: m.disk, Proc: p, SkipDelay: true}
		notes = storage.OpenJournal(m.disk.Dir, "runs.journal")
		parts.Disk, parts.RunJournal = h, notes
	}
	n, err := control.New(parts)
	if err != nil {
		// On a disk that refuses a process ends at once; the platform starts it again when that is over.
		if m.disk == nil || !m.disk.Failing() {
			w.t.Errorf("%s can't start: %v", m.ID, err)
		}
		p.Kill()
		return
	}
	if h != nil {
		h.SkipDelay = false
	}
	m.mu.Lock()
	m.controller, m.controllerRun = n, l
	m.mu.Unlock()
	p.Register(n.Desk)
	w.procs.Go(func() {
		n.Run(p.Context())
		if notes != nil {
			_ = notes.Close()
		}
		close(l.done)
	})
}

// bootGateway starts the gateway, if it does not run.
func (m *Machine) bootGateway() {
	w := m.w
	m.booting.Lock()
	defer m.booting.Unlock()
	if m.gatewayLife() != nil || w.over() {
		return
	}
	p := m.host.Start(w.ctx, gatewayPart)
	s := w.Shape
	set := proxy.Settings{ID: m.ID, Zone: m.Zone, Zones: w.zones, Headers: dialect, BudgetRatio: s.Bounds.BudgetRatio, BudgetWindow: s.Bounds.BudgetWindow, BudgetSlack: s.Bounds.BudgetSlack,
		MemoryMB: 284, MaxFiles: 4100, LinkMbps: s.LinkMbps, Grace: s.Bounds.Grace, NewsWithin: s.Bounds.Apply, NewsLost: s.Bounds.Contact}
	if err := set.Check(); err != nil {
		w.t.Fatal(err)
	}
	n := proxy.New(proxy.Options{Settings: set, Clock: simnet.Clock{Proc: p}, Log: quietLog(), Dial: p.Dial})
	sub := &watch.Subscriber{Me: watch.Member{ID: m.ID, Kind: watch.Gateway, Zone: m.Zone, Inc: m.nextInc()}, Line: simnet.LinkClient{Proc: p}, Clock: simnet.Clock{Proc: p}, Log: quietLog(), Within: s.Bounds.Apply, Narrow: set.NarrowLink()}
	n.Follow(sub)
	sub.Init(w.seedList())
	l := &life{p: p, done: make(chan struct{})}
	ln := p.Listen()
	m.mu.Lock()
	m.gateway, m.sub, m.gatewayRun = n, sub, l
	m.lives++
	m.mu.Unlock()
	p.Register(link.NewDesk())
	w.procs.Go(func() {
		var wg sync.WaitGroup
		wg.Go(func() { _ = n.Serve(ln) }) // ends with the process
		wg.Go(func() { sub.Run(p.Context()) })
		wg.Go(func() { n.Run(p.Context()) })
		reporter := &upgrade.Reporter{Line: simnet.LinkClient{Proc: p}, Clock: simnet.Clock{Proc: p}, Inc: sub.Me.Inc, Reports: n.UpgradeReports, Controllers: sub.Controllers}
		wg.Go(func() { reporter.Run(p.Context()) })
		wg.Wait()
		close(l.done)
	})
}

func (m *Machine) controllerLife() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controllerRun
}

func (m *Machine) gatewayLife() *life {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gatewayRun
}

func (m *Machine) node() *control.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controller
}

// end kills one life, and has what was of it forgotten.
func (m *Machine) end(l *life, forget func()) {
	if l == nil {
		return
	}
	l.p.Kill()
	<-l.done
	m.mu.Lock()
	defer m.mu.Unlock()
	forget()
}

func (m *Machine) endController(l *life) {
	m.end(l, func() {
		if m.controllerRun == l {
			m.controller, m.controllerRun = nil, nil
		}
	})
}

func (m *Machine) endGateway(l *life) {
	m.end(l, func() {
		if m.gatewayRun == l {
			m.gateway, m.sub, m.gatewayRun = nil, nil, nil
		}
	})
}

func (m *Machine) killController() { m.endController(m.controllerLife()) }
func (m *Machine) killGateway()    { m.endGateway(m.gatewayLife()) }

// killAll kills all processes of the machine at one moment.
func (m *Machine) killAll() {
	var wg sync.WaitGroup
	wg.Go(m.killController)
	wg.Go(m.killGateway)
	wg.Wait()
}

// bootAll starts what does not run.
func (m *Machine) bootAll() {
	m.bootController()
	m.bootGateway()
}

// powerLoss ends everything at one moment, with what the disk had not synced.
func (m *Machine) powerLoss() {
	m.host.SetPowerOff(true)
	m.killAll()
	if m.disk != nil {
		if err := m.disk.PowerLoss(); err != nil {
			m.w.t.Error(err)
		}
	}
}

// stop ends the machine's processes in order, as a SIGTERM does, and a SIGKILL after the
// grace.
func (m *Machine) stop() {
	w := m.w
	var wg sync.WaitGroup
	m.mu.Lock()
	if m.ending {
		m.mu.Unlock()
		return // the one who began it ends it
	}
	m.ending = true
	fl, n, ml, controller := m.gatewayRun, m.gateway, m.controllerRun, m.controller
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ending = false
	}()
	if fl != nil {
		w.note(func(r *Record) { r.Stops = append(r.Stops, Stop{m.ID, w.now()}) })
		wg.Go(func() {
			cx, end := context.WithTimeout(fl.p.Context(), w.Shape.Bounds.Grace)
			defer end()
			_ = n.Stop(cx) // what it could not finish shows at the callers
			m.endGateway(fl)
		})
	}
	if ml != nil {
		wg.Go(func() {
			controller.Stop()
			time.Sleep(goingTime)
			m.endController(ml)
		})
	}
	wg.Wait()
}

// watchReadiness asks the machine each second, as the callers' side does.
func (m *Machine) watchReadiness() {
	me := m.w.net.Host("ready-"+m.ID, m.Zone).Start(m.w.ctx, "watch")
	defer me.Kill()
	for m.w.ctx.Err() == nil {
		cx, end := context.WithTimeout(m.w.ctx, readyEvery)
		ok, err := simnet.RemoteCall(cx, me, m.frontAddr(), func(context.Context, *simnet.Proc) (bool, error) {
			m.mu.Lock()
			n := m.gateway
			m.mu.Unlock()
			return n != nil && n.Ready(), nil
		})
		end()
		m.mu.Lock()
		if ok && err == nil {
			m.in, m.misses = true, 0
		} else if m.misses++; m.misses >= 2 {
			m.in = false
		}
		m.mu.Unlock()
		t := time.NewTimer(readyEvery)
		select {
		case <-t.C:
		case <-m.w.ctx.Done():
		}
		t.Stop()
	}
}

func (m *Machine) isIn() (in bool, lives int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.in, m.lives
}
