package sim

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"walkrudder/internal/http1/http1test"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/passage"
	"walkrudder/internal/registry"
	"walkrudder/tools/stand"
)

// Target is a simulated target on the virtual clock. Addresses belong to the world: a target
// that takes over an address displaces the one that had it.
type Target struct {
	world          *World
	ID             string
	Service        string
	Zone           string
	Addr           string
	addrReassigned bool // its address now belongs to another target
	removed        bool // it must not be started again

	mu          sync.Mutex
	rng         *rand.Rand
	mode        stand.Mode
	incarnation uint64
	seq         uint64
	leaving     bool
	extraWork   time.Duration // added to the work of every request
	runCtx      context.Context
	cancel      context.CancelFunc
	lastAnswer  *passage.Response
	slots       chan struct{}
}

const (
	heartbeatInterval = time.Second
	// capacity is how many requests a target runs at once. Further requests queue for a slot,
	// even when their caller has given up.
	capacity = 2
	// minWork and maxWork bound the duration of one request: with these the deployments' own
	// rates keep about 30 to 40 of 100 slots busy.
	minWork = 30 * time.Millisecond
	maxWork = 170 * time.Millisecond
)

// Start begins a new run at the target's address.
func (t *Target) Start() {
	ctx, cancel := context.WithCancel(t.world.ctx)
	t.mu.Lock()
	t.runCtx, t.cancel, t.slots = ctx, cancel, make(chan struct{}, capacity)
	t.incarnation = uint64(time.Now().UnixNano() / 1000)
	t.seq, t.leaving, t.mode = 0, false, stand.Healthy
	t.mu.Unlock()
	t.world.Net.mu.Lock()
	t.world.targetAt[t.Addr] = t
	t.world.Net.mu.Unlock()
	t.world.wg.Go(func() {
		for ctx.Err() == nil {
			t.SendHeartbeat(ctx)
			t.mu.Lock()
			d := heartbeatInterval*9/10 + time.Duration(t.rng.Int64N(int64(heartbeatInterval/5)))
			t.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(d):
			}
		}
	})
}

// Crash ends the run without notice.
func (t *Target) Crash() {
	t.mu.Lock()
	if t.cancel != nil {
		t.cancel()
	}
	t.mu.Unlock()
	t.world.Net.mu.Lock()
	if t.world.targetAt[t.Addr] == t {
		delete(t.world.targetAt, t.Addr)
	}
	t.world.Net.mu.Unlock()
}

// Running reports whether the target runs.
func (t *Target) Running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runCtx != nil && t.runCtx.Err() == nil
}

// SetExtraWork makes every request take d longer from now on.
func (t *Target) SetExtraWork(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extraWork = d
}

// EverRan reports whether the target was ever started.
func (t *Target) EverRan() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation > 0
}

