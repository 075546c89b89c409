package quorum

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/link"
	"walkrudder/internal/steperr"
)

const (
	// coreRegister holds the newest core that was decided, as JSON.
	coreRegister = "core"
	// lookEvery is the pace of a reconfigurer, and stall how late its own loop may be
	// before what it heard is worth nothing.
	lookEvery = 300 * time.Millisecond
	stall     = 500 * time.Millisecond
	// recent is the age up to which a disk counts as heard, and calm is how long a
	// reconfigurer must have been well before it acts.
	recent = time.Second
	calm   = time.Second
	// rankStep is by how much each further rank waits longer, and maxRank the last
	// rank that waits longer than the one before.
	rankStep = 600 * time.Millisecond
	maxRank  = 5
	// pace is the least time between two tries that have the same cause.
	pace = time.Second
	// missing is the default of Reconfigurer.Missing.
	missing = 1500 * time.Millisecond
	// joinPatience is how long a seat may be heard and yet not join before it
	// counts as missing.
	joinPatience = 10 * time.Second
	rollTime     = 700 * time.Millisecond
	decideTime   = 2 * time.Second
	joinTime     = 5 * time.Second
)

// Heard is a disk that was heard of.
type Heard struct {
	Seat Seat
	Ago  time.Duration
}

// Reconfigurer keeps the seats of the core filled (design 4.4): a seat goes to its own
// node's new disk at once, and to a disk that stands by once it was silent for long.
// Every disk mind runs one. Who acts is told by rank among the disks heard, so that
// mostly one does; that two act does no harm, for a register of the old epoch
// decides. In calm it sends nothing.
type Reconfigurer struct {
	// Heard tells which disks were heard lately, this node's own with Ago 0.
	Heard func() []Heard
	// Missing is how long a seat must be silent before it passes on to another
	// node; 0 means 1.5 s.
	Missing time.Duration
	Prop    *Proposer
	Line    link.Line
	Clock   clock.Clock
	Faults  *fault.Set
	Log     *log.Logger

	noted   map[string]time.Time // since when each seat's disk is known here
	well    time.Time            // since when a majority is heard, zero if it is not
	need    time.Time            // since when there is something to do
	tried   time.Time
	settled uint64               // the epoch whose seats were last looked through
	open    map[string]time.Time // its seats that did not vote, by disk, and since when
	doubt   bool                 // a swap may be decided that nobody carried out
}

// Run looks after the seats until ctx ends.
func (w *Reconfigurer) Run(ctx context.Context) {
	w.doubt = true
	for {
		at := w.Clock.Now()
		if w.Clock.Sleep(ctx, lookEvery) != nil {
			return
		}
		if w.Clock.Now().Sub(at) > lookEvery+stall {
			// It was this process that stood still.
			w.well, w.noted = time.Time{}, nil
		}
		w.look(ctx)
	}
}

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

// look decides from what was heard alone whether there is anything to do.
func (w *Reconfigurer) look(ctx context.Context) {
	v := w.view()
	w.note(v)
	if v.core.Epoch == 0 || v.rank < 0 || v.seats < v.core.Quorum() {
		w.well, w.need = time.Time{}, time.Time{}
		return
	}
	if w.well.IsZero() {
		w.well = v.now
	}
	out, in, swap := w.choose(v)
	silent := lo.SomeBy(v.core.Seats, func(s Seat) bool { return w.silence(v, s) >= w.missing() })
	w.doubt = w.doubt || silent
	back := lo.SomeBy(v.core.Seats, func(s Seat) bool { _, open := w.open[s.Disk]; return open && v.heard(s, recent) })
	if !swap && w.settled == v.core.Epoch && !back && (!w.doubt || silent) {
		w.need = time.Time{}
		return
	}
	if w.need.IsZero() {
		w.need = v.now
	}
	if v.now.Sub(w.well) < calm || v.now.Sub(w.need) < rankStep*time.Duration(min(v.rank, maxRank)) || v.now.Sub(w.tried) < pace {
		return
	}
	err := w.settle(ctx, v, swap)
	if err == nil && swap && w.Prop.Core().Epoch == v.core.Epoch {
		err = w.swap(ctx, v, out, in)
	}
	w.tried = w.Clock.Now()
	if w.Prop.Core().Epoch > v.core.Epoch {
		// What comes next has another cause.
		w.tried, w.need = time.Time{}, time.Time{}
	}
	if err != nil && ctx.Err() == nil {
		w.doubt = true
		if w.Log != nil {
			w.Log.Warn("seats not yet filled", "step", "seats", "err", err)
		}
	}
}

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

