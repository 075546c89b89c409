package passage

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"
	"golang.org/x/time/rate"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
	"walkrudder/internal/topology"
)

const (
	// queueSize bounds each queue; together with sendWorkers it bounds the
	// requests inside one gateway.
	queueSize   = 512
	sendWorkers = 256
	// laneWide bounds the sendings of one service at a gateway: a service whose targets
	// all hang leaves the others a quarter of the workers (design 13.8).
	laneWide = sendWorkers * 3 / 4
	// maxTries bounds the targets tried for one request.
	maxTries = 4
	// waitTime and maxWaits bound the wait for a target to be proved; roomWaits that for
	// a target to have room, which no more calls may wait for than there is room: what
	// came together, as after a hold, is served one after the other.
	waitTime  = 40 * time.Millisecond
	maxWaits  = 5
	roomWaits = 15
	// slack is kept free before the expiry, for the answer's way back.
	slack = 20 * time.Millisecond
	// clientRate and clientBurst limit a client that hammers, over all gateways together;
	// each has its equal part, and no less than partRate and partBurst. Proper ones stay
	// far below.
	clientRate  = 60
	clientBurst = 120
	partRate    = 4
	partBurst   = 8
	maxClients  = 10000
)

// Gate tells under which sheet work may be sent now.
type Gate interface {
	Gate() (*spec.Table, bool)
	Wait(ctx context.Context) (*spec.Table, bool)
}

// Passage leads requests through a gateway.
type Passage struct {
	Clock    clock.Clock
	Rack     Gate
	Roster   *registry.GatewayTable
	Courier  Courier
	Claims   Claims
	Zone     string
	Chart    *topology.Chart // nil where no map is given
	ID       string
	Inc      uint64
	Gateways func() int
	Faults   *fault.Set
	Log      *log.Logger
	Count    func(what, service string)

	grant, claim, choose *Stage[*Trip]
	send, check          *Stage[*Try]

	stories *stories
	calls   atomic.Uint64
	mu      sync.Mutex
	budgets map[string]*Budget
	clients map[string]*client
	lanes   sync.Map // by service: *Lane
	born    time.Time
	told    atomic.Int64
	flying  atomic.Int64
}

type client struct {
	l    *rate.Limiter
	seen time.Time
}

// Init makes the stages.
func (p *Passage) Init() {
	done := func(t *Trip) bool { return t.over.Load() }
	ended := func(x *Try) bool { return x.Trip.over.Load() }
	p.grant = NewStage("grant", queueSize, 4, p.doGrant, done)
	p.claim = NewStage("claim", queueSize, claimWorkers, p.doClaim, done)
	p.choose = NewStage("elect", queueSize, 4, p.doElect, done)
	p.send = NewStage("send", queueSize, sendWorkers, p.doSend, ended)
	p.send.drop = (*Try).landed
	p.check = NewStage("check", queueSize, 4, p.doCheck, ended)
	p.budgets, p.clients = map[string]*Budget{}, map[string]*client{}
	p.stories = newStories()
	p.born = p.Clock.Now()
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
}

// Run works until ctx ends.
func (p *Passage) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.stories.own.Run(ctx) })
	for _, run := range []func(context.Context){p.grant.Run, p.claim.Run, p.choose.Run, p.send.Run, p.check.Run} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// Flying is the number of calls inside.
func (p *Passage) Flying() int64 { return p.flying.Load() }

