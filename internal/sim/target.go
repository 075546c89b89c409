package sim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/passage"
	"walkrudder/internal/registry"
	"walkrudder/tools/stand"
)

// Target is a stand-in target on the virtual clock. Addresses are the world's: a
// target that takes over an address displaces whoever stood there.
type Target struct {
	w       *World
	ID      string
	Service string
	Zone    string
	Addr    string
	passed  bool // its address has passed to another target
	lost    bool // it is not to come back

	mu      sync.Mutex
	rnd     *rand.Rand
	mode    stand.Mode
	inc     uint64
	seq     uint64
	leaving bool
	lag     time.Duration // more work in every request
	run     context.Context
	end     context.CancelFunc
	last    *passage.Answer
	places  chan struct{}
}

const (
	beatEvery = time.Second
	// capacity is how many requests a target runs at once; what comes beyond waits for
	// its turn, also when nobody waits for it any more.
	capacity = 2
	// least and most bound the work of one request: with these the deployments' own
	// rates keep some 30 to 40 of 100 places busy.
	least = 30 * time.Millisecond
	most  = 170 * time.Millisecond
)

// Start begins a new run at the target's address.
func (t *Target) Start() {
	ctx, end := context.WithCancel(t.w.ctx)
	t.mu.Lock()
	t.run, t.end, t.places = ctx, end, make(chan struct{}, capacity)
	t.inc = uint64(time.Now().UnixNano() / 1000)
	t.seq, t.leaving, t.mode = 0, false, stand.Healthy
	t.mu.Unlock()
	t.w.Net.mu.Lock()
	t.w.at[t.Addr] = t
	t.w.Net.mu.Unlock()
	t.w.wg.Go(func() {
		for ctx.Err() == nil {
			t.Beat(ctx)
			t.mu.Lock()
			d := beatEvery*9/10 + time.Duration(t.rnd.Int64N(int64(beatEvery/5)))
			t.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(d):
			}
		}
	})
}

// Crash ends the run at once.
func (t *Target) Crash() {
	t.mu.Lock()
	if t.end != nil {
		t.end()
	}
	t.mu.Unlock()
	t.w.Net.mu.Lock()
	if t.w.at[t.Addr] == t {
		delete(t.w.at, t.Addr)
	}
	t.w.Net.mu.Unlock()
}

// Up tells whether the target runs.
func (t *Target) Up() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.run != nil && t.run.Err() == nil
}

// Lag adds work to every request from now on.
func (t *Target) Lag(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = d
}

// Ran tells whether the target ever ran.
func (t *Target) Ran() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inc > 0
}

