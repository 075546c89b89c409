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
	// tellTime bounds the wait for what the others know of a key.
	tellTime = 100 * time.Millisecond
	// flushEvery is how often ends of claims are passed on, and those that no disk
	// has are handed to the controllers.
	flushEvery = 200 * time.Millisecond
	// heirAfter is how long after the core's return those claims whose own node has
	// not brought them to the disks are brought there by the others: controllers first, for
	// they are few and gateways may have been killed together, then whoever is left.
	heirAfter = 300 * time.Millisecond
	lastAfter = 1500 * time.Millisecond
	// maxMarks bounds what a node remembers, maxBatch what it passes on at once.
	maxMarks = 100000
	maxBatch = 500
	// rounds is how many rounds of questions are under way at once.
	rounds = 4
	// uploads is how many claims are brought to the disks side by side.
	uploads = 32
	// maxUploads is how often that is tried against a claim of another call.
	maxUploads = 25
)

// Mark is what the nodes tell each other of one claim. Backed says that the disks
// have the say over it; without that, only the nodes' memories hold it.
type Mark struct {
	Key    string
	Call   string
	Print  string
	State  string
	Status int
	Backed bool
	By     string // node of the call
}

type (
	// MarkAsk passes marks on.
	MarkAsk struct{ Marks []Mark }
	// MarkTold answers with the marks of other calls that stand under the same
	// keys. Counts says that ID is a gateway confirmed in its present run.
	MarkTold struct {
		ID     string
		Counts bool
		Others []Mark
	}
)

func init() { link.RegisterPair[MarkAsk, MarkTold]() }

// Keeper keeps claims at a majority of the disks.
type Keeper interface {
	Take(ctx context.Context, a TakeAsk) (TakeTold, error)
	End(ctx context.Context, a EndAsk) error
}

// mark is a remembered claim.
type mark struct {
	Mark
	at    time.Time
	tried bool // the disks may have been asked for it
	fails int
}

// Circle is the nodes' common memory of claims: every claim is told to all. While
// the core is there, the disks decide; while it is away, more than half of the
// gateways that count do, and what they decided is brought to the disks when the core
// is back (design 17.2).
type Circle struct {
	Me    string
	Line  link.Line
	Clock clock.Clock
	Keep  Keeper
	Log   *log.Logger
	// Members lists the inner addresses of the others with a lease, Mates those of
	// all others known.
	Members, Mates func() []string
	// Held: this node has a lease. Alone: it serves without the core.
	Held, Alone func() bool
	// Gateways lists the gateways that count; counts says that this node is a gateway that
	// was confirmed in its present run.
	Gateways func() (ids []string, counts bool)

	own  *owner.Owner
	asks chan *query
	// Owned by own.
	marks map[string]*mark
	order []string // keys by age
	out   []Mark   // to be passed on
	since time.Time
}

// Init makes the circle ready.
func (c *Circle) Init() {
	c.own = owner.New(256)
	c.marks, c.asks = map[string]*mark{}, make(chan *query, maxBatch)
}

// Serve teaches d to answer for this node's memory.
func (c *Circle) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a MarkAsk) (r MarkTold, err error) {
		if len(a.Marks) > 2*maxBatch {
			return r, steperr.New("mark", "", "%d marks at once", len(a.Marks))
		}
		_, counts := c.Gateways()
		return owner.Get(ctx, c.own, func() MarkTold { return c.hear(a.Marks, counts) })
	})
}

// hear takes marks in and answers as others do; only own calls it.
func (c *Circle) hear(ms []Mark, counts bool) MarkTold {
	r := MarkTold{ID: c.Me, Counts: counts}
	for _, m := range ms {
		if o, ok := c.apply(m); ok {
			r.Others = append(r.Others, o)
		}
	}
	return r
}

// Run passes on and hands over until ctx ends.
func (c *Circle) Run(ctx context.Context) {
	go c.own.Run(ctx)
	for range rounds {
		go c.round(ctx)
	}
	clock.Every(ctx, c.Clock, flushEvery, func() {
		c.flush(ctx)
		c.upload(ctx)
	})
}

// apply takes a mark in; ok says that another call's stands in its way.
func (c *Circle) apply(m Mark) (other Mark, ok bool) {
	now := c.Clock.Now()
	for len(c.order) > 0 {
		k := c.order[0]
		if e := c.marks[k]; e != nil && now.Sub(e.at) < Span && len(c.marks) < maxMarks {
			break
		}
		delete(c.marks, k)
		c.order = c.order[1:]
	}
	e := c.marks[m.Key]
	switch {
	case e == nil:
		if m.State != Free {
			c.marks[m.Key] = &mark{Mark: m, at: now}
			c.order = append(c.order, m.Key)
		}
	case e.Call == m.Call:
		if e.State == Taken {
			e.State, e.Status = m.State, m.Status
		}
		// Who asks the disks in vain asks the others next.
		if m.Backed || m.State == Taken {
			e.Backed = m.Backed
		}
	case e.State == Free:
		if m.State != Free {
			*e = mark{Mark: m, at: e.at}
		}
	case m.State == Free:
	default:
		return e.Mark, true
	}
	return other, false
}

