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
	wg    sync.WaitGroup
}

func newHerd(w *World) *herd { return &herd{w: w} }

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

// start begins a run, on a host of its own or on one that another run has left.
func (h *herd) start(service, zone string, on *simnet.Host) *Target {
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
	on.Dark(false)
	on.Thaw()
	t := &Target{w: w, ID: w.id("i-"), Service: service, Zone: zone, host: on, state: target.Ready, started: w.now(), warm: 3 * time.Second,
		speed: 0.7 + 0.6*w.real(), keep: 2 + w.chance(8), leaving: make(chan struct{}), drained: make(chan struct{}), gone: make(chan struct{})}
	t.p = on.Start(w.ctx, "http")
	ln := t.p.Listen()
	t.p.Open(nil)
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
