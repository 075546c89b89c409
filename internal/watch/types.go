// Package watch brings state from the control plane to every node: a node follows
// one or more others by long polls and takes what changed since its last look
// (design 23).
package watch

import (
	"math"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

// The kinds of nodes.
const (
	Controller = "controller"
	Gateway    = "gateway"
)

// Member is a node as others know it.
type Member struct {
	ID    string
	Kind  string // Controller or Gateway
	Inner string // where it answers other nodes; "" for a gateway, which only asks
	Door  string // where a controller answers targets and operators
	Zone  string
	Inc   uint64 // of this life of its process
	// Seat is the node's disk, where it has one.
	Seat quorum.Seat
	// Age is how long ago the teller heard of it, for peers.
	Age time.Duration
}

// noEpoch is past every epoch.
const noEpoch = math.MaxUint64

// Cursor is how far an asker has heard one life of a teller out.
type Cursor struct{ Items, Runs, Peers uint64 }

type (
	// WatchAsk waits up to Wait for news past Seen of the teller's life Inc.
	WatchAsk struct {
		// Me is whole where Sums are given; else ID and Inc alone, to save bytes.
		Me   Member
		Inc  uint64
		Seen Cursor
		// Sums are of what the asker held when it first asked this life of the teller,
		// and come with each ask until all was told: what sums alike is left out.
		Sums []uint64
		// Epoch is of the newest core that the asker knows; noEpoch is of one that does
		// not care.
		Epoch uint64
		Wait  time.Duration
	}
	// WatchTold answers it. The asker goes on at Seen; More says that there is more
	// already.
	WatchTold struct {
		Inc  uint64
		Seen Cursor
		More bool
		// Anew says that nothing is told, for the teller needs the whole Me and Sums:
		// this is another life than the one asked for, or has forgotten the asker.
		Anew bool
		// Waited is how long the answer was held back: what it tells was so at the
		// earliest this long after it was asked for.
		Waited time.Duration
		// Fresh says that the teller is in touch with so many voters that it misses
		// nothing acknowledged up to Lag ago; who follows one that is not looks for
		// another.
		Fresh bool
		Lag   time.Duration
		// Firm says that besides, whatever run lives is known to the teller: one that is
		// only recalled, and that it does not tell of, is to be doubted.
		Firm bool
		// Going says that the teller is about to stop: work goes to others.
		Going bool
		// Votes is the epoch of the core in which the teller's disk, of incarnation Disk,
		// has a seat; 0 is none. Core is told where it is newer than the asker's.
		Votes uint64
		Disk  string
		Core  quorum.Core
		// Me is the teller, told with answers to asks that carry Sums.
		Me    Member
		Items []item.Item
		Runs  []target.Run
		// Packed holds Items and Runs instead, where they are many.
		Packed []byte
		// Peers are the controllers that the teller hears, and Attached the zones of the gateways
		// that follow it, by ID: both are told when they change, by Seen.Peers.
		Peers    []Member
		Attached map[string]string
		// Gateways is how many gateways the teller knows of, in all and in the asker's zone.
		Gateways, GatewaysNear int
	}
)

func init() {
	link.RegisterPair[WatchAsk, WatchTold]()
}
