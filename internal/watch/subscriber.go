package watch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/target"
)

const (
	// gatewayWait is how long a gateway's request waits for changes at most, and
	// gatewayAnswerTimeout how long it may take in total.
	gatewayWait          = time.Second
	gatewayAnswerTimeout = 1700 * time.Millisecond
	// maxGatewayLag is how old a gateway's state may become before it looks for another controller.
	maxGatewayLag = 1900 * time.Millisecond
	// minAnswerTimeout is the minimum timeout of a request, and answerMargin the time a request
	// is given beyond its wait.
	minAnswerTimeout = 800 * time.Millisecond
	answerMargin     = 600 * time.Millisecond
	// firstAnswerTimeout is the timeout of the first request to a controller, doubled with each consecutive
	// failure: a gateway that lost its controller must not wait long for a second failed one.
	firstAnswerTimeout = 500 * time.Millisecond
	// minBackoff is how long a controller is avoided after a failure, doubled with each consecutive
	// failure up to maxBackoff. One that answers but is not fresh is avoided for staleBackoff.
	minBackoff   = 300 * time.Millisecond
	maxBackoff   = time.Second
	staleBackoff = 400 * time.Millisecond
	// staleWait is how long a request waits at a controller that is not fresh, if no fresh one is known.
	staleWait = 400 * time.Millisecond
	// ownZoneRetryInterval is how often a gateway that follows a controller of another zone tries its own zone.
	ownZoneRetryInterval = 2 * time.Second
	// initialSyncTick is how long a starting gateway waits for the first answer of one controller before it
	// polls a second one, and initialSyncMaxIdle how long it waits for each further answer.
	initialSyncTick, initialSyncMaxIdle = 100 * time.Millisecond, time.Second
	// expireInterval is how often expired runs are removed.
	expireInterval = time.Minute
	// usualChangeDeadline is the deadline of changes for which gatewayWait and maxGatewayLag are chosen.
	// For shorter ones, requests are sent more often, down to a deadline of minChangeDeadline.
	usualChangeDeadline, minChangeDeadline = 2 * time.Second, time.Second
	// On a slow link, where messages may be queued for long: slowLinkDialTimeout is how long connecting
	// may take, slowLinkWait how long a request waits for changes, and slowLinkAnswerTimeout how long a
	// request of the second slot may take in total. With shorter timeouts, requests were given up
	// shortly before their answers arrived, and new connections took as long (incident 40).
	slowLinkDialTimeout                 = 1200 * time.Millisecond
	slowLinkWait, slowLinkAnswerTimeout = 500 * time.Millisecond, 3500 * time.Millisecond
)

// followSlots is how many controllers a gateway follows at once. With only one, the changes
// missed during the search for the next could exceed the allowed age: a controller that is
// partitioned from the others takes over a second to notice, and on a slow link the first
// answer of another controller takes three round trips.
const followSlots = 2

// Subscriber is a gateway's view of the control plane. It follows a controller of its own zone
// if possible and a second one of another zone, and switches to the next when one is
// silent, fails, or may miss an acknowledged change.
type Subscriber struct {
	Me        Member
	Transport link.Transport
	Clock     clock.Clock
	Log       *log.Logger
	// ChangeDeadline is the time in which a change has to take effect; 0 means the usual. With a
	// shorter one, a gateway polls more often, so that its state is never older.
	ChangeDeadline time.Duration
	// SlowLink means that messages may be queued for long behind others on this node's link.
	SlowLink bool
	// OnUpdate is called, in order and one call at a time, with the changes of an answer: Items and
	// Runs hold the current state of what changed here. The numbers of gateways are in each answer.
	OnUpdate func(WatchTold)

	replica    *Replica
	deliveryMu sync.Mutex // held from the merge of an answer until OnUpdate has returned

	mu               sync.Mutex
	states           map[string]followState // by the controller's inner address
	following        [followSlots]string    // inner addresses of the followed controllers
	followedSince    [followSlots]time.Time // when following began
	seeds            []string
	peers            map[string]Member // by inner address
	backoffs         map[string]backoff
	answers          [followSlots]WatchTold // the last complete answers, without their changes
	asOf             time.Time              // everything acknowledged up to here is known
	roundTrip        time.Duration          // of the last request and its answer, without the wait
	synced           bool
	firstSlotAnswers int           // number of answers to the first slot
	seedsChanged     chan struct{} // signals a change of the seeds
}

