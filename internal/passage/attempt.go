package passage

import (
	"fmt"
	"strconv"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
)

// Attempt is one send of a call to one target. A repeatable request can have several
// under way (design 13.14).
type Attempt struct {
	Call     *Call
	Target   *registry.Target
	Num      int // among the call's attempts, from 1
	Table    *spec.Table
	Binding  *spec.CompiledBinding
	Response *Response
	SentAt   time.Time

	problem      string // why Response is invalid; "" if it is valid
	limiter      *ServiceLimiter
	pausedBefore time.Duration // total pauses of this process before the send
	returned     chan struct{} // closed when the transport has returned
}

// recordLatency records how long the target took, unless this process itself was suspended in the meantime. A send without
// a valid response counts like silence until the expiry: that it failed soon does not show that the target is fast.
func (p *Pipeline) recordLatency(attempt *Attempt, valid bool) {
	if p.Targets.Pauses.Total() != attempt.pausedBefore {
		return
	}
	took := p.Clock.Now().Sub(attempt.SentAt)
	if !valid {
		took = max(took, attempt.Call.Expiry.Sub(attempt.SentAt))
	}
	attempt.Target.ObserveLatency(took, slowWeight, fastWeight)
}

// invalidReason returns why the response is not the target's own complete response to exactly this send, "" if it is.
func (a *Attempt) invalidReason() string {
	target, resp := a.Target, a.Response
	stamp, err := httpapi.ParseStamp(resp.Stamp)
	switch {
	case resp.Stamp == "":
		return "no stamp"
	case err != nil:
		return err.Error()
	case stamp.ID != target.ID || stamp.Service != target.Service || stamp.Inc != target.Inc:
		return "stamp of another target"
	case stamp.Request != a.sendID():
		return "stamp for another request"
	case !resp.Complete:
		return "body without a known end"
	case stamp.Length >= 0 && a.Call.Req.Method != "HEAD" && stamp.Length != len(resp.Body):
		return fmt.Sprintf("body of %d bytes, stamped %d", len(resp.Body), stamp.Length)
	}
	return ""
}

// sendID identifies this send in the target's stamp.
func (a *Attempt) sendID() string { return a.Call.ID + "." + strconv.Itoa(a.Num) }

// release removes a send from the counts of sends in flight.
func (a *Attempt) release() {
	a.Target.InFlight.Add(-1)
	a.limiter.release(a.Binding.Name)
}

const (
	// suspicionPoll is the interval at which a target's suspicion is read while a repeatable
	// request waits for it; suspicion grows over hundreds of milliseconds.
	suspicionPoll = 20 * time.Millisecond
	// hedgeRetryDelay is the time until the next hedge is tried, since the retry budget that
	// refused one grows with requests.
	hedgeRetryDelay = 200 * time.Millisecond
)

// monitorAttempt watches the target while a repeatable request waits for it. It sends the
// request to another target if this one is suspected, has been removed, or has not responded
// by hedgeAt. It cancels the send when the call has finished.
func (p *Pipeline) monitorAttempt(attempt *Attempt, suspicionLimit float64, hedgeAt time.Time, cancel func()) {
	var nextHedge time.Time
	for {
		timer, stop := p.Clock.After(suspicionPoll)
		select {
		case <-attempt.returned:
			stop()
			return
		case <-attempt.Call.done:
			stop()
			cancel()
			return
		case <-timer:
		}
		now := p.Clock.Now()
		reason := ""
		switch suspicion := attempt.Target.Detector.Suspicion(now); {
		case now.Before(nextHedge):
		case suspicion >= suspicionLimit:
			reason = "the target is suspected while it is waited for"
		case attempt.Target.Gone.Load():
			reason = "the target was let go while it was waited for"
		case !now.Before(hedgeAt):
			reason = "the target has taken half of the time left"
		}
		if reason != "" {
			nextHedge = now.Add(hedgeRetryDelay)
			p.hedge(attempt, reason)
		}
	}
}

// hedge queues a call for another selection while its send is still under way, unless another
// attempt has already replaced this one.
func (p *Pipeline) hedge(attempt *Attempt, reason string) {
	call := attempt.Call
	call.mu.Lock()
	ok := !call.finished.Load() && !call.selecting && (call.inFlight == 1 || attempt.Num == call.Attempts) && call.Attempts < maxAttempts && call.Remaining(p.Clock.Now()) > returnMargin
	call.selecting = call.selecting || ok
	call.mu.Unlock()
	if !ok {
		return
	}
	p.addStep(call, "elsewhere", "", reason)
	if !p.selection.Put(call) {
		p.endSelection(call)
		p.refuse(call, reason)
	}
}

// endSelection marks a selection as ended without a send.
func (p *Pipeline) endSelection(call *Call) {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.selecting = false
}

// endAttempt decrements the number of sends under way.
func (p *Pipeline) endAttempt(call *Call) {
	call.mu.Lock()
	defer call.mu.Unlock()
	call.inFlight--
}
