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
	// number of requests inside one gateway.
	queueSize   = 512
	sendWorkers = 256
	// maxServiceSends bounds the concurrent sends of one service at a gateway: a service
	// whose targets all hang leaves a quarter of the workers to the others (design 13.8).
	maxServiceSends = sendWorkers * 3 / 4
	// maxAttempts bounds the targets tried for one request.
	maxAttempts = 4
	// waitInterval and maxProofWaits bound the wait for a target to prove its identity;
	// maxCapacityWaits bounds the wait for a target with free capacity. No more calls may
	// wait for capacity than there is capacity, so a burst, such as after a hold, is served
	// one call after the other.
	waitInterval     = 40 * time.Millisecond
	maxProofWaits    = 5
	maxCapacityWaits = 15
	// returnMargin is kept free before the expiry for the response to reach the caller.
	returnMargin = 20 * time.Millisecond
	// clientRate and clientBurst limit a client that sends too many requests, summed over
	// all gateways. Each gateway applies an equal share, but no less than minClientRate
	// and minClientBurst. Rates are in requests per second. Well-behaved clients stay far below.
	clientRate     = 60
	clientBurst    = 120
	minClientRate  = 4
	minClientBurst = 8
	// maxClients bounds the number of clients whose rate is tracked.
	maxClients = 10000
)

// Gate provides the route sheet under which requests may be sent now.
type Gate interface {
	// Gate returns the current route sheet; false means that requests must wait.
	Gate() (*spec.Table, bool)
	// Wait waits until requests may be sent; false means that ctx ended first.
	Wait(ctx context.Context) (*spec.Table, bool)
}

// Pipeline processes the requests of a gateway in stages.
type Pipeline struct {
	Clock     clock.Clock
	Sheets    Gate
	Targets   *registry.GatewayTable
	Transport Transport
	Claims    Claims
	Zone      string
	ZoneMap   *topology.Distances // nil where no map is given
	ID        string              // ID of this gateway
	Inc       uint64              // incarnation of this gateway
	Gateways  func() int          // number of gateways that share the limits
	Faults    *fault.Set
	Log       *log.Logger
	Count     func(what, service string) // counts an event, which may concern a service

	route, claim, selection *Stage[*Call]
	send, check             *Stage[*Attempt]

	stories         *storyLog
	callSeq         atomic.Uint64
	mu              sync.Mutex
	budgets         map[string]*Budget
	clients         map[string]*client
	limiters        sync.Map // by service: *ServiceLimiter
	startedAt       time.Time
	lastNoTargetLog atomic.Int64 // Unix time in ns of the last line of logNoTarget
	inFlight        atomic.Int64
}

type client struct {
	limiter  *rate.Limiter
	lastSeen time.Time
}

// Init creates the stages.
func (p *Pipeline) Init() {
	finished := func(call *Call) bool { return call.finished.Load() }
	callFinished := func(attempt *Attempt) bool { return attempt.Call.finished.Load() }
	p.route = NewStage("grant", queueSize, 4, p.doRoute, finished)
	p.claim = NewStage("claim", queueSize, maxClaims, p.doClaim, finished)
	p.selection = NewStage("elect", queueSize, 4, p.doSelect, finished)
	p.send = NewStage("send", queueSize, sendWorkers, p.doSend, callFinished)
	p.send.discard = (*Attempt).release
	p.check = NewStage("check", queueSize, 4, p.doCheck, callFinished)
	p.budgets, p.clients = map[string]*Budget{}, map[string]*client{}
	p.stories = newStoryLog()
	p.startedAt = p.Clock.Now()
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
}

// Run runs the stages until ctx ends.
func (p *Pipeline) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.stories.owner.Run(ctx) })
	for _, run := range []func(context.Context){p.route.Run, p.claim.Run, p.selection.Run, p.send.Run, p.check.Run} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// InFlight returns the number of calls inside the gateway.
func (p *Pipeline) InFlight() int64 { return p.inFlight.Load() }

