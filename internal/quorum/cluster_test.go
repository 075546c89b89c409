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

// processDisk is a disk as seen by one process: after the end of the process, writes
// fail.
type processDisk struct {
	*memDisk
	mu    sync.Mutex
	ended bool
}

func (d *processDisk) Commit(ps []storage.Put) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return errors.New("process ended")
	}
	return d.memDisk.Commit(ps)
}

func (d *processDisk) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
}

// node is one disk controller of a cluster, from one start to its end.
type node struct {
	cluster      *cluster
	seat         Seat
	memDisk      *memDisk
	disk         *processDisk
	voter        *Voter
	proposer     *Proposer
	reconfigurer *Reconfigurer
	bootstrapper *Bootstrapper
	stop         context.CancelFunc
	ctx          context.Context
	faults       *fault.Set // of its voter and its reconfigurer

	mu          sync.Mutex
	heard       map[string]knownSeat
	merged      map[item.Key]item.Item // what OnMerge reported
	frozenUntil time.Time
}

// cluster is a set of disk controllers that hear from each other. They can be partitioned,
// killed, frozen and restarted.
type cluster struct {
	t             *testing.T
	ctx           context.Context
	mu            sync.Mutex
	nodes         map[string]*node
	muxes         map[string]*link.Mux
	starts        int
	isCut         func(a, b string) bool
	dropAsk       func(from, to string, ask any) bool
	askCounts     map[string]int    // requests by sender
	addrs         map[string]string // of nodes whose address differs from their ID
	bootstrapOnly bool              // nodes learn of each other only through their bootstrappers
	// tolerance and size are the settings of the reconfigurers.
	tolerance Tolerance
	size      int
}

func newCluster(ctx context.Context, t *testing.T) *cluster {
	return &cluster{t: t, ctx: ctx, nodes: map[string]*node{}, muxes: map[string]*link.Mux{}, askCounts: map[string]int{}}
}

// nodeTransport is the transport of one node.
type nodeTransport struct {
	c    *cluster
	from string
}

