// Package news brings state from the control plane to every node: a node follows
// one or more others by long polls and takes what changed since its last look
// (design 23).
package news

import (
	"time"

	"walkrudder/internal/accord"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/target"
)

// Member is a node as others know it.
type Member struct {
	ID    string
	Kind  string // "mind" or "flow"
	Inner string // where it answers other nodes; "" for a flow, which only asks
	Zone  string
	Inc   uint64 // of this life of its process
	// Seat is the node's disk, where it has one.
	Seat accord.Seat
	// Age is how long ago the teller heard of it, for peers.
	Age time.Duration
}

type (
	// WatchAsk waits up to Wait for news past Seen of the teller's life Inc.
	WatchAsk struct {
		Me   Member
		Inc  uint64
		Seen uint64
		Wait time.Duration
	}
	// WatchTold answers it. The asker goes on at Seen; More says that there is more
	// already.
	WatchTold struct {
		Inc  uint64
		Seen uint64
		More bool
		// Fresh says that the teller is in touch with so many voters that it misses
		// nothing acknowledged; who follows one that is not looks for another.
		Fresh bool
		// Voting says that the teller's disk has a seat in the core it knows.
		Voting bool
		Seat   accord.Seat
		Core   accord.Core
		Items  []item.Item
		Runs   []target.Run
		Peers  []Member
		// Flows is how many flows the teller knows of, in all and in the asker's zone.
		Flows, FlowsNear int
	}
	// MarkAsk tells a voter of runs that drain or ended, to be held before that is
	// acknowledged to them.
	MarkAsk struct{ Runs []target.Run }
	// MarkTold answers it; Disk is the teller's incarnation.
	MarkTold struct {
		Disk   string
		Voting bool
	}
)

func init() {
	link.Pair[WatchAsk, WatchTold]()
	link.Pair[MarkAsk, MarkTold]()
}
