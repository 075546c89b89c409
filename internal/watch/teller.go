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
	// maxAnswerBytes bounds the items and runs of one answer, before packing.
	maxAnswerBytes = 256 << 10
	// maxFirstAnswerBytes bounds the answer to an ask that does not wait, so that a node which
	// looks for a controller learns soon whether this one will do.
	maxFirstAnswerBytes = 32 << 10
	// gatewayTimeout is how long after its last ask a gateway no longer counts as attached.
	gatewayTimeout = 2500 * time.Millisecond
	// clientRetention is how long an asker is remembered.
	clientRetention = time.Minute
	// maxClients bounds the askers remembered.
	maxClients = 1024
	// holdUrgent and holdRest are how long after news were told to a gateway the next are held
	// back, so that they go together: runs that leave for the first, other runs for the
	// second, and items not at all (design 23.6). holdController is for controllers, of what is not
	// urgent: what comes by way of two controllers is not to be held back twice.
	holdUrgent     = 100 * time.Millisecond
	holdNormal     = 250 * time.Millisecond
	holdController = 100 * time.Millisecond
)

// Publisher answers those who follow this node.
type Publisher struct {
	Me      func() Member
	Replica *Replica
	Clock   clock.Clock
	// Core is the newest core that this node knows, and Votes the epoch of the one in
	// which its own disk has a seat, or 0.
	Core        func() quorum.Core
	VotingEpoch func() uint64
	// Fresh tells whether this node misses nothing acknowledged up to lag ago.
	Fresh func() (lag time.Duration, fresh bool)
	// Going tells whether this node is about to stop; nil is never.
	Stopping func() bool
	// Others are the other controllers that this node hears itself, and Elsewhere the zones of
	// the gateways that follow them, by ID.
	Others        func() []Member
	OtherGateways func() map[string]string
	// Met is told of the controllers that ask.
	OnController func(Member)

	mu             sync.Mutex
	clients        map[string]*client
	pollCount      uint64
	peers          []Member
	ownGateways    map[string]string // zones of the gateways that follow this node, by ID
	gatewaysByZone map[string]int    // gateways that follow any, by zone
	peersVersion   uint64            // of peers and near
	refreshedAt    time.Time
}

type client struct {
	Member
	askedAt    time.Time
	cursor     Cursor    // with its last ask
	newsSentAt time.Time // when it was last told news
}

// Serve teaches d to answer those who follow.
func (t *Publisher) Serve(d *link.Desk) {
	link.On(d, func(ctx context.Context, _ link.Who, a WatchAsk) (WatchTold, error) { return t.handleWatch(ctx, a) })
}

