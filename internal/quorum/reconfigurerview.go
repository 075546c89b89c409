package quorum

import (
	"cmp"
	"slices"
	"time"
)

// view is what a reconfigurer knows at one look.
type view struct {
	core  Core
	now   time.Time
	disks map[string]Heard // by disk
	nodes map[string]Heard // by node; of several disks the one heard last
	rank  int              // among the disks heard lately, 0 the lowest; -1 unknown
	seats int              // of the core, heard lately
}

func (w *Reconfigurer) view() view {
	v := view{core: w.Prop.Core(), now: w.Clock.Now(), disks: map[string]Heard{}, nodes: map[string]Heard{}, rank: -1}
	var me string
	for _, h := range w.Heard() {
		if h.Seat.ID == "" || h.Seat.Disk == "" {
			continue
		}
		if h.Ago <= 0 && me == "" {
			me = h.Seat.ID
		}
		if o, ok := v.disks[h.Seat.Disk]; !ok || h.Ago < o.Ago {
			v.disks[h.Seat.Disk] = h
		}
		if o, ok := v.nodes[h.Seat.ID]; !ok || h.Ago < o.Ago {
			v.nodes[h.Seat.ID] = h
		}
	}
	if me != "" {
		v.rank = 0
		for id, h := range v.nodes {
			if h.Ago < recent && id < me {
				v.rank++
			}
		}
	}
	for _, s := range v.core.Seats {
		if v.heard(s, recent) {
			v.seats++
		}
	}
	return v
}

// heard tells whether the seat's disk was heard within d.
func (v view) heard(s Seat, d time.Duration) bool {
	h, ok := v.disks[s.Disk]
	return ok && h.Seat.ID == s.ID && h.Ago < d
}

func (w *Reconfigurer) missing() time.Duration { return cmp.Or(w.Missing, missing) }

// note keeps in mind since when each seat is known here: a disk never heard is
// silent from then on.
func (w *Reconfigurer) note(v view) {
	next := make(map[string]time.Time, len(v.core.Seats))
	for _, s := range v.core.Seats {
		at, ok := w.noted[s.Disk]
		if !ok {
			at = v.now
		}
		next[s.Disk] = at
	}
	w.noted = next
}

// silence is for how long nothing came from a seat's disk.
func (w *Reconfigurer) silence(v view, s Seat) time.Duration {
	if h, ok := v.disks[s.Disk]; ok && h.Seat.ID == s.ID {
		return h.Ago
	}
	return v.now.Sub(w.noted[s.Disk])
}

// choose finds a seat to pass on, and to which disk.
func (w *Reconfigurer) choose(v view) (out, in Seat, ok bool) {
	// The same node with an emptied disk, or at another address, is sure to be the
	// one: nobody else is its node. It takes its own seat at once.
	for _, s := range v.core.Seats {
		h, known := v.nodes[s.ID]
		if known && h.Ago < recent && (h.Seat.Disk != s.Disk || h.Seat.Addr != s.Addr) {
			return s, h.Seat, true
		}
	}
	for _, s := range v.core.Seats {
		since, open := w.open[s.Disk]
		if w.silence(v, s) < w.missing() && !(open && v.now.Sub(since) > joinPatience) {
			continue
		}
		if in, ok := standBy(v, s); ok {
			return s, in, true
		}
	}
	return out, in, false
}

// standBy picks a disk without a seat, in the zone that has the fewest of the seats
// that stay.
func standBy(v view, out Seat) (Seat, bool) {
	zones := map[string]int{}
	for _, s := range v.core.Seats {
		if s != out {
			zones[s.Zone]++
		}
	}
	var all []Seat
	for id, h := range v.nodes {
		if _, has := v.core.Seat(id); !has && h.Ago < recent {
			all = append(all, h.Seat)
		}
	}
	if len(all) == 0 {
		return Seat{}, false
	}
	return slices.MinFunc(all, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(a.ID, b.ID))
	}), true
}