// Enter is the door: it takes a call in, waits for its end or its expiry, and
// returns the trip with Answer or Out set. key is the caller's own name for the
// request, "" where he gave none.
func (p *Passage) Enter(ctx context.Context, client, key string, r *Request) *Trip {
	p.flying.Add(1)
	defer p.flying.Add(-1)
	now := p.Clock.Now()
	t := &Trip{Ctx: ctx, Client: client, Key: key, Req: r, Came: now, done: make(chan struct{}),
		Call: p.ID + "-" + strconv.FormatUint(p.Inc, 36) + "-" + strconv.FormatUint(p.calls.Add(1), 36)}
	cut := false
	defer func() {
		if !cut {
			p.closeClaim(t)
			p.record(t)
		}
	}()
	// The binding may change while the call waits at the gate; what it is under
	// now only bounds the wait.
	tab, open := p.Rack.Gate()
	t.Expiry = now.Add(2 * time.Second)
	b, m := tab.Find(r.Method, r.URI[:pathEnd(r.URI)])
	switch {
	case m == spec.Found:
		t.Expiry, t.free = now.Add(b.Expiry), b.Repeatable
	case open:
		t.Out = missing(m, tab, r)
		return t
	}
	if !p.limit(client, now) {
		t.Out = p.notRun(t, "this client sends too many requests")
		t.Out.Status = 429
		return t
	}
	wait := t.Left(now)
	if !p.grant.Put(t) {
		t.Out = p.notRun(t, "the door's queue is full")
		return t
	}
	for {
		c, stop := p.Clock.After(wait)
		select {
		case <-t.done:
			stop()
			return t
		case <-c:
		case <-ctx.Done():
			// This process ends: whoever waits is cut off with it.
			stop()
			cut = true
			t.over.Store(true)
			// A stage may still hold the trip; the caller gets one of his own.
			return &Trip{Call: t.Call, Out: &httpapi.Verdict{Status: 502, Code: httpapi.Unknown, Why: "this node was ended", Sent: true}}
		}
		if t.drop() {
			t.finish(nil, p.notRun(t, "no target could take it before its expiry"))
			return t
		}
		// Under way: the sending ends at the same expiry, and says how.
		wait = 50 * time.Millisecond
	}
}

func pathEnd(uri string) int {
	for i := range len(uri) {
		if uri[i] == '?' {
			return i
		}
	}
	return len(uri)
}

func missing(m spec.Match, t *spec.Table, r *Request) *httpapi.Verdict {
	if m == spec.NoMethod {
		return &httpapi.Verdict{Status: 405, Code: httpapi.BadMethod, Allow: t.Allows(r.URI[:pathEnd(r.URI)])}
	}
	return &httpapi.Verdict{Status: 404, Code: httpapi.NoBinding}
}

func busy(why string, retry time.Duration) *httpapi.Verdict {
	return &httpapi.Verdict{Status: 503, Code: httpapi.BusyNotRun, Why: why, Retry: retry}
}

// refuse ends a trip that has not run, unless a sending is still under way: then
// that one's end counts. Where a byte may have left already "not run" would be a lie,
// and the outcome is unknown.
func (p *Passage) refuse(t *Trip, why string) {
	t.mu.Lock()
	under, loose, tries, sends := t.open > 0 || t.electing, t.Loose, t.Tries, t.Sends
	t.mu.Unlock()
	if under {
		return
	}
	p.step(t, "refuse", "", why)
	if p.Log != nil {
		p.Log.Info("call given up", "step", "refuse", "call", t.Call, "why", why, "tries", tries, "sends", sends, "loose", loose)
	}
	switch {
	case loose > 0 && !t.Bound.Repeatable:
		t.finish(nil, &httpapi.Verdict{Status: 502, Code: httpapi.Unknown, Why: why, Sent: true})
	case loose > 0:
		t.finish(nil, &httpapi.Verdict{Status: 502, Code: httpapi.BadAnswer, Why: why, Retry: time.Second, Sent: true})
	case t.drop() || t.state.Load() == sent:
		// Sent without a byte that left, or answered "not run" by the target.
		t.finish(nil, p.notRun(t, why))
	}
}

// doGrant waits for the gate, finds the binding and bounds the body.
func (p *Passage) doGrant(t *Trip) {
	cx, end := context.WithDeadline(t.Ctx, t.Expiry)
	tab, ok := p.Rack.Gate()
	if !ok {
		tab, ok = p.Rack.Wait(cx)
	}
	end()
	if !ok {
		if t.drop() {
			t.finish(nil, p.notRun(t, "this node waits for the control plane"))
		}
		return
	}
	b, m := tab.Find(t.Req.Method, t.Req.URI[:pathEnd(t.Req.URI)])
	if m != spec.Found {
		if t.drop() {
			t.finish(nil, missing(m, tab, t.Req))
		}
		return
	}
	if len(t.Req.Body) > b.MaxBody {
		if t.drop() {
			t.finish(nil, &httpapi.Verdict{Status: 413, Code: httpapi.TooLarge, Why: fmt.Sprintf("the limit here is %d bytes", b.MaxBody)})
		}
		return
	}
	t.Table, t.Bound = tab, b
	p.step(t, "grant", "", fmt.Sprintf("binding %s of version %d", b.Name, tab.N))
	// Never longer than the caller was promised on arrival.
	if e := t.Came.Add(b.Expiry); e.Before(t.Expiry) {
		t.Expiry = e
	}
	if p.needsClaim(t) && !t.asked.Load() {
		if !p.claim.Put(t) {
			p.refuse(t, "the queue before the claim is full")
		}
		return
	}
	p.toElect(t, "the queue before the choice is full")
}