// query is a mark that waits for the others' word.
type query struct {
	m     Mark
	alone bool
	back  chan heard
}

// ask has the others told of a mark and hands on their word. What comes while
// other rounds are under way goes out together.
func (c *Circle) ask(ctx context.Context, m Mark, alone bool) (h heard) {
	q := &query{m, alone, make(chan heard, 1)}
	select {
	case c.asks <- q:
	case <-ctx.Done():
		return h
	}
	select {
	case h = <-q.back:
	case <-ctx.Done():
	}
	return h
}

// round asks for whatever is queued, until ctx ends.
func (c *Circle) round(ctx context.Context) {
	for {
		var qs []*query
		select {
		case <-ctx.Done():
			return
		case q := <-c.asks:
			qs = append(qs, q)
		}
	fill:
		for len(qs) < maxBatch {
			select {
			case q := <-c.asks:
				qs = append(qs, q)
			default:
				break fill
			}
		}
		addrs := c.Members()
		if lo.SomeBy(qs, func(q *query) bool { return q.alone }) {
			addrs = lo.Union(addrs, c.Mates())
		}
		most, others := c.tell(ctx, addrs, lo.Map(qs, func(q *query, _ int) Mark { return q.m }))
		by := lo.GroupBy(others, func(m Mark) string { return m.Key })
		for _, q := range qs {
			h := heard{most: most}
			for _, o := range by[q.m.Key] {
				if o.Call == q.m.Call {
					continue
				}
				h.any = &o
				if !o.Backed {
					h.loose = &o
				}
			}
			q.back <- h
		}
	}
}

// heard is what the others said of a mark.
type heard struct {
	loose *Mark // another call's, which the disks do not have
	any   *Mark // another call's
	most  bool  // more than half of the gateways that count have answered
}

// tell passes marks on to addrs and to this node's own memory, and waits for their
// word: whether more than half of the gateways that count gave it, and what stands in
// the way.
func (c *Circle) tell(ctx context.Context, addrs []string, ms []Mark) (most bool, others []Mark) {
	gateways, counts := c.Gateways()
	cx, end := context.WithTimeout(ctx, tellTime)
	defer end()
	ch := make(chan MarkTold, len(addrs)+1)
	for _, a := range addrs {
		go func() {
			r, _ := link.Call[MarkTold](cx, c.Line, a, MarkAsk{Marks: ms})
			ch <- r
		}()
	}
	here, _ := owner.Get(ctx, c.own, func() MarkTold { return c.hear(ms, counts) })
	ch <- here
	ids := map[string]bool{}
	for range len(addrs) + 1 {
		r := <-ch
		if r.Counts {
			ids[r.ID] = true
		}
		others = append(others, r.Others...)
	}
	return 2*lo.CountBy(gateways, func(f string) bool { return ids[f] }) > len(gateways), others
}

// Take claims a key for a call, or tells who has it; it tries until ctx ends.
func (c *Circle) Take(ctx context.Context, a TakeAsk) (r TakeTold, err error) {
	m := Mark{Key: name(a.Key), Call: a.Call, Print: a.Print, State: Taken, By: c.Me}
	a.Key = m.Key
	for {
		if c.Alone() {
			r, err = c.alone(ctx, m)
		} else {
			r, err = c.backed(ctx, a, m)
		}
		if err == nil || c.Clock.Sleep(ctx, 20*time.Millisecond) != nil {
			return r, err
		}
	}
}

// alone lets the gateways decide.
func (c *Circle) alone(ctx context.Context, m Mark) (TakeTold, error) {
	h := c.ask(ctx, m, true)
	switch {
	case h.any != nil:
		c.release(ctx, m)
		return TakeTold{State: h.any.state()}, nil
	case !h.most:
		return TakeTold{}, steperr.New("claim", "", "not more than half of the gateways were heard")
	}
	return TakeTold{OK: true, State: m.state()}, nil
}

