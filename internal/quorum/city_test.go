package quorum

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/storage"
)

// life is a disk as one life of its process has it: after the end nothing is
// written any more.
type life struct {
	*mem
	mu   sync.Mutex
	over bool
}

func (d *life) Commit(ps []storage.Put) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return errors.New("process ended")
	}
	return d.mem.Commit(ps)
}

func (d *life) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.over = true
}

// node is one disk controller of a city, in one life.
type node struct {
	c     *city
	seat  Seat
	mem   *mem
	disk  *life
	v     *Voter
	p     *Proposer
	w     *Reconfigurer
	f     *Bootstrapper
	stop  context.CancelFunc
	ctx   context.Context
	fault *fault.Set // of its voter and its reconfigurer

	mu    sync.Mutex
	heard map[string]knownSeat
	news  map[item.Key]item.Item // what OnMerge told
	thaw  time.Time
}

// city is a number of disk controllers that hear each other, can be cut from each other,
// killed, frozen and started again.
type city struct {
	t     *testing.T
	ctx   context.Context
	mu    sync.Mutex
	nodes map[string]*node
	desks map[string]*link.Desk
	lives int
	cut   func(a, b string) bool
	drop  func(from, to string, ask any) bool
	asked map[string]int    // questions by sender
	addrs map[string]string // of nodes that answer elsewhere than at their ID
	deaf  bool              // nodes learn of each other by their formers alone
	// tolerance and size are what reconfigurers go by.
	tolerance Tolerance
	size      int
}

func newCity(ctx context.Context, t *testing.T) *city {
	return &city{t: t, ctx: ctx, nodes: map[string]*node{}, desks: map[string]*link.Desk{}, asked: map[string]int{}}
}

// port is the line of one node.
type port struct {
	c    *city
	from string
}

func (p port) Call(ctx context.Context, to string, ask any) (any, error) {
	c := p.c
	c.mu.Lock()
	c.asked[p.from]++
	d, n := c.desks[to], c.nodes[to]
	shut := c.cut != nil && c.cut(p.from, to) || c.drop != nil && c.drop(p.from, to, ask)
	c.mu.Unlock()
	if shut {
		// A cut link does not say so.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d == nil {
		return nil, errors.New("connection refused")
	}
	if err := (clock.Wall{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	if n != nil {
		if err := (ice{n: n}).wait(ctx); err != nil {
			return nil, err
		}
	}
	r, err := d.Answer(ctx, link.Who{ID: p.from}, ask)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	gone := c.desks[to] != d
	c.mu.Unlock()
	if gone {
		return nil, errors.New("connection reset")
	}
	return r, nil
}

// ice is the clock of a node that can be frozen.
type ice struct {
	clock.Wall
	n *node
}

func (i ice) wait(ctx context.Context) error {
	i.n.mu.Lock()
	d := time.Until(i.n.thaw)
	i.n.mu.Unlock()
	if d <= 0 {
		return ctx.Err()
	}
	return i.Wall.Sleep(ctx, d)
}

func (i ice) Sleep(ctx context.Context, d time.Duration) error {
	if err := i.Wall.Sleep(ctx, d); err != nil {
		return err
	}
	return i.wait(ctx)
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaw = time.Now().Add(d)
}

// boot starts a node on a disk, an empty one where that is nil; nothing looks after
// it yet.
func (c *city) boot(id, zone string, m *mem) *node {
	c.t.Helper()
	if m == nil {
		m = newMemDisk()
	}
	c.mu.Lock()
	c.lives++
	fresh := fmt.Sprintf("%s#%d", id, c.lives)
	c.mu.Unlock()
	n := &node{c: c, mem: m, disk: &life{mem: m}, fault: &fault.Set{}, heard: map[string]knownSeat{}, news: map[item.Key]item.Item{}}
	n.ctx, n.stop = context.WithCancel(c.ctx)
	addr := cmp.Or(c.addrs[id], id)
	v, err := NewVoter(Seat{ID: id, Addr: addr, Zone: zone}, n.disk, fresh, port{c, id}, n.fault, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	n.v, n.seat = v, v.Seat()
	for _, it := range v.LoadedMergeItems() {
		n.news[it.Key] = it
	}
	v.OnMerge = func(its []item.Item) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, it := range its {
			n.news[it.Key] = it
		}
	}
	n.p = NewProposer(fresh, port{c, id}, ice{n: n})
	n.f = &Bootstrapper{Seeds: []string{id}, Self: id, Line: port{c, id}, Clock: ice{n: n}, Prop: n.p, Voter: v}
	n.w = &Reconfigurer{Heard: n.listen, Tolerance: c.tolerance, Size: c.size, Prop: n.p, Line: port{c, id}, Clock: ice{n: n}, Faults: n.fault}
	d := link.NewDesk()
	v.Serve(d)
	n.f.Serve(d)
	c.mu.Lock()
	c.nodes[id], c.desks[addr] = n, d
	c.mu.Unlock()
	go v.Run(n.ctx)
	if !c.deaf {
		go n.hear()
	}
	return n
}

// hear is what a mesh of controllers would do: it hears of all that can be reached, and
// learns their cores.
func (n *node) hear() {
	for (ice{n: n}).Sleep(n.ctx, 250*time.Millisecond) == nil {
		n.c.mu.Lock()
		for id, o := range n.c.nodes {
			o.mu.Lock()
			frozen := time.Now().Before(o.thaw)
			o.mu.Unlock()
			if id == n.seat.ID || frozen || n.c.cut != nil && (n.c.cut(id, n.seat.ID) || n.c.cut(n.seat.ID, id)) {
				continue
			}
			n.mu.Lock()
			n.heard[id] = knownSeat{o.seat, time.Now()}
			n.mu.Unlock()
			n.p.Learn(o.f.core())
		}
		n.c.mu.Unlock()
		n.f.core()
	}
}

func (n *node) listen() []Heard {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []Heard{{Seat: n.seat}}
	for _, k := range n.heard {
		out = append(out, Heard{k.s, time.Since(k.at) + time.Microsecond})
	}
	return out
}

// start boots a node and has its reconfigurer run.
func (c *city) start(id, zone string, m *mem) *node {
	c.t.Helper()
	n := c.boot(id, zone, m)
	go n.w.Run(n.ctx)
	return n
}

// kill ends a node; its disk stays with whoever has it.
func (c *city) kill(id string) *mem {
	c.mu.Lock()
	n := c.nodes[id]
	if n == nil {
		c.mu.Unlock()
		return nil
	}
	delete(c.nodes, id)
	delete(c.desks, n.seat.Addr)
	c.mu.Unlock()
	n.disk.end()
	n.stop()
	return n.mem
}

// node is the present life of id.
func (c *city) node(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

func (c *city) all() map[string]*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.nodes)
}

func (c *city) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// found gives the first core to nodes.
func (c *city) found(ids ...string) Core {
	c.t.Helper()
	core := Core{Epoch: 1}
	for _, id := range ids {
		core.Seats = append(core.Seats, c.node(id).seat)
	}
	for _, seal := range []bool{false, true} {
		for _, id := range ids {
			if r, err := link.Ask[FormTold](c.ctx, port{c, "t"}, id, FormAsk{By: ids[0], Core: core, Seal: seal}); err != nil || !r.OK {
				c.t.Fatal(r, err)
			}
		}
	}
	for _, n := range c.all() {
		n.p.Learn(core)
	}
	return core
}

// core is the newest that any node knows.
func (c *city) core() (top Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if k := n.f.core(); k.Epoch > top.Epoch {
			top = k
		}
	}
	return top
}

