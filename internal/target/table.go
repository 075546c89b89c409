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
	// MaxRuns is the maximum number of runs in a table.
	MaxRuns = 16384
	// inactiveRetention is how long a run that ended, or that stayed suspected, is
	// kept, so that a late heartbeat does not restore it.
	inactiveRetention = 5 * time.Minute
	// lostAfter is how long a run must be suspected before it counts as lost.
	lostAfter = 60 * time.Second
	// ReannounceInterval is how often a node announces the runs whose heartbeats it
	// receives, even without a change. This shows the others that a node still receives them.
	ReannounceInterval = 60 * time.Second
	// suspectUnheardAfter is how long a run may go unannounced before it is suspected: the
	// node that received its heartbeats was lost together with the run.
	suspectUnheardAfter = 3 * ReannounceInterval
	// moveReportInterval limits how often a run whose heartbeats alternate between nodes
	// counts as a change.
	moveReportInterval = 2 * time.Second
	// Buckets is the number of checksums by which two tables are compared.
	Buckets = 16
	// logSlack is how many superseded changes the log of a small table may hold.
	logSlack = 64
	// maxStringLen limits the length of each string of a run.
	maxStringLen = 256
	// maxSlots limits the slots of a run that is read from a record.
	maxSlots = 1 << 20
)

// Table holds what is known about every run. The merge rule is independent of the order in
// which copies arrive: the state, the largest heartbeat number, and the largest heartbeat
// number followed by silence only increase. A Table is not safe for concurrent use; its
// owner must guard it.
type Table struct {
	runs          map[string]*entry
	byAddr        map[string][]*entry // by address, in the order in which this table first saw them
	log           []change
	seq           uint64
	sums          [Buckets]uint64
	reannouncedAt time.Time // when the runs heard by this node were last announced again
	// complete means that every live run is known to this table.
	complete bool
}

type entry struct {
	Run
	seq  uint64 // sequence number of its last change; 0 once the run is removed
	hash uint64 // its contribution to the checksums
	// changedAt is when its last change was recorded here, heardAt when any copy arrived.
	changedAt, heardAt time.Time
	inactiveSince      time.Time // when it ended or was suspected
	warmAt             time.Time // when its slow operation after the start is over
	// ownSeq is the largest heartbeat that this node received itself, at ownSeqAt; 0 is none.
	ownSeq   uint64
	ownSeqAt time.Time
	// moveReportedAt is when this node last reported that the run's heartbeats arrive here.
	// movePending means that the run moved here again and that this is not reported yet.
	moveReportedAt time.Time
	movePending    bool
}

type change struct {
	seq   uint64
	entry *entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{runs: map[string]*entry{}, byAddr: map[string][]*entry{}} }

// valid reports whether a run is within the limits of a heartbeat and a table.
func (r Run) valid() bool {
	return r.ID != "" && len(r.ID) <= maxStringLen && len(r.Service) <= maxStringLen && len(r.Addr) <= maxStringLen && len(r.Zone) <= maxStringLen && len(r.Version) <= maxStringLen &&
		r.State >= Ready && r.State <= Ended
}

// compareLocation orders two copies of a run by the location, version and slots of their
// heartbeats; 0 means equal.
func compareLocation(a, b *Run) int {
	return cmp.Or(cmp.Compare(a.Addr, b.Addr), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Slots, b.Slots))
}

// mergeRuns merges two copies of one run.
func mergeRuns(a, b Run) Run {
	out := a
	// A run of which only the end is known has no address.
	if b.Addr != "" && (a.Addr == "" || b.Seq > a.Seq || b.Seq == a.Seq && compareLocation(&b, &a) > 0) {
		out = b
	}
	out.State, out.Seq, out.Silent = max(a.State, b.State), max(a.Seq, b.Seq), max(a.Silent, b.Silent)
	out.Recalled = a.Recalled && b.Recalled
	return out
}

// Sum returns the hash of the material fields of a run. Two nodes with equal sums need not
// exchange anything. The heartbeat number is not included.
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

