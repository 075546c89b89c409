// Package sim runs the production code of the nodes on a virtual clock, over a faulty
// network and faulty disks, reproducibly from a seed (design 15). It runs inside a
// testing/synctest bubble, so that no run waits on the machine's clock.
package sim

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"walkrudder/internal/link"
	"walkrudder/internal/sim/simnet"
)

var (
	errUnreachable = errors.New("no route to that address")
	errRefused     = syscall.ECONNREFUSED
)

// Net carries requests between the nodes of a simulation.
type Net struct {
	mu       sync.Mutex
	seed     uint64
	rngs     map[[2]string]*rand.Rand // one generator per direction between two hosts
	hosts    map[string]*Host         // by address
	cuts     map[[2]string]bool
	lossRate float64
	minDelay time.Duration
	maxDelay time.Duration
}

// Host is the machine of one node. It can be down, frozen or cut off.
type Host struct {
	ID   string
	Addr string
	Zone string
	net  *Net

	mu      sync.Mutex
	procCtx context.Context // ends when the process is killed
	handler *link.Mux
	thawed  chan struct{} // closed on thaw; nil while not frozen
	freezes int           // how often it was frozen
}

func newNet(seed uint64) *Net {
	return &Net{seed: seed, rngs: map[[2]string]*rand.Rand{}, hosts: map[string]*Host{}, cuts: map[[2]string]bool{}, minDelay: 200 * time.Microsecond, maxDelay: 2 * time.Millisecond}
}

// delay draws the delay of one message.
func (n *Net) delay(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.minDelay + time.Duration(n.rng(a, b).Int64N(int64(n.maxDelay-n.minDelay)+1))
}

func (n *Net) rng(a, b string) *rand.Rand {
	k := [2]string{a, b}
	r := n.rngs[k]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(a + ">" + b))
		r = rand.New(rand.NewPCG(n.seed, h.Sum64()))
		n.rngs[k] = r
	}
	return r
}

// delivers reports whether a message from a to b gets through.
func (n *Net) delivers(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cuts[[2]string{a, b}] && (n.lossRate == 0 || n.rng(a, b).Float64() >= n.lossRate)
}

// Cut cuts the direction from a to b; Restore reopens it.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = true
}

// Restore reopens every direction to and from a, or all of them for "".
func (n *Net) Restore(a string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k := range n.cuts {
		if a == "" || k[0] == a || k[1] == a {
			delete(n.cuts, k)
		}
	}
}

// RestoreLink reopens both directions between two hosts.
func (n *Net) RestoreLink(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

// SetLossRate makes the given share of all messages get lost.
func (n *Net) SetLossRate(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = share
}

func (n *Net) host(addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

// runningProc returns the context of the running process, nil when none runs.
func (h *Host) runningProc() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.procCtx == nil || h.procCtx.Err() != nil {
		return nil
	}
	return h.procCtx
}

// waitThawed blocks while the host is frozen.
func (h *Host) waitThawed() {
	for {
		h.mu.Lock()
		untilThaw := h.thawed
		h.mu.Unlock()
		if untilThaw == nil {
			return
		}
		<-untilThaw
	}
}

// Freeze suspends the host.
func (h *Host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thawed == nil {
		h.thawed = make(chan struct{})
		h.freezes++
	}
}

// freezeCount returns how often the host was frozen.
func (h *Host) freezeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.freezes
}

// Thaw resumes the host.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thawed != nil {
		close(h.thawed)
		h.thawed = nil
	}
}

// linkClient is a node's client side of the network.
type linkClient struct {
	host    *Host
	procCtx context.Context
}

// codecs copy requests and answers through gob, as on a real link.
var codecs simnet.CodecPool

func codecRoundTrip(v any) (any, error) { return codecs.RoundTrip(v) }

type rpcResult struct {
	v   any
	err error
}

// Call sends a request to addr and waits for its answer. The caller notices a lost message
// only when ctx ends or after 5 s.
func (l *linkClient) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.host.waitThawed()
	if l.procCtx.Err() != nil {
		return nil, l.procCtx.Err()
	}
	ask, err := codecRoundTrip(ask)
	if err != nil {
		return nil, err
	}
	n := l.host.net
	results := make(chan rpcResult, 1)
	go func() {
		time.Sleep(n.delay(l.host.ID, addr))
		h := n.host(addr)
		if h == nil || !n.delivers(l.host.ID, h.ID) {
			return
		}
		peerCtx := h.runningProc()
		if peerCtx == nil {
			time.Sleep(n.delay(h.ID, l.host.ID))
			if n.delivers(h.ID, l.host.ID) {
				results <- rpcResult{nil, errRefused}
			}
			return
		}
		h.waitThawed()
		if peerCtx.Err() != nil {
			return
		}
		h.mu.Lock()
		handler := h.handler
		h.mu.Unlock()
		// The caller's deadline applies at the callee, too.
		var callCtx context.Context
		var cancel context.CancelFunc
		if d, ok := ctx.Deadline(); ok {
			callCtx, cancel = context.WithDeadline(peerCtx, d)
		} else {
			callCtx, cancel = context.WithCancel(peerCtx)
		}
		v, err := handler.Dispatch(callCtx, link.Identity{ID: l.host.ID}, ask)
		cancel()
		h.waitThawed()
		if peerCtx.Err() != nil {
			return
		}
		if err == nil {
			v, err = codecRoundTrip(v)
		}
		time.Sleep(n.delay(h.ID, l.host.ID))
		if n.delivers(h.ID, l.host.ID) {
			results <- rpcResult{v, err}
		}
	}()
	// A lost message must not block the caller for ever.
	timeout := time.NewTimer(5 * time.Second)
	defer timeout.Stop()
	select {
	case t := <-results:
		l.host.waitThawed()
		return t.v, t.err
	case <-ctx.Done():
		l.host.waitThawed()
		return nil, ctx.Err()
	case <-timeout.C:
		l.host.waitThawed()
		return nil, context.DeadlineExceeded
	case <-l.procCtx.Done():
		return nil, l.procCtx.Err()
	}
}

// hostClock is a host's clock. While the host is frozen, Sleep does not return; after the
// thaw, Now shows the whole pause.
type hostClock struct{ host *Host }

// Now returns the virtual time. It does not wait for a thaw, because its callers may hold
// locks, and every message that leaves a frozen host waits for the thaw anyway.
func (c hostClock) Now() time.Time { return time.Now() }

// Sleep waits for d and, if the host is frozen by then, until it thaws.
func (c hostClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-t.C:
	}
	c.host.waitThawed()
	return err
}

// After returns a channel that receives the time after d, and a function that stops it.
func (c hostClock) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