func (p nodeTransport) Call(ctx context.Context, to string, ask any) (any, error) {
	c := p.c
	c.mu.Lock()
	c.askCounts[p.from]++
	mux, n := c.muxes[to], c.nodes[to]
	blocked := c.isCut != nil && c.isCut(p.from, to) || c.dropAsk != nil && c.dropAsk(p.from, to, ask)
	c.mu.Unlock()
	if blocked {
		// Over a cut link the sender gets no error, only a timeout.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if mux == nil {
		return nil, errors.New("connection refused")
	}
	if err := (clock.Wall{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	if n != nil {
		if err := (freezableClock{node: n}).wait(ctx); err != nil {
			return nil, err
		}
	}
	r, err := mux.Dispatch(ctx, link.Identity{ID: p.from}, ask)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	closed := c.muxes[to] != mux
	c.mu.Unlock()
	if closed {
		return nil, errors.New("connection reset")
	}
	return r, nil
}

// freezableClock is the clock of a node that can be frozen.
type freezableClock struct {
	clock.Wall
	node *node
}

func (fc freezableClock) wait(ctx context.Context) error {
	fc.node.mu.Lock()
	d := time.Until(fc.node.frozenUntil)
	fc.node.mu.Unlock()
	if d <= 0 {
		return ctx.Err()
	}
	return fc.Wall.Sleep(ctx, d)
}

func (fc freezableClock) Sleep(ctx context.Context, d time.Duration) error {
	if err := fc.Wall.Sleep(ctx, d); err != nil {
		return err
	}
	return fc.wait(ctx)
}

func (n *node) freeze(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil = time.Now().Add(d)
}

// boot starts a node with disk m, an empty one if m is nil. Its reconfigurer does not
// run yet.
func (c *cluster) boot(id, zone string, m *memDisk) *node {
	c.t.Helper()
	if m == nil {
		m = newMemDisk()
	}
	c.mu.Lock()
	c.starts++
	incarnation := fmt.Sprintf("%s#%d", id, c.starts)
	c.mu.Unlock()
	n := &node{cluster: c, memDisk: m, disk: &processDisk{memDisk: m}, faults: &fault.Set{}, heard: map[string]knownSeat{}, merged: map[item.Key]item.Item{}}
	n.ctx, n.stop = context.WithCancel(c.ctx)
	addr := cmp.Or(c.addrs[id], id)
	v, err := NewVoter(Seat{ID: id, Addr: addr, Zone: zone}, n.disk, incarnation, nodeTransport{c, id}, n.faults, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	n.voter, n.seat = v, v.Seat()
	for _, it := range v.LoadedMergeItems() {
		n.merged[it.Key] = it
	}
	v.OnMerge = func(its []item.Item) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, it := range its {
			n.merged[it.Key] = it
		}
	}
	n.proposer = NewProposer(incarnation, nodeTransport{c, id}, freezableClock{node: n})
	n.bootstrapper = &Bootstrapper{Seeds: []string{id}, Self: id, Transport: nodeTransport{c, id}, Clock: freezableClock{node: n}, Proposer: n.proposer, Voter: v}
	n.reconfigurer = &Reconfigurer{Contacts: n.contacts, Tolerance: c.tolerance, Size: c.size, Proposer: n.proposer, Transport: nodeTransport{c, id}, Clock: freezableClock{node: n}, Faults: n.faults}
	mux := link.NewMux()
	v.Serve(mux)
	n.bootstrapper.Serve(mux)
	c.mu.Lock()
	c.nodes[id], c.muxes[addr] = n, mux
	c.mu.Unlock()
	go v.Run(n.ctx)
	if !c.bootstrapOnly {
		go n.exchangeContacts()
	}
	return n
}

// exchangeContacts simulates a mesh of controllers: the node hears from all reachable
// nodes and learns their cores.
func (n *node) exchangeContacts() {
	for (freezableClock{node: n}).Sleep(n.ctx, 250*time.Millisecond) == nil {
		n.cluster.mu.Lock()
		for id, o := range n.cluster.nodes {
			o.mu.Lock()
			frozen := time.Now().Before(o.frozenUntil)
			o.mu.Unlock()
			if id == n.seat.ID || frozen || n.cluster.isCut != nil && (n.cluster.isCut(id, n.seat.ID) || n.cluster.isCut(n.seat.ID, id)) {
				continue
			}
			n.mu.Lock()
			n.heard[id] = knownSeat{o.seat, time.Now()}
			n.mu.Unlock()
			n.proposer.Learn(o.bootstrapper.core())
		}
		n.cluster.mu.Unlock()
		n.bootstrapper.core()
	}
}

func (n *node) contacts() []DiskContact {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []DiskContact{{Seat: n.seat}}
	for _, k := range n.heard {
		out = append(out, DiskContact{k.seat, time.Since(k.heardAt) + time.Microsecond})
	}
	return out
}

// start boots a node and runs its reconfigurer.
func (c *cluster) start(id, zone string, m *memDisk) *node {
	c.t.Helper()
	n := c.boot(id, zone, m)
	go n.reconfigurer.Run(n.ctx)
	return n
}

// kill stops a node and returns its disk.
func (c *cluster) kill(id string) *memDisk {
	c.mu.Lock()
	n := c.nodes[id]
	if n == nil {
		c.mu.Unlock()
		return nil
	}
	delete(c.nodes, id)
	delete(c.muxes, n.seat.Addr)
	c.mu.Unlock()
	n.disk.end()
	n.stop()
	return n.memDisk
}

// node returns the running node with the given ID.
func (c *cluster) node(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

func (c *cluster) runningNodes() map[string]*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.nodes)
}

func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// formCore makes the given nodes form the first core.
func (c *cluster) formCore(ids ...string) Core {
	c.t.Helper()
	core := Core{Epoch: 1}
	for _, id := range ids {
		core.Seats = append(core.Seats, c.node(id).seat)
	}
	for _, seal := range []bool{false, true} {
		for _, id := range ids {
			if r, err := link.Call[FormTold](c.ctx, nodeTransport{c, "t"}, id, FormAsk{By: ids[0], Core: core, Seal: seal}); err != nil || !r.OK {
				c.t.Fatal(r, err)
			}
		}
	}
	for _, n := range c.runningNodes() {
		n.proposer.Learn(core)
	}
	return core
}

// core returns the newest core that any node knows.
func (c *cluster) core() (newest Core) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if k := n.bootstrapper.core(); k.Epoch > newest.Epoch {
			newest = k
		}
	}
	return newest
}

