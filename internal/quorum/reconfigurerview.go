package quorum

import (
	"cmp"
	"slices"
	"time"
)

// view is a snapshot of what a reconfigurer knows in one step.
type view struct {
	core       Core
	now        time.Time
	disks      map[string]DiskContact // by disk
	nodes      map[string]DiskContact // by node; of several disks the one heard from last
	rank       int                    // of this node among the disks heard from recently, 0 the lowest; -1 unknown
	heardSeats int                    // seats of the core heard from recently
}

func (rc *Reconfigurer) view() view {
	v := view{core: rc.Proposer.Core(), now: rc.Clock.Now(), disks: map[string]DiskContact{}, nodes: map[string]DiskContact{}, rank: -1}
	var self string
	for _, h := range rc.Contacts() {
		if h.Seat.ID == "" || h.Seat.Disk == "" {
			continue
		}
		if h.Ago <= 0 && self == "" {
			self = h.Seat.ID
		}
		if o, ok := v.disks[h.Seat.Disk]; !ok || h.Ago < o.Ago {
			v.disks[h.Seat.Disk] = h
		}
		if o, ok := v.nodes[h.Seat.ID]; !ok || h.Ago < o.Ago {
			v.nodes[h.Seat.ID] = h
		}
	}
	if self != "" {
		v.rank = 0
		for id, h := range v.nodes {
			if h.Ago < recentWindow && id < self {
				v.rank++
			}
		}
	}
	for _, s := range v.core.Seats {
		if v.heardWithin(s, recentWindow) {
			v.heardSeats++
		}
	}
	return v
}

// heardWithin reports whether the seat's disk was heard from within d.
func (v view) heardWithin(s Seat, d time.Duration) bool {
	h, ok := v.disks[s.Disk]
	return ok && h.Seat.ID == s.ID && h.Ago < d
}

func (rc *Reconfigurer) missingAfter() time.Duration {
	return cmp.Or(rc.MissingAfter, defaultMissingAfter)
}

// trackSeats records since when each seat is known here: the silence of a disk that
// was never heard from is counted from then on.
func (rc *Reconfigurer) trackSeats(v view) {
	next := make(map[string]time.Time, len(v.core.Seats))
	for _, s := range v.core.Seats {
		at, ok := rc.trackedSince[s.Disk]
		if !ok {
			at = v.now
		}
		next[s.Disk] = at
	}
	rc.trackedSince = next
}

// silentFor returns the time since the seat's disk was last heard from.
func (rc *Reconfigurer) silentFor(v view, s Seat) time.Duration {
	if h, ok := v.disks[s.Disk]; ok && h.Seat.ID == s.ID {
		return h.Ago
	}
	return v.now.Sub(rc.trackedSince[s.Disk])
}

// chooseSeats returns the seats of the next core if they should differ from the present ones: one seat is replaced or
// moved, or seats are added.
func (rc *Reconfigurer) chooseSeats(v view) (next []Seat, ok bool) {
	// A node that comes back with an emptied disk or at another address owns its
	// seat: no other node has its ID. It takes the seat over at once.
	for _, s := range v.core.Seats {
		h, found := v.nodes[s.ID]
		if found && h.Ago < recentWindow && (h.Seat.Disk != s.Disk || h.Seat.Addr != s.Addr) {
			return seatMove{s, h.Seat}.apply(v.core.Seats), true
		}
	}
	seats, spares := v.currentSeats(), v.spares()
	for _, s := range v.core.Seats {
		since, pending := rc.nonVoting[s.Disk]
		if rc.silentFor(v, s) < rc.missingAfter() && !(pending && v.now.Sub(since) > joinGrace) {
			continue
		}
		if in, ok := rc.Tolerance.Replacement(seats, s, spares); ok {
			return seatMove{s, in}.apply(v.core.Seats), true
		}
	}
	if rc.Tolerance.ExposureOf(seats).Total() == 0 {
		return nil, false
	}
	if m, ok := rc.rebalancingMove(v, seats, spares); ok {
		return m.apply(v.core.Seats), true
	}
	return rc.grownSeats(v, seats, spares)
}

// spares returns the machines with a disk and without a seat that were heard from recently, sorted by ID.
func (v view) spares() (spares []Seat) {
	for id, h := range v.nodes {
		if _, has := v.core.Seat(id); !has && h.Ago < recentWindow {
			spares = append(spares, h.Seat)
		}
	}
	slices.SortFunc(spares, byID)
	return spares
}

// currentSeats returns the seats of the core with the present domains of their machines.
func (v view) currentSeats() []Seat {
	contacts := make([]DiskContact, 0, len(v.nodes))
	for _, h := range v.nodes {
		contacts = append(contacts, h)
	}
	return UpdateDomains(v.core.Seats, contacts)
}

// rebalancingMove returns the move of a seat to a spare machine, even from a healthy one, if the core's exposure
// is higher than it needs to be. The remaining seats must be a majority by themselves, since the joining one may fail.
func (rc *Reconfigurer) rebalancingMove(v view, seats, spares []Seat) (m seatMove, ok bool) {
	m, found := rc.Tolerance.bestMove(seats, spares)
	if !found {
		return m, false
	}
	remaining := v.heardSeats
	if out, _ := v.core.Seat(m.from.ID); v.heardWithin(out, recentWindow) {
		remaining--
	}
	return m, remaining >= v.core.QuorumSize()
}

// grownSeats returns the seats with others added, for a core that was formed with fewer than Size: as many as make
// the next odd number, since an even number survives no more losses. All seats must be healthy, since the joining
// ones may fail.
func (rc *Reconfigurer) grownSeats(v view, seats, spares []Seat) (next []Seat, ok bool) {
	n := len(seats)
	if v.heardSeats < n || n >= rc.Size {
		return nil, false
	}
	added := rc.Tolerance.chooseAdditional(seats, spares, 1+n%2)
	if len(added) == 0 || !rc.Tolerance.ExposureOf(slices.Concat(seats, added)).AtMost(rc.Tolerance.ExposureOf(seats)) {
		return nil, false
	}
	return slices.Concat(v.core.Seats, added), true
}
