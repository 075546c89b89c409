package watch

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/steperr"
)

const (
	// voterWait and nonVoterWait are how long requests to controllers wait for changes. Voters are
	// polled more often, because their answers prove that no change is missing.
	voterWait    = 500 * time.Millisecond
	nonVoterWait = time.Second
	// peerAnswerMargin is how much longer a request may take than it waits for changes.
	peerAnswerMargin = 500 * time.Millisecond
	// maxProofAge is the maximum age of the proof that no acknowledged change is missing.
	maxProofAge = 1200 * time.Millisecond
	// peerRetention is how long a controller that is neither seed nor seat is followed without an answer.
	peerRetention = 10 * time.Second
	// maxPeerAge is how recently a controller must have answered to be reported to others.
	maxPeerAge = 5 * time.Second
	// maxAvailableAge is how recently a controller must have answered to be assigned work.
	maxAvailableAge = 1700 * time.Millisecond
	// minRetryPause and maxRetryPause limit the pause after a failed request.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// maxControllers is the maximum number of followed controllers.
	maxControllers = 64
	// maintenanceInterval is how often the list of followed controllers is updated.
	maintenanceInterval = time.Second
)

// Mesh is a controller's view of all other controllers. It follows each of them by long
// polling and merges what it receives into the replica.
type Mesh struct {
	Me        func() Member
	Transport link.Transport
	Clock     clock.Clock
	Replica   *Replica
	// Core returns the newest known core, LearnCore accepts a core that may be newer, and
	// VotingEpoch returns the epoch of the core in which this node's disk has a seat, or 0.
	Core        func() quorum.Core
	LearnCore   func(quorum.Core)
	VotingEpoch func() uint64

	mu        sync.Mutex
	seeds     []string
	peers     map[string]*peer // by inner address
	ctx       context.Context  // nil while Run is not active
	wg        sync.WaitGroup
	fresh     bool
	everFresh bool          // whether it was ever fresh
	recheck   chan struct{} // makes monitorFreshness check again
}

// peer is another controller.
type peer struct {
	followState   // owned by followPeer; copied under the mesh's lock
	cancel        context.CancelFunc
	followedSince time.Time // when following began
	answeredAt    time.Time // time of its last answer
	// provedAt is the time up to which everything that it held is known here, if its disk has a seat.
	provedAt    time.Time
	votingEpoch uint64            // of the core in which its disk has a seat, or 0
	disk        string            // incarnation of its disk
	gateways    map[string]string // zones of the gateways that follow it, by ID
	stopping    bool              // about to stop
	retry       chan struct{}     // ends the pause after a failed request
}

func (m *Mesh) poller() *poller {
	return &poller{me: m.Me, transport: m.Transport, replica: m.Replica, epoch: func() uint64 { return m.Core().Epoch }}
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = slices.Clone(seeds)
	m.followKnown()
}

// Run follows the other controllers until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.recheck = make(chan struct{}, 1)
	m.followKnown()
	m.mu.Unlock()
	m.wg.Go(func() { m.monitorFreshness(ctx) })
	clock.Every(ctx, m.Clock, maintenanceInterval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.followKnown()
		m.prune()
	})
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.wg.Wait()
}

// followKnown follows all seeds and seats. The caller must hold the lock.
func (m *Mesh) followKnown() {
	for _, a := range m.seeds {
		m.follow(a)
	}
	for _, s := range m.Core().Seats {
		m.follow(s.Addr)
	}
}

