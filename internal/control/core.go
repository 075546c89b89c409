package control

import (
	"context"
	"slices"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/quorum"
)

const (
	// watchCoreEvery is how often the core is looked at for what operators are to be told.
	watchCoreEvery = time.Second
	// seatQuiet is the silence from which a seat is told as silent.
	seatQuiet = 3 * time.Second
)

// coreState is what operators are told of the core when it changes.
type coreState struct {
	epoch    uint64
	exposure quorum.Exposure
	quorum   bool // a majority of its seats was heard lately
}

// coreSeats are the seats of the newest core known here, where their machines stand now.
func (n *Node) coreSeats() (quorum.Core, []quorum.Seat) {
	core := n.core()
	return core, quorum.UpdateDomains(core.Seats, n.Mesh.DiskContacts())
}

// watchCore logs the core whenever it, or what it bears, changes.
func (n *Node) watchCore(ctx context.Context) {
	told := coreState{quorum: true}
	clock.Every(ctx, n.Clock, watchCoreEvery, func() {
		core, seats := n.coreSeats()
		if core.Epoch == 0 {
			return
		}
		silent := silentSeats(seats, n.Mesh.DiskContacts())
		now := coreState{core.Epoch, n.Tolerance.ExposureOf(seats), len(seats)-len(silent) >= core.QuorumSize()}
		n.tellCore(told, now, seats, silent)
		told = now
	})
}

// tellCore logs what is new.
func (n *Node) tellCore(told, now coreState, seats []quorum.Seat, silent []string) {
	if now.epoch != told.epoch || now.exposure != told.exposure {
		about := []any{"step", "core", "epoch", now.epoch, "seats", seatNames(seats), "tolerance", n.Tolerance, "exposed", now.exposure}
		if now.exposure.Total() > 0 {
			n.Log.Warn("the core does not bear every loss that it is to tolerate", about...)
		} else {
			n.Log.Info("the core", about...)
		}
	}
	switch {
	case told.quorum && !now.quorum:
		n.Log.Warn("no majority of the core is heard: nothing can be acknowledged", "step", "core", "epoch", now.epoch, "silent", silent)
	case !told.quorum && now.quorum:
		n.Log.Info("a majority of the core is heard again", "step", "core", "epoch", now.epoch)
	}
}

// silentSeats are the nodes of the seats whose disk was not heard lately.
func silentSeats(seats []quorum.Seat, heard []quorum.DiskContact) (silent []string) {
	for _, s := range seats {
		if !slices.ContainsFunc(heard, func(h quorum.DiskContact) bool { return h.Seat.Disk == s.Disk && h.Ago < seatQuiet }) {
			silent = append(silent, s.ID)
		}
	}
	return silent
}

// seatNames names seats with their failure domains, the widest one first.
func seatNames(seats []quorum.Seat) (names []string) {
	for _, s := range seats {
		names = append(names, s.Region+"/"+s.Zone+"/"+s.ID)
	}
	return names
}

// CoreAsk asks for the seats of the core.
type CoreAsk struct{ Page }

// SeatRow is one seat of the newest core that the asked node knows.
type SeatRow struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Inner  string `json:"inner"`
	Epoch  uint64 `json:"epoch"`
	// HeardMS is how long ago the disk of the seat was heard.
	HeardMS Maybe `json:"heard_ago_ms"`
	// RegionSeats and ZoneSeats are how many seats the loss of its region, or its zone, takes.
	RegionSeats int `json:"region_seats"`
	ZoneSeats   int `json:"zone_seats"`
}

// coreRows lists the seats.
func (n *Node) coreRows(_ context.Context, a CoreAsk) (Answer[SeatRow], error) {
	core, seats := n.coreSeats()
	heard := n.Mesh.DiskContacts()
	p := newPage[SeatRow](a.Page)
	for _, s := range seats {
		row := SeatRow{ID: s.ID, Region: s.Region, Zone: s.Zone, Inner: s.Addr, Epoch: core.Epoch}
		for _, h := range heard {
			if h.Seat.Disk == s.Disk {
				row.HeardMS = some(float64(h.Ago.Milliseconds()))
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
	return pageOf(n.about(), p, func(_ string, r SeatRow) (SeatRow, int) {
		return r, len(r.ID) + len(r.Region) + len(r.Zone) + len(r.Inner)
	}), nil
}