// Set makes the target behave as m.
func (t *Target) Set(m stand.Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// beatTime is how long a target waits for the answer to a beat before it tries another
// controller; a leaving one waits for gateways.
const (
	beatTime  = 800 * time.Millisecond
	leaveTime = 4500 * time.Millisecond
)

// Beat sends one beat, to a controller drawn at random and, where no answer comes, to one
// more.
func (t *Target) Beat(ctx context.Context) (r registry.BeatTold, leaving, ok bool) {
	t.mu.Lock()
	t.seq++
	b := httpapi.Beat{ID: t.ID, Service: t.Service, Zone: t.Zone, Addr: t.Addr, Capacity: capacity, Leaving: t.leaving, Seq: t.seq, Inc: t.inc, EveryMS: int(beatEvery.Milliseconds())}
	t.mu.Unlock()
	for range 2 {
		if r, ok = t.beat(ctx, b); ok {
			break
		}
	}
	return r, b.Leaving, ok
}

func (t *Target) beat(ctx context.Context, b httpapi.Beat) (r registry.BeatTold, ok bool) {
	ms := t.w.Of("controller")
	n := ms[t.w.Draw("beat "+t.ID, len(ms))]
	m, up := n.Controller(), n.Host.up()
	if m == nil || up == nil {
		return r, false
	}
	type back struct {
		r  registry.BeatTold
		ok bool
	}
	ch := make(chan back, 1)
	go func() {
		time.Sleep(t.w.Net.delay(t.ID, n.ID))
		if !t.w.Net.passes(t.ID, n.ID) {
			return
		}
		n.awake()
		cx, end := context.WithTimeout(up, 4*time.Second)
		defer end()
		x, err := m.Beater.Take(cx, b)
		n.awake()
		if up.Err() == nil && t.w.Net.passes(n.ID, t.ID) {
			ch <- back{x, err == nil}
		}
	}()
	wait := beatTime
	if b.Leaving {
		wait = leaveTime
	}
	select {
	case k := <-ch:
		if k.ok && k.r.Gone {
			t.w.Rec.RecordEviction(stand.Leave{Target: t.ID, Inc: b.Inc, AckedAt: time.Now()})
		}
		return k.r, k.ok
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return registry.BeatTold{}, false
}

// Leave announces leaving until it is acknowledged, and notes when.
func (t *Target) Leave(ctx context.Context) bool {
	t.mu.Lock()
	t.leaving = true
	inc := t.inc
	t.mu.Unlock()
	for ctx.Err() == nil && t.Up() {
		if _, l, ok := t.Beat(ctx); ok && l {
			t.w.Rec.RecordLeave(stand.Leave{Target: t.ID, Inc: inc, AckedAt: time.Now()})
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// courier carries sendings to the world's targets.
type courier struct {
	w   *World
	h   *Host
	run context.Context
}

var errReset = errors.New("connection reset")

// Carry sends s: a link is made first, and only then asks Last whether to write.
func (c *courier) Carry(ctx context.Context, s *passage.Sending) (*passage.Answer, bool, error) {
	cx, end := context.WithDeadline(ctx, s.Expiry)
	defer end()
	stop := context.AfterFunc(c.run, end)
	defer stop()
	wait := func(d time.Duration) bool {
		select {
		case <-cx.Done():
		case <-time.After(d):
		}
		c.h.awake()
		return cx.Err() == nil
	}
	if !wait(c.w.Net.delay(c.h.ID, s.Addr)) {
		return nil, false, cx.Err()
	}
	c.w.Net.mu.Lock()
	t := c.w.at[s.Addr]
	c.w.Net.mu.Unlock()
	if t == nil || !t.Up() {
		return nil, false, errDown
	}
	if !c.w.Net.passes(c.h.ID, t.ID) {
		wait(passage.DialTime)
		return nil, false, errCut
	}
	if s.Last != nil && !s.Last() {
		return nil, false, passage.ErrStopped
	}
	c.h.awake()
	if c.run.Err() != nil {
		return nil, false, c.run.Err()
	}
	// From here on the request is on its way, whatever becomes of this node.
	if s.Last != nil {
		c.w.Rec.RecordArrival(stand.Arrival{At: time.Now(), Target: t.ID, Inc: t.runInc(), Service: t.Service, Order: orderOf(s.Req), SendID: s.Number, Path: s.Req.URI})
	}
	back := make(chan *passage.Answer, 1)
	run := t.runCtx()
	go func() {
		time.Sleep(c.w.Net.delay(c.h.ID, t.ID))
		if run.Err() != nil || !c.w.Net.passes(c.h.ID, t.ID) {
			return
		}
		a := t.serve(run, s)
		time.Sleep(c.w.Net.delay(t.ID, c.h.ID))
		if run.Err() == nil && c.w.Net.passes(t.ID, c.h.ID) {
			back <- a
		}
	}()
	select {
	case a := <-back:
		c.h.awake()
		if a == nil {
			return nil, true, errReset
		}
		return a, true, nil
	case <-run.Done():
		c.h.awake()
		return nil, true, errReset
	case <-cx.Done():
		c.h.awake()
		return nil, true, cx.Err()
	}
}

// orderOf is the caller's own name for a request.
func orderOf(r *passage.Request) string {
	for _, f := range r.Header {
		if f[0] == stand.OrderField {
			return f[1]
		}
	}
	return ""
}

func (t *Target) runInc() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inc
}

func (t *Target) runCtx() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.run
}

// serve runs one request; nil cuts the link.
func (t *Target) serve(run context.Context, s *passage.Sending) *passage.Answer {
	t.mu.Lock()
	mode, inc, work := t.mode, t.inc, least+time.Duration(t.rnd.Int64N(int64(most-least)))+t.lag
	places := t.places
	if mode != stand.Healthy && mode != stand.Unresponsive && t.rnd.IntN(2) == 0 {
		mode = stand.Healthy
	}
	leaving := t.leaving
	t.mu.Unlock()
	if mode == stand.Unresponsive {
		<-run.Done()
		return nil
	}
	if s.Req.URI[:min(len(s.Req.URI), len(httpapi.ProbePath))] == httpapi.ProbePath {
		var n uint64
		_, _ = fmt.Sscanf(s.Number, "p%d", &n)
		body := fmt.Sprintf(`{"id":%q,"service":%q,"incarnation":%d,"seq":%d,"leaving":%v}`, t.ID, t.Service, inc, n, leaving)
		return &passage.Answer{Status: 200, Body: []byte(body), Whole: true}
	}
	order := orderOf(s.Req)
	st := httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc, Request: s.Number}
	if mode == stand.Refusing {
		return &passage.Answer{Status: 503, NotRun: true, Whole: true, Stamp: st.String()}
	}
	select {
	case places <- struct{}{}:
		defer func() { <-places }()
	case <-run.Done():
		return nil
	}
	t.w.Rec.RecordExec(stand.Exec{At: time.Now(), Target: t.ID, Service: t.Service, Inc: inc, Order: order, SendID: s.Number, Path: s.Req.URI, IntendedTarget: s.Target, Digest: stand.Digest([]byte(order + "."))})
	if mode == stand.Slow {
		work *= 10
	}
	select {
	case <-run.Done():
		return nil
	case <-time.After(work):
	}
	body := order + "."
	st.Length = len(body)
	a := &passage.Answer{Status: 200, Body: []byte(body), Whole: true, Stamp: st.String()}
	switch mode {
	case stand.Silent:
		// Until the gateway's expiry has passed, and its link is closed.
		select {
		case <-run.Done():
		case <-time.After(4 * time.Second):
		}
		return nil
	case stand.ClosingAfterRun:
		return nil
	case stand.BadStamp:
		st.Inc++
		a.Stamp = st.String()
	case stand.Truncating:
		a.Body = a.Body[:len(a.Body)/2]
	case stand.Swapping:
		t.mu.Lock()
		if t.last != nil {
			a = t.last
		} else {
			t.last = a
		}
		t.mu.Unlock()
	}
	return a
}