// toElect queues a trip for the choice; why is told where the queue is full.
func (p *Passage) toElect(t *Trip, why string) {
	t.mu.Lock()
	t.electing = true
	t.mu.Unlock()
	if !p.choose.Put(t) {
		p.unelect(t)
		p.refuse(t, why)
	}
}

// doElect chooses a target, or gives up at once when there is none and waiting
// can bring none in time.
func (p *Passage) doElect(t *Trip) {
	s := t.Table.Services[t.Bound.Service]
	limit := cmp.Or(s.Suspect, suspectAt)
	now := p.Clock.Now()
	t.mu.Lock()
	tries, tried, more := t.Tries, t.Tried, t.open > 0
	t.mu.Unlock()
	no := func(why string) {
		p.unelect(t)
		p.refuse(t, why)
	}
	if t.Left(now) <= slack {
		no("no time left before its expiry")
		return
	}
	if tries >= maxTries {
		no("every target tried failed")
		return
	}
	lane := p.lane(s.Name)
	to, rooms, full := p.elect(s.Name, limit, tried, t.Left(now))
	x := &Try{Trip: t, Stand: to, No: tries + 1, Table: t.Table, Bound: t.Bound, lane: lane, paused: p.Roster.Pauses.Total(), end: make(chan struct{})}
	if more && x.Stand != nil && x.Stand.Detector.Suspicion(now) >= limit {
		// Where most are suspected the fault is here: no target is better than the one
		// that is waited for.
		x.Stand = nil
	}
	if full || x.Stand != nil && !lane.enter(t.Bound.Name, rooms, t.Table.Kinds(t.Bound.Service)) {
		if t.Waits < roomWaits && !more && lane.wait(rooms) {
			p.wait(t, no, lane)
			return
		}
		lane.note(now, false)
		t.Retry = lane.retry()
		no("the targets of " + s.Name + " have as much to do as they can finish in time")
		return
	}
	if x.Stand == nil {
		if t.Waits < maxWaits && !more && p.unproved(s.Name, now) {
			// A probe that is under way may prove one in a moment, as after this node
			// was frozen.
			p.wait(t, no, nil)
			return
		}
		no("no target of " + s.Name + " can take it now")
		p.tell(s.Name, now)
		return
	}
	lane.note(now, true)
	x.Stand.InFlight.Add(1)
	t.mu.Lock()
	t.Tries++
	t.Tried = append(t.Tried, x.Stand)
	t.open++
	t.electing = false
	t.mu.Unlock()
	if !p.send.Put(x) {
		x.landed()
		p.shut(t)
		p.refuse(t, "the queue before the sending is full")
	}
}

// wait sends a trip to the choice again in a moment; lane, where given, counts it
// meanwhile.
func (p *Passage) wait(t *Trip, no func(string), lane *Lane) {
	t.Waits++
	go func() {
		err := p.Clock.Sleep(t.Ctx, waitTime)
		if lane != nil {
			lane.waits.Add(-1)
		}
		if err == nil && !p.choose.Put(t) {
			no("the queue before the choice is full")
		}
	}()
}

// lane finds or makes the lane of a service.
func (p *Passage) lane(service string) *Lane {
	if l, ok := p.lanes.Load(service); ok {
		return l.(*Lane)
	}
	l, _ := p.lanes.LoadOrStore(service, &Lane{})
	return l.(*Lane)
}

