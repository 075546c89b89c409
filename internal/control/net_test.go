package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/link"
	"walkrudder/internal/sim/simnet"
)

var (
	errRefused = errors.New("connection refused")
	errDead    = errors.New("process ended")
)

// network is a simulated network whose partitions are healed together.
type network struct {
	*simnet.Net
	mu    sync.Mutex
	heals []func()
}

func newNetwork(seed uint64) *network {
	return &network{Net: simnet.New(seed, 200*time.Microsecond, 2*time.Millisecond, 0)}
}

func (n *network) cut(from, to string, both bool) {
	heal := n.CutGroups([]string{from}, []string{to}, both)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heals = append(n.heals, heal)
}

func (n *network) healAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.heals {
		m()
	}
	n.heals = nil
}

// host is a machine with one process, which can be killed; its disk survives the process.
type host struct {
	*simnet.Host
	addr string
	disk *disk // nil without one

	mu   sync.Mutex
	proc *simnet.Proc // nil before the first start
	done chan struct{}
}

func (n *network) addHost(addr string, d *disk) *host {
	return &host{Host: n.Host(addr, ""), addr: addr, disk: d}
}

func (h *host) freeze() { h.Freeze() }
func (h *host) thaw()   { h.Thaw() }

// process returns the newest process, or nil before the first start.
func (h *host) process() *simnet.Proc {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc
}

// waitWhileFrozen blocks while the host is frozen.
func (h *host) waitWhileFrozen() { h.process().WaitThawed() }

// processContext returns the context of the running process, or nil if none is running.
func (h *host) processContext() context.Context {
	if p := h.process(); p != nil && !p.Ended() {
		return p.Context()
	}
	return nil
}

// start makes a process reachable, and runs main until its context ends.
func (h *host) start(p *simnet.Proc, mux *link.Mux, main func(context.Context)) {
	done := make(chan struct{})
	h.mu.Lock()
	h.proc, h.done = p, done
	h.mu.Unlock()
	p.Register(mux)
	go func() {
		defer close(done)
		main(p.Context())
	}()
}

// kill ends the process at once, and waits until all of its goroutines have ended.
func (h *host) kill() {
	h.mu.Lock()
	p, done := h.proc, h.done
	h.mu.Unlock()
	if p == nil {
		return
	}
	p.Kill()
	h.thaw()
	<-done
}

// disk is a disk with a run journal in memory.
type disk struct {
	*simnet.Disk
	mu      sync.Mutex
	journal [][]byte
}

func newDisk(rnd *rand.Rand) *disk { return &disk{Disk: simnet.NewDisk(rnd, "")} }

func (d *disk) wipe() {
	if err := d.Wipe(); err != nil {
		panic(err) // a simulated disk has no files
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal = nil
}

func (d *disk) holds(text string) bool { return d.Contains(text) }
