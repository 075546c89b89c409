package simnet

import (
	"sync"
	"time"
)

// Host is a simulated machine on which processes run. It can be frozen, slowed down, made to
// lose messages, and powered off.
type Host struct {
	ID, Zone string
	net      *Net

	mu       sync.Mutex
	procs    map[string]*Proc
	thawed   chan struct{} // closed on thaw; nil while not frozen
	powerOff bool          // nothing answers, not even with a refusal
	latency  time.Duration // added to each message to or from the host
	lossRate float64
	reset    chan struct{} // closed at the next reset of its connections
}

// Host adds a machine to the network.
func (n *Net) Host(id, zone string) *Host {
	h := &Host{ID: id, Zone: zone, net: n, procs: map[string]*Proc{}, reset: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[id] = h
	return h
}

func (h *Host) extraLatency() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latency
}

func (h *Host) currentLossRate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lossRate
}

func (h *Host) powered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.powerOff
}

// SetExtraLatency adds d to the delay of each message to or from the host; 0 ends it.
func (h *Host) SetExtraLatency(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latency = d
}

// SetLossRate makes the given share of all messages to or from the host get lost.
func (h *Host) SetLossRate(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lossRate = share
}

// SetPowerOff switches the host's power off or on.
func (h *Host) SetPowerOff(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.powerOff = on
}

// Freeze suspends all processes of the host.
func (h *Host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thawed == nil {
		h.thawed = make(chan struct{})
	}
}

// Thaw resumes them.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thawed != nil {
		close(h.thawed)
		h.thawed = nil
	}
}

// resetSignal returns a channel that is closed when the host's connections are reset next.
func (h *Host) resetSignal() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reset
}

// Reset resets all connections of the host, including those of pending requests: the caller
// gets an error at once, and a request that had arrived may have been executed.
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
		for _, c := range p.openConns() {
			c.Abort()
		}
	}
}
