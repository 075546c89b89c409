package simnet

import (
	"sync"
	"time"
)

// Host is a machine. Processes run on it; it can freeze, be slow, lose messages and be
// without power.
type Host struct {
	ID, Zone string
	net      *Net

	mu    sync.Mutex
	procs map[string]*Proc
	ice   chan struct{} // closed on thaw; nil while not frozen
	dark  bool          // without power: nothing answers, not even a refusal
	slow  time.Duration // added to every way from or to it
	loss  float64
	reset chan struct{} // closed at the next reset of its connections
}

// Host adds a machine.
func (n *Net) Host(id, zone string) *Host {
	h := &Host{ID: id, Zone: zone, net: n, procs: map[string]*Proc{}, reset: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = h
	return h
}

func (h *Host) lag() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.slow
}

func (h *Host) lossy() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loss
}

func (h *Host) powered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.dark
}

// Slow adds d to every way from and to the host; 0 ends it.
func (h *Host) Slow(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow = d
}

// Lose makes a share of all messages from and to the host vanish.
func (h *Host) Lose(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loss = share
}

// Dark takes the host's power away, or gives it back.
func (h *Host) Dark(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dark = on
}

// Freeze stops all processes of the host in their tracks.
func (h *Host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ice == nil {
		h.ice = make(chan struct{})
	}
}

// Thaw lets them go on.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ice != nil {
		close(h.ice)
		h.ice = nil
	}
}

// nextReset is closed when the host's connections are reset next.
func (h *Host) nextReset() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reset
}

// Reset resets all connections of the host, those of questions under way among them: who asked is told
// so at once, and a question that had arrived may have been carried out.
func (h *Host) Reset() {
	h.mu.Lock()
	close(h.reset)
	h.reset = make(chan struct{})
	ps := make([]*Proc, 0, len(h.procs))
	for _, p := range h.procs {
		ps = append(ps, p)
	}
	h.mu.Unlock()
	for _, p := range ps {
		for _, c := range p.open() {
			c.Abort()
		}
	}
}
