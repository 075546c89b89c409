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

// node is a machine with a disk and one process at most.
type node struct {
	w    *World
	id   string
	zone string
	disk *disk
	// notes are what its journal holds at each start.
	notes [][]byte
	lives int
	// read is what the disk holds, as it was read after so many writes.
	read   *quorum.Voter
	readAt int

	now atomic.Pointer[process] // nil where none runs
	// lost says that its disk was lost, and that no reconfigurer has completed the core since.
	lost atomic.Bool
	// frozen says that it stands still: nothing that waits there happens.
	frozen atomic.Bool
	// keepsSeat is a planted fault: an emptied disk still says which seat it has.
	keepsSeat bool
}

// seedCount is how many seeds the nodes are given.
const seedCount = 3

// process is one life of a node.
type process struct {
	control *control.Node
	reconf  *quorum.Reconfigurer
	turn    chan struct{} // held by the actor that looks after the seats: a process does so one look at a time
	boots   *quorum.Bootstrapper
	ctx     context.Context
	end     context.CancelFunc
	stopped chan struct{}
}

func (n *node) up() bool { return n.now.Load() != nil }

// voter is that of the present process, nil where none runs.
func (n *node) voter() *quorum.Voter {
	if p := n.now.Load(); p != nil {
		return p.control.Voter
	}
	return nil
}

// boot starts a process on what the disk holds.
func (n *node) boot() {
	n.lives++
	p := &process{stopped: make(chan struct{}), turn: make(chan struct{}, 1)}
	p.ctx, p.end = context.WithCancel(n.w.ctx)
	fresh := fmt.Sprintf("%s#%d", n.id, n.lives)
	line := port{n.w, n, p.ctx}
	clk := modelClock{n.w, n, p.ctx}
	n.disk.calm = true
	c, err := control.New(control.Parts{
		Settings:    control.Settings{ID: n.id, Zone: n.zone, InternalAddr: n.id, Seeds: []string{n.id}, Tolerance: n.w.tolerance(), InitialStart: n.first(), HeartbeatInterval: time.Second},
		Incarnation: uint64(n.lives), NewDiskID: fresh, Line: line, Clock: clk,
		Disk: &handle{n.disk, n.w, n, p.ctx}, RunJournal: &notes{n.notes}, Log: quiet(), OnDiskFailure: func(error) {}})
	if err != nil {
		panic(err) // the model's own settings
	}
	n.disk.calm = false
	p.control = c
	seat := c.Voter.Seat()
	tolerance := n.w.tolerance()
	if n.w.blind {
		tolerance = quorum.Tolerance{}
	}
	p.reconf = &quorum.Reconfigurer{Tolerance: tolerance, Size: n.w.scenario.Size, Contacts: func() []quorum.DiskContact { return n.heard(seat) }, Proposer: c.Proposer, Transport: line, Clock: clk, Shuffle: func(int, func(i, j int)) {}}
	p.boots = &quorum.Bootstrapper{Seeds: n.w.seeds(), Self: n.id, Size: n.w.scenario.Seats, SubsequentStart: !n.first(), Transport: line, Clock: clk, Proposer: c.Proposer, Voter: c.Voter, RandIntN: func(int) int { return 0 }}
	go func() {
		defer close(p.stopped)
		c.Voter.Run(p.ctx)
	}()
	n.now.Store(p)
}

func quiet() *log.Logger { return log.NewWithOptions(io.Discard, log.Options{Level: log.FatalLevel}) }

// crash ends the process; of a sync under way so many values are kept.
func (n *node) crash(kept int) { n.w.crash(kept, n) }

// crash ends the processes of nodes at one moment. Whoever worked at one has taken note of it
// before anything else happens, so that a schedule means the same in every play.
func (w *World) crash(kept int, nodes ...*node) {
	var ended []*process
	var of []*node
	for _, n := range nodes {
		if p := n.now.Swap(nil); p != nil {
			ended, of = append(ended, p), append(of, n)
		}
	}
	for _, p := range ended {
		p.end()
	}
	synctest.Wait()
	for i, p := range ended {
		<-p.stopped
		of[i].disk.crash(kept)
		w.forget(of[i].id)
	}
}

// first tells whether the node starts as one of a system that never ran.
func (n *node) first() bool {
	if n.w.scenario.Unformed {
		return !n.lost.Load()
	}
	return n.lives == 1
}

// seeds are the addresses that every node is given: the last ones, so that the node that goes first
// by its ID is not known to all from the start.
func (w *World) seeds() (out []string) {
	all := w.scenario.Seats + w.scenario.Spares
	for i := max(0, all-seedCount); i < all; i++ {
		out = append(out, nodeID(i))
	}
	return out
}

// nodeID names the i-th node.
func nodeID(i int) string { return fmt.Sprintf("n%d", i+1) }

// lose ends the process, and starts another on an empty disk.
func (n *node) lose() {
	n.crash(0)
	n.lost.Store(true)
	if n.keepsSeat {
		n.disk.wipeBut("disk", "owner", "core")
	} else {
		n.disk.wipe()
	}
	n.boot()
}

// heard is what this node heard of the others: all that run, just now.
func (n *node) heard(own quorum.Seat) []quorum.DiskContact {
	out := []quorum.DiskContact{{Seat: own}}
	for _, o := range n.w.list {
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

// ask asks this node's own desk, without the network.
func ask[R any](n *node, question any) R {
	n.disk.calm = true
	defer func() { n.disk.calm = false }()
	p := n.now.Load()
	answer, err := p.control.Desk.Dispatch(p.ctx, link.Identity{ID: "model"}, question)
	if err != nil {
		panic(fmt.Sprintf("%s: %v", n.id, err)) // the model's own set-up
	}
	return answer.(R)
}
