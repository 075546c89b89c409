package day

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// targetSet holds all targets of a world.
type targetSet struct {
	world *World

	mu        sync.Mutex
	running   []*Target
	hostCount int
	// versions are the software versions of services after a completed upgrade.
	versions map[string]softwareVersion
	// retired are versions with which no more targets are started.
	retired map[string]bool
	wg      sync.WaitGroup
}

// softwareVersion is a version of a service's software and its defect.
type softwareVersion struct {
	name   string
	defect Defect
}

// versionOf returns the current software version of a service.
func (h *targetSet) versionOf(service string) (string, Defect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.versions[service]
	if !ok {
		return firstVersion, Defect{}
	}
	return v.name, v.defect
}

// setVersion sets the software version of targets that a service starts from now on.
func (h *targetSet) setVersion(service, version string, defect Defect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[service] = softwareVersion{version, defect}
}

func newTargetSet(w *World) *targetSet {
	return &targetSet{world: w, versions: map[string]softwareVersion{}, retired: map[string]bool{}}
}

// startInitial starts the targets that the deployment declares.
func (h *targetSet) startInitial() {
	names := make([]string, 0, len(h.world.Deployment.Targets))
	for n := range h.world.Deployment.Targets {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		for i := range h.world.Deployment.Targets[n] {
			h.start(n, zone(i%h.world.Deployment.Zones), nil)
		}
	}
}

// start starts a run of the service's current version, on a new host or on one that another run has left.
func (h *targetSet) start(service, zone string, on *simnet.Host) *Target {
	version, defect := h.versionOf(service)
	return h.startVersion(service, zone, on, version, defect)
}

// replace starts a run in place of one that ended, with the same version unless that is retired.
func (h *targetSet) replace(t *Target) *Target {
	h.mu.Lock()
	retired := h.retired[t.Version]
	h.mu.Unlock()
	if retired {
		return h.start(t.Service, t.Zone, t.host)
	}
	return h.startVersion(t.Service, t.Zone, t.host, t.Version, t.defect)
}

// retire prevents targets from being started with a version.
func (h *targetSet) retire(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired[version] = true
}

// startVersion starts a run of a version.
func (h *targetSet) startVersion(service, zone string, on *simnet.Host, version string, defect Defect) *Target {
	w := h.world
	if w.isFinished() {
		return nil
	}
	h.mu.Lock()
	if on == nil {
		h.hostCount++
		on = w.net.Host(fmt.Sprintf("t%d", h.hostCount), zone)
	}
	h.mu.Unlock()
	on.SetPowerOff(false)
	on.Thaw()
	t := &Target{world: w, ID: w.newID("i-"), Service: service, Zone: zone, Version: version, defect: defect, host: on, state: target.Ready, startedAt: w.now(), warmup: 3 * time.Second,
		workFactor: 0.7 + 0.6*w.randFloat(), idleSeconds: 2 + w.randIntN(8), drainStarted: make(chan struct{}), drainAcked: make(chan struct{}), ended: make(chan struct{})}
	t.proc = on.Start(w.ctx, "http")
	ln := t.proc.Listen()
	t.proc.Register(nil)
	h.mu.Lock()
	h.running = append(h.running, t)
	h.mu.Unlock()
	h.wg.Go(func() { t.accept(ln) })
	h.wg.Go(t.sendHeartbeats)
	return t
}

// ready returns the runs of a service that are ready, or of all services for "".
func (h *targetSet) ready(service string) (out []*Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.running {
		if (service == "" || t.Service == service) && t.currentState() == target.Ready {
			out = append(out, t)
		}
	}
	return out
}

func (h *targetSet) killAll() {
	h.mu.Lock()
	list := slices.Clone(h.running)
	h.mu.Unlock()
	for _, t := range list {
		t.host.Thaw()
		t.kill()
	}
	h.wg.Wait()
}

func (t *Target) currentState() target.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}
