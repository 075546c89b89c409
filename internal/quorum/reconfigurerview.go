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

// choose finds the seats that the next core is to have, if it is to have others than this one: a seat passes on, is
// moved, or is added.
func (w *Reconfigurer) choose(v view) (next []Seat, ok bool) {
	// The same node with an emptied disk, or at another address, is sure to be the
	// one: nobody else is its node. It takes its own seat at once.
	for _, s := range v.core.Seats {
		h, known := v.nodes[s.ID]
		if known && h.Ago < recent && (h.Seat.Disk != s.Disk || h.Seat.Addr != s.Addr) {
			return move{s, h.Seat}.apply(v.core.Seats), true
		}
	}
	seats, spares := v.located(), v.spares()
	for _, s := range v.core.Seats {
		since, open := w.open[s.Disk]
		if w.silence(v, s) < w.missing() && !(open && v.now.Sub(since) > joinPatience) {
			continue
		}
		if in, ok := w.Tolerance.StandBy(seats, s, spares); ok {
			return move{s, in}.apply(v.core.Seats), true
		}
	}
	if w.Tolerance.Expose(seats).Total() == 0 {
		return nil, false
	}
	if m, ok := w.repair(v, seats, spares); ok {
		return m.apply(v.core.Seats), true
	}
	return w.grow(v, seats, spares)
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
func (w *Reconfigurer) repair(v view, seats, spares []Seat) (m move, ok bool) {
	m, found := w.Tolerance.improve(seats, spares)
	if !found {
		return m, false
	}
	stay := v.seats
	if out, _ := v.core.Seat(m.out.ID); v.heard(out, recent) {
		stay--
	}
	return m, stay >= v.core.QuorumSize()
}

// grow adds seats to a core that was formed of fewer than it is to have: as many as make the next odd number, since an even
// one bears no more. All seats must be well, for the ones that join may fail.
func (w *Reconfigurer) grow(v view, seats, spares []Seat) (next []Seat, ok bool) {
	n := len(seats)
	if v.seats < n || n >= w.Size {
		return nil, false
	}
	added := w.Tolerance.add(seats, spares, 1+n%2)
	if len(added) == 0 || !w.Tolerance.Expose(slices.Concat(seats, added)).Within(w.Tolerance.Expose(seats)) {
		return nil, false
	}
	return slices.Concat(v.core.Seats, added), true
}
