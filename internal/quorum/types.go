// Package quorum replicates items on a majority of the nodes that have a disk. Each item has
// its own quorum register; there is no log and no leader (design 4).
package quorum

import (
	"cmp"
	"time"
)

// Ballot orders the attempts to write one register. By makes it unique: it names the
// proposing process and its incarnation.
type Ballot struct {
	N  uint64
	By string
}

// Compare orders ballots by number, then by proposer.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By))
}

// IsZero reports whether the ballot stands for no attempt at all.
func (b Ballot) IsZero() bool { return b.N == 0 }

// Item is one voter's state of one keyed register.
type Item struct {
	Promised Ballot
	Accepted Ballot
	Value    []byte
}

// Seat is a voter's membership in the core: the node and the incarnation of its disk. A disk
// that was erased gets a new incarnation and therefore counts as another seat.
type Seat struct {
	ID   string
	Addr string
	// Zone and Region are the failure domains of the machine, from narrow to wide; empty if the
	// deployment does not configure them.
	Zone   string
	Region string `json:",omitempty"`
	Disk   string
}

// Core is the set of voters of one epoch.
type Core struct {
	Epoch uint64
	Seats []Seat
	// Before holds the seats of the previous epoch, if known: a joining node may pull state
	// from those that are sealed.
	Before []Seat `json:",omitempty"`
	// After is the epoch whose seats decided this core; 0 means the one directly before Epoch.
	// It is lower if a core that those seats decided earlier was abandoned.
	After uint64 `json:",omitempty"`
	// Decided is a ballot by which this core was chosen, if known.
	Decided Ballot `json:"-"`
}

// Succeeds reports whether this core was decided by the seats of epoch.
func (c Core) Succeeds(epoch uint64) bool {
	if c.After == 0 {
		return epoch > 0 && c.Epoch == epoch+1
	}
	return c.After == epoch && c.Epoch > epoch
}

// QuorumSize returns the number of seats that form a majority.
func (c Core) QuorumSize() int { return len(c.Seats)/2 + 1 }

// BlockingSize returns the smallest number of seats that intersects every quorum: N-Q+1.
func (c Core) BlockingSize() int { return len(c.Seats) - c.QuorumSize() + 1 }

// Seat returns the seat of node id.
func (c Core) Seat(id string) (Seat, bool) {
	for _, s := range c.Seats {
		if s.ID == id {
			return s, true
		}
	}
	return Seat{}, false
}

// Mark is the header of most requests to a voter: the epoch that the request is for and, if it
// relies on a promise, the incarnation of the disk that made the promise.
type Mark struct {
	Epoch uint64
	Disk  string
}

// Told is the header of most responses of a voter. If OK is false, the request was for another
// epoch or disk, and Core is the voter's own.
type Told struct {
	OK   bool
	Disk string
	Core Core
}

type (
	// PrepareAsk requests a promise for a ballot.
	PrepareAsk struct {
		Mark
		Key    string
		Ballot Ballot
	}
	// PrepareTold is the response to PrepareAsk; Item is the state after the request.
	PrepareTold struct {
		Told
		Yes  bool
		Item Item
	}
	// AcceptAsk requests that a value be accepted.
	AcceptAsk struct {
		Mark
		Key    string
		Ballot Ballot
		Value  []byte
	}
	// AcceptTold is the response to AcceptAsk.
	AcceptTold struct {
		Told
		Yes      bool
		Promised Ballot
	}
	// ReadAsk requests the current state of one register.
	ReadAsk struct {
		Mark
		Key string
	}
	// ReadTold is the response to ReadAsk.
	ReadTold struct {
		Told
		Item Item
	}
	// ListAsk requests the registers under Prefix with keys greater than After.
	ListAsk struct {
		Mark
		Prefix string
		After  string
		Last   bool // only the last register under Prefix that has an accepted value
		All    bool // include registers that only have a promise
		Max    int
	}
	// Entry is one listed register.
	Entry struct {
		Key  string
		Item Item
	}
	// ListTold is the response to ListAsk; More reports that the list was truncated.
	ListTold struct {
		Told
		Entries []Entry
		More    bool
	}
	// CoreTold is the response to HelloAsk. Empty reports that the node has never known a core;
	// Core is omitted if the requester knows it already.
	CoreTold struct {
		Core  Core
		Epoch uint64 // of the core that the node knows
		Empty bool
		Seat  Seat // of the responding node, if it has a disk
		// Known lists the disks heard of while no core is known, and Ages the time since then.
		Known []Seat
		Ages  []time.Duration
		// By and Form describe the formation that this node consented to, if any.
		By   string
		Form Core
	}
	// FormAsk requests consent to a first core from a seed or seat; Seal makes that core final
	// and Drop withdraws the consent.
	FormAsk struct {
		By   string
		Core Core
		Seal bool
		Drop bool
	}
	// FormTold is the response to FormAsk. By names the proposer that has the node's consent, Core
	// is the core in force, if any, and Disk the incarnation of the responding disk, if any.
	FormTold struct {
		OK   bool
		By   string
		Core Core
		Disk string
	}
	// SealAsk informs a voter that Next succeeds its epoch.
	SealAsk struct{ Next Core }
	// SealTold is the response to SealAsk.
	SealTold struct{ Told }
	// JoinAsk asks a node to pull all state from the former voters in From and then to vote
	// in Next.
	JoinAsk struct {
		Next Core
		From []Seat
	}
	// JoinTold is the response to JoinAsk.
	JoinTold struct {
		OK    bool
		Items int
	}
)