// backoff is the state of a controller that is temporarily avoided.
type backoff struct {
	until    time.Time
	failures int
	stale    bool // it answers but is not fresh
}

// Init prepares the subscriber for use.
func (s *Subscriber) Init(seeds []string) {
	s.replica = NewReplica(s.Clock)
	s.seeds, s.peers, s.backoffs = slices.Clone(seeds), map[string]Member{}, map[string]backoff{}
	s.states = map[string]followState{}
	s.seedsChanged = make(chan struct{}, followSlots)
}

// SetSeeds replaces the seeds.
func (s *Subscriber) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(seeds)
	for range followSlots {
		select {
		case s.seedsChanged <- struct{}{}:
		default:
		}
	}
}

// scaled returns d, shortened in proportion if the deadline of changes is shorter than usual.
func (s *Subscriber) scaled(d time.Duration) time.Duration {
	if s.ChangeDeadline <= 0 || s.ChangeDeadline >= usualChangeDeadline {
		return d
	}
	return d * max(s.ChangeDeadline, minChangeDeadline) / usualChangeDeadline
}

// DialTimeout returns how long connecting to a controller may take; 0 means the default.
func (s *Subscriber) DialTimeout() time.Duration {
	return lo.Ternary(s.SlowLink, slowLinkDialTimeout, 0)
}

// Synced reports whether a fresh controller has sent everything once since the start.
func (s *Subscriber) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// Fresh reports whether a followed controller is fresh and answered recently.
func (s *Subscriber) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bestAnswer().Fresh && s.Clock.Now().Sub(s.asOf) <= s.scaled(maxGatewayLag)+minAnswerTimeout
}

// AsOf returns the time up to which every acknowledged change is known here.
func (s *Subscriber) AsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// RoundTrip returns the time that the last request to a fresh controller took, without the wait for changes.
func (s *Subscriber) RoundTrip() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roundTrip
}

// Gateways returns the number of gateways, in total and in this gateway's zone, from the last answer.
func (s *Subscriber) Gateways() (all, near int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.bestAnswer()
	return t.Gateways, t.GatewaysNear
}

// Controllers returns the inner addresses of the known controllers, by ID.
func (s *Subscriber) Controllers() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.MapEntries(s.peers, func(addr string, m Member) (string, string) { return m.ID, addr })
}

// Following returns the followed controller: that of the first slot whose controller is fresh, or else
// of the first slot.
func (s *Subscriber) Following() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bestAnswer().Me
}

// bestAnswer returns the last answer of the first slot whose controller is fresh, or else of the
// first slot. The caller must hold the lock.
func (s *Subscriber) bestAnswer() WatchTold {
	for _, t := range s.answers {
		if t.Fresh {
			return t
		}
	}
	return s.answers[0]
}

// Replica returns this gateway's state.
func (s *Subscriber) Replica() *Replica { return s.replica }

// Run follows controllers until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for slot := range followSlots {
		wg.Go(func() { s.runSlot(ctx, slot) })
	}
	wg.Wait()
}

// runSlot follows one controller after the other. The first slot prefers controllers of this
// gateway's zone and determines the zone; the others use controllers that no other slot follows.
func (s *Subscriber) runSlot(ctx context.Context, slot int) {
	if slot > 0 {
		s.awaitInitialSync(ctx)
	}
	expiredAt := s.Clock.Now()
	for ctx.Err() == nil {
		addr, ok, retryIn := s.nextController(slot)
		if addr != "" {
			s.follow(ctx, slot, addr, ok)
		} else {
			// No controller answers: retry soon, but not in a busy loop.
			expired, stop := s.Clock.After(max(retryIn, minRetryPause))
			select {
			case <-ctx.Done():
			case <-expired:
			case <-s.seedsChanged:
			}
			stop()
		}
		if now := s.Clock.Now(); now.Sub(expiredAt) > expireInterval {
			expiredAt = now
			s.replica.WithRuns(func(t *target.Table, now time.Time) bool { t.RemoveExpired(now); return false })
		}
	}
}