// settle finishes the swap that led to the core known here, and one that is decided
// beyond it. It looks at the register only where one may be left over, and not if a
// swap comes next, which looks there itself.
func (w *Reconfigurer) settle(ctx context.Context, v view, swap bool) error {
	if w.settled != v.core.Epoch || len(w.open) > 0 {
		if err := w.carry(ctx, v, v.core); err != nil {
			return err
		}
	}
	if !w.doubt || swap {
		return nil
	}
	cx, end := context.WithTimeout(ctx, decideTime)
	defer end()
	raw, err := w.Prop.Read(cx, coreRegister)
	if err != nil && !Nothing(err) {
		return steperr.At("read core", "", err)
	}
	if len(raw) > 0 {
		next, err := decodeCore(raw)
		if err != nil {
			return steperr.At("read core", "", err)
		}
		if next.Epoch > v.core.Epoch {
			return w.carry(ctx, v, next)
		}
	}
	w.doubt = false
	return nil
}

// swap decides the next core in a register of the old epoch and carries it out.
// Whatever is decided already, by whom ever, stays decided and is carried out in
// place of this swap.
func (w *Reconfigurer) swap(ctx context.Context, v view, out, in Seat) error {
	next := Core{Epoch: v.core.Epoch + 1, Before: v.core.Seats}
	for _, s := range v.core.Seats {
		if s == out {
			s = in
		}
		next.Seats = append(next.Seats, s)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return steperr.At("decide swap", in.ID, err)
	}
	cx, end := context.WithTimeout(ctx, decideTime)
	defer end()
	got, err := w.Prop.Change(cx, coreRegister, func(old []byte) ([]byte, error) {
		if len(old) == 0 {
			return raw, nil
		}
		o, err := decodeCore(old)
		if err != nil {
			return nil, err
		}
		if o.Epoch > v.core.Epoch {
			return old, nil
		}
		return raw, nil
	})
	if err != nil {
		return steperr.At("decide swap", in.ID, err)
	}
	if next, err = decodeCore(got); err != nil {
		return steperr.At("decide swap", in.ID, err)
	}
	if w.Log != nil {
		w.Log.Info("seat passes on", "step", "swap", "peer", in.ID, "out", out.ID, "epoch", next.Epoch)
	}
	return w.carry(ctx, v, next)
}

// decodeCore reads a core into slices of its own: others are shared between nodes
// of one process and with what is known.
func decodeCore(b []byte) (c Core, err error) {
	err = json.Unmarshal(b, &c)
	return c, err
}