// unproved tells whether a target of a service lacks nothing but a recent proof.
func (p *Passage) unproved(service string, now time.Time) bool {
	return lo.SomeBy(p.Roster.Targets(service), func(s *registry.Target) bool {
		return !s.Leaving.Load() && !s.Gone.Load() && p.Roster.ProofAge(s, now) >= Fresh
	})
}

// tell logs, at most once a second, why no target of a service could be elected.
func (p *Passage) tell(service string, now time.Time) {
	if l := p.told.Load(); p.Log == nil || now.UnixNano()-l < int64(time.Second) || !p.told.CompareAndSwap(l, now.UnixNano()) {
		return
	}
	all := p.Roster.Targets(service)
	left, old, oldest := 0, 0, time.Duration(0)
	for _, s := range all {
		if s.Leaving.Load() || s.Gone.Load() {
			left++
		} else if a := p.Roster.ProofAge(s, now); a >= Fresh {
			old++
			oldest = max(oldest, a)
		}
	}
	p.Log.Warn("no target to elect", "step", "elect", "service", service, "known", len(all), "leaving", left, "unproved", old, "oldest", oldest.String())
}

// budget finds or makes the budget of a service.
func (p *Passage) budget(service string) *Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budgets[service]
	if b == nil {
		b = NewBudget(p.born, p.Gateways)
		p.budgets[service] = b
	}
	return b
}

