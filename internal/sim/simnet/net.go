// Package simnet is the network and the machines of simulated worlds (design 15): hosts
// with processes that can be killed, frozen and cut off, questions and byte streams
// between them, and disks that outlive processes. All time is the bubble's of
// testing/synctest; every delay and loss is drawn from a seed.
package simnet

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// retransmit is the pause after which what did not get through is sent once more.
const retransmit = 200 * time.Millisecond

// Net joins the hosts of a world.
type Net struct {
	seed   uint64
	codecs Codecs

	mu    sync.Mutex
	ways  map[[2]string]*rand.Rand // each way has its own chance
	hosts map[string]*Host
	procs map[string]*Proc // by address
	cuts  map[[2]string]int
	// A way takes from least to most, and far more between two zones.
	least, most, far time.Duration
}

// New makes a network on which a message takes from least to most, and far more between
// two zones.
func New(seed uint64, least, most, far time.Duration) *Net {
	return &Net{seed: seed, ways: map[[2]string]*rand.Rand{}, hosts: map[string]*Host{}, procs: map[string]*Proc{}, cuts: map[[2]string]int{}, least: least, most: most, far: far}
}

// way is the chance of one way. Under mu.
func (n *Net) way(from, to string) *rand.Rand {
	k := [2]string{from, to}
	r := n.ways[k]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(from + ">" + to))
		r = rand.New(rand.NewPCG(n.seed, h.Sum64()))
		n.ways[k] = r
	}
	return r
}

// delay draws one way's time, with what slow hosts add.
func (n *Net) delay(from, to *Host) time.Duration {
	n.mu.Lock()
	d := n.least + time.Duration(n.way(from.ID, to.ID).Int64N(int64(n.most-n.least)+1))
	n.mu.Unlock()
	if from.Zone != to.Zone {
		d += n.far
	}
	return d + from.lag() + to.lag()
}

// passes tells whether a message gets through now: neither cut nor lost.
func (n *Net) passes(from, to *Host) bool {
	loss := max(from.lossy(), to.lossy())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from.ID, to.ID}] == 0 && (loss == 0 || n.way(from.ID, to.ID).Float64() >= loss)
}

// Cut breaks the way from one host to another, and the function that it returns mends
// it. A way that was cut twice is whole when both are mended.
func (n *Net) Cut(from, to string) (mend func()) {
	k := [2]string{from, to}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[k]++
	return sync.OnceFunc(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cuts[k]--; n.cuts[k] == 0 {
			delete(n.cuts, k)
		}
	})
}

// Between cuts every way between two groups, both ways or only from a to b.
func (n *Net) Between(a, b []string, both bool) (mend func()) {
	var ms []func()
	for _, x := range a {
		for _, y := range b {
			if x == y {
				continue
			}
			ms = append(ms, n.Cut(x, y))
			if both {
				ms = append(ms, n.Cut(y, x))
			}
		}
	}
	return func() {
		for _, m := range ms {
			m()
		}
	}
}

// Open tells whether the way from one host to another is not cut.
func (n *Net) Open(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}] == 0
}

// proc is the process that answers at an address, and the host there.
func (n *Net) proc(addr string) (*Proc, *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.procs[addr]; p != nil {
		return p, p.Host
	}
	return nil, n.hosts[hostOf(addr)]
}

// Addr is the address of a host's process; one without a name has that of its host.
func Addr(host, name string) string {
	if name == "" {
		return host
	}
	return host + ":" + name
}

func hostOf(addr string) string {
	for i := range len(addr) {
		if addr[i] == ':' {
			return addr[:i]
		}
	}
	return addr
}

// Do runs f at the process that answers at addr, as a question that goes there and whose
// answer comes back. What is lost is noticed only by ctx; f gets a context that ends with
// the process, and with ctx's own deadline.
func Do[T any](ctx context.Context, from *Proc, addr string, f func(context.Context, *Proc) (T, error)) (T, error) {
	var zero T
	from.Awake()
	if err := from.ctx.Err(); err != nil {
		return zero, err
	}
	type told struct {
		v   T
		err error
	}
	n := from.Host.net
	back := make(chan told, 1)
	own, peer := from.Host.nextReset(), (<-chan struct{})(nil)
	if _, h := n.proc(addr); h != nil {
		peer = h.nextReset()
	}
	go func() {
		_, h := n.proc(addr)
		if h == nil {
			return
		}
		time.Sleep(n.delay(from.Host, h))
		if !n.passes(from.Host, h) {
			return
		}
		var t told
		switch p, _ := n.proc(addr); {
		case p == nil && !h.powered():
			return
		case p == nil:
			t.err = errRefused
		default:
			p.Awake()
			if p.ctx.Err() != nil {
				return
			}
			// The asker's patience travels with the question.
			cx, end := context.WithCancel(p.ctx)
			if d, ok := ctx.Deadline(); ok {
				cx, end = context.WithDeadline(p.ctx, d)
			}
			t.v, t.err = f(cx, p)
			end()
			p.Awake()
			if p.ctx.Err() != nil {
				return
			}
		}
		if time.Sleep(n.delay(h, from.Host)); n.passes(h, from.Host) {
			back <- t
		}
	}()
	// Nobody waits for ever on a lost message.
	lost := time.NewTimer(5 * time.Second)
	defer lost.Stop()
	select {
	case t := <-back:
		from.Awake()
		return t.v, t.err
	case <-ctx.Done():
		from.Awake()
		return zero, ctx.Err()
	case <-lost.C:
		from.Awake()
		return zero, context.DeadlineExceeded
	case <-own:
		from.Awake()
		return zero, errReset
	case <-peer:
		from.Awake()
		return zero, errReset
	case <-from.ctx.Done():
		return zero, from.ctx.Err()
	}
}