// Bucket returns the index of the checksum to which a run contributes.
func Bucket(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Sums returns the sums of the runs' hashes by bucket.
func (t *Table) Sums() [Buckets]uint64 { return t.sums }

// Len returns the number of runs.
func (t *Table) Len() int { return len(t.runs) }

// Seq returns the sequence number of the last change.
func (t *Table) Seq() uint64 { return t.seq }

// Merge merges a copy and reports whether that was a material change.
func (t *Table) Merge(r Run, now time.Time) bool {
	if !r.valid() {
		return false
	}
	e := t.runs[r.ID]
	if e == nil {
		if t.complete && r.Recalled && r.State < Ended {
			// A live run would be known here already.
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

// add inserts a new run. If the table is full, the run that has been inactive longest is evicted.
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

// update replaces the stored state of a run and reports whether that is a material change.
func (t *Table) update(e *entry, r Run, now time.Time) bool {
	previous, wasInactive := e.Run, e.State == Ended || e.Suspected()
	if r.Addr != e.Addr {
		t.unindexAddr(e)
		e.Run = r
		t.indexAddr(e)
	}
	e.Run = r
	switch inactive := r.State == Ended || r.Suspected(); {
	case inactive && !wasInactive:
		e.inactiveSince = now
	case !inactive:
		e.inactiveSince = time.Time{}
	}
	if compareLocation(&previous, &r) == 0 && previous.State == r.State && previous.Silent == r.Silent && previous.Suspected() == r.Suspected() && previous.Recalled == r.Recalled {
		return false
	}
	t.recordChange(e, now)
	return true
}

// recordChange updates the checksums and appends the change to the log.
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

// ReceiveHeartbeat merges a heartbeat that this node received itself. If it is the first one of its
// run, the older runs at the same address are ended or suspected; quiet is how long a run must have
// been silent to be ended (see supersedeOlder). moved reports that the run's previous heartbeat went
// to another node, or that there was none.
func (t *Table) ReceiveHeartbeat(b Heartbeat, quiet time.Duration, now time.Time) (r Run, changed, moved bool) {
	in := Run{ID: b.ID, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Version: b.Version, Slots: b.Slots, Seq: b.Seq, Cold: b.Cold,
		State: lo.Ternary(b.Draining, Draining, Ready)}
	before := t.runs[b.ID]
	receivedElsewhere := before != nil && before.ownSeq < before.Seq && b.Seq > before.Seq
	changed = t.Merge(in, now)
	e := t.runs[b.ID]
	if e == nil {
		return in, false, false
	}
	moved = before == nil || receivedElsewhere || e.ownSeq == 0
	// The node that received its heartbeats before must learn that it no longer has to
	// monitor the run: at once, or, if another move was reported just before, with a later
	// heartbeat. The report must not be skipped, because to that node the run is silent.
	e.movePending = e.movePending || receivedElsewhere && !changed
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

// supersedeOlder ends the older runs at the address of a run seen for the first time. Only
// the node that received an older run's heartbeats itself can know that it has been silent
// for long enough to be gone. Any other run is only suspected after the last heartbeat
// known here, which its next heartbeat disproves.
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

// EndSuperseded ends the runs whose newest heartbeat this node received itself, that have
// been silent for longer than quiet, and whose address a later run has taken over.
func (t *Table) EndSuperseded(quiet time.Duration, now time.Time) (changed bool) {
	for _, l := range t.byAddr {
		if len(l) < 2 {
			continue
		}
		for i, o := range l[:len(l)-1] {
			replaced := lo.SomeBy(l[i+1:], func(x *entry) bool { return x.State != Ended })
			if replaced && o.State != Ended && o.ownSeq > 0 && o.ownSeq >= o.Seq && now.Sub(o.ownSeqAt) > quiet {
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

// Suspect records that a run is suspected after the largest heartbeat known here.
func (t *Table) Suspect(id string, now time.Time) bool {
	e := t.runs[id]
	return e != nil && t.suspect(e, now)
}

// MarkEnded records that a run has ended, even if the run was unknown.
func (t *Table) MarkEnded(id string, now time.Time) (r Run, changed bool) {
	r, ok := t.Get(id, now)
	if !ok {
		r = Run{ID: id}
	}
	r.State, r.Recalled = Ended, false
	changed = t.Merge(r, now)
	return r, changed
}

// MarkComplete records that every live run is known here by now. Recalled runs without a
// heartbeat are suspected, and no further ones are accepted. They are not ended, because a
// run whose heartbeats were only delayed is cleared by its next one.
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

// Complete reports whether every live run is known here.
func (t *Table) Complete() bool { return t.complete }

// RemoveExpired removes the runs that have been inactive for longer than inactiveRetention.
func (t *Table) RemoveExpired(now time.Time) {
	for _, e := range t.runs {
		if !e.inactiveSince.IsZero() && now.Sub(e.inactiveSince) > inactiveRetention {
			t.remove(e)
		}
	}
}

// Maintain removes expired runs, suspects runs that no node announces any more, and announces
// the runs heard here again. It reports whether anything changed.
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

// Lost reports whether a run is unknown, ended, or suspected for so long that it no longer counts among
// the runs of its service.
func (t *Table) Lost(id string, now time.Time) bool {
	e := t.runs[id]
	return e == nil || e.State == Ended || !e.inactiveSince.IsZero() && now.Sub(e.inactiveSince) > lostAfter
}

// OwnSeq returns the largest heartbeat of a run that this node received itself, and whether
// that is the largest that any node is known to have received.
func (t *Table) OwnSeq(id string) (seq uint64, newest bool) {
	e := t.runs[id]
	if e == nil {
		return 0, false
	}
	return e.ownSeq, e.ownSeq > 0 && e.ownSeq >= e.Seq
}

// snapshot returns a run with its Cold as of now.
func (t *Table) snapshot(e *entry, now time.Time) Run {
	r := e.Run
	r.Cold = max(0, e.warmAt.Sub(now))
	return r
}

// Get returns a run with its Cold as of now.
func (t *Table) Get(id string, now time.Time) (Run, bool) {
	e := t.runs[id]
	if e == nil {
		return Run{}, false
	}
	return t.snapshot(e, now), true
}

// All iterates over all runs in unspecified order.
func (t *Table) All(now time.Time) iter.Seq[Run] {
	return func(yield func(Run) bool) {
		for _, e := range t.runs {
			if !yield(t.snapshot(e, now)) {
				return
			}
		}
	}
}

// runOverhead is the approximate encoded size of a run apart from its strings.
const runOverhead = 24

// Since returns the runs that changed after seq, in order of change, each run once. The
// next call continues at upTo; more reports that further changes are already available.
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