// candidates returns the addresses to try in order of preference: controllers of this zone, then of
// other zones, then seeds about which nothing is known. Each group is ordered by rendezvous hashing, so that
// gateways spread out and few switch when controllers come and go. The caller must hold the lock.
func (s *Subscriber) candidates() []string {
	zoneRank := func(a string) int {
		switch p, ok := s.peers[a]; {
		case ok && p.Zone == s.Me.Zone:
			return 0
		case ok:
			return 1
		}
		return 2
	}
	out := lo.Uniq(append(lo.Keys(s.peers), s.seeds...))
	score := func(a string) uint64 { return xxhash.Sum64String(s.Me.ID + "\x00" + a) }
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(zoneRank(a), zoneRank(b)), cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
	return out
}

// nextController selects the best controller that is not in backoff. If all are, ok is
// false, the first that answers is selected, and retryIn is the time until the first backoff ends.
func (s *Subscriber) nextController(slot int) (addr string, ok bool, retryIn time.Duration) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.following[slot]
	s.following[slot], s.answers[slot].Fresh = "", false
	addrs := s.candidates()
	if slot > 0 {
		// A zone other than the first slot's is preferred, so that one fault rarely affects both
		// slots. Controllers of this gateway's zone are left to the first slot.
		zone := s.peers[s.following[0]].Zone
		zoneRank := func(a string) int {
			z := s.peers[a].Zone
			return boolToInt(z == zone || z == s.Me.Zone)
		}
		slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(zoneRank(a), zoneRank(b)) })
	}
	retryIn = maxBackoff
	defer func() {
		if s.following[slot] = addr; addr != previous {
			s.followedSince[slot] = now
		}
	}()
	for _, a := range addrs {
		if slices.Contains(s.following[:], a) {
			continue
		}
		x := s.backoffs[a]
		if !now.Before(x.until) {
			return a, true, 0
		}
		retryIn = min(retryIn, x.until.Sub(now))
		if x.stale && addr == "" {
			addr = a
		}
	}
	return addr, false, retryIn
}

// awaitInitialSync returns once a starting gateway has received everything, or receives no more answers.
// The initial state should be sent only once, and not by two controllers at the same time.
func (s *Subscriber) awaitInitialSync(ctx context.Context) {
	for idleTicks := 0; idleTicks*int(initialSyncTick) < int(initialSyncMaxIdle); idleTicks++ {
		s.mu.Lock()
		before, synced := s.firstSlotAnswers, s.synced
		s.mu.Unlock()
		if synced || s.Clock.Sleep(ctx, initialSyncTick) != nil {
			return
		}
		s.mu.Lock()
		after := s.firstSlotAnswers
		s.mu.Unlock()
		switch {
		case after == 0:
			return // this controller may be down
		case after != before:
			idleTicks = -1
		}
	}
}

func boolToInt(b bool) int { return lo.Ternary(b, 1, 0) }

// backOff avoids a controller for a while.
func (s *Subscriber) backOff(addr string, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.backoffs) > 4*maxControllers {
		s.backoffs = map[string]backoff{}
	}
	x := s.backoffs[addr]
	d := staleBackoff
	if x.stale = stale; stale {
		x.failures = 0
	} else {
		d = min(minBackoff<<min(x.failures, 8), maxBackoff)
		x.failures++
	}
	x.until = s.Clock.Now().Add(d)
	s.backoffs[addr] = x
}

