// Package watch distributes state from the control plane to every node: a node follows
// one or more controllers by long polling and receives what changed since its last request
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

// The node kinds.
const (
	Controller = "controller"
	Gateway    = "gateway"
)

// Member describes a node to others.
type Member struct {
	ID    string
	Kind  string // Controller or Gateway
	Inner string // address for other nodes; "" for a gateway, which only sends requests
	Door  string // address of a controller for targets and operators
	Zone  string
	Inc   uint64 // incarnation of its process
	// Seat is the node's disk, if it has one.
	Seat quorum.Seat
	// Age is the time since the node was last heard from; it is not part of an introduction.
	Age time.Duration
}

// maxEpoch is greater than every epoch. A gateway sends it, since it does not need the core.
const maxEpoch = math.MaxUint64

// Cursor is how far a follower has received the changes of one incarnation of a publisher.
type Cursor struct{ Items, Runs, Peers uint64 }

type (
	// WatchAsk requests the changes after Seen of the publisher's incarnation Inc and waits up to Wait for them.
	WatchAsk struct {
		// Me is complete if Sums is set; otherwise only ID and Inc are set, to save bytes.
		Me   Member
		Inc  uint64
		Seen Cursor
		// Sums are the checksums of what the follower held at its first request to this
		// incarnation. They are sent with each request until everything was received:
		// buckets with equal checksums are left out of the answers.
		Sums []uint64
		// Epoch is that of the newest core that the follower knows, or maxEpoch if it does
		// not need the core.
		Epoch uint64
		Wait  time.Duration
	}
	// WatchTold is the answer to a WatchAsk. The next request continues at Seen; More means
	// that further changes are already available.
	WatchTold struct {
		Inc  uint64
		Seen Cursor
		More bool
		// Anew means that the answer has no changes, because the publisher needs the complete
		// Me and Sums: it is a different incarnation, or it has forgotten the follower.
		Anew bool
		// Waited is how long the answer was held back: its content was current no earlier than
		// this long after the request.
		Waited time.Duration
		// Fresh means that the publisher is in contact with enough voters to miss no change
		// acknowledged up to Lag ago. A follower of a publisher that is not fresh looks for
		// another one.
		Fresh bool
		Lag   time.Duration
		// Firm means that, in addition, every live run is known to the publisher: a recalled run
		// that it does not report is to be suspected.
		Firm bool
		// Going means that the publisher is about to stop: work is assigned to others.
		Going bool
		// Votes is the epoch of the core in which the publisher's disk, of incarnation Disk,
		// has a seat; 0 means none. Core is set if it is newer than the follower's.
		Votes uint64
		Disk  string
		Core  quorum.Core
		// Me is the publisher, set in answers to requests with Sums.
		Me    Member
		Items []item.Item
		Runs  []target.Run
		// Packed replaces Items and Runs in a large answer.
		Packed []byte
		// Peers are the controllers that the publisher hears from, and Attached the zones of the gateways
		// that follow it, by gateway ID. Both are sent when they change, as tracked by Seen.Peers.
		Peers    []Member
		Attached map[string]string
		// Gateways and GatewaysNear are the numbers of gateways that the publisher knows of, in total and in the follower's zone.
		Gateways, GatewaysNear int
	}
)

func init() {
	link.RegisterPair[WatchAsk, WatchTold]()
}