// SetMode sets how the target behaves from now on.
func (t *Target) SetMode(m stand.Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// heartbeatTimeout is how long a target waits for the answer to a heartbeat before it tries
// another controller. A leaving target waits longer, for leaveTimeout, because its answer
// comes only after the gateways have confirmed.
const (
	heartbeatTimeout = 800 * time.Millisecond
	leaveTimeout     = 4500 * time.Millisecond
)

// SendHeartbeat sends one heartbeat to a random controller and, if no answer comes, to one more.
func (t *Target) SendHeartbeat(ctx context.Context) (r registry.BeatTold, leaving, ok bool) {
	t.mu.Lock()
	t.seq++
	b := httpapi.Beat{ID: t.ID, Service: t.Service, Zone: t.Zone, Addr: t.Addr, Capacity: capacity, Leaving: t.leaving, Seq: t.seq, Inc: t.incarnation, EveryMS: int(heartbeatInterval.Milliseconds())}
	t.mu.Unlock()
	for range 2 {
		if r, ok = t.sendHeartbeatOnce(ctx, b); ok {
			break
		}
	}
	return r, b.Leaving, ok
}

func (t *Target) sendHeartbeatOnce(ctx context.Context, b httpapi.Beat) (r registry.BeatTold, ok bool) {
	controllers := t.world.NodesOfKind("controller")
	n := controllers[t.world.RandN("beat "+t.ID, len(controllers))]
	ctl, procCtx := n.Controller(), n.Host.runningProc()
	if ctl == nil || procCtx == nil {
		return r, false
	}
	type heartbeatReply struct {
		r  registry.BeatTold
		ok bool
	}
	ch := make(chan heartbeatReply, 1)
	go func() {
		time.Sleep(t.world.Net.delay(t.ID, n.ID))
		if !t.world.Net.delivers(t.ID, n.ID) {
			return
		}
		n.waitThawed()
		callCtx, cancel := context.WithTimeout(procCtx, 4*time.Second)
		defer cancel()
		x, err := ctl.Heartbeats.Receive(callCtx, b)
		n.waitThawed()
		if procCtx.Err() == nil && t.world.Net.delivers(n.ID, t.ID) {
			ch <- heartbeatReply{x, err == nil}
		}
	}()
	wait := heartbeatTimeout
	if b.Leaving {
		wait = leaveTimeout
	}
	select {
	case k := <-ch:
		if k.ok && k.r.Gone {
			t.world.Records.RecordEviction(stand.Leave{Target: t.ID, Inc: b.Inc, AckedAt: time.Now()})
		}
		return k.r, k.ok
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return registry.BeatTold{}, false
}

// Leave announces that the target leaves until a controller acknowledges it, and records when.
func (t *Target) Leave(ctx context.Context) bool {
	t.mu.Lock()
	t.leaving = true
	inc := t.incarnation
	t.mu.Unlock()
	for ctx.Err() == nil && t.Running() {
		if _, l, ok := t.SendHeartbeat(ctx); ok && l {
			t.world.Records.RecordLeave(stand.Leave{Target: t.ID, Inc: inc, AckedAt: time.Now()})
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// targetTransport sends a gateway's requests to the simulated targets.
type targetTransport struct {
	world   *World
	host    *Host
	procCtx context.Context
}

var errReset = errors.New("connection reset")

// Send sends s. It connects first and then calls BeforeWrite, if that is set, which decides
// whether the request is written.
func (c *targetTransport) Send(ctx context.Context, s *passage.SendRequest) (*passage.Response, bool, error) {
	callCtx, cancel := context.WithDeadline(ctx, s.Expiry)
	defer cancel()
	stop := context.AfterFunc(c.procCtx, cancel)
	defer stop()
	wait := func(d time.Duration) bool {
		select {
		case <-callCtx.Done():
		case <-time.After(d):
		}
		c.host.waitThawed()
		return callCtx.Err() == nil
	}
	if !wait(c.world.Net.delay(c.host.ID, s.Addr)) {
		return nil, false, callCtx.Err()
	}
	c.world.Net.mu.Lock()
	t := c.world.targetAt[s.Addr]
	c.world.Net.mu.Unlock()
	if t == nil || !t.Running() {
		return nil, false, errRefused
	}
	if !c.world.Net.delivers(c.host.ID, t.ID) {
		wait(passage.DialTimeout)
		return nil, false, errUnreachable
	}
	if s.BeforeWrite != nil && !s.BeforeWrite() {
		return nil, false, passage.ErrSendCancelled
	}
	c.host.waitThawed()
	if c.procCtx.Err() != nil {
		return nil, false, c.procCtx.Err()
	}
	// From here on the request is in flight, even if this node fails.
	if s.BeforeWrite != nil {
		c.world.Records.RecordArrival(stand.Arrival{At: time.Now(), Target: t.ID, Inc: t.currentIncarnation(), Service: t.Service, Order: orderID(s.Req), SendID: s.SendID, Path: s.Req.URI})
	}
	answers := make(chan *passage.Response, 1)
	run := t.currentRun()
	go func() {
		time.Sleep(c.world.Net.delay(c.host.ID, t.ID))
		if run.Err() != nil || !c.world.Net.delivers(c.host.ID, t.ID) {
			return
		}
		a := t.serve(run, s)
		time.Sleep(c.world.Net.delay(t.ID, c.host.ID))
		if run.Err() == nil && c.world.Net.delivers(t.ID, c.host.ID) {
			answers <- a
		}
	}()
	select {
	case a := <-answers:
		c.host.waitThawed()
		if a == nil {
			return nil, true, errReset
		}
		return a, true, nil
	case <-run.Done():
		c.host.waitThawed()
		return nil, true, errReset
	case <-callCtx.Done():
		c.host.waitThawed()
		return nil, true, callCtx.Err()
	}
}

// orderID returns the ID that the caller gave a request, "" if none.
func orderID(r *passage.Request) string {
	for _, f := range r.Header {
		if f[0] == stand.OrderHeader {
			return f[1]
		}
	}
	return ""
}

func (t *Target) currentIncarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

func (t *Target) currentRun() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runCtx
}

// serve executes one request; a nil answer means that the connection is reset.
func (t *Target) serve(run context.Context, s *passage.SendRequest) *passage.Response {
	t.mu.Lock()
	mode, inc, work := t.mode, t.incarnation, minWork+time.Duration(t.rng.Int64N(int64(maxWork-minWork)))+t.extraWork
	runSlots := t.slots
	if mode != stand.Healthy && mode != stand.Unresponsive && t.rng.IntN(2) == 0 {
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
		_, _ = fmt.Sscanf(s.SendID, "p%d", &n)
		body := fmt.Sprintf(`{"id":%q,"service":%q,"incarnation":%d,"seq":%d,"leaving":%v}`, t.ID, t.Service, inc, n, leaving)
		return &passage.Response{Status: 200, Body: []byte(body), Complete: true}
	}
	order := orderID(s.Req)
	st := httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc, Request: s.SendID}
	if mode == stand.Refusing {
		return &passage.Response{Status: 503, NotRun: true, Complete: true, Stamp: st.String()}
	}
	select {
	case runSlots <- struct{}{}:
		defer func() { <-runSlots }()
	case <-run.Done():
		return nil
	}
	t.world.Records.RecordExec(stand.Exec{At: time.Now(), Target: t.ID, Service: t.Service, Inc: inc, Order: order, SendID: s.SendID, Path: s.Req.URI, IntendedTarget: s.Target, Digest: stand.Digest([]byte(order + ".")), Malformed: mode == stand.Malformed})
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
	a := &passage.Response{Status: 200, Body: []byte(body), Complete: true, Stamp: st.String()}
	switch mode {
	case stand.Silent:
		// Longer than the gateway's expiry, after which it closes the connection.
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
	case stand.Malformed:
		return t.malformedResponse(s, st, body)
	case stand.Truncating:
		a.Body = a.Body[:len(a.Body)/2]
	case stand.Swapping:
		t.mu.Lock()
		if t.lastAnswer != nil {
			a = t.lastAnswer
		} else {
			t.lastAnswer = a
		}
		t.mu.Unlock()
	}
	return a
}

// malformedResponse returns what the gateway's own reader makes of a malformed response: nil if it refuses it, which ends
// the connection.
func (t *Target) malformedResponse(s *passage.SendRequest, stamp httpapi.Stamp, body string) *passage.Response {
	t.mu.Lock()
	sample := http1test.DrawMalformed(t.rng.IntN)
	t.mu.Unlock()
	raw := sample.Response(httpapi.StampHeader+": "+stamp.String()+"\r\n", body)
	response, _, err := passage.ReadResponse(bufio.NewReader(strings.NewReader(raw)), s.Req.Method)
	if err != nil {
		return nil
	}
	return response
}
