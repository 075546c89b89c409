package target

import (
	"cmp"
	"encoding/binary"
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// MaxRuns bounds a table.
	MaxRuns = 16384
	// inactiveRetention is how long a run that ended, or that stayed suspected, is
	// remembered, so that no late beat brings it back.
	inactiveRetention = 5 * time.Minute
	// lostAfter is how long a run is suspected before it counts as lost for good.
	lostAfter = 60 * time.Second
	// ReannounceInterval is how often a node tells of the runs whose beats it receives,
	// though nothing changed: it shows the others that somebody still hears them.
	ReannounceInterval = 60 * time.Second
	// suspectUnheardAfter is how long a run may go untold before it is suspected: the node
	// that heard its beats was lost together with it.
	suspectUnheardAfter = 3 * ReannounceInterval
	// moveReportInterval bounds how often a run that beats at changing nodes is news.
	moveReportInterval = 2 * time.Second
	// Buckets is the number of sums by which two tables are compared.
	Buckets = 16
	// logSlack is how many overtaken changes a small table's log may hold.
	logSlack = 64
	// maxStringLen bounds the strings of a run.
	maxStringLen = 256
	// maxSlots bounds the slots of a run that is read from a record.
	maxSlots = 1 << 20
)

// Table holds what is known of every run. Copies merge by a rule that does not look at
// the order in which they come: the state, the largest beat and the largest beat
// followed by silence only rise. It is not for concurrent use; its owner guards it.
type Table struct {
	runs          map[string]*entry
	byAddr        map[string][]*entry // by address, in order of first sight
	log           []change
	seq           uint64
	sums          [Buckets]uint64
	reannouncedAt time.Time // when the own runs were last told again
	// settled says that whatever lives is known here.
	complete bool
}

type entry struct {
	Run
	seq  uint64 // of its last change; 0 once it is forgotten
	hash uint64 // its part of the sums
	// told is when its last change was noted here, heard when anything was.
	changedAt, heardAt time.Time
	inactiveSince      time.Time // when it ended or was suspected
	warmAt             time.Time // until when it is slow
	// own is the largest beat that this node received itself, at ownAt; 0 is none.
	ownSeq   uint64
	ownSeqAt time.Time
	// movedAt is when it was last told that the run beats here now; owed says that it has
	// moved here again and that this is still to be told.
	moveReportedAt time.Time
	movePending    bool
}

type change struct {
	seq   uint64
	entry *entry
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{runs: map[string]*entry{}, byAddr: map[string][]*entry{}} }

// valid refuses what no beat and no table can hold.
func (r Run) valid() bool {
	return r.ID != "" && len(r.ID) <= maxStringLen && len(r.Service) <= maxStringLen && len(r.Addr) <= maxStringLen && len(r.Zone) <= maxStringLen && len(r.Version) <= maxStringLen &&
		r.State >= Ready && r.State <= Ended
}

// compareLocation orders two copies of a run by what a beat says of where it stands; 0 is the same.
func compareLocation(a, b *Run) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Slots, b.Slots))
}

// mergeRuns merges two copies of one run.
func mergeRuns(a, b Run) Run {
	out := a
	// A run that is only known by its end has no place.
	if b.Addr != "" && (a.Addr == "" || b.Seq > a.Seq || b.Seq == a.Seq && compareLocation(&b, &a) > 0) {
		out = b
	}
	out.State, out.Seq, out.Silent = max(a.State, b.State), max(a.Seq, b.Seq), max(a.Silent, b.Silent)
	out.Recalled = a.Recalled && b.Recalled
	return out
}

// Sum is the hash of what is material in a run: two nodes with equal sums need not
// tell each other anything. The ordinary beat is no part of it.
func (r Run) Sum() uint64 {
	var b [512]byte
	p := b[:0]
	for _, s := range []string{r.ID, r.Service, r.Addr, r.Zone, r.Version} {
		p = append(binary.AppendUvarint(p, uint64(len(s))), s...)
	}
	p = binary.AppendVarint(p, int64(r.Slots))
	p = append(p, byte(r.State), lo.Ternary[byte](r.Suspected(), 1, 0)|lo.Ternary[byte](r.Recalled, 2, 0))
	p = binary.AppendUvarint(p, r.Silent)
	return xxhash.Sum64(p)
}