// handleWatch waits for news and tells them.
func (t *Publisher) handleWatch(ctx context.Context, a WatchAsk) (WatchTold, error) {
	start := t.Clock.Now()
	me := t.Me()
	if !t.noteClient(a.Me, len(a.Sums) > 0, start) || len(a.Sums) == 0 && (a.Inc != me.Inc || t.Replica.beyond(a.Seen)) {
		return WatchTold{Inc: me.Inc, Anew: true}, nil
	}
	if a.Inc != me.Inc || t.Replica.beyond(a.Seen) {
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
		news := len(r.Items)+len(r.Runs) > 0
		held := time.Duration(0)
		if news && len(a.Sums) == 0 {
			held = t.holdTime(a.Me.ID, &r)
		}
		if timedOut || r.Fresh != wasFresh || r.Going != wasStopping || r.More || news && held <= 0 || r.Core.Epoch > a.Epoch {
			if news && wait > 0 {
				// A question that does not wait may be asked beside one that does.
				t.noteNewsSent(a.Me.ID)
			}
			return r, r.pack()
		}
		var due <-chan time.Time
		stopHold := func() {}
		if news {
			// Each change would have it look again; what is urgent is seen soon enough.
			due, stopHold = t.Clock.After(min(held, holdUrgent))
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

// holdTime is how much longer the news of an answer are to be held back.
func (t *Publisher) holdTime(id string, r *WatchTold) time.Duration {
	if len(r.Items) > 0 {
		return 0
	}
	urgent := slices.ContainsFunc(r.Runs, func(x target.Run) bool { return x.State > target.Ready })
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.clients[id]
	if a == nil || a.newsSentAt.IsZero() {
		return 0
	}
	hold := lo.Ternary(urgent, holdUrgent, holdNormal)
	if a.Kind == Controller {
		hold = lo.Ternary(urgent, 0, holdController)
	}
	return a.newsSentAt.Add(hold).Sub(t.Clock.Now())
}

// noteNewsSent notes that an asker is told news now.
func (t *Publisher) noteNewsSent(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.clients[id]; a != nil {
		a.newsSentAt = t.Clock.Now()
	}
}

func (t *Publisher) stopping() bool { return t.Stopping != nil && t.Stopping() }

// fillAnswer fills in what is so now.
func (t *Publisher) fillAnswer(r *WatchTold, a WatchAsk, me Member) {
	// The order matters: what is said of the core and of freshness must not be newer
	// than the news told beside it.
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
	if x := t.clients[a.Me.ID]; x != nil {
		x.cursor = a.Seen
	}
	if r.Seen.Peers = t.peersVersion; a.Seen.Peers != t.peersVersion {
		r.Peers = append(slices.Clone(t.peers), me)
		if t.clients[a.Me.ID].kind() == Controller {
			r.Attached = t.ownGateways
		}
	}
	if t.clients[a.Me.ID].kind() == Gateway {
		r.Gateways, r.GatewaysNear = lo.Sum(lo.Values(t.gatewaysByZone)), t.gatewaysByZone[t.clients[a.Me.ID].Zone]
	}
}

func (a *client) kind() string {
	if a == nil {
		return ""
	}
	return a.Kind
}

// noteClient remembers who asks; false says that it must introduce itself again.
func (t *Publisher) noteClient(m Member, introduced bool, now time.Time) bool {
	if m.ID == "" {
		return false
	}
	t.mu.Lock()
	t.pollCount++
	old := t.clients[m.ID]
	switch {
	case introduced:
		if t.clients == nil {
			t.clients = map[string]*client{}
		}
		if old == nil && len(t.clients) >= maxClients {
			delete(t.clients, lo.MinBy(lo.Keys(t.clients), func(a, b string) bool { return t.clients[a].askedAt.Before(t.clients[b].askedAt) }))
		}
		t.clients[m.ID] = &client{Member: m, askedAt: now}
	case old == nil || old.Inc != m.Inc:
		t.mu.Unlock()
		return false
	default:
		old.askedAt = now
		m = old.Member
	}
	t.mu.Unlock()
	if m.Kind == Controller && t.OnController != nil {
		t.OnController(m)
	}
	return true
}

// refreshPeers brings peers and the number of gateways up to date, now and then; under the lock.
func (t *Publisher) refreshPeers() {
	now := t.Clock.Now()
	if !t.refreshedAt.IsZero() && now.Sub(t.refreshedAt) < 250*time.Millisecond {
		return
	}
	t.refreshedAt = now
	near := map[string]string{}
	for id, a := range t.clients {
		switch age := now.Sub(a.askedAt); {
		case age > clientRetention:
			delete(t.clients, id)
		case a.Kind == Gateway && age < gatewayTimeout:
			near[id] = a.Zone
		}
	}
	peers := t.Others()
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(a.Inner, b.Inner) })
	// A gateway that moved is told of by two controllers for a while.
	zones := t.OtherGateways()
	maps.Copy(zones, near)
	all := lo.CountValues(lo.Values(zones))
	same := slices.EqualFunc(peers, t.peers, func(a, b Member) bool { a.Age, b.Age = 0, 0; return a == b })
	if t.peers == nil || !same || !maps.Equal(near, t.ownGateways) {
		t.peersVersion++
	}
	t.peers, t.ownGateways, t.gatewaysByZone = lo.Ternary(peers == nil, []Member{}, peers), near, all
}

// Clients are the nodes that asked lately, with how long ago that was.
func (t *Publisher) Clients() []Member {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.clients))
	for _, a := range t.clients {
		m := a.Member
		m.Age = now.Sub(a.askedAt)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Attached are the zones of all gateways that follow any controller, by ID.
func (t *Publisher) Attached() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPeers()
	zones := t.OtherGateways()
	maps.Copy(zones, t.ownGateways)
	return zones
}

// Gateways is how many gateways there are, in all and by zone.
func (t *Publisher) Gateways() (int, map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshPeers()
	return lo.Sum(lo.Values(t.gatewaysByZone)), maps.Clone(t.gatewaysByZone)
}