// voting lists the nodes that vote in the newest core.
func (c *city) voting() (ids []string) {
	core := c.core()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.nodes {
		if k := n.v.Core(); k.Epoch == core.Epoch && n.v.hasSeatIn(core) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// holds is what a node's disk has of a merge item.
func (n *node) holds(k item.Key) item.Item {
	n.mem.mu.Lock()
	defer n.mem.mu.Unlock()
	b, ok := n.mem.values[mergeDiskKey(k)]
	if !ok {
		return item.Item{}
	}
	it, err := decodeMergeItem(mergeDiskKey(k), b)
	if err != nil {
		n.c.t.Error(err)
	}
	return it
}

// holders counts the voters of the newest core whose disks hold a copy of it at
// least as new.
func (c *city) holders(it item.Item) (n int) {
	for _, id := range c.voting() {
		if !supersedes(it, c.node(id).holds(it.Key)) {
			n++
		}
	}
	return n
}

// kept checks that a majority of the newest core holds every item, and that nobody
// was told otherwise by OnMerge than its disk says.
func (c *city) kept(when string, items ...item.Item) {
	c.t.Helper()
	core := c.core()
	if v := c.voting(); len(v) < len(core.Seats) {
		c.t.Errorf("%s: only %v vote in %+v", when, v, core)
	}
	for _, it := range items {
		if n := c.holders(it); n < core.QuorumSize() {
			c.t.Errorf("%s: %d of %d hold %v", when, n, len(core.Seats), it.Key)
		}
	}
	for id, n := range c.all() {
		n.mu.Lock()
		news := maps.Clone(n.news)
		n.mu.Unlock()
		for k, it := range news {
			if h := n.holds(k); supersedes(it, h) || supersedes(h, it) {
				c.t.Errorf("%s: %s was told %v, its disk holds %v", when, id, it, h)
			}
		}
	}
}

func thing(name string, version uint64, body string) item.Item {
	return item.Item{Key: item.Key{Kind: item.Route, Name: name}, Version: version, Body: []byte(body)}
}

func (c *city) merge(id string, items ...item.Item) {
	c.t.Helper()
	cx, end := context.WithTimeout(c.ctx, 5*time.Second)
	defer end()
	if err := c.node(id).p.Merge(cx, items); err != nil {
		c.t.Errorf("merge by %s: %v", id, err)
	}
}

// choices lists all subsets of n of ids.
func choices(ids []string, n int) (out [][]string) {
	if n == 0 {
		return [][]string{nil}
	}
	for i, id := range ids {
		for _, rest := range choices(ids[i+1:], n-1) {
			out = append(out, append([]string{id}, rest...))
		}
	}
	return out
}

// items makes n merge items.
func items(n int) (its []item.Item) {
	for i := range n {
		its = append(its, thing(fmt.Sprint("k", i), uint64(i+1), fmt.Sprint("body", i)))
	}
	return its
}
