// Package quorum keeps items at a majority of the disk nodes: one quorum
// register for each item, with no log and no leader (design 4).
package quorum

import (
	"cmp"
	"time"
)

// Ballot orders the attempts at one item. By makes it unique: it holds the
// proposing process and its incarnation.
type Ballot struct {
	N  uint64
	By string
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By))
}

// Zero tells whether no attempt was ever made.
func (b Ballot) Zero() bool { return b.N == 0 }

// Item is the state of one register at one voter.
type Item struct {
	Promised Ballot
	Accepted Ballot
	Value    []byte
}

// Seat is a voter's place in the core: the node, and the incarnation of its
// disk. An emptied disk is another incarnation, hence another seat.
type Seat struct {
	ID   string
	Addr string
	// Zone and Region are the failure domains of the machine, the narrower one first; "" where a
	// deployment does not tell.
	Zone   string
	Region string `json:",omitempty"`
	Disk   string
}

// Core is the set of voters of one epoch.
type Core struct {
	Epoch uint64
	Seats []Seat
	// Before are the seats of the epoch before, where that is known: a joiner may
	// pull from those of them that are sealed.
	Before []Seat `json:",omitempty"`
	// After is the epoch whose seats decided this core, 0 for the one just before Epoch. It
	// is earlier where a core that was decided for it was given up.
	After uint64 `json:",omitempty"`
	// Decided is a ballot by which this core was chosen, where that is known.
	Decided Ballot `json:"-"`
}

// Succeeds tells whether this core was decided by the seats of epoch.
func (c Core) Succeeds(epoch uint64) bool {
	if c.After == 0 {
		return epoch > 0 && c.Epoch == epoch+1
	}
	return c.After == epoch && c.Epoch > epoch
}

// Quorum is a majority of the seats.
func (c Core) Quorum() int { return len(c.Seats)/2 + 1 }

// Blocking is the least number of seats that every quorum meets: N-Q+1.
func (c Core) Blocking() int { return len(c.Seats) - c.Quorum() + 1 }

// Seat finds the seat of node id.
func (c Core) Seat(id string) (Seat, bool) {
	for _, s := range c.Seats {
		if s.ID == id {
			return s, true
		}
	}
	return Seat{}, false
}

// Mark is what every ask of a voter carries: the epoch it was meant for, and
// the incarnation of the disk that promised, where one did.
type Mark struct {
	Epoch uint64
	Disk  string
}

// Told is what every answer of a voter carries; OK false means that the ask was
// for another epoch or disk, and Core holds the voter's own.
type Told struct {
	OK   bool
	Disk string
	Core Core
}

type (
	// PrepareAsk asks for a promise.
	PrepareAsk struct {
		Mark
		Key    string
		Ballot Ballot
	}
	// PrepareTold answers it; Item is the state after the ask.
	PrepareTold struct {
		Told
		Yes  bool
		Item Item
	}
	// AcceptAsk asks to accept a value.
	AcceptAsk struct {
		Mark
		Key    string
		Ballot Ballot
		Value  []byte
	}
	// AcceptTold answers it.
	AcceptTold struct {
		Told
		Yes      bool
		Promised Ballot
	}
	// ReadAsk asks for one item as it stands.
	ReadAsk struct {
		Mark
		Key string
	}
	// ReadTold answers it.
	ReadTold struct {
		Told
		Item Item
	}
	// ListAsk asks for the items under Prefix with keys past After.
	ListAsk struct {
		Mark
		Prefix string
		After  string
		Last   bool // only the last accepted item under Prefix
		All    bool // promised items too, and full values
		Max    int
	}
	// Entry is one listed item.
	Entry struct {
		Key  string
		Item Item
	}
	// ListTold answers it; More says that the listing was cut.
	ListTold struct {
		Told
		Entries []Entry
		More    bool
	}
	// CoreTold answers a HelloAsk. Empty says that the node has never known one;
	// Core is left out where the asker knows it.
	CoreTold struct {
		Core  Core
		Epoch uint64 // of the core known
		Empty bool
		Seat  Seat // of the answering node, when it has a disk
		// Known are the disks heard of while no core is known, Ages how long ago.
		Known []Seat
		Ages  []time.Duration
		// By and Form are the formation that has this node's consent, if any.
		By   string
		Form Core
	}
	// FormAsk asks a seed or a seat to consent to a first core, or seals it.
	FormAsk struct {
		By   string
		Core Core
		Seal bool
		Drop bool
	}
	// FormTold answers it; By names the formation that has the consent, Core the
	// core that stands, if any, and Disk the answering disk, if any.
	FormTold struct {
		OK   bool
		By   string
		Core Core
		Disk string
	}
	// SealAsk tells a voter that Next takes over from its epoch.
	SealAsk struct{ Next Core }
	// SealTold answers it.
	SealTold struct{ Told }
	// JoinAsk tells a node to pull all items from the former voters in From and
	// to vote in Next.
	JoinAsk struct {
		Next Core
		From []Seat
	}
	// JoinTold answers it.
	JoinTold struct {
		OK    bool
		Items int
	}
)
