package claim

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/owner"
	"walkrudder/internal/steperr"
)

const (
	// broadcastTimeout bounds the wait for the other nodes' answers to a broadcast.
	broadcastTimeout = 100 * time.Millisecond
	// flushInterval is the interval at which changed claims are broadcast, and claims
	// that are only in the nodes' memories are uploaded to the controllers.
	flushInterval = 200 * time.Millisecond
	// Claims that their own node has not uploaded after the core's return are uploaded by other
	// nodes. Controllers do so after controllerUploadDelay, since they are few, and many gateways
	// may have been killed at once. Gateways do so after gatewayUploadDelay.
	controllerUploadDelay = 300 * time.Millisecond
	gatewayUploadDelay    = 1500 * time.Millisecond
	// maxMarks bounds the claims a node remembers, and maxBatch those sent in one message.
	maxMarks = 100000
	maxBatch = 500
	// roundWorkers is the number of concurrent broadcast rounds.
	roundWorkers = 4
	// uploadWorkers is the number of concurrent uploads of claims.
	uploadWorkers = 32
	// maxUploadAttempts bounds the attempts to upload a claim, which fail while the disks hold a
	// claim of another call.
	maxUploadAttempts = 25
)

// Mark is the state of one claim as exchanged between nodes. Backed means that the disks
// decide on it; otherwise only the nodes' memories hold it.
type Mark struct {
	Key    string
	Call   string
	Print  string
	State  string
	Status int
	Backed bool
	By     string // node that handles the call
}

type (
	// MarkAsk sends marks to another node.
	MarkAsk struct{ Marks []Mark }
	// MarkTold returns the conflicting marks: those of other calls under the same keys.
	// Counts means that ID is a gateway that was confirmed in its present run, so that its answer
	// may count towards a majority.
	MarkTold struct {
		ID     string
		Counts bool
		Others []Mark
	}
)

func init() { link.RegisterPair[MarkAsk, MarkTold]() }

// Store keeps claims on a majority of the disks.
type Store interface {
	Take(ctx context.Context, a TakeAsk) (TakeTold, error)
	End(ctx context.Context, a EndAsk) error
}

// entry is a remembered claim.
type entry struct {
	Mark
	addedAt    time.Time
	storeAsked bool // the store may have been asked for it
	uploads    int
}

// Coordinator shares claims between the nodes: every claim is broadcast to all. While the
// core is reachable, the disks decide on a claim. While it is not, more than half of the
// voting gateways decide, and their decisions are uploaded to the disks when the core is
// back (design 17.2).
type Coordinator struct {
	Self      string
	Transport link.Transport
	Clock     clock.Clock
	Store     Store
	Log       *log.Logger
	// LeasedPeers lists the inner addresses of the other nodes that hold a lease, Peers
	// those of all other known nodes.
	LeasedPeers, Peers func() []string
	// HasLease: this node holds a lease. CoreLost: it serves without the core.
	HasLease, CoreLost func() bool
	// Voters lists the voting gateways; selfVotes reports whether this node is a gateway
	// that was confirmed in its present run.
	Voters func() (ids []string, selfVotes bool)

	owner   *owner.Owner
	pending chan *pendingMark
	// Accessed only by owner.
	marks      map[string]*entry
	keysByAge  []string  // oldest first
	outgoing   []Mark    // to be broadcast
	leaseSince time.Time // when this node was first seen with its present lease
}

// Init initializes the coordinator.
func (c *Coordinator) Init() {
	c.owner = owner.New(256)
	c.marks, c.pending = map[string]*entry{}, make(chan *pendingMark, maxBatch)
}

// Serve registers the handler for MarkAsk.
func (c *Coordinator) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a MarkAsk) (r MarkTold, err error) {
		if len(a.Marks) > 2*maxBatch {
			return r, steperr.New("mark", "", "message carries too many marks: %d", len(a.Marks))
		}
		_, selfVotes := c.Voters()
		return owner.Call(ctx, c.owner, func() MarkTold { return c.mergeMarks(a.Marks, selfVotes) })
	})
}

