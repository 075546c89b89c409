package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// dutyPatience is how long after its asks a renewal counts what it was granted.
	dutyPatience = 2 * Renew
	// concession is how long a node does not ask for a duty that it left to another: its
	// grant is given back by its next renewal, and the other's next one finds it free.
	concession = 3 * Renew
	// maxPartial is how many renewals in a row may be granted a duty by a minority of the
	// courts before the node gives it up, though no node before it wants the duty.
	maxPartial = 4
	// maxRest is the longest time, drawn at random, for which it then does not ask.
	maxRest = 4 * Renew
)

// duties is what a tenant knows of the duties that it seeks. The tenant's lock guards it.
type duties struct {
	sought  []string             // sorted
	until   map[string]time.Time // until when a duty is held
	rest    map[string]time.Time // until when a duty is not asked for
	partial map[string]int       // renewals in a row that a minority granted
}

// dutyRound is one renewal: how many courts granted each duty, and who holds it elsewhere.
type dutyRound struct {
	me     string
	want   []string
	quorum int
	sent   time.Time
	grants map[string]int
	taken  map[DutyHolder]int // courts at which another holds a duty
}

func newDutyRound(me string, want []string, quorum int, sent time.Time) *dutyRound {
	return &dutyRound{me: me, want: want, quorum: quorum, sent: sent, grants: map[string]int{}, taken: map[DutyHolder]int{}}
}

// Seek asks for duty name with the next renewals.
func (t *Tenant) Seek(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i, found := slices.BinarySearch(t.duties.sought, name); !found {
		t.duties.sought = slices.Insert(t.duties.sought, i, name)
	}
}

// Holds tells whether a majority granted this node the duty, and it has not
// ended.
func (t *Tenant) Holds(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.duties.holds(name, t.Clock.Now())
}

func (d *duties) holds(name string, now time.Time) bool { return now.Before(d.until[name]) }

// due lists the duties to ask for.
func (d *duties) due(now time.Time) []string {
	var out []string
	for _, name := range d.sought {
		if !now.Before(d.rest[name]) {
			out = append(out, name)
		}
	}
	return out
}

// hear counts a court's answer. What comes after the duty was given up does not count: the
// courts take it back with the next renewal.
func (d *duties) hear(r *dutyRound, told RenewTold) {
	for _, name := range told.Duties {
		r.grants[name]++
		if r.grants[name] != r.quorum || r.sent.Before(d.rest[name]) {
			continue
		}
		if d.until == nil {
			d.until = map[string]time.Time{}
		}
		d.until[name] = r.sent.Add(DutyLease - margin)
	}
	for _, h := range told.Taken {
		r.taken[h]++
	}
}

// behind tells whether others hold parts of a duty, none of them a majority, and one of them
// comes before this node: the lowest ID does.
func (r *dutyRound) behind(name string) bool {
	before := false
	for h, courts := range r.taken {
		if h.Duty != name {
			continue
		}
		if courts >= r.quorum {
			return false
		}
		before = before || h.By < r.me
	}
	return before
}

// concede waits until all courts answered a renewal, or for long enough, and then gives up what
// only a minority granted. Else several nodes could each keep a part of a duty and none ever
// hold it.
func (t *Tenant) concede(ctx context.Context, r *dutyRound, answered <-chan struct{}) {
	patience, end := context.WithCancel(ctx)
	defer end()
	go func() {
		defer end()
		_ = t.Clock.Sleep(patience, dutyPatience)
	}()
	select {
	case <-answered:
	case <-patience.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.duties.concede(r, t.Clock.Now())
}

// concede gives up what only a minority granted: the node with the lowest ID of those that
// hold a part keeps its part, and all others leave the duty to it. A node that gets no further all
// the same rests for a time drawn at random.
func (d *duties) concede(r *dutyRound, now time.Time) {
	if d.rest == nil {
		d.rest, d.partial = map[string]time.Time{}, map[string]int{}
	}
	for _, name := range r.want {
		grants := r.grants[name]
		if grants >= r.quorum || d.holds(name, now) || r.sent.Before(d.rest[name]) {
			d.partial[name] = 0
			continue
		}
		if r.behind(name) {
			d.rest[name] = now.Add(concession)
			continue
		}
		if grants == 0 {
			continue
		}
		if d.partial[name]++; d.partial[name] >= maxPartial {
			d.partial[name] = 0
			d.rest[name] = now.Add(rand.N(maxRest))
		}
	}
}
