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
	// maxWait limits how long a request is held back.
	maxWait = 2 * time.Second
	// maxAnswerBytes limits the items and runs of one answer, before compression.
	maxAnswerBytes = 256 << 10
	// maxFirstAnswerBytes limits the answer to a request that does not wait, so that a node
	// which looks for a controller learns soon whether this one is suitable.
	maxFirstAnswerBytes = 32 << 10
	// gatewayTimeout is how long after its last request a gateway no longer counts as attached.
	gatewayTimeout = 2500 * time.Millisecond
	// followerRetention is how long after its last request a follower is remembered.
	followerRetention = time.Minute
	// maxFollowers is the maximum number of remembered followers.
	maxFollowers = 1024
	// Changes are batched: two answers with changes to a gateway are at least holdUrgent apart if
	// runs drain or end, and holdNormal for other changes of runs. Items are not held back (design
	// 23.6). For controllers, holdController applies to changes that are not urgent. It is shorter,
	// so that a change that passes two controllers is not fully delayed twice.
	holdUrgent     = 100 * time.Millisecond
	holdNormal     = 250 * time.Millisecond
	holdController = 100 * time.Millisecond
)

// Publisher answers the nodes that follow this one: it returns what changed since their last request.
type Publisher struct {
	Me      func() Member
	Replica *Replica
	Clock   clock.Clock
	// Core returns the newest core that this node knows, and VotingEpoch the epoch of the core
	// in which its own disk has a seat, or 0.
	Core        func() quorum.Core
	VotingEpoch func() uint64
	// Fresh reports whether this node misses no change acknowledged up to lag ago.
	Fresh func() (lag time.Duration, fresh bool)
	// Stopping reports whether this node is about to stop; nil means never.
	Stopping func() bool
	// Others returns the other controllers that this node hears from itself, and OtherGateways the zones
	// of the gateways that follow them, by gateway ID.
	Others        func() []Member
	OtherGateways func() map[string]string
	// OnController is called for the controllers that poll this node.
	OnController func(Member)

	mu             sync.Mutex
	followers      map[string]*followerEntry
	pollCount      uint64
	peers          []Member
	ownGateways    map[string]string // zones of the gateways that follow this node, by ID
	gatewaysByZone map[string]int    // numbers of gateways that follow any controller
	peersVersion   uint64            // version of peers and ownGateways
	refreshedAt    time.Time
}

// followerEntry is what a publisher remembers of a node that polls it.
type followerEntry struct {
	Member
	polledAt      time.Time
	cursor        Cursor    // of its last request
	changesSentAt time.Time // when changes were last sent to it
}

// Serve registers the handler of WatchAsk.
func (t *Publisher) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a WatchAsk) (WatchTold, error) {
		return t.handleWatch(ctx, a)
	})
}

// handleWatch waits for changes and returns them.
func (t *Publisher) handleWatch(ctx context.Context, a WatchAsk) (WatchTold, error) {
	start := t.Clock.Now()
	me := t.Me()
	if !t.recordFollower(a.Me, len(a.Sums) > 0, start) || len(a.Sums) == 0 && (a.Inc != me.Inc || t.Replica.isBehind(a.Seen)) {
		return WatchTold{Inc: me.Inc, Anew: true}, nil
	}
	if a.Inc != me.Inc || t.Replica.isBehind(a.Seen) {
		a.Seen = Cursor{}
	}
	wait := min(max(a.Wait, 0), maxWait)
	expired, stop := t.Clock.After(wait)
	defer stop()
	_, wasFresh := t.Fresh()
	wasStopping := t.stopping()
	for timedOut := wait == 0; ; {
		changed, woken := t.Replica.Changed(), t.Replica.Woken()
		r := WatchTold{Inc: me.Inc, Waited: t.Clock.Now().Sub(start)}
		t.fillAnswer(&r, a, me)
		hasChanges := len(r.Items)+len(r.Runs) > 0
		hold := time.Duration(0)
		if hasChanges && len(a.Sums) == 0 {
			hold = t.holdTime(a.Me.ID, &r)
		}
		if timedOut || r.Fresh != wasFresh || r.Going != wasStopping || r.More || hasChanges && hold <= 0 || r.Core.Epoch > a.Epoch {
			if hasChanges && wait > 0 {
				// A request that does not wait may run concurrently with one that does.
				t.recordChangesSent(a.Me.ID)
			}
			return r, r.pack()
		}
		var due <-chan time.Time
		stopHold := func() {}
		if hasChanges {
			// Each further change would trigger a new check; urgent changes are still found after holdUrgent.
			due, stopHold = t.Clock.After(min(hold, holdUrgent))
			changed = nil
		}
		select {
		case <-changed:
		case <-woken:
		case <-due:
		case <-expired:
			timedOut = true
		case <-ctx.Done():
			stopHold()
			return r, nil
		}
		stopHold()
	}
}

// holdTime returns how much longer the changes of an answer are to be held back.
func (t *Publisher) holdTime(id string, r *WatchTold) time.Duration {
	if len(r.Items) > 0 {
		return 0
	}
	urgent := slices.ContainsFunc(r.Runs, func(x target.Run) bool { return x.State > target.Ready })
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.followers[id]
	if a == nil || a.changesSentAt.IsZero() {
		return 0
	}
	hold := lo.Ternary(urgent, holdUrgent, holdNormal)
	if a.Kind == Controller {
		hold = lo.Ternary(urgent, 0, holdController)
	}
	return a.changesSentAt.Add(hold).Sub(t.Clock.Now())
}

