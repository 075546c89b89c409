package watch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/target"
)

const (
	// maxWait bounds how long an ask is held back.
	maxWait = 2 * time.Second
	// maxReply bounds the items and runs of one answer, before packing.
	maxReply = 256 << 10
	// firstReply bounds the answer to an ask that does not wait, so that a node which
	// looks for a controller learns soon whether this one will do.
	firstReply = 32 << 10
	// gatewayGone is how long after its last ask a gateway no longer counts as attached.
	gatewayGone = 2500 * time.Millisecond
	// askerGone is how long an asker is remembered.
	askerGone = time.Minute
	// maxAskers bounds the askers remembered.
	maxAskers = 1024
	// holdUrgent and holdRest are how long after news were told to a gateway the next are held
	// back, so that they go together: runs that leave for the first, other runs for the
	// second, and items not at all (design 23.6). holdController is for controllers, of what is not
	// urgent: what comes by way of two controllers is not to be held back twice.
	holdUrgent     = 100 * time.Millisecond
	holdRest       = 250 * time.Millisecond
	holdController = 100 * time.Millisecond
)

// Teller answers those who follow this node.
type Teller struct {
	Me    func() Member
	Board *Board
	Clock clock.Clock
	// Core is the newest core that this node knows, and Votes the epoch of the one in
	// which its own disk has a seat, or 0.
	Core  func() quorum.Core
	Votes func() uint64
	// Fresh tells whether this node misses nothing acknowledged up to lag ago.
	Fresh func() (lag time.Duration, fresh bool)
	// Going tells whether this node is about to stop; nil is never.
	Going func() bool
	// Others are the other controllers that this node hears itself, and Elsewhere the zones of
	// the gateways that follow them, by ID.
	Others    func() []Member
	Elsewhere func() map[string]string
	// Met is told of the controllers that ask.
	Met func(Member)

	mu     sync.Mutex
	askers map[string]*asker
	asks   uint64
	peers  []Member
	near   map[string]string // zones of the gateways that follow this node, by ID
	all    map[string]int    // gateways that follow any, by zone
	ver    uint64            // of peers and near
	looked time.Time
}

type asker struct {
	Member
	at   time.Time
	seen Cursor    // with its last ask
	told time.Time // when it was last told news
}

// Serve teaches d to answer those who follow.
func (t *Teller) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a WatchAsk) (WatchTold, error) { return t.watch(ctx, a) })
}

// watch waits for news and tells them.
func (t *Teller) watch(ctx context.Context, a WatchAsk) (WatchTold, error) {
	start := t.Clock.Now()
	me := t.Me()
	if !t.note(a.Me, len(a.Sums) > 0, start) || len(a.Sums) == 0 && (a.Inc != me.Inc || t.Board.past(a.Seen)) {
		return WatchTold{Inc: me.Inc, Anew: true}, nil
	}
	if a.Inc != me.Inc || t.Board.past(a.Seen) {
		a.Seen = Cursor{}
	}
	wait := min(max(a.Wait, 0), maxWait)
	bell, stop := t.Clock.After(wait)
	defer stop()
	_, was := t.Fresh()
	going := t.going()
	for over := wait == 0; ; {
		changed, woken := t.Board.Changed(), t.Board.Woken()
		r := WatchTold{Inc: me.Inc, Waited: t.Clock.Now().Sub(start)}
		t.look(&r, a, me)
		news := len(r.Items)+len(r.Runs) > 0
		held := time.Duration(0)
		if news && len(a.Sums) == 0 {
			held = t.held(a.Me.ID, &r)
		}
		if over || r.Fresh != was || r.Going != going || r.More || news && held <= 0 || r.Core.Epoch > a.Epoch {
			if news && wait > 0 {
				// A question that does not wait may be asked beside one that does.
				t.toldNews(a.Me.ID)
			}
			return r, r.pack()
		}
		var due <-chan time.Time
		unhold := func() {}
		if news {
			// Each change would have it look again; what is urgent is seen soon enough.
			due, unhold = t.Clock.After(min(held, holdUrgent))
			changed = nil
		}
		select {
		case <-changed:
		case <-woken:
		case <-due:
		case <-bell:
			over = true
		case <-ctx.Done():
			unhold()
			return r, nil
		}
		unhold()
	}
}

// held is how much longer the news of an answer are to be held back.
func (t *Teller) held(id string, r *WatchTold) time.Duration {
	if len(r.Items) > 0 {
		return 0
	}
	urgent := slices.ContainsFunc(r.Runs, func(x target.Run) bool { return x.State > target.Ready })
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.askers[id]
	if a == nil || a.told.IsZero() {
		return 0
	}
	hold := lo.Ternary(urgent, holdUrgent, holdRest)
	if a.Kind == Controller {
		hold = lo.Ternary(urgent, 0, holdController)
	}
	return a.told.Add(hold).Sub(t.Clock.Now())
}

