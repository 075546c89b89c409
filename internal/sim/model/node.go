package model

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/control"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
)

// node is a machine with a disk and at most one process.
type node struct {
	w    *World
	id   string
	zone string
	disk *disk
	// journal holds the records of its run journal at each start.
	journal [][]byte
	starts  int
	// inspected is the voter read from the disk for inspection when the disk had seen inspectedAt writes.
	inspected   *quorum.Voter
	inspectedAt int

	current atomic.Pointer[process] // nil if none runs
	// diskLost is set from the loss of the disk until a reconfigurer has completed the core.
	diskLost atomic.Bool
	// frozen suspends the events of the node.
	frozen atomic.Bool
	// keepsSeatAfterWipe is a planted fault: an emptied disk still names its seat.
	keepsSeatAfterWipe bool
}

// seedCount is how many seeds each node is given.
const seedCount = 3

// process is one run of a node.
type process struct {
	control         *control.Node
	reconfigurer    *quorum.Reconfigurer
	reconfigureLock chan struct{} // held by the actor that runs the reconfigurer: a process runs one step of it at a time
	bootstrapper    *quorum.Bootstrapper
	ctx             context.Context
	cancel          context.CancelFunc
	voterDone       chan struct{}
}

func (n *node) running() bool { return n.current.Load() != nil }

// voter returns the voter of the running process, or nil if none runs.
func (n *node) voter() *quorum.Voter {
	if p := n.current.Load(); p != nil {
		return p.control.Voter
	}
	return nil
}

// boot starts a process from the content of the disk.
func (n *node) boot() {
	n.starts++
	p := &process{voterDone: make(chan struct{}), reconfigureLock: make(chan struct{}, 1)}
	p.ctx, p.cancel = context.WithCancel(n.w.ctx)
	diskID := fmt.Sprintf("%s#%d", n.id, n.starts)
	transport := nodeTransport{n.w, n, p.ctx}
	clock := modelClock{n.w, n, p.ctx}
	n.disk.immediate = true
	c, err := control.New(control.Config{
		Settings:    control.Settings{ID: n.id, Zone: n.zone, InternalAddr: n.id, Seeds: []string{n.id}, Tolerance: n.w.tolerance(), InitialStart: n.initialStart(), HeartbeatInterval: time.Second},
		Incarnation: uint64(n.starts), NewDiskID: diskID, Transport: transport, Clock: clock,
		Disk: &handle{n.disk, n.w, n, p.ctx}, RunJournal: &fixedJournal{n.journal}, Log: discardLogger(), OnDiskFailure: func(error) {}})
	if err != nil {
		panic(err) // a fault of the model's settings
	}
	n.disk.immediate = false
	p.control = c
	seat := c.Voter.Seat()
	tolerance := n.w.tolerance()
	if n.w.ignoreTolerance {
		tolerance = quorum.Tolerance{}
	}
	p.reconfigurer = &quorum.Reconfigurer{Tolerance: tolerance, Size: n.w.scenario.Size, Contacts: func() []quorum.DiskContact { return n.contacts(seat) }, Proposer: c.Proposer, Transport: transport, Clock: clock, Shuffle: func(int, func(i, j int)) {}}
	p.bootstrapper = &quorum.Bootstrapper{Seeds: n.w.seeds(), Self: n.id, Size: n.w.scenario.Seats, SubsequentStart: !n.initialStart(), Transport: transport, Clock: clock, Proposer: c.Proposer, Voter: c.Voter, RandIntN: func(int) int { return 0 }}
	go func() {
		defer close(p.voterDone)
		c.Voter.Run(p.ctx)
	}()
	n.current.Store(p)
}

func discardLogger() *log.Logger {
	return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel})
}

// crash ends the process; of a sync in progress the first kept writes survive.
func (n *node) crash(kept int) { n.w.crash(kept, n) }

// crash ends the processes of several nodes at one moment. It waits until all callers have observed
// the end before anything else happens, so that a schedule means the same in every run.
func (w *World) crash(kept int, nodes ...*node) {
	var ended []*process
	var endedNodes []*node
	for _, n := range nodes {
		if p := n.current.Swap(nil); p != nil {
			ended, endedNodes = append(ended, p), append(endedNodes, n)
		}
	}
	for _, p := range ended {
		p.cancel()
	}
	synctest.Wait()
	for i, p := range ended {
		<-p.voterDone
		endedNodes[i].disk.crash(kept)
		w.removeNodeEvents(endedNodes[i].id)
	}
}

// initialStart reports whether the node starts as part of a system that never ran before.
func (n *node) initialStart() bool {
	if n.w.scenario.Unformed {
		return !n.diskLost.Load()
	}
	return n.starts == 1
}

// seeds lists the addresses that every node is given: those of the last nodes, so that the node with
// the lowest ID, which takes precedence, is not known to all from the start.
func (w *World) seeds() (out []string) {
	all := w.scenario.Seats + w.scenario.Spares
	for i := max(0, all-seedCount); i < all; i++ {
		out = append(out, nodeID(i))
	}
	return out
}

// nodeID returns the ID of the i-th node.
func nodeID(i int) string { return fmt.Sprintf("n%d", i+1) }

// loseDisk ends the process and starts another one on an empty disk.
func (n *node) loseDisk() {
	n.crash(0)
	n.diskLost.Store(true)
	if n.keepsSeatAfterWipe {
		n.disk.wipeExcept("disk", "owner", "core")
	} else {
		n.disk.wipe()
	}
	n.boot()
}

// contacts lists the node's contacts: all running nodes, last heard a millisecond ago, or a minute
// ago if the path is cut.
func (n *node) contacts(own quorum.Seat) []quorum.DiskContact {
	out := []quorum.DiskContact{{Seat: own}}
	for _, o := range n.w.nodeList {
		v := o.voter()
		if o == n || v == nil {
			continue
		}
		ago := time.Millisecond
		if n.w.cut(o.id, n.id) || n.w.cut(n.id, o.id) {
			ago = time.Minute
		}
		out = append(out, quorum.DiskContact{Seat: v.Seat(), Ago: ago})
	}
	return out
}

// answerLocally has the node answer a request directly, bypassing the network.
func answerLocally[R any](n *node, request any) R {
	n.disk.immediate = true
	defer func() { n.disk.immediate = false }()
	p := n.current.Load()
	answer, err := p.control.Mux.Dispatch(p.ctx, link.Identity{ID: "model"}, request)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", n.id, err)) // a fault of the model's set-up
	}
	return answer.(R)
}