// voting lists the nodes that vote in the newest core.
func (c *cluster) votingIDs() (ids []string) {
	core := c.core()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.nodes {
		if k := n.voter.Core(); k.Epoch == core.Epoch && n.voter.hasSeatIn(core) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// itemOnDisk returns the copy of a merge item on a node's disk.
func (n *node) itemOnDisk(k item.Key) item.Item {
	n.memDisk.mu.Lock()
	defer n.memDisk.mu.Unlock()
	b, ok := n.memDisk.values[mergeDiskKey(k)]
	if !ok {
		return item.Item{}
	}
	it, err := decodeMergeItem(mergeDiskKey(k), b)
	if err != nil {
		n.cluster.t.Error(err)
	}
	return it
}

// countHolders counts the voters of the newest core whose disks hold a copy of `it` that is
// at least as new.
func (c *cluster) countHolders(it item.Item) (n int) {
	for _, id := range c.votingIDs() {
		if !supersedes(it, c.node(id).itemOnDisk(it.Key)) {
			n++
		}
	}
	return n
}

// checkItemsKept checks that all seats of the newest core vote, that a majority of them holds
// every item, and that what OnMerge reported agrees with the disk at each node.
func (c *cluster) checkItemsKept(when string, items ...item.Item) {
	c.t.Helper()
	core := c.core()
	if v := c.votingIDs(); len(v) < len(core.Seats) {
		c.t.Errorf("%s: only %v vote in %+v", when, v, core)
	}
	for _, it := range items {
		if n := c.countHolders(it); n < core.QuorumSize() {
			c.t.Errorf("%s: %d of %d hold %v", when, n, len(core.Seats), it.Key)
		}
	}
	for id, n := range c.runningNodes() {
		n.mu.Lock()
		merged := maps.Clone(n.merged)
		n.mu.Unlock()
		for k, it := range merged {
			if h := n.itemOnDisk(k); supersedes(it, h) || supersedes(h, it) {
				c.t.Errorf("%s: OnMerge at %s reported %v, its disk holds %v", when, id, it, h)
			}
		}
	}
}

func testItem(name string, version uint64, body string) item.Item {
	return item.Item{Key: item.Key{Kind: item.Route, Name: name}, Version: version, Body: []byte(body)}
}

func (c *cluster) merge(id string, items ...item.Item) {
	c.t.Helper()
	mergeCtx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	if err := c.node(id).proposer.Merge(mergeCtx, items); err != nil {
		c.t.Errorf("merge by %s: %v", id, err)
	}
}

// subsets lists all subsets of ids with n elements.
func subsets(ids []string, n int) (out [][]string) {
	if n == 0 {
		return [][]string{nil}
	}
	for i, id := range ids {
		for _, rest := range subsets(ids[i+1:], n-1) {
			out = append(out, append([]string{id}, rest...))
		}
	}
	return out
}

// testItems returns n merge items.
func testItems(n int) (its []item.Item) {
	for i := range n {
		its = append(its, testItem(fmt.Sprint("k", i), uint64(i+1), fmt.Sprint("body", i)))
	}
	return its
}