// backed lets the disks decide; what the others remember of the core's absence
// stands before it.
func (c *Circle) backed(ctx context.Context, a TakeAsk, m Mark) (TakeTold, error) {
	m.Backed = true
	cx, end := context.WithCancel(ctx)
	defer end()
	go func() {
		// No use in waiting for the disks once it is known that the core is away.
		for c.Clock.Sleep(cx, 50*time.Millisecond) == nil {
			if c.Alone() {
				end()
			}
		}
	}()
	ch := make(chan heard, 1)
	go func() { ch <- c.ask(ctx, m, false) }()
	r, err := c.Keep.Take(cx, a)
	h := <-ch
	switch {
	case err != nil:
		// The disks may have it, or get it yet; they do not have the say over it now.
		_ = c.own.Do(ctx, func() {
			if e := c.marks[m.Key]; e != nil && e.Call == m.Call {
				e.tried = true
			}
		})
		return r, err
	case !r.OK:
		c.release(ctx, m)
		return r, nil
	case h.loose != nil:
		c.release(ctx, m)
		_ = c.Keep.End(ctx, EndAsk{Key: a.Key, Call: a.Call})
		return TakeTold{State: h.loose.state()}, nil
	}
	return r, nil
}

func (m Mark) state() State {
	return State{State: m.State, Call: m.Call, Print: m.Print, Status: m.Status}
}

// release takes a mark back that stood for nothing.
func (c *Circle) release(ctx context.Context, m Mark) {
	m.State = Free
	_ = c.own.Do(ctx, func() {
		c.apply(m)
		c.out = append(c.out, m)
	})
}

// End gives a claim back, or marks it as run to its end.
func (c *Circle) End(ctx context.Context, a EndAsk) error {
	a.Key = name(a.Key)
	state := lo.Ternary(a.Ran, Ended, Free)
	done, err := owner.Get(ctx, c.own, func() bool {
		e := c.marks[a.Key]
		if e == nil || e.Call != a.Call {
			return false
		}
		e.State, e.Status = state, a.Status
		c.out = append(c.out, e.Mark)
		// What the disks do not have is brought to them as it then stands; what they
		// may have, and nobody wants, is taken off them now.
		return !e.Backed && (a.Ran || !e.tried)
	})
	if err != nil || done {
		return err
	}
	return c.Keep.End(ctx, a)
}

// flush passes on what ended.
func (c *Circle) flush(ctx context.Context) {
	ms, _ := owner.Get(ctx, c.own, func() []Mark {
		n := min(len(c.out), maxBatch)
		ms := c.out[:n:n]
		c.out = c.out[n:]
		return ms
	})
	if len(ms) > 0 {
		c.tell(ctx, lo.Union(c.Members(), c.Mates()), ms)
	}
}

// upload brings to the disks what was decided without them: each node its own
// claims, and after a while whatever is left.
func (c *Circle) upload(ctx context.Context) {
	now := c.Clock.Now()
	if !c.Held() {
		_ = c.own.Do(ctx, func() { c.since = time.Time{} })
		return
	}
	_, gateway := c.Gateways()
	after := lo.Ternary(gateway, lastAfter, heirAfter)
	ms, _ := owner.Get(ctx, c.own, func() (ms []Mark) {
		if c.since.IsZero() {
			c.since = now
		}
		for _, k := range c.order {
			e := c.marks[k]
			if e == nil || e.Backed || e.By != c.Me && now.Sub(c.since) < after {
				continue
			}
			if e.State == Free {
				e.Backed = true
				continue
			}
			if ms = append(ms, e.Mark); len(ms) >= maxBatch {
				break
			}
		}
		return ms
	})
	if len(ms) == 0 {
		return
	}
	cx, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	var wg sync.WaitGroup
	q := make(chan Mark, len(ms))
	for _, m := range ms {
		q <- m
	}
	close(q)
	for range uploads {
		wg.Go(func() {
			for m := range q {
				ok := c.bring(cx, m)
				_ = c.own.Do(ctx, func() { c.brought(m, ok) })
			}
		})
	}
	wg.Wait()
}

// bring writes one claim to the disks as it stands.
func (c *Circle) bring(ctx context.Context, m Mark) bool {
	if r, err := c.Keep.Take(ctx, TakeAsk{Key: m.Key, Call: m.Call, Print: m.Print}); err != nil || !r.OK {
		return false
	}
	return m.State == Taken || c.Keep.End(ctx, EndAsk{Key: m.Key, Call: m.Call, Ran: true, Status: m.Status}) == nil
}

// brought notes what became of it. A claim of another call that stays on the disks
// was there first, or its end will be.
func (c *Circle) brought(m Mark, ok bool) {
	e := c.marks[m.Key]
	if e == nil || e.Call != m.Call || e.State != m.State {
		return
	}
	if e.fails++; !ok && e.fails < maxUploads {
		return
	}
	if !ok && c.Log != nil {
		c.Log.Warn("claim not brought to the disks", "step", "claim", "call", m.Call)
	}
	e.Backed = true
	c.out = append(c.out, e.Mark)
}
