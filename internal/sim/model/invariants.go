package model

import (
	"maps"
	"slices"
	"strings"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
)

// checkDisks checks that at this moment every confirmed item is in every core that can be formed:
// the voting seats of the newest core that lack a recent enough copy must be too few to form, on
// their own, the quorum that is sealed for the next core.
func (w *World) checkDisks() {
	core := w.core()
	if core.Epoch == 0 {
		return
	}
	h := w.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range slices.SortedFunc(maps.Keys(h.newestConfirmed), func(a, b item.Key) int { return strings.Compare(a.Name, b.Name) }) {
		newest, lacking := h.newestConfirmed[k], 0
		for _, s := range core.Seats {
			if v, votes := w.inspectSeat(core, s); votes && v.heldVersion(k) < newest {
				lacking++
			}
		}
		if lacking >= core.BlockingSize() {
			h.addViolationLocked("%d of %d seats of epoch %d vote without version %d of %s, which was confirmed", lacking, len(core.Seats), core.Epoch, newest, k.Name)
		}
	}
}

// checkFirstCore checks that no two voters were sealed for different first cores.
func (w *World) checkFirstCore() {
	var first quorum.Core
	for _, n := range w.nodeList {
		v := n.voter()
		if v == nil || v.Core().Epoch != 1 {
			continue
		}
		switch c := v.Core(); {
		case first.Epoch == 0:
			first = c
		case !slices.Equal(first.Seats, c.Seats):
			w.history.addViolation("two first cores: %v and %v", first.Seats, c.Seats)
		}
	}
}

// seatDisk is the content of a seat's disk as a new process would read it.
type seatDisk struct{ *quorum.Voter }

// heldVersion returns the item's version plus 1, or 0 if the disk lacks the item.
func (d seatDisk) heldVersion(k item.Key) uint64 {
	for _, i := range d.LoadedMergeItems() {
		if i.Key == k {
			return i.Version + 1
		}
	}
	return 0
}

// inspectSeat reads a seat's disk and reports whether the seat votes in the core.
func (w *World) inspectSeat(core quorum.Core, s quorum.Seat) (seatDisk, bool) {
	n := w.nodes[s.ID]
	if n.inspected == nil || n.inspectedAt != n.disk.writes() {
		n.inspectedAt = n.disk.writes()
		d := newDisk()
		d.synced, d.immediate, d.hiddenPrefix = n.disk.content(), true, n.disk.hiddenPrefix
		v, err := quorum.NewVoter(s, &handle{d, w, n, w.ctx}, "inspected", nil, nil, nil)
		if err != nil {
			w.history.addViolationLocked("the disk of %s can't be read: %v", n.id, err)
			return seatDisk{}, false
		}
		n.inspected = v
	}
	return seatDisk{n.inspected}, n.inspected.Core().Epoch == core.Epoch && n.inspected.Seat().Disk == s.Disk
}
