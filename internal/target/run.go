// Package target holds what is known about the targets: one run for each start of a
// target, merged from heartbeats that any control-plane node may receive (design 22).
package target

import "time"

// Heartbeat is what a target reports about itself.
type Heartbeat struct {
	ID       string // of this run; every start has a different one
	Service  string
	Addr     string // IP:port
	Zone     string
	Version  string // of the target's software
	Slots    int
	Draining bool
	Seq      uint64        // increases with each heartbeat of a run
	Cold     time.Duration // remaining time of slow operation after its start
}

// State is the state of a run. It only increases: a run that is draining or ended never
// accepts new work again.
type State uint8

// The run states.
const (
	Ready State = iota + 1
	Draining
	Ended
)

// Run is the replicated state of one run.
type Run struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Version string // of the target's software
	Slots   int
	State   State
	// Seq is the largest known heartbeat number. It is only replicated with a material change.
	Seq uint64
	// Silent is the heartbeat number after which a node suspected the run. The run is
	// suspected while Silent >= Seq and Silent > 0.
	Silent uint64
	// Cold is the remaining time of slow operation when this copy was sent.
	Cold time.Duration
	// Recalled means that the run is only known from the record that a controller stored before
	// a restart, and no controller has received a heartbeat since. Merging one copy that is
	// not recalled clears it everywhere.
	Recalled bool
}

// Suspected reports whether the control plane considers the run silent.
func (r Run) Suspected() bool { return r.Silent > 0 && r.Silent >= r.Seq }