// mergeMarks applies marks and returns the conflicting ones; only owner calls it.
func (c *Coordinator) mergeMarks(marks []Mark, selfVotes bool) MarkTold {
	r := MarkTold{ID: c.Self, Counts: selfVotes}
	for _, m := range marks {
		if o, ok := c.applyMark(m); ok {
			r.Others = append(r.Others, o)
		}
	}
	return r
}

// Run broadcasts and uploads claims until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	go c.owner.Run(ctx)
	for range roundWorkers {
		go c.runRounds(ctx)
	}
	clock.Every(ctx, c.Clock, flushInterval, func() {
		c.broadcastOutgoing(ctx)
		c.uploadClaims(ctx)
	})
}

// applyMark applies a mark. If a claim of another call conflicts with it, applyMark returns that
// claim and ok. Only owner calls it.
func (c *Coordinator) applyMark(m Mark) (other Mark, ok bool) {
	now := c.Clock.Now()
	for len(c.keysByAge) > 0 {
		oldest := c.keysByAge[0]
		if known := c.marks[oldest]; known != nil && now.Sub(known.addedAt) < BucketSpan && len(c.marks) < maxMarks {
			break
		}
		delete(c.marks, oldest)
		c.keysByAge = c.keysByAge[1:]
	}
	known := c.marks[m.Key]
	switch {
	case known == nil:
		if m.State != Free {
			c.marks[m.Key] = &entry{Mark: m, addedAt: now}
			c.keysByAge = append(c.keysByAge, m.Key)
		}
	case known.Call == m.Call:
		if known.State == Taken {
			known.State, known.Status = m.State, m.Status
		}
		// A call that gets no decision from the disks asks the voting gateways next, so Backed
		// may become false again.
		if m.Backed || m.State == Taken {
			known.Backed = m.Backed
		}
	case known.State == Free:
		if m.State != Free {
			*known = entry{Mark: m, addedAt: known.addedAt}
		}
	case m.State == Free:
	default:
		return known.Mark, true
	}
	return other, false
}

// pendingMark is a mark waiting for the other nodes' answers.
type pendingMark struct {
	mark     Mark
	coreLost bool
	reply    chan peerReply
}

// consultPeers broadcasts a mark and returns the other nodes' answers. Marks that arrive while
// other rounds are under way are sent together.
func (c *Coordinator) consultPeers(ctx context.Context, m Mark, coreLost bool) (reply peerReply) {
	pending := &pendingMark{m, coreLost, make(chan peerReply, 1)}
	select {
	case c.pending <- pending:
	case <-ctx.Done():
		return reply
	}
	select {
	case reply = <-pending.reply:
	case <-ctx.Done():
	}
	return reply
}

// runRounds broadcasts queued marks until ctx ends.
func (c *Coordinator) runRounds(ctx context.Context) {
	for {
		var batch []*pendingMark
		select {
		case <-ctx.Done():
			return
		case q := <-c.pending:
			batch = append(batch, q)
		}
	fill:
		for len(batch) < maxBatch {
			select {
			case q := <-c.pending:
				batch = append(batch, q)
			default:
				break fill
			}
		}
		addrs := c.LeasedPeers()
		if lo.SomeBy(batch, func(q *pendingMark) bool { return q.coreLost }) {
			addrs = lo.Union(addrs, c.Peers())
		}
		majority, others := c.broadcast(ctx, addrs, lo.Map(batch, func(q *pendingMark, _ int) Mark { return q.mark }))
		othersByKey := lo.GroupBy(others, func(m Mark) string { return m.Key })
		for _, pending := range batch {
			reply := peerReply{majority: majority}
			for _, o := range othersByKey[pending.mark.Key] {
				if o.Call == pending.mark.Call {
					continue
				}
				reply.conflict = &o
				if !o.Backed {
					reply.unbacked = &o
				}
			}
			pending.reply <- reply
		}
	}
}

// peerReply summarizes the other nodes' answers on a mark.
type peerReply struct {
	unbacked *Mark // of another call, not on the disks
	conflict *Mark // of another call
	majority bool  // more than half of the voting gateways have answered
}

