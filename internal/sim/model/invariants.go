package model

import (
	"maps"
	"slices"
	"strings"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
)

// inspectDisks checks at this very moment that what was confirmed is in every core that can be
// formed: so many seats of the newest core vote without a copy that is new enough, that they alone
// could never be enough to be sealed for the core after.
func (w *World) inspectDisks() {
	core := w.core()
	if core.Epoch == 0 {
		return
	}
	h := w.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range slices.SortedFunc(maps.Keys(h.newest), func(a, b item.Key) int { return strings.Compare(a.Name, b.Name) }) {
		newest, without := h.newest[k], 0
		for _, s := range core.Seats {
			if v, votes := w.votes(core, s); votes && v.held(k) < newest {
				without++
			}
		}
		if without >= core.BlockingSize() {
			h.breaks("%d of %d seats of epoch %d vote without version %d of %s, which was confirmed", without, len(core.Seats), core.Epoch, newest, k.Name)
		}
	}
}

// inspectFirstCore checks that no two voters were sealed for different first cores.
func (w *World) inspectFirstCore() {
	var first quorum.Core
	for _, n := range w.list {
		v := n.voter()
		if v == nil || v.Core().Epoch != 1 {
			continue
		}
		switch c := v.Core(); {
		case first.Epoch == 0:
			first = c
		case !slices.Equal(first.Seats, c.Seats):
			w.history.note("two first cores: %v and %v", first.Seats, c.Seats)
		}
	}
}

// seatDisk is what a seat's disk holds, as a new process would read it.
type seatDisk struct{ *quorum.Voter }

// held is the version of an item.
func (d seatDisk) held(k item.Key) uint64 {
	for _, i := range d.LoadedMergeItems() {
		if i.Key == k {
			return i.Version + 1
		}
	}
	return 0
}

// votes reads a seat's disk, and tells whether it votes in a core.
func (w *World) votes(core quorum.Core, s quorum.Seat) (seatDisk, bool) {
	n := w.nodes[s.ID]
	if n.read == nil || n.readAt != n.disk.writes() {
		n.readAt = n.disk.writes()
		d := newDisk()
		d.synced, d.calm, d.hides = n.disk.content(), true, n.disk.hides
		v, err := quorum.NewVoter(s, &handle{d, w, n, w.ctx}, "inspected", nil, nil, nil)
		if err != nil {
			w.history.breaks("the disk of %s can't be read: %v", n.id, err)
			return seatDisk{}, false
		}
		n.read = v
	}
	return seatDisk{n.read}, n.read.Core().Epoch == core.Epoch && n.read.Seat().Disk == s.Disk
}
