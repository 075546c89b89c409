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
	// gatewayWait is how long a gateway's ask waits for news at most, and gatewayAnswer how long
	// it may take in all.
	gatewayWait          = time.Second
	gatewayAnswerTimeout = 1700 * time.Millisecond
	// maxGatewayLag is how old what a gateway knows may grow before it looks for another controller.
	maxGatewayLag = 1900 * time.Millisecond
	// minAnswerTimeout is what an ask is given at least, and answerSlack what it is given on
	// top of its wait.
	minAnswerTimeout = 800 * time.Millisecond
	answerMargin     = 600 * time.Millisecond
	// firstAnswerTimeout is what the first ask of a controller is given, doubled with each failure in
	// a row: a gateway that lost its controller must not wait long for a second dead one.
	firstAnswerTimeout = 500 * time.Millisecond
	// minBackoff is how long a controller is passed over after a failure, doubled with each in a
	// row up to mostShun; one that answers but is not fresh for staleShun.
	minBackoff   = 300 * time.Millisecond
	maxBackoff   = time.Second
	staleBackoff = 400 * time.Millisecond
	// staleWait is how long an ask waits at a controller that is not fresh, where none is.
	staleWait = 400 * time.Millisecond
	// ownZoneRetryInterval is how often a gateway that follows a controller of another zone tries its own.
	ownZoneRetryInterval = 2 * time.Second
	// initialSyncTick is how long a gateway that starts waits for the first word of one controller before it
	// asks a second, and waitMost for each further word.
	initialSyncTick, initialSyncMaxIdle = 100 * time.Millisecond, time.Second
	// expireInterval is how often runs that are over are forgotten.
	expireInterval = time.Minute
	// usualChangeDeadline is the time for a change that gatewayWait and gatewayBehind are made for, and
	// leastWithin the shortest that asks are made more often for.
	usualChangeDeadline, minChangeDeadline = 2 * time.Second, time.Second
	slowLinkDialTimeout                    = 1200 * time.Millisecond
	slowLinkWait, slowLinkAnswerTimeout    = 500 * time.Millisecond, 3500 * time.Millisecond
)

// followSlots is how many controllers a gateway follows at once. With one alone, what it missed while
// it looked for the next could be older than may be: a controller that is cut off from the
// others takes over a second to notice, and on a narrow link the first answer of another
// one three round trips.
const followSlots = 2

// Subscriber is a gateway's view of the control plane: it follows a controller of its own zone
// where it can, and one of another zone beside it, and goes to the next when one is
// silent, fails, or may miss something acknowledged.
type Subscriber struct {
	Me    Member
	Line  link.Line
	Clock clock.Clock
	Log   *log.Logger
	// Within is in what time a change has to be in force; 0 is usual. In less a gateway asks
	// more often, so that it never knows what is older.
	ChangeDeadline time.Duration
	// Narrow says that messages may wait for long behind others on the node's own link.
	SlowLink bool
	// OnNews is told, in order and one call at a time, of what was news here: Items and
	// Runs hold what changed, as it stands now. Gateways counts come with each answer.
	OnUpdate func(WatchTold)

	replica    *Replica
	deliveryMu sync.Mutex // held from the merging of an answer until OnNews has run

	mu               sync.Mutex
	states           map[string]followState // how far each controller was heard out, by inner address
	following        [followSlots]string    // the controllers followed now
	followedSince    [followSlots]time.Time // from when on
	seeds            []string
	peers            map[string]Member // by inner address
	backoffs         map[string]backoff
	answers          [followSlots]WatchTold // the last complete answers, without their news
	asOf             time.Time              // until when all that was acknowledged is known here
	roundTrip        time.Duration          // that the last question and its answer needed
	synced           bool
	firstSlotAnswers int           // answers to the first slot
	seedsChanged     chan struct{} // the seeds changed
}

// backoff is a controller passed over for now.
type backoff struct {
	until    time.Time
	failures int
	stale    bool // it answers
}

// Init makes the subscriber ready.
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

// scaled is d where changes have the usual time, and less where they have less.
func (s *Subscriber) scaled(d time.Duration) time.Duration {
	if s.ChangeDeadline <= 0 || s.ChangeDeadline >= usualChangeDeadline {
		return d
	}
	return d * max(s.ChangeDeadline, minChangeDeadline) / usualChangeDeadline
}

// DialTimeout is how long a connect to a controller may take; 0 is usual.
func (s *Subscriber) DialTimeout() time.Duration {
	return lo.Ternary(s.SlowLink, slowLinkDialTimeout, 0)
}

// Synced tells whether a fresh controller has told everything once in this life.
func (s *Subscriber) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// Fresh tells whether the controller followed is fresh and was heard lately.
func (s *Subscriber) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bestAnswer().Fresh && s.Clock.Now().Sub(s.asOf) <= s.scaled(maxGatewayLag)+minAnswerTimeout
}

// AsOf is until when all that was acknowledged is known here.
func (s *Subscriber) AsOf() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// RoundTrip is how long the last question to a fresh controller and its answer were on their way.
func (s *Subscriber) RoundTrip() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roundTrip
}