// broadcast sends marks to addrs, applies them to this node's own memory and waits for the
// answers. It returns whether more than half of the voting gateways answered, and the
// conflicting marks.
func (c *Coordinator) broadcast(ctx context.Context, addrs []string, marks []Mark) (majority bool, others []Mark) {
	voters, selfVotes := c.Voters()
	callCtx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	ch := make(chan MarkTold, len(addrs)+1)
	for _, a := range addrs {
		go func() {
			r, _ := link.Call[MarkTold](callCtx, c.Transport, a, MarkAsk{Marks: marks})
			ch <- r
		}()
	}
	own, _ := owner.Call(ctx, c.owner, func() MarkTold { return c.mergeMarks(marks, selfVotes) })
	ch <- own
	ids := map[string]bool{}
	for range len(addrs) + 1 {
		r := <-ch
		if r.Counts {
			ids[r.ID] = true
		}
		others = append(others, r.Others...)
	}
	return 2*lo.CountBy(voters, func(id string) bool { return ids[id] }) > len(voters), others
}

// Take claims a key for a call, or returns the state of another call's claim. It retries until
// ctx ends.
func (c *Coordinator) Take(ctx context.Context, a TakeAsk) (r TakeTold, err error) {
	m := Mark{Key: keyHash(a.Key), Call: a.Call, Print: a.Print, State: Taken, By: c.Self}
	a.Key = m.Key
	for {
		if c.CoreLost() {
			r, err = c.takeFromVoters(ctx, m)
		} else {
			r, err = c.takeFromStore(ctx, a, m)
		}
		if err == nil || c.Clock.Sleep(ctx, 20*time.Millisecond) != nil {
			return r, err
		}
	}
}

// takeFromVoters lets the voting gateways decide.
func (c *Coordinator) takeFromVoters(ctx context.Context, m Mark) (TakeTold, error) {
	reply := c.consultPeers(ctx, m, true)
	switch {
	case reply.conflict != nil:
		c.withdrawMark(ctx, m)
		return TakeTold{State: reply.conflict.state()}, nil
	case !reply.majority:
		return TakeTold{}, steperr.New("claim", "", "no answer from more than half of the voting gateways")
	}
	return TakeTold{OK: true, State: m.state()}, nil
}

// takeFromStore lets the disks decide; a claim that other nodes remember from a time
// without the core takes precedence.
func (c *Coordinator) takeFromStore(ctx context.Context, a TakeAsk, m Mark) (TakeTold, error) {
	m.Backed = true
	storeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Waiting for the disks is pointless once the core is known to be unreachable.
		for c.Clock.Sleep(storeCtx, 50*time.Millisecond) == nil {
			if c.CoreLost() {
				cancel()
			}
		}
	}()
	ch := make(chan peerReply, 1)
	go func() { ch <- c.consultPeers(ctx, m, false) }()
	r, err := c.Store.Take(storeCtx, a)
	reply := <-ch
	switch {
	case err != nil:
		// The disks may hold the claim, or still receive it, but they do not decide on it now.
		_ = c.owner.Do(ctx, func() {
			if e := c.marks[m.Key]; e != nil && e.Call == m.Call {
				e.storeAsked = true
			}
		})
		return r, err
	case !r.OK:
		c.withdrawMark(ctx, m)
		return r, nil
	case reply.unbacked != nil:
		c.withdrawMark(ctx, m)
		_ = c.Store.End(ctx, EndAsk{Key: a.Key, Call: a.Call})
		return TakeTold{State: reply.unbacked.state()}, nil
	}
	return r, nil
}

func (m Mark) state() State {
	return State{State: m.State, Call: m.Call, Print: m.Print, Status: m.Status}
}

// withdrawMark withdraws a mark that did not obtain the claim.
func (c *Coordinator) withdrawMark(ctx context.Context, m Mark) {
	m.State = Free
	_ = c.owner.Do(ctx, func() {
		c.applyMark(m)
		c.outgoing = append(c.outgoing, m)
	})
}

