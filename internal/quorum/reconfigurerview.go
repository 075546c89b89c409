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
	seats, spares := v.located(), v.spares()
	for _, s := range v.core.Seats {
		since, open := w.open[s.Disk]
		if w.silence(v, s) < w.missing() && !(open && v.now.Sub(since) > joinPatience) {
			continue
		}
		if in, ok := w.Tolerance.StandBy(seats, s, spares); ok {
			return s, in, true
		}
	}
	return w.repair(v, seats, spares)
}

// spares are the machines with a disk and without a seat that were heard lately, by ID.
func (v view) spares() (spares []Seat) {
	for id, h := range v.nodes {
		if _, has := v.core.Seat(id); !has && h.Ago < recent {
			spares = append(spares, h.Seat)
		}
	}
	slices.SortFunc(spares, byID)
	return spares
}

// located are the seats of the core where their machines stand now.
func (v view) located() []Seat {
	heard := make([]Heard, 0, len(v.nodes))
	for _, h := range v.nodes {
		heard = append(heard, h)
	}
	return Located(v.core.Seats, heard)
}

// repair moves the seat of a machine that is well, where the core bears less than it is to and less than it could.
// The seats that stay must be a majority by themselves: the one that joins may fail.
func (w *Reconfigurer) repair(v view, seats, spares []Seat) (out, in Seat, ok bool) {
	if w.Tolerance.Expose(seats).Total() == 0 {
		return out, in, false
	}
	m, found := w.Tolerance.improve(seats, spares)
	if !found {
		return out, in, false
	}
	out, _ = v.core.Seat(m.out.ID)
	stay := v.seats
	if v.heard(out, recent) {
		stay--
	}
	return out, m.in, stay >= v.core.Quorum()
}