// prune stops following controllers that have not answered for long. The caller must hold the lock.
func (m *Mesh) prune() {
	now := m.Clock.Now()
	seats := m.Core().Seats
	for a, p := range m.peers {
		kept := slices.Contains(m.seeds, a) || lo.ContainsBy(seats, func(s quorum.Seat) bool { return s.Addr == a })
		if !kept && now.Sub(latest(p.answeredAt, p.followedSince)) > peerRetention {
			p.cancel()
			delete(m.peers, a)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// follow starts following the controller at addr unless it is followed already. The caller
// must hold the lock.
func (m *Mesh) follow(addr string) {
	if m.ctx == nil || m.ctx.Err() != nil || addr == "" || addr == m.Me().Inner || m.peers[addr] != nil || len(m.peers) >= maxControllers {
		return
	}
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	ctx, cancel := context.WithCancel(m.ctx)
	p := &peer{followState: followState{addr: addr}, cancel: cancel, followedSince: m.Clock.Now(), retry: make(chan struct{}, 1)}
	m.peers[addr] = p
	m.wg.Go(func() { m.followPeer(ctx, p) })
}

// OnController is called for a controller that polls this one.
func (m *Mesh) OnController(x Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follow(x.Inner)
	if p := m.peers[x.Inner]; p != nil && p.controller.Inc != x.Inc {
		// It is running: a follower in its pause after a failure can retry now.
		select {
		case p.retry <- struct{}{}:
		default:
		}
	}
}

// followPeer follows one controller until ctx ends.
func (m *Mesh) followPeer(ctx context.Context, p *peer) {
	q := m.poller()
	state := p.followState
	pause := minRetryPause
	for ctx.Err() == nil {
		core := m.Core()
		wait := nonVoterWait
		if lo.ContainsBy(core.Seats, func(s quorum.Seat) bool { return s.Addr == state.addr }) || core.Epoch == 0 {
			wait = voterWait
		}
		if state.inc == 0 || state.sums != nil {
			wait = 0
		}
		start := m.Clock.Now()
		pollCtx, cancel := context.WithTimeout(ctx, wait+peerAnswerMargin)
		t, _, _, err := q.poll(pollCtx, &state, wait)
		cancel()
		if err != nil {
			expired, stop := m.Clock.After(pause)
			select {
			case <-ctx.Done():
			case <-expired:
			case <-p.retry:
			}
			stop()
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = minRetryPause
		m.applyAnswer(p, state, t, start)
	}
}

// applyAnswer records the answer to a request that was sent at start.
func (m *Mesh) applyAnswer(p *peer, state followState, t WatchTold, start time.Time) {
	if t.Core.Epoch > 0 {
		m.LearnCore(t.Core)
	}
	if t.Firm && !t.More {
		// This comes before the answer counts as a proof: a fresh controller must not report
		// runs to others that it already has reason to suspect.
		m.Replica.MarkRunsComplete()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.followState, p.stopping = state, t.Going
	p.answeredAt = m.Clock.Now()
	p.votingEpoch, p.disk = t.Votes, t.Disk
	if !t.More {
		p.provedAt = start.Add(t.Waited)
	}
	if t.Attached != nil {
		p.gateways = t.Attached
	} else if len(t.Peers) > 0 {
		p.gateways = nil
	}
	for _, x := range t.Peers {
		if x.Kind == Controller && x.Age < maxPeerAge {
			m.follow(x.Inner)
		}
	}
	if !m.fresh {
		m.triggerRecheck()
	}
}

// triggerRecheck makes monitorFreshness check again.
func (m *Mesh) triggerRecheck() {
	select {
	case m.recheck <- struct{}{}:
	default:
	}
}

// SpeaksForSeat reports whether a node with the given disk, which votes in the core of
// votingEpoch, represents a seat of c. A node that still votes in the previous core kept its
// seat and has not learned of c yet. A node further behind had left the core, and still has to
// fetch what was acknowledged without it.
func SpeaksForSeat(c quorum.Core, id, disk string, votingEpoch uint64) bool {
	s, ok := c.Seat(id)
	return ok && disk != "" && s.Disk == disk && votingEpoch > 0 && votingEpoch+1 >= c.Epoch
}

// lag returns how old the state of this controller may be: every change acknowledged up to then is
// known here. It is the smallest age such that enough voters have given a proof at most that old:
// so many that every majority includes one of them. The second result is false if there are too
// few proofs. The caller must hold the lock.
//
// It suffices to check the newest known core. A core takes over only after so many seats of the
// previous core were sealed that at least one of the seats heard here is among them. If that seat
// was sealed when it answered, it reported the next core, which is then the newest core known
// here. If it was not, nothing had been acknowledged in the next core by then.
func (m *Mesh) lag() (time.Duration, bool) {
	c := m.Core()
	need := c.BlockingSize()
	if len(c.Seats) == 0 {
		return 0, false
	}
	now := m.Clock.Now()
	var ages []time.Duration
	if m.ownDiskVotes(c) {
		ages = append(ages, 0)
	}
	for _, p := range m.peers {
		if SpeaksForSeat(c, p.controller.ID, p.disk, p.votingEpoch) && !p.provedAt.IsZero() {
			ages = append(ages, now.Sub(p.provedAt))
		}
	}
	if len(ages) < need {
		return 0, false
	}
	slices.Sort(ages)
	return ages[need-1], true
}

// ownDiskVotes reports whether this node's disk represents a seat of c.
func (m *Mesh) ownDiskVotes(c quorum.Core) bool {
	me := m.Me()
	return SpeaksForSeat(c, me.ID, me.Seat.Disk, m.VotingEpoch())
}

// Fresh reports whether this controller misses no change acknowledged up to lag ago, with a
// lag of at most maxProofAge.
func (m *Mesh) Fresh() (lag time.Duration, fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lag, ok := m.lag()
	return lag, ok && lag <= maxProofAge
}

// Synced reports whether this controller has been fresh since it started.
func (m *Mesh) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.everFresh
}

// monitorFreshness wakes the waiting requests when freshness begins or ends.
func (m *Mesh) monitorFreshness(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		lag, ok := m.lag()
		fresh := ok && lag <= maxProofAge
		changed := fresh != m.fresh
		m.fresh, m.everFresh = fresh, m.everFresh || fresh
		m.mu.Unlock()
		if changed {
			m.Replica.Wake()
		}
		// Freshness can't end before the current proofs are too old.
		recheckAfter := maintenanceInterval
		if fresh {
			recheckAfter = max(maxProofAge-lag, 0) + time.Millisecond
		}
		expired, stop := m.Clock.After(recheckAfter)
		select {
		case <-ctx.Done():
		case <-expired:
		case <-m.recheck:
		}
		stop()
	}
}

// Sync polls all voters now. It returns once enough of them have answered completely, to
// requests sent after the call, that the replica has everything that was acknowledged before
// the call.
func (m *Mesh) Sync(ctx context.Context) error {
	for {
		core := m.Core()
		if core.Epoch > 0 && m.syncSeats(ctx, core) && m.Core().Epoch == core.Epoch {
			return nil
		}
		if ctx.Err() != nil {
			return steperr.Wrap("sync", "", errors.Join(lo.Ternary(core.Epoch == 0, quorum.ErrNoCore, quorum.ErrNoQuorum), ctx.Err()))
		}
		if m.Core().Epoch == core.Epoch && m.Clock.Sleep(ctx, minRetryPause) != nil {
			continue
		}
	}
}

// syncSeats polls the seats of one core once, and reports whether enough of them answered completely.
func (m *Mesh) syncSeats(ctx context.Context, core quorum.Core) bool {
	missing := core.BlockingSize()
	if m.ownDiskVotes(core) {
		missing--
	}
	if missing <= 0 {
		return true
	}
	me := m.Me()
	seatsCtx, cancel := context.WithTimeout(ctx, voterWait+peerAnswerMargin)
	defer cancel()
	results := make(chan bool, len(core.Seats))
	asked := 0
	for _, s := range core.Seats {
		if s.ID == me.ID {
			continue
		}
		asked++
		go func() { results <- m.syncSeat(seatsCtx, core, s) }()
	}
	for range asked {
		select {
		case ok := <-results:
			if ok {
				missing--
			}
		case <-ctx.Done():
			return false
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// syncSeat polls one seat until everything was received, and reports whether that succeeded and the
// node that answered represents the seat.
func (m *Mesh) syncSeat(ctx context.Context, core quorum.Core, s quorum.Seat) bool {
	state := followState{addr: s.Addr}
	m.mu.Lock()
	if p := m.peers[s.Addr]; p != nil {
		state = p.followState
	}
	m.mu.Unlock()
	q := m.poller()
	for {
		t, _, _, err := q.poll(ctx, &state, 0)
		if err != nil {
			return false
		}
		if t.Core.Epoch > 0 {
			m.LearnCore(t.Core)
		}
		if !t.More {
			return state.controller.ID == s.ID && SpeaksForSeat(core, s.ID, t.Disk, t.Votes)
		}
	}
}

// Others returns the other controllers that answered recently, with the age of their last answer.
func (m *Mesh) Others() []Member {
	return m.others(func(*peer) bool { return true })
}

func (m *Mesh) others(include func(*peer) bool) []Member {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, p := range m.peers {
		if x := p.controller; x.ID != "" && now.Sub(p.answeredAt) < maxPeerAge && include(p) {
			x.Age = now.Sub(p.answeredAt)
			out = append(out, x)
		}
	}
	return out
}

// Available returns the controllers that may be assigned work: those that answered within
// maxAvailableAge and are not about to stop, and this one.
func (m *Mesh) Available() []Member {
	out := lo.Filter(m.others(func(p *peer) bool { return !p.stopping }), func(x Member, _ int) bool { return x.Age < maxAvailableAge })
	return append(out, m.Me())
}

// Gateways returns the zones of the gateways that follow other controllers, by gateway ID. The gateways of a controller
// that no longer answers count until peerRetention has passed, as they may run on without it.
func (m *Mesh) Gateways() map[string]string {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]string{}
	for _, p := range m.peers {
		if now.Sub(p.answeredAt) < peerRetention {
			maps.Copy(out, p.gateways)
		}
	}
	return out
}

// DiskContacts returns the disks of the controllers that answered, with the age of the last answer, and this node's disk.
func (m *Mesh) DiskContacts() []quorum.DiskContact {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []quorum.DiskContact
	if s := m.Me().Seat; s.ID != "" {
		out = append(out, quorum.DiskContact{Seat: s})
	}
	for _, p := range m.peers {
		if p.controller.Seat.ID != "" && !p.answeredAt.IsZero() {
			out = append(out, quorum.DiskContact{Seat: p.controller.Seat, Ago: now.Sub(p.answeredAt)})
		}
	}
	return out
}
