// Package sim runs the real node code on a virtual clock, over a faulty network
// and faulty disks, from a seed (design 15). It is driven inside a
// testing/synctest bubble: no run waits on the machine's clock.
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
	errCut  = errors.New("no way to that address")
	errDown = syscall.ECONNREFUSED
)

// Net carries questions between the world's nodes.
type Net struct {
	mu    sync.Mutex
	seed  uint64
	rnd   map[[2]string]*rand.Rand // each way has its own chance
	at    map[string]*Host         // by address
	cut   map[[2]string]bool
	loss  float64
	least time.Duration
	most  time.Duration
}

// Host is the machine under one node: it can be down, frozen or cut off.
type Host struct {
	ID   string
	Addr string
	Zone string
	net  *Net

	mu   sync.Mutex
	run  context.Context // ends when the process is killed
	desk *link.Mux
	ice  chan struct{} // closed on thaw; nil while not frozen
	cold int           // how often it was frozen
}

func newNet(seed uint64) *Net {
	return &Net{seed: seed, rnd: map[[2]string]*rand.Rand{}, at: map[string]*Host{}, cut: map[[2]string]bool{}, least: 200 * time.Microsecond, most: 2 * time.Millisecond}
}

// delay draws one way's time.
func (n *Net) delay(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.least + time.Duration(n.way(a, b).Int64N(int64(n.most-n.least)+1))
}

func (n *Net) way(a, b string) *rand.Rand {
	k := [2]string{a, b}
	r := n.rnd[k]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(a + ">" + b))
		r = rand.New(rand.NewPCG(n.seed, h.Sum64()))
		n.rnd[k] = r
	}
	return r
}

// passes tells whether a message from a to b gets through.
func (n *Net) passes(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[[2]string{a, b}] && (n.loss == 0 || n.way(a, b).Float64() >= n.loss)
}

// Cut breaks the way from a to b; Mend restores it.
func (n *Net) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = true
}

// Mend restores every way to and from a, or all for "".
func (n *Net) Mend(a string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k := range n.cut {
		if a == "" || k[0] == a || k[1] == a {
			delete(n.cut, k)
		}
	}
}

// Join restores the ways between two.
func (n *Net) Join(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]string{a, b})
	delete(n.cut, [2]string{b, a})
}

// Lose makes a share of all messages vanish.
func (n *Net) Lose(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

func (n *Net) host(addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.at[addr]
}

// up is the context of the process now running, nil when none.
func (h *Host) up() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.run == nil || h.run.Err() != nil {
		return nil
	}
	return h.run
}

// awake waits while the host is frozen.
func (h *Host) awake() {
	for {
		h.mu.Lock()
		ice := h.ice
		h.mu.Unlock()
		if ice == nil {
			return
		}
		<-ice
	}
}

// Freeze stops the host in its tracks.
func (h *Host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ice == nil {
		h.ice = make(chan struct{})
		h.cold++
	}
}

// colds is how often the host was frozen.
func (h *Host) colds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cold
}

// Thaw lets it go on.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ice != nil {
		close(h.ice)
		h.ice = nil
	}
}

// line is a host's own end of the network.
type line struct {
	h   *Host
	run context.Context
}

// codecs copy what travels, as on a real link.
var codecs simnet.Codecs

func through(v any) (any, error) { return codecs.Through(v) }

type told struct {
	v   any
	err error
}

// Call asks addr and waits for its answer; what is lost is noticed only by ctx.
func (l *line) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.h.awake()
	if l.run.Err() != nil {
		return nil, l.run.Err()
	}
	ask, err := through(ask)
	if err != nil {
		return nil, err
	}
	n := l.h.net
	back := make(chan told, 1)
	go func() {
		time.Sleep(n.delay(l.h.ID, addr))
		h := n.host(addr)
		if h == nil || !n.passes(l.h.ID, h.ID) {
			return
		}
		up := h.up()
		if up == nil {
			time.Sleep(n.delay(h.ID, l.h.ID))
			if n.passes(h.ID, l.h.ID) {
				back <- told{nil, errDown}
			}
			return
		}
		h.awake()
		if up.Err() != nil {
			return
		}
		h.mu.Lock()
		desk := h.desk
		h.mu.Unlock()
		// The asker's patience travels with the question.
		var cx context.Context
		var end context.CancelFunc
		if d, ok := ctx.Deadline(); ok {
			cx, end = context.WithDeadline(up, d)
		} else {
			cx, end = context.WithCancel(up)
		}
		v, err := desk.Dispatch(cx, link.Identity{ID: l.h.ID}, ask)
		end()
		h.awake()
		if up.Err() != nil {
			return
		}
		if err == nil {
			v, err = through(v)
		}
		time.Sleep(n.delay(h.ID, l.h.ID))
		if n.passes(h.ID, l.h.ID) {
			back <- told{v, err}
		}
	}()
	// Nobody waits for ever on a lost message.
	lost := time.NewTimer(5 * time.Second)
	defer lost.Stop()
	select {
	case t := <-back:
		l.h.awake()
		return t.v, t.err
	case <-ctx.Done():
		l.h.awake()
		return nil, ctx.Err()
	case <-lost.C:
		l.h.awake()
		return nil, context.DeadlineExceeded
	case <-l.run.Done():
		return nil, l.run.Err()
	}
}

// clock is a host's clock: it stands still for those who wait while the host is
// frozen, and shows the whole pause afterwards.
type clock struct{ h *Host }

// Now tells the virtual time. It does not wait for a thaw: its callers may hold
// locks, and every way out of a frozen host waits anyway.
func (c clock) Now() time.Time { return time.Now() }

// Sleep waits for d, and through any freeze.
func (c clock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-t.C:
	}
	c.h.awake()
	return err
}

// After ticks once after d.
func (c clock) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}
