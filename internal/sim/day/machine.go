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
	controllerName = "controller"
	gatewayName    = "gateway"
	// controllerStopTime is how long a stopping controller keeps answering.
	controllerStopTime = 300 * time.Millisecond
	// readinessInterval is how often a machine's readiness is checked. After two failed checks it
	// receives no new callers.
	readinessInterval = time.Second
)

// Machine runs a gateway and, if hasController is set, a controller.
type Machine struct {
	world         *World
	ID            string
	Zone          string
	host          *simnet.Host
	disk          *simnet.Disk
	hasController bool

	startMu sync.Mutex // held while a process is started, which takes no virtual time

	mu                sync.Mutex
	controller        *control.Node
	controllerProcess *process
	gateway           *proxy.Node
	subscriber        *watch.Subscriber
	gatewayProcess    *process
	gatewayRuns       int // number of starts of the gateway
	inRotation        bool
	failedChecks      int
	incarnation       uint64
	stopping          bool // an orderly shutdown is in progress
}

// process is one run of a controller or gateway.
type process struct {
	proc *simnet.Proc
	done chan struct{}
}

func (w *World) addMachine(i int) {
	s := w.Deployment
	id := fmt.Sprintf("m%d", i)
	m := &Machine{world: w, ID: id, Zone: zone(i % s.Zones), host: w.net.Host(id, zone(i%s.Zones)), hasController: i < max(s.Disks, 2*s.Zones), inRotation: true}
	if i < s.Disks {
		dir := w.diskDir(id)
		if err := os.Mkdir(dir, 0o700); err != nil {
			w.t.Fatal(err)
		}
		m.disk = simnet.NewDisk(rand.New(rand.NewPCG(w.rng.Uint64(), 3)), dir)
	}
	w.Machines = append(w.Machines, m)
}

func (m *Machine) internalAddr() string { return simnet.Addr(m.ID, controllerName) }
func (m *Machine) gatewayAddr() string  { return simnet.Addr(m.ID, gatewayName) }

func (m *Machine) nextIncarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnation += 1 + uint64(m.world.randIntN(1000))
	return m.incarnation
}

// startController starts the controller if the machine has one and it is not running.
func (m *Machine) startController() {
	w := m.world
	m.startMu.Lock()
	defer m.startMu.Unlock()
	if !m.hasController || m.runningController() != nil || w.isFinished() {
		return
	}
	p := m.host.Start(w.ctx, controllerName)
	incarnation := m.nextIncarnation()
	cfg := control.Config{Settings: control.Settings{ID: m.ID, Zone: m.Zone, Region: w.Deployment.region(m.Zone), Zones: w.Deployment.regions(), InternalAddr: m.internalAddr(), PublicAddr: m.internalAddr(), Seeds: w.seedList(),
		Tolerance: quorum.Tolerance{Machines: w.Deployment.MaxLostMachines, Zones: w.Deployment.MaxLostZones, Regions: w.Deployment.MaxLostRegions}, InitialStart: w.initialStart, HeartbeatInterval: heartbeatInterval},
		Incarnation: incarnation, NewDiskID: fmt.Sprintf("%s-%d", m.ID, incarnation), Transport: simnet.LinkClient{Proc: p}, Clock: simnet.Clock{Proc: p}, Log: discardLogger()}
	l := &process{proc: p, done: make(chan struct{})}
	cfg.OnDiskFailure = func(error) { go m.endController(l) }
	var h *simnet.Handle
	var journal *storage.FileJournal
	if m.disk != nil {
		h = &simnet.Handle{Disk: m.disk, Proc: p, SkipDelay: true}
		journal = storage.OpenJournal(m.disk.Dir, "runs.journal")
		cfg.Disk, cfg.RunJournal = h, journal
	}
	n, err := control.New(cfg)
	if err != nil {
		// On a disk that refuses writes the process exits at once; the platform restarts it when the disk works again.
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
	m.controller, m.controllerProcess = n, l
	m.mu.Unlock()
	p.Register(n.Mux)
	w.processes.Go(func() {
		n.Run(p.Context())
		if journal != nil {
			_ = journal.Close()
		}
		close(l.done)
	})
}

// startGateway starts the gateway if it is not running.
func (m *Machine) startGateway() {
	w := m.world
	m.startMu.Lock()
	defer m.startMu.Unlock()
	if m.runningGateway() != nil || w.isFinished() {
		return
	}
	p := m.host.Start(w.ctx, gatewayName)
	s := w.Deployment
	settings := proxy.Settings{ID: m.ID, Zone: m.Zone, Zones: w.zones, Headers: headerNames, BudgetRatio: s.Bounds.BudgetRatio, BudgetWindow: s.Bounds.BudgetWindow, BudgetSlack: s.Bounds.BudgetSlack,
		MemoryMB: 284, MaxFiles: 4100, LinkMbps: s.LinkMbps, Grace: s.Bounds.Grace, NewsWithin: s.Bounds.Apply, NewsLost: s.Bounds.Contact}
	if err := settings.Check(); err != nil {
		w.t.Fatal(err)
	}
	n := proxy.New(proxy.Config{Settings: settings, Clock: simnet.Clock{Proc: p}, Log: discardLogger(), Dial: p.Dial})
	subscriber := &watch.Subscriber{Me: watch.Member{ID: m.ID, Kind: watch.Gateway, Zone: m.Zone, Inc: m.nextIncarnation()}, Transport: simnet.LinkClient{Proc: p}, Clock: simnet.Clock{Proc: p}, Log: discardLogger(), ChangeDeadline: s.Bounds.Apply, SlowLink: settings.NarrowLink()}
	n.Follow(subscriber)
	subscriber.Init(w.seedList())
	l := &process{proc: p, done: make(chan struct{})}
	ln := p.Listen()
	m.mu.Lock()
	m.gateway, m.subscriber, m.gatewayProcess = n, subscriber, l
	m.gatewayRuns++
	m.mu.Unlock()
	p.Register(link.NewMux())
	w.processes.Go(func() {
		var wg sync.WaitGroup
		wg.Go(func() { _ = n.Serve(ln) }) // returns when the process ends
		wg.Go(func() { subscriber.Run(p.Context()) })
		wg.Go(func() { n.Run(p.Context()) })
		reporter := &upgrade.Reporter{Transport: simnet.LinkClient{Proc: p}, Clock: simnet.Clock{Proc: p}, Incarnation: subscriber.Me.Inc, Reports: n.UpgradeReports, Controllers: subscriber.Controllers}
		wg.Go(func() { reporter.Run(p.Context()) })
		wg.Wait()
		close(l.done)
	})
}

func (m *Machine) runningController() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controllerProcess
}