// carry brings next about: it seals the voters before, then has the seats join that
// do not vote yet. Every step may be done again, by anybody. It is content once a
// majority votes: they can be sealed for the swap after, so that a seat that never
// joins does not stand in the way of its own replacement.
func (w *Reconfigurer) carry(ctx context.Context, v view, next Core) error {
	if next.Epoch > v.core.Epoch {
		// A decision may be old. Sealing for a core whose majority is not there would
		// end the one that works.
		if n := lo.CountBy(next.Seats, func(s Seat) bool { return v.heard(s, w.missing()) }); n < next.Quorum() {
			return steperr.New("swap", "", "%d of the seats of epoch %d heard, need %d", n, next.Epoch, next.Quorum())
		}
	}
	at := w.roll(ctx, v, next)
	if next.Epoch > v.core.Epoch {
		w.Faults.At(fault.AfterSeal)
	}
	from, err := sources(next, at)
	if err != nil {
		return err
	}
	w.Prop.Learn(next)
	votes, open := 0, map[string]time.Time{}
	var out []Seat
	for _, s := range next.Seats {
		if at[s.Disk] {
			votes++
			continue
		}
		since, known := w.open[s.Disk]
		open[s.Disk] = lo.Ternary(known, since, v.now)
		if v.heard(s, w.missing()) {
			out = append(out, s)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range out {
		wg.Go(func() {
			n, err := w.join(ctx, next, from, s)
			if w.Log != nil {
				w.Log.Info("seat asked to join", "step", "join", "peer", s.ID, "epoch", next.Epoch, "items", n, "err", err)
			}
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				votes++
				delete(open, s.Disk)
			}
		})
	}
	wg.Wait()
	w.settled, w.open = next.Epoch, open
	if votes < next.Quorum() {
		w.settled = 0
		return steperr.New("join", "", "%d seats of epoch %d vote, need %d", votes, next.Epoch, next.Quorum())
	}
	return nil
}

// join has s pull what was acknowledged and vote; it tells how many items came.
func (w *Reconfigurer) join(ctx context.Context, next Core, from source, s Seat) (int, error) {
	cx, end := context.WithTimeout(ctx, joinTime)
	defer end()
	r, err := link.Ask[JoinTold](cx, w.Line, s.Addr, JoinAsk{Next: next, From: nearest(from, s)})
	if err == nil && !r.OK {
		err = steperr.New("join", s.ID, "stands at a later epoch than %d", next.Epoch)
	}
	return r.Items, err
}

// roll tells the seats of next, and those before, that next takes over, and
// yields the disks that stand at its epoch. It does not wait for those that were
// not heard lately.
func (w *Reconfigurer) roll(ctx context.Context, v view, next Core) map[string]bool {
	all := slices.Clone(next.Seats)
	for _, s := range next.Before {
		if !lo.ContainsBy(all, func(o Seat) bool { return o.Disk == s.Disk && o.Addr == s.Addr }) {
			all = append(all, s)
		}
	}
	cx, end := context.WithTimeout(ctx, rollTime)
	type back struct {
		s  Seat
		ok bool
	}
	ch := make(chan back, len(all))
	var wg sync.WaitGroup
	wait := 0
	for _, s := range all {
		lively := v.heard(s, w.missing())
		if lively {
			wait++
		}
		wg.Go(func() {
			r, err := link.Ask[SealTold](cx, w.Line, s.Addr, SealAsk{Next: next})
			if err == nil && !r.OK {
				w.Prop.Learn(r.Core)
			}
			ch <- back{s, err == nil && r.OK && r.Disk == s.Disk}
		})
	}
	go func() {
		wg.Wait()
		end()
		close(ch)
	}()
	at := map[string]bool{}
	for b := range ch {
		if b.ok {
			at[b.s.Disk] = true
		}
		if v.heard(b.s, w.missing()) {
			wait--
		}
		if wait == 0 {
			if _, err := sources(next, at); err == nil {
				break
			}
		}
	}
	return at
}

// source is a set of sealed voters, so many of which a joiner has to pull from.
type source struct {
	seats []Seat
	need  int
}

// sources tells whom a joiner of next pulls from, given the disks that stand at its
// epoch: N-Q+1 of the voters before, which together hold whatever was acknowledged
// up to the seal; or a majority of next itself, which meets all holders since.
func sources(next Core, at map[string]bool) (source, error) {
	of := func(seats []Seat) []Seat {
		return lo.Filter(seats, func(s Seat, _ int) bool { return at[s.Disk] })
	}
	if own := of(next.Seats); len(own) >= next.Quorum() {
		return source{own, next.Quorum()}, nil
	}
	before := Core{Seats: next.Before}
	sealed := of(next.Before)
	if len(next.Before) > 0 && len(sealed) >= before.Blocking() {
		return source{sealed, before.Blocking()}, nil
	}
	return source{}, steperr.New("seal", "", "%d of %d voters sealed for epoch %d", len(sealed), before.Blocking(), next.Epoch)
}

// nearest picks from whom s pulls: its own zone first, for what crosses zones is
// paid for; the rest by chance, so that one that does not answer is passed by at
// the next try.
func nearest(f source, s Seat) []Seat {
	all := slices.Clone(f.seats)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b Seat) int {
		return cmp.Compare(lo.Ternary(a.Zone == s.Zone, 0, 1), lo.Ternary(b.Zone == s.Zone, 0, 1))
	})
	return all[:f.need]
}
