// Package simnet simulates the network and the machines of a deployment (design 15): hosts
// whose processes can be killed, frozen and cut off, requests and byte streams between them,
// and disks that outlive processes. All time is the virtual time of a testing/synctest
// bubble; every delay and loss is drawn from a seed.
package simnet

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// retransmit is the interval at which a segment or a dial that did not get through is retried.
const retransmit = 200 * time.Millisecond

// Net connects the hosts of a simulation.
type Net struct {
	seed   uint64
	codecs CodecPool

	mu    sync.Mutex
	rngs  map[[2]string]*rand.Rand // one generator per direction between two hosts
	hosts map[string]*Host
	procs map[string]*Proc // by address
	cuts  map[[2]string]int
	// A message takes minDelay to maxDelay, and crossZoneDelay more between two zones.
	minDelay, maxDelay, crossZoneDelay time.Duration
}

// New returns a network on which a message takes minDelay to maxDelay, and crossZoneDelay
// more between two zones.
func New(seed uint64, minDelay, maxDelay, crossZoneDelay time.Duration) *Net {
	return &Net{seed: seed, rngs: map[[2]string]*rand.Rand{}, hosts: map[string]*Host{}, procs: map[string]*Proc{}, cuts: map[[2]string]int{}, minDelay: minDelay, maxDelay: maxDelay, crossZoneDelay: crossZoneDelay}
}

// rng returns the random generator of one direction. n.mu must be held.
func (n *Net) rng(from, to string) *rand.Rand {
	k := [2]string{from, to}
	r := n.rngs[k]
	if r == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(from + ">" + to))
		r = rand.New(rand.NewPCG(n.seed, h.Sum64()))
		n.rngs[k] = r
	}
	return r
}

// delay draws the delay of one message, including the extra latency of both hosts.
func (n *Net) delay(from, to *Host) time.Duration {
	n.mu.Lock()
	d := n.minDelay + time.Duration(n.rng(from.ID, to.ID).Int64N(int64(n.maxDelay-n.minDelay)+1))
	n.mu.Unlock()
	if from.Zone != to.Zone {
		d += n.crossZoneDelay
	}
	return d + from.extraLatency() + to.extraLatency()
}

// delivers reports whether a message gets through now: the direction is not cut, and the
// message is not drawn as lost.
func (n *Net) delivers(from, to *Host) bool {
	loss := max(from.currentLossRate(), to.currentLossRate())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from.ID, to.ID}] == 0 && (loss == 0 || n.rng(from.ID, to.ID).Float64() >= loss)
}

// Cut cuts the direction from one host to another. The returned function undoes it; a
// direction that was cut twice is open again once both cuts are undone.
func (n *Net) Cut(from, to string) (restore func()) {
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

// CutGroups cuts every connection between two groups, in both directions or only from a to b.
func (n *Net) CutGroups(a, b []string, both bool) (restore func()) {
	var restores []func()
	for _, x := range a {
		for _, y := range b {
			if x == y {
				continue
			}
			restores = append(restores, n.Cut(x, y))
			if both {
				restores = append(restores, n.Cut(y, x))
			}
		}
	}
	return func() {
		for _, m := range restores {
			m()
		}
	}
}

// Connected reports whether the direction from one host to another is not cut.
func (n *Net) Connected(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}] == 0
}

// lookup returns the process registered at an address, if any, and its host.
func (n *Net) lookup(addr string) (*Proc, *Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.procs[addr]; p != nil {
		return p, p.Host
	}
	return nil, n.hosts[hostOf(addr)]
}

// Addr returns the address of a host's process; a process without a name has the host's.
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

// RemoteCall runs f at the process registered at addr, as a request that travels there and
// whose answer travels back. The caller notices a lost message only when ctx ends or after
// 5 s. The context of f ends with the process or at ctx's deadline.
func RemoteCall[T any](ctx context.Context, from *Proc, addr string, f func(context.Context, *Proc) (T, error)) (T, error) {
	var zero T
	from.WaitThawed()
	if err := from.ctx.Err(); err != nil {
		return zero, err
	}
	type callResult struct {
		v   T
		err error
	}
	n := from.Host.net
	results := make(chan callResult, 1)
	localReset, peerReset := from.Host.resetSignal(), (<-chan struct{})(nil)
	if _, h := n.lookup(addr); h != nil {
		peerReset = h.resetSignal()
	}
	go func() {
		_, h := n.lookup(addr)
		if h == nil {
			return
		}
		time.Sleep(n.delay(from.Host, h))
		if !n.delivers(from.Host, h) {
			return
		}
		var t callResult
		switch p, _ := n.lookup(addr); {
		case p == nil && !h.powered():
			return
		case p == nil:
			t.err = errRefused
		default:
			p.WaitThawed()
			if p.ctx.Err() != nil {
				return
			}
			// The caller's deadline applies at the callee, too.
			callCtx, cancel := context.WithCancel(p.ctx)
			if d, ok := ctx.Deadline(); ok {
				callCtx, cancel = context.WithDeadline(p.ctx, d)
			}
			t.v, t.err = f(callCtx, p)
			cancel()
			p.WaitThawed()
			if p.ctx.Err() != nil {
				return
			}
		}
		if time.Sleep(n.delay(h, from.Host)); n.delivers(h, from.Host) {
			results <- t
		}
	}()
	// A lost message must not block the caller for ever.
	timeout := time.NewTimer(5 * time.Second)
	defer timeout.Stop()
	select {
	case t := <-results:
		from.WaitThawed()
		return t.v, t.err
	case <-ctx.Done():
		from.WaitThawed()
		return zero, ctx.Err()
	case <-timeout.C:
		from.WaitThawed()
		return zero, context.DeadlineExceeded
	case <-localReset:
		from.WaitThawed()
		return zero, errReset
	case <-peerReset:
		from.WaitThawed()
		return zero, errReset
	case <-from.ctx.Done():
		return zero, from.ctx.Err()
	}
}