// Gateways is how many gateways there are, in all and in the own zone, by the last answer.
func (s *Subscriber) Gateways() (all, near int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.bestAnswer()
	return t.Gateways, t.GatewaysNear
}

// Controllers are the inner addresses of the controllers known, by ID.
func (s *Subscriber) Controllers() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.MapEntries(s.peers, func(addr string, m Member) (string, string) { return m.ID, addr })
}

// Following is the controller followed now.
func (s *Subscriber) Following() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bestAnswer().Me
}

// bestAnswer is the last answer of the first slot whose controller is fresh, else of the first. Under
// the lock.
func (s *Subscriber) bestAnswer() WatchTold {
	for _, t := range s.answers {
		if t.Fresh {
			return t
		}
	}
	return s.answers[0]
}

// Replica is what this gateway knows.
func (s *Subscriber) Replica() *Replica { return s.replica }

// Run follows controllers until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for slot := range followSlots {
		wg.Go(func() { s.runSlot(ctx, slot) })
	}
	wg.Wait()
}

// runSlot follows one controller after the other. The first slot is of the own zone where it can
// be, and goes by that; the others keep to controllers that no other slot follows.
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
			// Nobody answers: look again soon, but not all the time.
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

// candidates lists the addresses to try, the best first: controllers of the own zone, then those of
// others, then seeds of which nothing is known, each by rendezvous, so that gateways
// spread and few move when controllers come and go. Under the lock.
func (s *Subscriber) candidates() []string {
	rank := func(a string) int {
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
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(score(a), score(b)), cmp.Compare(a, b))
	})
	return out
}

// nextController is the controller to try: the best that is not passed over. Where all are, ok is
// false, the one that answers is taken, and back is when the first is to be tried again.
func (s *Subscriber) nextController(slot int) (addr string, ok bool, retryIn time.Duration) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.following[slot]
	s.following[slot], s.answers[slot].Fresh = "", false
	all := s.candidates()
	if slot > 0 {
		// Of another zone than the first slot's, so that one fault seldom takes both; and
		// the own zone is the first slot's to take.
		zone := s.peers[s.following[0]].Zone
		last := func(a string) int {
			z := s.peers[a].Zone
			return boolToInt(z == zone || z == s.Me.Zone)
		}
		slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(last(a), last(b)) })
	}
	retryIn = maxBackoff
	defer func() {
		if s.following[slot] = addr; addr != was {
			s.followedSince[slot] = now
		}
	}()
	for _, a := range all {
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

// awaitInitialSync returns once a gateway that starts knows everything, or hears nothing more: what it does
// not hold yet is to be told once, and not by two controllers at the same time.
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

// backOff passes a controller over for a while.
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

// timeouts is how long the next ask may take, and how long it is to wait for news.
func (s *Subscriber) timeouts(slot int, state *followState, failures int) (answer, wait time.Duration) {
	if s.SlowLink && slot > 0 {
		return slowLinkAnswerTimeout, lo.Ternary(state.inc == 0 || state.sums != nil, 0, s.scaled(slowLinkWait))
	}
	if state.inc == 0 {
		return min(firstAnswerTimeout<<min(failures, 8), gatewayAnswerTimeout), 0
	}
	if state.sums != nil {
		return gatewayAnswerTimeout, 0
	}
	left := s.asOf.Add(s.scaled(maxGatewayLag)).Sub(s.Clock.Now())
	answer = min(max(left, minAnswerTimeout), gatewayAnswerTimeout)
	return answer, min(answer-answerMargin, s.scaled(lo.Ternary(s.SlowLink, slowLinkWait, gatewayWait)))
}

// follow stays with one controller for as long as it will do; ok says that a better one than
// that is not known to be stale.
func (s *Subscriber) follow(ctx context.Context, slot int, addr string, ok bool) {
	q := &poller{me: func() Member { return s.Me }, line: s.Line, replica: s.replica, epoch: func() uint64 { return maxEpoch }, deliveryMu: &s.deliveryMu}
	s.mu.Lock()
	state := s.states[addr]
	s.mu.Unlock()
	state.addr = addr
	since := s.Clock.Now()
	for first := true; ctx.Err() == nil; first = false {
		s.mu.Lock()
		failures := s.backoffs[addr].failures
		answer, wait := s.timeouts(slot, &state, failures)
		s.mu.Unlock()
		if !ok && !first && state.sums == nil {
			// None is fresh: wait here for as long as the next look at the others is off.
			answer, wait = staleWait+answerMargin, staleWait
		}
		start := s.Clock.Now()
		cx, end := context.WithTimeout(ctx, answer)
		t, items, runs, err := q.poll(cx, &state, wait)
		end()
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

// recordAnswer notes an answer.
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

// betterAvailable tells whether it is time to try a better controller than the one at addr.
func (s *Subscriber) betterAvailable(slot int, addr string, since time.Time) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot > 0 {
		// It makes room for the first slot, whose zone this is.
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