// End releases a claim, or marks it as ended.
func (c *Coordinator) End(ctx context.Context, a EndAsk) error {
	a.Key = keyHash(a.Key)
	state := lo.Ternary(a.Ran, Ended, Free)
	uploadLater, err := owner.Call(ctx, c.owner, func() bool {
		e := c.marks[a.Key]
		if e == nil || e.Call != a.Call {
			return false
		}
		e.State, e.Status = state, a.Status
		c.outgoing = append(c.outgoing, e.Mark)
		// A claim that is not on the disks is uploaded later in its final state; one that
		// may be on the disks and is no longer wanted is removed from them now.
		return !e.Backed && (a.Ran || !e.storeAsked)
	})
	if err != nil || uploadLater {
		return err
	}
	return c.Store.End(ctx, a)
}

// broadcastOutgoing broadcasts claims that ended, were withdrawn or were uploaded.
func (c *Coordinator) broadcastOutgoing(ctx context.Context) {
	marks, _ := owner.Call(ctx, c.owner, func() []Mark {
		n := min(len(c.outgoing), maxBatch)
		marks := c.outgoing[:n:n]
		c.outgoing = c.outgoing[n:]
		return marks
	})
	if len(marks) > 0 {
		c.broadcast(ctx, lo.Union(c.LeasedPeers(), c.Peers()), marks)
	}
}

// uploadClaims writes to the disks the claims that were decided without them. Each node uploads
// its own claims, and after a delay also those of other nodes that are left.
func (c *Coordinator) uploadClaims(ctx context.Context) {
	now := c.Clock.Now()
	if !c.HasLease() {
		_ = c.owner.Do(ctx, func() { c.leaseSince = time.Time{} })
		return
	}
	_, isGateway := c.Voters()
	othersDelay := lo.Ternary(isGateway, gatewayUploadDelay, controllerUploadDelay)
	marks, _ := owner.Call(ctx, c.owner, func() (marks []Mark) {
		if c.leaseSince.IsZero() {
			c.leaseSince = now
		}
		for _, k := range c.keysByAge {
			e := c.marks[k]
			if e == nil || e.Backed || e.By != c.Self && now.Sub(c.leaseSince) < othersDelay {
				continue
			}
			if e.State == Free {
				e.Backed = true
				continue
			}
			if marks = append(marks, e.Mark); len(marks) >= maxBatch {
				break
			}
		}
		return marks
	})
	if len(marks) == 0 {
		return
	}
	uploadCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	queue := make(chan Mark, len(marks))
	for _, m := range marks {
		queue <- m
	}
	close(queue)
	for range uploadWorkers {
		wg.Go(func() {
			for m := range queue {
				ok := c.uploadClaim(uploadCtx, m)
				_ = c.owner.Do(ctx, func() { c.recordUpload(m, ok) })
			}
		})
	}
	wg.Wait()
}

// uploadClaim writes the state of one claim to the disks and reports whether they hold it.
func (c *Coordinator) uploadClaim(ctx context.Context, m Mark) bool {
	if r, err := c.Store.Take(ctx, TakeAsk{Key: m.Key, Call: m.Call, Print: m.Print}); err != nil || !r.OK {
		return false
	}
	return m.State == Taken || c.Store.End(ctx, EndAsk{Key: m.Key, Call: m.Call, Ran: true, Status: m.Status}) == nil
}

// recordUpload records the result of an upload; only owner calls it. After maxUploadAttempts it
// gives up: a claim of another call that remains on the disks was either there first or will be
// ended by an upload.
func (c *Coordinator) recordUpload(m Mark, ok bool) {
	e := c.marks[m.Key]
	if e == nil || e.Call != m.Call || e.State != m.State {
		return
	}
	if e.uploads++; !ok && e.uploads < maxUploadAttempts {
		return
	}
	if !ok && c.Log != nil {
		c.Log.Warn("claim not written to the disks", "step", "claim", "call", m.Call)
	}
	e.Backed = true
	c.outgoing = append(c.outgoing, e.Mark)
}
