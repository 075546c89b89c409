package day

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// herd are all targets of a world.
type herd struct {
	w *World

	mu    sync.Mutex
	list  []*Target // that run
	hosts int
	// versions are those that services have after a completed upgrade.
	versions map[string]softwareVersion
	// retired are versions that no target starts with any more.
	retired map[string]bool
	wg      sync.WaitGroup
}

// softwareVersion is a version of a service's software and what is wrong with it.
type softwareVersion struct {
	name string
	flaw Flaw
}

// versionOf is the version that a service has.
func (h *herd) versionOf(service string) (string, Flaw) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, ok := h.versions[service]
	if !ok {
		return firstVersion, Flaw{}
	}
	return v.name, v.flaw
}

// setVersion has a service's later targets be of a version.
func (h *herd) setVersion(service, version string, flaw Flaw) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[service] = softwareVersion{version, flaw}
}

func newHerd(w *World) *herd {
	return &herd{w: w, versions: map[string]softwareVersion{}, retired: map[string]bool{}}
}

// startAll starts the targets that the shape asks for.
func (h *herd) startAll() {
	names := make([]string, 0, len(h.w.Shape.Targets))
	for n := range h.w.Shape.Targets {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		for i := range h.w.Shape.Targets[n] {
			h.start(n, zone(i%h.w.Shape.Zones), nil)
		}
	}
}

// start begins a run of the version that its service has, on a host of its own or on one that another run has left.
func (h *herd) start(service, zone string, on *simnet.Host) *Target {
	version, flaw := h.versionOf(service)
	return h.startAs(service, zone, on, version, flaw)
}

// startLike begins a run in the place of one that ended, of the same version where that is not retired.
func (h *herd) startLike(t *Target) *Target {
	h.mu.Lock()
	retired := h.retired[t.Version]
	h.mu.Unlock()
	if retired {
		return h.start(t.Service, t.Zone, t.host)
	}
	return h.startAs(t.Service, t.Zone, t.host, t.Version, t.flaw)
}

// retire has no target start with a version any more.
func (h *herd) retire(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retired[version] = true
}

// startAs begins a run of a version.
func (h *herd) startAs(service, zone string, on *simnet.Host, version string, flaw Flaw) *Target {
	w := h.w
	if w.over() {
		return nil
	}
	h.mu.Lock()
	if on == nil {
		h.hosts++
		on = w.net.Host(fmt.Sprintf("t%d", h.hosts), zone)
	}
	h.mu.Unlock()
	on.SetPowerOff(false)
	on.Thaw()
	t := &Target{w: w, ID: w.id("i-"), Service: service, Zone: zone, Version: version, flaw: flaw, host: on, state: target.Ready, started: w.now(), warm: 3 * time.Second,
		speed: 0.7 + 0.6*w.real(), keep: 2 + w.chance(8), leaving: make(chan struct{}), drained: make(chan struct{}), gone: make(chan struct{})}
	t.p = on.Start(w.ctx, "http")
	ln := t.p.Listen()
	t.p.Register(nil)
	h.mu.Lock()
	h.list = append(h.list, t)
	h.mu.Unlock()
	h.wg.Go(func() { t.accept(ln) })
	h.wg.Go(t.beat)
	return t
}

// of are the runs of a service that are ready, all for "".
func (h *herd) of(service string) (out []*Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.list {
		if (service == "" || t.Service == service) && t.now() == target.Ready {
			out = append(out, t)
		}
	}
	return out
}

func (h *herd) end() {
	h.mu.Lock()
	list := slices.Clone(h.list)
	h.mu.Unlock()
	for _, t := range list {
		t.host.Thaw()
		t.kill()
	}
	h.wg.Wait()
}

func (t *Target) now() target.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}