// Handle accepts a call, waits until it finishes or expires, and returns it with Response
// or ErrorResponse set. key is the caller's idempotency key, "" if there is none.
func (p *Pipeline) Handle(ctx context.Context, client, key string, r *Request) *Call {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	now := p.Clock.Now()
	call := &Call{Ctx: ctx, Client: client, Key: key, Req: r, Arrived: now, done: make(chan struct{}),
		ID: p.ID + "-" + strconv.FormatUint(p.Inc, 36) + "-" + strconv.FormatUint(p.callSeq.Add(1), 36)}
	stopping := false
	defer func() {
		if !stopping {
			p.closeClaim(call)
			p.saveStory(call)
		}
	}()
	// The binding may change while the call waits at the gate; the current one only
	// bounds the wait.
	table, open := p.Sheets.Gate()
	call.Expiry = now.Add(2 * time.Second)
	binding, match := table.Find(r.Method, r.URI[:pathEnd(r.URI)])
	switch {
	case match == spec.Found:
		call.Expiry, call.repeatable = now.Add(binding.Expiry), binding.Repeatable
	case open:
		call.ErrorResponse = noBindingResponse(match, table, r)
		return call
	}
	if !p.allowClient(client, now) {
		call.ErrorResponse = p.notRun(call, "this client sends too many requests")
		call.ErrorResponse.Status = 429
		return call
	}
	wait := call.Remaining(now)
	if !p.route.Put(call) {
		call.ErrorResponse = p.notRun(call, "the door's queue is full")
		return call
	}
	for {
		timer, stop := p.Clock.After(wait)
		select {
		case <-call.done:
			stop()
			return call
		case <-timer:
		case <-ctx.Done():
			// The process is shutting down: waiting callers are cut off with it.
			stop()
			stopping = true
			call.finished.Store(true)
			// A stage may still hold the call, so the caller gets a separate one.
			return &Call{ID: call.ID, ErrorResponse: &httpapi.ErrorResponse{Status: 502, Code: httpapi.OutcomeUnknown, Reason: "this node was ended", Sent: true}}
		}
		if call.tryMarkNotSent() {
			call.finish(nil, p.notRun(call, "no target could take it before its expiry"))
			return call
		}
		// A send is under way. It ends at the same expiry and then finishes the call.
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

func noBindingResponse(match spec.Match, table *spec.Table, r *Request) *httpapi.ErrorResponse {
	if match == spec.NoMethod {
		return &httpapi.ErrorResponse{Status: 405, Code: httpapi.BadMethod, Allow: table.AllowedMethods(r.URI[:pathEnd(r.URI)])}
	}
	return &httpapi.ErrorResponse{Status: 404, Code: httpapi.NoBinding}
}

func busyResponse(reason string, retry time.Duration) *httpapi.ErrorResponse {
	return &httpapi.ErrorResponse{Status: 503, Code: httpapi.BusyNotRun, Reason: reason, RetryDelay: retry}
}

// refuse ends a call for which no further send is tried. If a send is still under way, the
// end of that send decides instead. If a target may have run the request, "not run" would be
// wrong: the response is OutcomeUnknown, or BadAnswer if the request is repeatable.
func (p *Pipeline) refuse(call *Call, reason string) {
	call.mu.Lock()
	active, mayHaveRun, attempts, sends := call.inFlight > 0 || call.selecting, call.MaybeRun, call.Attempts, call.Sends
	call.mu.Unlock()
	if active {
		return
	}
	p.addStep(call, "refuse", "", reason)
	if p.Log != nil {
		p.Log.Info("call ended without a response", "step", "refuse", "call", call.ID, "why", reason, "tries", attempts, "sends", sends, "loose", mayHaveRun)
	}
	switch {
	case mayHaveRun > 0 && !call.Binding.Repeatable:
		call.finish(nil, &httpapi.ErrorResponse{Status: 502, Code: httpapi.OutcomeUnknown, Reason: reason, Sent: true})
	case mayHaveRun > 0:
		call.finish(nil, &httpapi.ErrorResponse{Status: 502, Code: httpapi.BadAnswer, Reason: reason, RetryDelay: time.Second, Sent: true})
	case call.tryMarkNotSent() || call.state.Load() == stateSent:
		// Either no byte was written, or the target answered "not run".
		call.finish(nil, p.notRun(call, reason))
	}
}

// doRoute waits for the gate, finds the binding and checks the body size.
func (p *Pipeline) doRoute(call *Call) {
	gateCtx, cancel := context.WithDeadline(call.Ctx, call.Expiry)
	table, ok := p.Sheets.Gate()
	if !ok {
		table, ok = p.Sheets.Wait(gateCtx)
	}
	cancel()
	if !ok {
		if call.tryMarkNotSent() {
			call.finish(nil, p.notRun(call, "this node waits for the control plane"))
		}
		return
	}
	binding, match := table.Find(call.Req.Method, call.Req.URI[:pathEnd(call.Req.URI)])
	if match != spec.Found {
		if call.tryMarkNotSent() {
			call.finish(nil, noBindingResponse(match, table, call.Req))
		}
		return
	}
	if len(call.Req.Body) > binding.MaxBody {
		if call.tryMarkNotSent() {
			call.finish(nil, &httpapi.ErrorResponse{Status: 413, Code: httpapi.TooLarge, Reason: fmt.Sprintf("the limit here is %d bytes", binding.MaxBody)})
		}
		return
	}
	call.Table, call.Binding = table, binding
	p.addStep(call, "grant", "", fmt.Sprintf("binding %s of version %d", binding.Name, table.Version))
	// Never later than the expiry set on arrival.
	if e := call.Arrived.Add(binding.Expiry); e.Before(call.Expiry) {
		call.Expiry = e
	}
	if p.needsClaim(call) && !call.claimMayExist.Load() {
		if !p.claim.Put(call) {
			p.refuse(call, "the queue before the claim is full")
		}
		return
	}
	p.enqueueSelection(call, "the queue before the choice is full")
}

// enqueueSelection queues a call for target selection, or refuses it with reason if the queue is
// full.
func (p *Pipeline) enqueueSelection(call *Call, reason string) {
	call.mu.Lock()
	call.selecting = true
	call.mu.Unlock()
	if !p.selection.Put(call) {
		p.endSelection(call)
		p.refuse(call, reason)
	}
}

// doSelect selects a target. It refuses the call at once if there is none and waiting
// cannot provide one in time.
func (p *Pipeline) doSelect(call *Call) {
	service := call.Table.Services[call.Binding.Service]
	suspicionLimit := cmp.Or(service.Suspect, defaultSuspicion)
	now := p.Clock.Now()
	call.mu.Lock()
	attempts, tried, inFlight := call.Attempts, call.Tried, call.inFlight > 0
	call.mu.Unlock()
	refuse := func(reason string) {
		p.endSelection(call)
		p.refuse(call, reason)
	}
	if call.Remaining(now) <= returnMargin {
		refuse("no time left before its expiry")
		return
	}
	if attempts >= maxAttempts {
		refuse("every target tried failed")
		return
	}
	limiter := p.limiter(service.Name)
	target, totalLimit, atCapacity := p.selectTarget(service.Name, suspicionLimit, tried, call.Remaining(now))
	attempt := &Attempt{Call: call, Target: target, Num: attempts + 1, Table: call.Table, Binding: call.Binding, limiter: limiter, pausedBefore: p.Targets.Pauses.Total(), returned: make(chan struct{})}
	if inFlight && attempt.Target != nil && attempt.Target.Detector.Suspicion(now) >= suspicionLimit {
		// With most targets suspected the fault is at this gateway: no other target is
		// better than the one already being waited for.
		attempt.Target = nil
	}
	if atCapacity || attempt.Target != nil && !limiter.acquire(call.Binding.Name, totalLimit, call.Table.BindingCount(call.Binding.Service)) {
		if call.Waits < maxCapacityWaits && !inFlight && limiter.startWait(totalLimit) {
			p.selectLater(call, refuse, limiter)
			return
		}
		limiter.recordOffer(now, false)
		call.RetryAfter = limiter.retryAfter()
		refuse("the targets of " + service.Name + " have as much to do as they can finish in time")
		return
	}
	if attempt.Target == nil {
		if call.Waits < maxProofWaits && !inFlight && p.hasUnproved(service.Name, now) {
			// A probe under way may prove a target shortly, for example after this
			// process was suspended.
			p.selectLater(call, refuse, nil)
			return
		}
		refuse("no target of " + service.Name + " can take it now")
		p.logNoTarget(service.Name, now)
		return
	}
	limiter.recordOffer(now, true)
	attempt.Target.InFlight.Add(1)
	call.mu.Lock()
	call.Attempts++
	call.Tried = append(call.Tried, attempt.Target)
	call.inFlight++
	call.selecting = false
	call.mu.Unlock()
	if !p.send.Put(attempt) {
		attempt.release()
		p.endAttempt(call)
		p.refuse(call, "the queue before the sending is full")
	}
}

// selectLater queues a call for selection again after waitInterval; limiter, if not nil,
// counts it as waiting until then.
func (p *Pipeline) selectLater(call *Call, refuse func(string), limiter *ServiceLimiter) {
	call.Waits++
	go func() {
		err := p.Clock.Sleep(call.Ctx, waitInterval)
		if limiter != nil {
			limiter.waiting.Add(-1)
		}
		if err == nil && !p.selection.Put(call) {
			refuse("the queue before the choice is full")
		}
	}()
}

// limiter returns the limiter of a service, creating it if needed.
func (p *Pipeline) limiter(service string) *ServiceLimiter {
	if l, ok := p.limiters.Load(service); ok {
		return l.(*ServiceLimiter)
	}
	l, _ := p.limiters.LoadOrStore(service, &ServiceLimiter{})
	return l.(*ServiceLimiter)
}

// hasUnproved reports whether a target of a service lacks only a recent identity proof.
func (p *Pipeline) hasUnproved(service string, now time.Time) bool {
	return lo.SomeBy(p.Targets.Targets(service), func(s *registry.Target) bool {
		return !s.Leaving.Load() && !s.Gone.Load() && p.Targets.ProofAge(s, now) >= MaxProofAge
	})
}

// logNoTarget logs, at most once a second, why no target of a service could be selected.
func (p *Pipeline) logNoTarget(service string, now time.Time) {
	if last := p.lastNoTargetLog.Load(); p.Log == nil || now.UnixNano()-last < int64(time.Second) || !p.lastNoTargetLog.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	all := p.Targets.Targets(service)
	leaving, unproved, oldest := 0, 0, time.Duration(0)
	for _, s := range all {
		if s.Leaving.Load() || s.Gone.Load() {
			leaving++
		} else if a := p.Targets.ProofAge(s, now); a >= MaxProofAge {
			unproved++
			oldest = max(oldest, a)
		}
	}
	p.Log.Warn("no target can be selected", "step", "elect", "service", service, "known", len(all), "leaving", leaving, "unproved", unproved, "oldest", oldest.String())
}

// budget returns the retry budget of a service, creating it if needed.
func (p *Pipeline) budget(service string) *Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := p.budgets[service]
	if budget == nil {
		budget = NewBudget(p.startedAt, p.Gateways)
		p.budgets[service] = budget
	}
	return budget
}

// doSend sends a call to one target.
func (p *Pipeline) doSend(attempt *Attempt) {
	call, target, binding := attempt.Call, attempt.Target, attempt.Binding
	service := attempt.Table.Services[binding.Service]
	send := &SendRequest{Addr: target.Addr, Target: httpapi.TargetName(target.ID, target.Service, target.Inc), Req: call.Req, Expiry: call.Expiry,
		SendID: attempt.sendID(), NewConn: !binding.Repeatable}
	charged, overBudget, writeAllowed := false, false, false
	send.BeforeWrite = func() bool {
		p.Faults.Hit(fault.BeforeSend)
		// The next step writes, so every precondition of this send is checked again:
		// the route sheet, the identity proof, leaving and the expiry.
		now := p.Clock.Now()
		table, open := p.Sheets.Gate()
		if !open || call.finished.Load() || table != attempt.Table && !p.stillAllowed(attempt, table) || target.Leaving.Load() || target.Gone.Load() ||
			p.Targets.ProofAge(target, now) >= MaxProofAge || call.Remaining(now) <= returnMargin {
			return false
		}
		call.mu.Lock()
		defer call.mu.Unlock()
		if call.writesAllowed > 0 && !charged {
			if charged = p.budget(service.Name).TakeExtra(now); !charged {
				overBudget = true
				return false
			}
		}
		if !call.tryMarkSent() {
			return false
		}
		call.writesAllowed++
		attempt.SentAt, writeAllowed = now, true
		return true
	}
	sendCtx, cancel := context.WithCancel(call.Ctx)
	defer cancel()
	if binding.Repeatable {
		// Hedged after half of the remaining time, but not within the first 400 ms.
		now := p.Clock.Now()
		go p.monitorAttempt(attempt, cmp.Or(service.Suspect, defaultSuspicion), now.Add(max(call.Remaining(now)/2, min(call.Remaining(now), 400*time.Millisecond))), cancel)
	}
	resp, written, err := p.Transport.Send(sendCtx, send)
	close(attempt.returned)
	attempt.release()
	call.mu.Lock()
	if written {
		call.MaybeRun++
		if call.Sends++; !charged {
			p.budget(service.Name).RecordFirst(attempt.SentAt)
		}
	} else if writeAllowed {
		call.writesAllowed--
	} else if overBudget && call.inFlight > 1 {
		// Does not count as an attempt: a call that waits for another target may be
		// sent to this one later.
		call.Attempts--
		call.Tried = lo.Without(call.Tried, target)
	}
	call.mu.Unlock()
	if err == nil {
		attempt.Response = resp
		attempt.problem = attempt.invalidReason()
	}
	if written && (err == nil || sendCtx.Err() == nil) {
		// Record a response, or none within the whole time; a cancelled send says nothing
		// about the target's latency.
		p.recordLatency(attempt, err == nil && attempt.problem == "")
	}
	if written {
		p.addStep(call, "send", target.Key(), send.SendID)
		p.Faults.Hit(fault.AfterSend)
	}
	if call.finished.Load() {
		return
	}
	if err == nil {
		if !p.check.Put(attempt) {
			p.doCheck(attempt)
		}
		return
	}
	p.addStep(call, "send failed", target.Key(), err.Error())
	p.Count("send-defect", service.Name)
	if p.Log != nil && !errors.Is(err, ErrSendCancelled) {
		p.Log.Warn("send failed", "step", "send", "mate", target.Key(), "call", call.ID, "left", written, "err", err)
	}
	p.endAttempt(call)
	switch {
	case overBudget:
		p.refuse(call, "the allowance for sending again is used up")
	case written && !binding.Repeatable:
		p.refuse(call, "the target took the request and gave no answer")
	default:
		p.retry(call, "no answer from the target")
	}
}

// stillAllowed reports whether a route sheet that came into force after the target was selected
// allows the same send.
func (p *Pipeline) stillAllowed(attempt *Attempt, table *spec.Table) bool {
	binding, match := table.Find(attempt.Call.Req.Method, attempt.Call.Req.URI[:pathEnd(attempt.Call.Req.URI)])
	return match == spec.Found && table.Services[binding.Service].Name == attempt.Target.Service && binding.Repeatable == attempt.Binding.Repeatable
}

// retry queues the call for selection again, under the route sheet now in force, unless
// another send is under way or about to start.
func (p *Pipeline) retry(call *Call, reason string) {
	now := p.Clock.Now()
	call.mu.Lock()
	active, attempts, mayHaveRun := call.inFlight > 0 || call.selecting, call.Attempts, call.MaybeRun
	call.selecting = call.selecting || !active
	call.mu.Unlock()
	if active {
		return
	}
	refuse := func() {
		p.endSelection(call)
		p.refuse(call, reason)
	}
	if call.Remaining(now) <= returnMargin || attempts >= maxAttempts {
		refuse()
		return
	}
	table, open := p.Sheets.Gate()
	if table != call.Table || !open {
		if call.state.Load() == stateWaiting {
			if !p.route.Put(call) {
				refuse()
			}
			return
		}
		if binding, match := table.Find(call.Req.Method, call.Req.URI[:pathEnd(call.Req.URI)]); match == spec.Found && (binding.Repeatable || mayHaveRun == 0) {
			call.Table, call.Binding = table, binding
		} else {
			refuse()
			return
		}
	}
	if !p.selection.Put(call) {
		refuse()
	}
}

// doCheck lets only a valid response through: it carries the target's own stamp for
// exactly this send, and the body is complete.
func (p *Pipeline) doCheck(attempt *Attempt) {
	call, target, resp := attempt.Call, attempt.Target, attempt.Response
	service, problem := target.Service, attempt.problem
	if problem != "" {
		p.addStep(call, "check", target.Key(), problem)
		p.Count("bad-answer", service)
		if p.Log != nil {
			p.Log.Warn("invalid response from a target", "step", "check", "mate", target.Key(), "call", call.ID, "why", problem)
		}
		p.endAttempt(call)
		if attempt.Binding.Repeatable {
			p.retry(call, "the target's answer was not proper: "+problem)
		} else {
			p.refuse(call, "the target's answer was not proper: "+problem)
		}
		return
	}
	// A valid response proves which run was at the address when the request was written.
	p.Targets.RecordProof(target, attempt.SentAt)
	if resp.Status == 503 && resp.NotRun {
		p.addStep(call, "check", target.Key(), "the target says: busy, not run")
		call.mu.Lock()
		call.MaybeRun--
		call.inFlight--
		call.mu.Unlock()
		p.retry(call, "the targets are busy")
		return
	}
	call.finish(resp, nil)
}

// allowClient applies the rate limit of a client and reports whether its call is within it. With
// maxClients tracked, further clients are not limited.
func (p *Pipeline) allowClient(name string, now time.Time) bool {
	if name == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	cl := p.clients[name]
	if cl == nil {
		if len(p.clients) >= maxClients {
			for k, v := range p.clients {
				if now.Sub(v.lastSeen) > 10*time.Second {
					delete(p.clients, k)
				}
			}
			if len(p.clients) >= maxClients {
				return true
			}
		}
		n := max(1, p.Gateways())
		cl = &client{limiter: rate.NewLimiter(rate.Limit(max(minClientRate, clientRate/n)), max(minClientBurst, clientBurst/n))}
		p.clients[name] = cl
	}
	cl.lastSeen = now
	return cl.limiter.AllowN(now, 1)
}