// recordChangesSent records that changes are sent to a follower now.
func (t *Publisher) recordChangesSent(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.followers[id]; a != nil {
		a.changesSentAt = t.Clock.Now()
	}
}

func (t *Publisher) stopping() bool { return t.Stopping != nil && t.Stopping() }

// fillAnswer adds the current state, and the changes after the cursor of the request, to an answer.
func (t *Publisher) fillAnswer(r *WatchTold, a WatchAsk, me Member) {
	// The order matters: what is reported about the core and about freshness must not be
	// newer than the changes reported with it.
	if v := t.VotingEpoch(); v > 0 && a.Epoch < maxEpoch {
		r.Votes, r.Disk = v, me.Seat.Disk
	}
	if core := t.Core(); core.Epoch > a.Epoch {
		r.Core = core
	}
	r.Lag, r.Fresh = t.Fresh()
	r.Firm, r.Going = r.Fresh && t.Replica.RunsComplete(), t.stopping()
	if len(a.Sums) > 0 {
		r.Me = me
	}
	r.Items, r.Runs, r.Seen, r.More = t.Replica.since(a.Seen, a.Sums, lo.Ternary(a.Wait > 0 || a.Inc == me.Inc, maxAnswerBytes, maxFirstAnswerBytes))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPeers()
	if x := t.followers[a.Me.ID]; x != nil {
		x.cursor = a.Seen
	}
	if r.Seen.Peers = t.peersVersion; a.Seen.Peers != t.peersVersion {
		r.Peers = append(slices.Clone(t.peers), me)
		if t.followers[a.Me.ID].kind() == Controller {
			r.Attached = t.ownGateways
		}
	}
	if t.followers[a.Me.ID].kind() == Gateway {
		r.Gateways, r.GatewaysNear = lo.Sum(lo.Values(t.gatewaysByZone)), t.gatewaysByZone[t.followers[a.Me.ID].Zone]
	}
}

func (a *followerEntry) kind() string {
	if a == nil {
		return ""
	}
	return a.Kind
}

// recordFollower records the sender of a request. It returns false if the sender must introduce itself
// again.
func (t *Publisher) recordFollower(m Member, introduced bool, now time.Time) bool {
	if m.ID == "" {
		return false
	}
	t.mu.Lock()
	t.pollCount++
	old := t.followers[m.ID]
	switch {
	case introduced:
		if t.followers == nil {
			t.followers = map[string]*followerEntry{}
		}
		if old == nil && len(t.followers) >= maxFollowers {
			delete(t.followers, lo.MinBy(lo.Keys(t.followers), func(a, b string) bool { return t.followers[a].polledAt.Before(t.followers[b].polledAt) }))
		}
		t.followers[m.ID] = &followerEntry{Member: m, polledAt: now}
	case old == nil || old.Inc != m.Inc:
		t.mu.Unlock()
		return false
	default:
		old.polledAt = now
		m = old.Member
	}
	t.mu.Unlock()
	if m.Kind == Controller && t.OnController != nil {
		t.OnController(m)
	}
	return true
}

// refreshPeers updates the peers and the numbers of gateways, at most every 250 ms. The caller must hold the lock.
func (t *Publisher) refreshPeers() {
	now := t.Clock.Now()
	if !t.refreshedAt.IsZero() && now.Sub(t.refreshedAt) < 250*time.Millisecond {
		return
	}
	t.refreshedAt = now
	own := map[string]string{}
	for id, a := range t.followers {
		switch age := now.Sub(a.polledAt); {
		case age > followerRetention:
			delete(t.followers, id)
		case a.Kind == Gateway && age < gatewayTimeout:
			own[id] = a.Zone
		}
	}
	peers := t.Others()
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(a.Inner, b.Inner) })
	// A gateway that switched its controller is reported by both for a while.
	zones := t.OtherGateways()
	maps.Copy(zones, own)
	all := lo.CountValues(lo.Values(zones))
	same := slices.EqualFunc(peers, t.peers, func(a, b Member) bool { a.Age, b.Age = 0, 0; return a == b })
	if t.peers == nil || !same || !maps.Equal(own, t.ownGateways) {
		t.peersVersion++
	}
	t.peers, t.ownGateways, t.gatewaysByZone = lo.Ternary(peers == nil, []Member{}, peers), own, all
}

// FollowerMembers returns the nodes that polled this one recently, with the age of their last request.
func (t *Publisher) FollowerMembers() []Member {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.followers))
	for _, a := range t.followers {
		m := a.Member
		m.Age = now.Sub(a.polledAt)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Attached returns the zones of all gateways that follow any controller, by gateway ID.
func (t *Publisher) Attached() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPeers()
	zones := t.OtherGateways()
	maps.Copy(zones, t.ownGateways)
	return zones
}

// Gateways returns the number of gateways, in total and by zone.
func (t *Publisher) Gateways() (int, map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPeers()
	return lo.Sum(lo.Values(t.gatewaysByZone)), maps.Clone(t.gatewaysByZone)
}