// toldNews notes that an asker is told news now.
func (t *Teller) toldNews(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.askers[id]; a != nil {
		a.told = t.Clock.Now()
	}
}

func (t *Teller) going() bool { return t.Going != nil && t.Going() }

// look fills in what is so now.
func (t *Teller) look(r *WatchTold, a WatchAsk, me Member) {
	// The order matters: what is said of the core and of freshness must not be newer
	// than the news told beside it.
	if v := t.Votes(); v > 0 && a.Epoch < noEpoch {
		r.Votes, r.Disk = v, me.Seat.Disk
	}
	if core := t.Core(); core.Epoch > a.Epoch {
		r.Core = core
	}
	r.Lag, r.Fresh = t.Fresh()
	r.Firm, r.Going = r.Fresh && t.Board.Settled(), t.going()
	if len(a.Sums) > 0 {
		r.Me = me
	}
	r.Items, r.Runs, r.Seen, r.More = t.Board.since(a.Seen, a.Sums, lo.Ternary(a.Wait > 0 || a.Inc == me.Inc, maxReply, firstReply))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count()
	if x := t.askers[a.Me.ID]; x != nil {
		x.seen = a.Seen
	}
	if r.Seen.Peers = t.ver; a.Seen.Peers != t.ver {
		r.Peers = append(slices.Clone(t.peers), me)
		if t.askers[a.Me.ID].kind() == Controller {
			r.Attached = t.near
		}
	}
	if t.askers[a.Me.ID].kind() == Gateway {
		r.Gateways, r.GatewaysNear = lo.Sum(lo.Values(t.all)), t.all[t.askers[a.Me.ID].Zone]
	}
}

func (a *asker) kind() string {
	if a == nil {
		return ""
	}
	return a.Kind
}

// note remembers who asks; false says that it must introduce itself again.
func (t *Teller) note(m Member, whole bool, now time.Time) bool {
	if m.ID == "" {
		return false
	}
	t.mu.Lock()
	t.asks++
	old := t.askers[m.ID]
	switch {
	case whole:
		if t.askers == nil {
			t.askers = map[string]*asker{}
		}
		if old == nil && len(t.askers) >= maxAskers {
			delete(t.askers, lo.MinBy(lo.Keys(t.askers), func(a, b string) bool { return t.askers[a].at.Before(t.askers[b].at) }))
		}
		t.askers[m.ID] = &asker{Member: m, at: now}
	case old == nil || old.Inc != m.Inc:
		t.mu.Unlock()
		return false
	default:
		old.at = now
		m = old.Member
	}
	t.mu.Unlock()
	if m.Kind == Controller && t.Met != nil {
		t.Met(m)
	}
	return true
}

// count brings peers and the number of gateways up to date, now and then; under the lock.
func (t *Teller) count() {
	now := t.Clock.Now()
	if !t.looked.IsZero() && now.Sub(t.looked) < 250*time.Millisecond {
		return
	}
	t.looked = now
	near := map[string]string{}
	for id, a := range t.askers {
		switch age := now.Sub(a.at); {
		case age > askerGone:
			delete(t.askers, id)
		case a.Kind == Gateway && age < gatewayGone:
			near[id] = a.Zone
		}
	}
	peers := t.Others()
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(a.Inner, b.Inner) })
	// A gateway that moved is told of by two controllers for a while.
	zones := t.Elsewhere()
	maps.Copy(zones, near)
	all := lo.CountValues(lo.Values(zones))
	same := slices.EqualFunc(peers, t.peers, func(a, b Member) bool { a.Age, b.Age = 0, 0; return a == b })
	if t.peers == nil || !same || !maps.Equal(near, t.near) {
		t.ver++
	}
	t.peers, t.near, t.all = lo.Ternary(peers == nil, []Member{}, peers), near, all
}

// Askers are the nodes that asked lately, with how long ago that was.
func (t *Teller) Askers() []Member {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.askers))
	for _, a := range t.askers {
		m := a.Member
		m.Age = now.Sub(a.at)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Attached are the zones of all gateways that follow any controller, by ID.
func (t *Teller) Attached() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count()
	zones := t.Elsewhere()
	maps.Copy(zones, t.near)
	return zones
}

// Gateways is how many gateways there are, in all and by zone.
func (t *Teller) Gateways() (int, map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count()
	return lo.Sum(lo.Values(t.all)), maps.Clone(t.all)
}