// timeouts returns how long the next request may take and how long it should wait for changes.
func (s *Subscriber) timeouts(slot int, state *followState, failures int) (timeout, wait time.Duration) {
	if s.SlowLink && slot > 0 {
		return slowLinkAnswerTimeout, lo.Ternary(state.inc == 0 || state.sums != nil, 0, s.scaled(slowLinkWait))
	}
	if state.inc == 0 {
		return min(firstAnswerTimeout<<min(failures, 8), gatewayAnswerTimeout), 0
	}
	if state.sums != nil {
		return gatewayAnswerTimeout, 0
	}
	remaining := s.asOf.Add(s.scaled(maxGatewayLag)).Sub(s.Clock.Now())
	timeout = min(max(remaining, minAnswerTimeout), gatewayAnswerTimeout)
	return timeout, min(timeout-answerMargin, s.scaled(lo.Ternary(s.SlowLink, slowLinkWait, gatewayWait)))
}

// follow follows one controller for as long as it is suitable. ok is false if the controller
// was selected although it is in backoff.
func (s *Subscriber) follow(ctx context.Context, slot int, addr string, ok bool) {
	q := &poller{me: func() Member { return s.Me }, transport: s.Transport, replica: s.replica, epoch: func() uint64 { return maxEpoch }, deliveryMu: &s.deliveryMu}
	s.mu.Lock()
	state := s.states[addr]
	s.mu.Unlock()
	state.addr = addr
	since := s.Clock.Now()
	for first := true; ctx.Err() == nil; first = false {
		s.mu.Lock()
		failures := s.backoffs[addr].failures
		timeout, wait := s.timeouts(slot, &state, failures)
		s.mu.Unlock()
		if !ok && !first && state.sums == nil {
			// No controller is fresh: wait here until the next attempt at the others.
			timeout, wait = staleWait+answerMargin, staleWait
		}
		start := s.Clock.Now()
		pollCtx, cancel := context.WithTimeout(ctx, timeout)
		t, items, runs, err := q.poll(pollCtx, &state, wait)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				s.Log.Debug("controller does not answer", "step", "follow", "mate", addr, "err", err)
				s.backOff(addr, false)
			}
			return
		}
		s.recordAnswer(slot, addr, state, t, start)
		if t.Firm && !t.More {
			runs = append(runs, s.replica.MarkRunsComplete()...)
		}
		t.Items, t.Runs = items, runs
		s.OnUpdate(t)
		s.deliveryMu.Unlock()
		switch {
		case t.More:
		case !t.Fresh:
			s.backOff(addr, true)
			if ok || wait > 0 {
				return
			}
		case s.betterAvailable(slot, addr, since):
			return
		default:
			ok = true
		}
	}
}

// recordAnswer records the answer to a request that was sent at start.
func (s *Subscriber) recordAnswer(slot int, addr string, state followState, t WatchTold, start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot == 0 {
		s.firstSlotAnswers++
	}
	if len(s.states) > 4*maxControllers {
		s.states = map[string]followState{}
	}
	s.states[addr] = state
	if len(t.Peers) > 0 {
		s.peers = map[string]Member{}
		for _, p := range t.Peers[:min(len(t.Peers), maxControllers)] {
			if p.Kind == Controller && p.Inner != "" {
				s.peers[p.Inner] = p
			}
		}
	}
	if t.More {
		return
	}
	t.Items, t.Runs, t.Peers = nil, nil, nil
	t.Me = state.controller
	s.answers[slot] = t
	if !t.Fresh {
		return
	}
	delete(s.backoffs, addr)
	s.synced = true
	s.roundTrip = s.Clock.Now().Sub(start) - t.Waited
	if asOf := start.Add(t.Waited - t.Lag); asOf.After(s.asOf) {
		s.asOf = asOf
	}
}

// betterAvailable reports whether to switch to a better controller than the one at addr.
func (s *Subscriber) betterAvailable(slot int, addr string, since time.Time) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot > 0 {
		// The second slot gives up a controller of this zone for the first slot, which prefers this zone.
		return s.peers[addr].Zone == s.Me.Zone && s.peers[s.following[0]].Zone != s.Me.Zone && len(s.peers) > followSlots
	}
	if now.Sub(since) < ownZoneRetryInterval {
		return false
	}
	for _, a := range s.candidates() {
		switch {
		case a == addr:
			return false
		case s.peers[a].Zone == s.Me.Zone && !now.Before(s.backoffs[a].until) && !slices.Contains(s.following[1:], a):
			return true
		}
	}
	return false
}