func (m *Machine) runningGateway() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gatewayProcess
}

func (m *Machine) controllerNode() *control.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controller
}

// endProcess kills one process, waits for its end and clears the references to it.
func (m *Machine) endProcess(l *process, clear func()) {
	if l == nil {
		return
	}
	l.proc.Kill()
	<-l.done
	m.mu.Lock()
	defer m.mu.Unlock()
	clear()
}

func (m *Machine) endController(l *process) {
	m.endProcess(l, func() {
		if m.controllerProcess == l {
			m.controller, m.controllerProcess = nil, nil
		}
	})
}

func (m *Machine) endGateway(l *process) {
	m.endProcess(l, func() {
		if m.gatewayProcess == l {
			m.gateway, m.subscriber, m.gatewayProcess = nil, nil, nil
		}
	})
}

func (m *Machine) killController() { m.endController(m.runningController()) }
func (m *Machine) killGateway()    { m.endGateway(m.runningGateway()) }

// killAll kills all processes of the machine at the same time.
func (m *Machine) killAll() {
	var wg sync.WaitGroup
	wg.Go(m.killController)
	wg.Go(m.killGateway)
	wg.Wait()
}

// startAll starts the processes that are not running.
func (m *Machine) startAll() {
	m.startController()
	m.startGateway()
}

// powerLoss kills all processes at the same time and discards disk writes that were not synced.
func (m *Machine) powerLoss() {
	m.host.SetPowerOff(true)
	m.killAll()
	if m.disk != nil {
		if err := m.disk.PowerLoss(); err != nil {
			m.world.t.Error(err)
		}
	}
}

// stop shuts the machine's processes down in order, as a SIGTERM does, followed by a SIGKILL after
// the grace period.
func (m *Machine) stop() {
	w := m.world
	var wg sync.WaitGroup
	m.mu.Lock()
	if m.stopping {
		m.mu.Unlock()
		return // the goroutine that began the shutdown completes it
	}
	m.stopping = true
	gateway, gatewayNode, controllerProc, controller := m.gatewayProcess, m.gateway, m.controllerProcess, m.controller
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.stopping = false
	}()
	if gateway != nil {
		w.updateRecord(func(r *Record) { r.GatewayStops = append(r.GatewayStops, GatewayStop{m.ID, w.now()}) })
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(gateway.proc.Context(), w.Deployment.Bounds.Grace)
			defer cancel()
			_ = gatewayNode.Stop(ctx) // requests that it could not finish are seen by their callers
			m.endGateway(gateway)
		})
	}
	if controllerProc != nil {
		wg.Go(func() {
			controller.Stop()
			time.Sleep(controllerStopTime)
			m.endController(controllerProc)
		})
	}
	wg.Wait()
}

// watchReadiness checks the machine's readiness every second, as a load balancer in front of it does.
func (m *Machine) watchReadiness() {
	probe := m.world.net.Host("ready-"+m.ID, m.Zone).Start(m.world.ctx, "watch")
	defer probe.Kill()
	for m.world.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(m.world.ctx, readinessInterval)
		ok, err := simnet.RemoteCall(ctx, probe, m.gatewayAddr(), func(context.Context, *simnet.Proc) (bool, error) {
			m.mu.Lock()
			n := m.gateway
			m.mu.Unlock()
			return n != nil && n.Ready(), nil
		})
		cancel()
		m.mu.Lock()
		if ok && err == nil {
			m.inRotation, m.failedChecks = true, 0
		} else if m.failedChecks++; m.failedChecks >= 2 {
			m.inRotation = false
		}
		m.mu.Unlock()
		t := time.NewTimer(readinessInterval)
		select {
		case <-t.C:
		case <-m.world.ctx.Done():
		}
		t.Stop()
	}
}

// rotationState reports whether the machine receives new callers, and how often its gateway was started.
func (m *Machine) rotationState() (inRotation bool, runs int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inRotation, m.gatewayRuns
}