// doSend sends once.
func (p *Passage) doSend(x *Try) {
	t, s, b := x.Trip, x.Stand, x.Bound
	svc := x.Table.Services[b.Service]
	n := &Sending{Addr: s.Addr, Target: httpapi.TargetName(s.ID, s.Service, s.Inc), Req: t.Req, Expiry: t.Expiry,
		Number: t.Call + "." + strconv.Itoa(x.No), Fresh: !b.Repeatable}
	charged, dead, begun := false, false, false
	n.Last = func() bool {
		p.Faults.Hit(fault.BeforeSend)
		// Everything that allows this sending is looked at again, now that the
		// next step writes: the sheet, the proof of identity, leaving, the expiry.
		at := p.Clock.Now()
		tab, open := p.Rack.Gate()
		if !open || t.over.Load() || tab != x.Table && !p.still(x, tab) || s.Leaving.Load() || s.Gone.Load() ||
			p.Roster.ProofAge(s, at) >= Fresh || t.Left(at) <= slack {
			return false
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.begun > 0 && !charged {
			if charged = p.budget(svc.Name).Extra(at); !charged {
				dead = true
				return false
			}
		}
		if !t.take() {
			return false
		}
		t.begun++
		x.Sent, begun = at, true
		return true
	}
	cx, giveUp := context.WithCancel(t.Ctx)
	defer giveUp()
	if b.Repeatable {
		now := p.Clock.Now()
		go p.look(x, cmp.Or(svc.Suspect, suspectAt), now.Add(max(t.Left(now)/2, min(t.Left(now), 400*time.Millisecond))), giveUp)
	}
	a, left, err := p.Courier.Carry(cx, n)
	close(x.end)
	x.landed()
	t.mu.Lock()
	if left {
		t.Loose++
		if t.Sends++; !charged {
			p.budget(svc.Name).First(x.Sent)
		}
	} else if begun {
		t.begun--
	} else if dead && t.open > 1 {
		// Not a try: what waits for another target may come here later.
		t.Tries--
		t.Tried = lo.Without(t.Tried, s)
	}
	t.mu.Unlock()
	if left && (err == nil || cx.Err() == nil) {
		// An answer, or none in the whole of the time; what was given up tells nothing.
		p.timed(x)
	}
	if left {
		p.step(t, "send", s.Key(), n.Number)
		p.Faults.Hit(fault.AfterSend)
	}
	if t.over.Load() {
		return
	}
	if err == nil {
		x.Answer = a
		if !p.check.Put(x) {
			p.doCheck(x)
		}
		return
	}
	p.step(t, "send failed", s.Key(), err.Error())
	p.Count("send-defect", svc.Name)
	if p.Log != nil && !errors.Is(err, ErrStopped) {
		p.Log.Warn("sending failed", "step", "send", "mate", s.Key(), "call", t.Call, "left", left, "err", err)
	}
	p.shut(t)
	switch {
	case dead:
		p.refuse(t, "the allowance for sending again is used up")
	case left && !b.Repeatable:
		p.refuse(t, "the target took the request and gave no answer")
	default:
		p.again(t, "no answer from the target")
	}
}

// still tells whether the sheet that came into force meanwhile allows the same.
func (p *Passage) still(x *Try, tab *spec.Table) bool {
	b, m := tab.Find(x.Trip.Req.Method, x.Trip.Req.URI[:pathEnd(x.Trip.Req.URI)])
	return m == spec.Found && tab.Services[b.Service].Name == x.Stand.Service && b.Repeatable == x.Bound.Repeatable
}

// again sends the trip back to the choice, under the sheet now in force, unless
// another sending is under way or about to be.
func (p *Passage) again(t *Trip, why string) {
	now := p.Clock.Now()
	t.mu.Lock()
	more, tries, loose := t.open > 0 || t.electing, t.Tries, t.Loose
	t.electing = t.electing || !more
	t.mu.Unlock()
	if more {
		return
	}
	no := func() {
		p.unelect(t)
		p.refuse(t, why)
	}
	if t.Left(now) <= slack || tries >= maxTries {
		no()
		return
	}
	tab, open := p.Rack.Gate()
	if tab != t.Table || !open {
		if t.state.Load() == waiting {
			if !p.grant.Put(t) {
				no()
			}
			return
		}
		if b, m := tab.Find(t.Req.Method, t.Req.URI[:pathEnd(t.Req.URI)]); m == spec.Found && (b.Repeatable || loose == 0) {
			t.Table, t.Bound = tab, b
		} else {
			no()
			return
		}
	}
	if !p.choose.Put(t) {
		no()
	}
}

// doCheck lets only a proper answer through: the target's own stamp, to this
// very sending, and the whole body.
func (p *Passage) doCheck(x *Try) {
	t, s, a := x.Trip, x.Stand, x.Answer
	svc := s.Service
	bad := ""
	st, err := httpapi.ReadStamp(a.Stamp)
	switch {
	case a.Stamp == "":
		bad = "no stamp"
	case err != nil:
		bad = err.Error()
	case st.ID != s.ID || st.Service != s.Service || st.Inc != s.Inc:
		bad = "stamp of another target"
	case st.Request != t.Call+"."+strconv.Itoa(x.No):
		bad = "stamp for another request"
	case !a.Whole:
		bad = "body without a known end"
	case st.Length >= 0 && t.Req.Method != "HEAD" && st.Length != len(a.Body):
		bad = fmt.Sprintf("body of %d bytes, stamped %d", len(a.Body), st.Length)
	}
	if bad != "" {
		p.step(t, "check", s.Key(), bad)
		p.Count("bad-answer", svc)
		if p.Log != nil {
			p.Log.Warn("answer refused", "step", "check", "mate", s.Key(), "call", t.Call, "why", bad)
		}
		p.shut(t)
		if x.Bound.Repeatable {
			p.again(t, "the target's answer was not proper: "+bad)
		} else {
			p.refuse(t, "the target's answer was not proper: "+bad)
		}
		return
	}
	// A proper answer proves who stood at the address when the request left.
	p.Roster.RecordProof(s, x.Sent)
	if a.Status == 503 && a.NotRun {
		p.step(t, "check", s.Key(), "the target says: busy, not run")
		t.mu.Lock()
		t.Loose--
		t.open--
		t.mu.Unlock()
		p.again(t, "the targets are busy")
		return
	}
	t.finish(a, nil)
}

// limit bounds a client that hammers.
func (p *Passage) limit(c string, now time.Time) bool {
	if c == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	x := p.clients[c]
	if x == nil {
		if len(p.clients) >= maxClients {
			for k, v := range p.clients {
				if now.Sub(v.seen) > 10*time.Second {
					delete(p.clients, k)
				}
			}
			if len(p.clients) >= maxClients {
				return true
			}
		}
		n := max(1, p.Gateways())
		x = &client{l: rate.NewLimiter(rate.Limit(max(partRate, clientRate/n)), max(partBurst, clientBurst/n))}
		p.clients[c] = x
	}
	x.seen = now
	return x.l.AllowN(now, 1)
}