// Bucket tells in which of the sums a run's part stands.
func Bucket(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Sums are the sums of all runs' hashes, by bucket.
func (t *Table) Sums() [Buckets]uint64 { return t.sums }

// Len is the number of runs.
func (t *Table) Len() int { return len(t.runs) }

// Seq is the number of the last change.
func (t *Table) Seq() uint64 { return t.seq }

// Merge takes a copy in and tells whether it was material news.
func (t *Table) Merge(r Run, now time.Time) bool {
	if !r.valid() {
		return false
	}
	e := t.runs[r.ID]
	if e == nil {
		if t.complete && r.Recalled && r.State < Ended {
			// It would be known here if it lived.
			return false
		}
		if e = t.add(r, now); e == nil {
			return false
		}
		t.recordChange(e, now)
		return true
	}
	e.heardAt = now
	if r.Seq >= e.Seq && r.Cold > 0 {
		e.warmAt = now.Add(r.Cold)
	}
	return t.update(e, mergeRuns(e.Run, r), now)
}

// add makes room for a new run: the one that has been over for longest goes.
func (t *Table) add(r Run, now time.Time) *entry {
	if len(t.runs) >= MaxRuns {
		oldest := lo.MinBy(lo.Filter(lo.Values(t.runs), func(e *entry, _ int) bool { return !e.inactiveSince.IsZero() }),
			func(a, b *entry) bool { return a.inactiveSince.Before(b.inactiveSince) })
		if oldest == nil {
			return nil
		}
		t.remove(oldest)
	}
	e := &entry{Run: r, heardAt: now, warmAt: now.Add(r.Cold)}
	if r.State == Ended || r.Suspected() {
		e.inactiveSince = now
	}
	t.runs[r.ID] = e
	t.indexAddr(e)
	return e
}

func (t *Table) indexAddr(e *entry) {
	if e.Addr != "" {
		t.byAddr[e.Addr] = append(t.byAddr[e.Addr], e)
	}
}

func (t *Table) unindexAddr(e *entry) {
	if l := slices.DeleteFunc(t.byAddr[e.Addr], func(x *entry) bool { return x == e }); len(l) > 0 {
		t.byAddr[e.Addr] = l
	} else {
		delete(t.byAddr, e.Addr)
	}
}

func (t *Table) remove(e *entry) {
	t.unindexAddr(e)
	delete(t.runs, e.ID)
	t.sums[Bucket(e.ID)] -= e.hash
	e.seq = 0
}

// update replaces a run's copy and tells whether that is material news.
func (t *Table) update(e *entry, r Run, now time.Time) bool {
	was, wasInactive := e.Run, e.State == Ended || e.Suspected()
	if r.Addr != e.Addr {
		t.unindexAddr(e)
		e.Run = r
		t.indexAddr(e)
	}
	e.Run = r
	switch is := r.State == Ended || r.Suspected(); {
	case is && !wasInactive:
		e.inactiveSince = now
	case !is:
		e.inactiveSince = time.Time{}
	}
	if compareLocation(&was, &r) == 0 && was.State == r.State && was.Silent == r.Silent && was.Suspected() == r.Suspected() && was.Recalled == r.Recalled {
		return false
	}
	t.recordChange(e, now)
	return true
}

// recordChange notes a change to be told.
func (t *Table) recordChange(e *entry, now time.Time) {
	b := Bucket(e.ID)
	t.sums[b] -= e.hash
	e.hash = e.Sum()
	t.sums[b] += e.hash
	t.seq++
	e.seq, e.changedAt, e.movePending = t.seq, now, false
	t.log = append(t.log, change{t.seq, e})
	if len(t.log) > 2*len(t.runs)+logSlack {
		t.log = lo.Filter(t.log, func(c change, _ int) bool { return c.entry.seq == c.seq })
	}
}

// ReceiveHeartbeat takes in a beat that this node received itself. moved says that the run was
// heard by another node until now, or by none.
func (t *Table) ReceiveHeartbeat(b Heartbeat, quiet time.Duration, now time.Time) (r Run, changed, moved bool) {
	in := Run{ID: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Version: b.Version, Slots: b.Slots, Seq: b.Seq, Cold: b.Cold,
		State: lo.Ternary(b.Draining, Draining, Ready)}
	before := t.runs[b.ID]
	elsewhere := before != nil && before.ownSeq < before.Seq && b.Seq > before.Seq
	changed = t.Merge(in, now)
	e := t.runs[b.ID]
	if e == nil {
		return in, false, false
	}
	moved = before == nil || elsewhere || e.ownSeq == 0
	// The node that heard it before is to know that it need not judge it any more: at
	// once, or after a move right before this one with a later beat. It must not be left
	// out: to that node the run is silent.
	e.movePending = e.movePending || elsewhere && !changed
	if e.movePending && now.Sub(e.moveReportedAt) >= moveReportInterval {
		t.recordChange(e, now)
		e.moveReportedAt, changed = now, true
	}
	if b.Seq > e.ownSeq {
		e.ownSeq, e.ownSeqAt = b.Seq, now
	}
	if before == nil && e.Addr != "" {
		changed = t.supersedeOlder(e, quiet, now) || changed
	}
	return t.snapshot(e, now), changed, moved
}

// supersedeOlder ends the older runs at the address of a run first seen now. Only the node that
// heard an older run itself can know that it has been silent for long enough to be
// gone; of any other this node can only say that the beats known here are the last,
// which the next beat proves wrong.
func (t *Table) supersedeOlder(e *entry, quiet time.Duration, now time.Time) (changed bool) {
	for _, o := range t.byAddr[e.Addr] {
		switch {
		case o == e || o.State == Ended:
		case o.ownSeq > 0 && o.ownSeq >= o.Seq:
			if now.Sub(o.ownSeqAt) > quiet {
				changed = t.markEnded(o, now) || changed
			}
		default:
			changed = t.suspect(o, now) || changed
		}
	}
	return changed
}

// EndSuperseded ends the runs that this node heard itself until they fell silent for quiet and
// whose address another, later run has taken over since.
func (t *Table) EndSuperseded(quiet time.Duration, now time.Time) (changed bool) {
	for _, l := range t.byAddr {
		if len(l) < 2 {
			continue
		}
		for i, o := range l[:len(l)-1] {
			later := lo.SomeBy(l[i+1:], func(x *entry) bool { return x.State != Ended })
			if later && o.State != Ended && o.ownSeq > 0 && o.ownSeq >= o.Seq && now.Sub(o.ownSeqAt) > quiet {
				changed = t.markEnded(o, now) || changed
			}
		}
	}
	return changed
}

func (t *Table) markEnded(e *entry, now time.Time) bool {
	r := e.Run
	r.State = Ended
	return t.update(e, r, now)
}

func (t *Table) suspect(e *entry, now time.Time) bool {
	r := e.Run
	r.Silent = max(r.Silent, r.Seq, 1)
	return t.update(e, r, now)
}

// Suspect notes that a run is suspected after its largest beat known here.
func (t *Table) Suspect(id string, now time.Time) bool {
	e := t.runs[id]
	return e != nil && t.suspect(e, now)
}

// MarkEnded notes that a run has ended, also one that was never heard of.
func (t *Table) MarkEnded(id string, now time.Time) (r Run, changed bool) {
	r, ok := t.Get(id, now)
	if !ok {
		r = Run{ID: id}
	}
	r.State, r.Recalled = Ended, false
	changed = t.Merge(r, now)
	return r, changed
}

// MarkComplete notes that whatever lives is known here by now: recalled runs of which no beat
// came are suspected, and no more of them are taken in. Ending them would go too far:
// one whose beats only were held up is cleared by its next.
func (t *Table) MarkComplete(now time.Time) (changed bool) {
	if t.complete {
		return false
	}
	t.complete = true
	for _, e := range t.runs {
		if e.Recalled && e.State != Ended && !e.Suspected() {
			changed = t.suspect(e, now) || changed
		}
	}
	return changed
}

// Complete tells whether whatever lives is known here.
func (t *Table) Complete() bool { return t.complete }

// RemoveExpired drops the runs that have been over, or suspected, for long.
func (t *Table) RemoveExpired(now time.Time) {
	for _, e := range t.runs {
		if !e.inactiveSince.IsZero() && now.Sub(e.inactiveSince) > inactiveRetention {
			t.remove(e)
		}
	}
}

// Maintain forgets what is over, suspects what nobody tells of any more, and tells again of
// the runs heard here. It tells whether there is news.
func (t *Table) Maintain(now time.Time) (changed bool) {
	reannounce := now.Sub(t.reannouncedAt) >= ReannounceInterval
	if reannounce {
		t.reannouncedAt = now
	}
	t.RemoveExpired(now)
	for _, e := range t.runs {
		switch {
		case e.State == Ended || e.Suspected():
		case e.ownSeq > 0 && e.ownSeq >= e.Seq:
			if reannounce && now.Sub(e.changedAt) >= ReannounceInterval/2 {
				t.recordChange(e, now)
				changed = true
			}
		case now.Sub(e.heardAt) > suspectUnheardAfter:
			changed = t.suspect(e, now) || changed
		}
	}
	return changed
}

// Lost tells whether a run has been over, or suspected, for so long that it no longer
// counts among its service's.
func (t *Table) Lost(id string, now time.Time) bool {
	e := t.runs[id]
	return e == nil || e.State == Ended || !e.inactiveSince.IsZero() && now.Sub(e.inactiveSince) > lostAfter
}

// OwnSeq is the largest beat of a run that this node received itself, and whether that
// is the largest that any node is known to have received.
func (t *Table) OwnSeq(id string) (seq uint64, newest bool) {
	e := t.runs[id]
	if e == nil {
		return 0, false
	}
	return e.ownSeq, e.ownSeq > 0 && e.ownSeq >= e.Seq
}

// snapshot is a run as it is told now.
func (t *Table) snapshot(e *entry, now time.Time) Run {
	r := e.Run
	r.Cold = max(0, e.warmAt.Sub(now))
	return r
}

// Get returns a run.
func (t *Table) Get(id string, now time.Time) (Run, bool) {
	e := t.runs[id]
	if e == nil {
		return Run{}, false
	}
	return t.snapshot(e, now), true
}

// All walks through all runs, in no order.
func (t *Table) All(now time.Time) iter.Seq[Run] {
	return func(yield func(Run) bool) {
		for _, e := range t.runs {
			if !yield(t.snapshot(e, now)) {
				return
			}
		}
	}
}

// runOverhead is roughly what a run takes besides its strings when it is sent.
const runOverhead = 24

// Since returns what changed after seq, in order of change, each run once. The next
// look goes on at upTo; more says that there is more already.
func (t *Table) Since(seq uint64, maxRuns, maxBytes int, now time.Time) (runs []Run, upTo uint64, more bool) {
	if seq > t.seq {
		seq = 0
	}
	from, _ := slices.BinarySearchFunc(t.log, seq+1, func(c change, want uint64) int { return cmp.Compare(c.seq, want) })
	n := 0
	for _, c := range t.log[from:] {
		e := c.entry
		if e.seq != c.seq {
			continue
		}
		n += runOverhead + len(e.ID) + len(e.Service) + len(e.Addr) + len(e.Zone) + len(e.Version)
		if len(runs) > 0 && (maxRuns > 0 && len(runs) >= maxRuns || maxBytes > 0 && n > maxBytes) {
			return runs, upTo, true
		}
		runs = append(runs, t.snapshot(e, now))
		upTo = c.seq
	}
	return runs, t.seq, false
}
