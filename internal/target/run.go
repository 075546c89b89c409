// Package target holds what is known of the targets: one run for each start of one,
// merged from beats that may reach any control-plane node (design 22).
package target

import "time"

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	ID       string // of this run; every start has another
	Service  string
	Addr     string // IP:port
	Zone     string
	Version  string // of its software
	Slots    int
	Draining bool
	Seq      uint64        // rises with each beat of a run
	Cold     time.Duration // how much longer it is slow from its start
}

// State of a run. It only rises: a run that drains or ended takes no new work again.
type State uint8

// The states of a run.
const (
	Ready State = iota + 1
	Draining
	Ended
)

// Run is what all nodes keep of one run.
type Run struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Version string // of its software
	Slots   int
	State   State
	// Seq is the largest beat known; only material news carries it on.
	Seq uint64
	// Silent is the beat after which a home suspects the run; it is suspected while
	// Silent >= Seq and Silent > 0.
	Silent uint64
	// Cold is how much longer the run is slow, as of when it was told.
	Cold time.Duration
	// Recalled says that the run is only known from what a controller noted in an earlier life:
	// none has heard a beat of it since. One copy that is not recalled ends that for all.
	Recalled bool
}

// Suspected tells whether the control plane holds the run for silent.
func (r Run) Suspected() bool { return r.Silent > 0 && r.Silent >= r.Seq }
