package control

import (
	"context"
	"slices"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/quorum"
)

const (
	// coreCheckInterval is how often the core is checked for changes to report to operators.
	coreCheckInterval = time.Second
	// seatSilentAfter is how long after its last contact a seat is reported as silent.
	seatSilentAfter = 3 * time.Second
)

// coreStatus is the state of the core whose changes are logged for operators.
type coreStatus struct {
	epoch    uint64
	exposure quorum.Exposure
	quorum   bool // a majority of the seats was heard within seatSilentAfter
}

// coreSeats returns the newest core known here and its seats, with the current locations of their machines.
func (n *Node) coreSeats() (quorum.Core, []quorum.Seat) {
	core := n.core()
	return core, quorum.UpdateDomains(core.Seats, n.Mesh.DiskContacts())
}

// watchCore logs the core whenever its epoch, the losses that it does not tolerate, or the contact
// with a majority of its seats changes.
func (n *Node) watchCore(ctx context.Context) {
	previous := coreStatus{quorum: true}
	clock.Every(ctx, n.Clock, coreCheckInterval, func() {
		core, seats := n.coreSeats()
		if core.Epoch == 0 {
			return
		}
		silent := silentSeats(seats, n.Mesh.DiskContacts())
		current := coreStatus{core.Epoch, n.Tolerance.ExposureOf(seats), len(seats)-len(silent) >= core.QuorumSize()}
		n.logCoreChange(previous, current, seats, silent)
		previous = current
	})
}

// logCoreChange logs what differs between two states of the core.
func (n *Node) logCoreChange(previous, current coreStatus, seats []quorum.Seat, silent []string) {
	if current.epoch != previous.epoch || current.exposure != previous.exposure {
		attrs := []any{"step", "core", "epoch", current.epoch, "seats", seatNames(seats), "tolerance", n.Tolerance, "exposed", current.exposure}
		if current.exposure.Total() > 0 {
			n.Log.Warn("the core does not bear every loss that it is to tolerate", attrs...)
		} else {
			n.Log.Info("the core", attrs...)
		}
	}
	switch {
	case previous.quorum && !current.quorum:
		n.Log.Warn("no majority of the core is heard: nothing can be acknowledged", "step", "core", "epoch", current.epoch, "silent", silent)
	case !previous.quorum && current.quorum:
		n.Log.Info("a majority of the core is heard again", "step", "core", "epoch", current.epoch)
	}
}

// silentSeats returns the IDs of the nodes that hold a seat whose disk was not heard within seatSilentAfter.
func silentSeats(seats []quorum.Seat, heard []quorum.DiskContact) (silent []string) {
	for _, s := range seats {
		if !slices.ContainsFunc(heard, func(h quorum.DiskContact) bool { return h.Seat.Disk == s.Disk && h.Ago < seatSilentAfter }) {
			silent = append(silent, s.ID)
		}
	}
	return silent
}

// seatNames returns the names of seats in the form region/zone/node.
func seatNames(seats []quorum.Seat) (names []string) {
	for _, s := range seats {
		names = append(names, s.Region+"/"+s.Zone+"/"+s.ID)
	}
	return names
}

// CoreAsk queries the seats of the core.
type CoreAsk struct{ Page }

// SeatRow is one seat of the newest core known to the queried node.
type SeatRow struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Inner  string `json:"inner"`
	Epoch  uint64 `json:"epoch"`
	// HeardMS is the time since the disk of the seat was last heard.
	HeardMS Maybe `json:"heard_ago_ms"`
	// RegionSeats and ZoneSeats are the numbers of seats in the region and in the zone of this seat,
	// which are lost together with it.
	RegionSeats int `json:"region_seats"`
	ZoneSeats   int `json:"zone_seats"`
}

// listSeats answers a CoreAsk.
func (n *Node) listSeats(_ context.Context, a CoreAsk) (Answer[SeatRow], error) {
	core, seats := n.coreSeats()
	heard := n.Mesh.DiskContacts()
	p := newPageCollector[SeatRow](a.Page)
	for _, s := range seats {
		row := SeatRow{ID: s.ID, Region: s.Region, Zone: s.Zone, Inner: s.Addr, Epoch: core.Epoch}
		for _, h := range heard {
			if h.Seat.Disk == s.Disk {
				row.HeardMS = knownValue(float64(h.Ago.Milliseconds()))
			}
		}
		for _, o := range seats {
			if o.Region == s.Region {
				row.RegionSeats++
			}
			if o.Zone == s.Zone {
				row.ZoneSeats++
			}
		}
		p.add(s.ID, row)
	}
	return buildAnswer(n.about(), p, func(_ string, r SeatRow) (SeatRow, int) {
		return r, len(r.ID) + len(r.Region) + len(r.Zone) + len(r.Inner)
	}), nil
}
