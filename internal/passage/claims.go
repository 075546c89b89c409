package passage

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"walkrudder/internal/claim"
	"walkrudder/internal/httpapi"
)

// Claims takes and ends claims at the controllers.
type Claims interface {
	Take(ctx context.Context, a claim.TakeAsk) (claim.TakeTold, error)
	End(ctx context.Context, a claim.EndAsk) error
}

const (
	// claimWorkers bounds the claims under way at one gateway.
	claimWorkers = 64
	// endTime is how long a claim's end is tried for.
	endTime = 20 * time.Second
)

// needsClaim tells whether t must be claimed before it may be sent.
func (p *Passage) needsClaim(t *Trip) bool {
	return p.Claims != nil && !t.Bound.Repeatable && t.Key != ""
}

// print tells requests apart that come under one key.
func (r *Request) print() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %d\n", r.Method, r.URI, len(r.Body))
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// doClaim claims the caller's key for this call, or tells what became of the
// earlier call under it (design 17).
func (p *Passage) doClaim(t *Trip) {
	if len(t.Key) > claim.MaxKey {
		p.verdict(t, httpapi.ErrorResponse{Status: 400, Code: httpapi.Malformed, Reason: fmt.Sprintf("%s is longer than %d", httpapi.KeyHeader, claim.MaxKey)})
		return
	}
	t.Claim = t.Client + "\x00" + t.Key
	t.asked.Store(true)
	cx, end := context.WithDeadline(t.Ctx, t.Expiry.Add(-slack))
	r, err := p.Claims.Take(cx, claim.TakeAsk{Key: t.Claim, Call: t.Call, Print: t.Req.print()})
	end()
	if r.OK {
		t.owned.Store(true)
		p.step(t, "claim", "", "the key is this call's")
	}
	switch {
	case t.over.Load():
		// The caller was told "not run" meanwhile; what was claimed goes back.
		p.endClaim(t, claim.EndAsk{Key: t.Claim, Call: t.Call})
	case err != nil:
		p.refuse(t, "its key cannot be claimed now")
	case r.OK:
		p.toElect(t, "the queue before the choice is full")
	default:
		t.asked.Store(false)
		p.verdict(t, earlier(r.State, t.Req.print()))
	}
}

// notRun is the verdict on a call that was not and will not be sent. Under a key
// whose claim is not this call's, an earlier call may have run: then "not run"
// would be a lie about the request.
func (p *Passage) notRun(t *Trip, why string) *httpapi.ErrorResponse {
	v := busy(why, cmp.Or(t.Retry, time.Second))
	if p.Claims != nil && t.Key != "" && !t.free && !t.owned.Load() {
		v.Code, v.Reason = httpapi.OutcomeUnknown, why+"; whether an earlier call under this key ran is not known"
	}
	return v
}

// verdict ends a trip that was never sent.
func (p *Passage) verdict(t *Trip, v httpapi.ErrorResponse) {
	if t.drop() {
		t.finish(nil, &v)
	}
}

// earlier is the answer to a call whose key another call has.
func earlier(s claim.State, print string) httpapi.ErrorResponse {
	switch {
	case s.Print != print:
		return httpapi.ErrorResponse{Status: 422, Code: httpapi.KeyReused, Reason: "this key was used for another request, call " + s.Call}
	case s.State == claim.Ended:
		return httpapi.ErrorResponse{Status: 409, Code: httpapi.AlreadyRun, Reason: fmt.Sprintf("call %s under this key ran and was answered with status %d", s.Call, s.Status)}
	}
	return httpapi.ErrorResponse{Status: 409, Code: httpapi.OutcomeUnknown, Reason: "call " + s.Call + " under this key is under way, or its outcome is unknown", RetryDelay: 2 * time.Second}
}

// closeClaim tells the controllers how a claimed call ended: given back where nothing
// ran and nothing will, ended where it was answered; an unknown outcome keeps the
// key for as long as keys are kept.
func (p *Passage) closeClaim(t *Trip) {
	if !t.asked.Load() {
		return
	}
	a := claim.EndAsk{Key: t.Claim, Call: t.Call}
	switch {
	case t.Answer != nil && t.Out == nil:
		a.Ran, a.Status = true, t.Answer.Status
	case t.Out != nil && (t.state.Load() == dropped || t.Out.Code == httpapi.BusyNotRun):
	default:
		return
	}
	p.endClaim(t, a)
}

// endClaim tries until it is done; the caller has his answer already.
func (p *Passage) endClaim(t *Trip, a claim.EndAsk) {
	go func() {
		cx, end := context.WithTimeout(t.Ctx, endTime)
		defer end()
		for {
			// A claim that was answered with an error may still arrive: what is given
			// back is given back twice.
			err := p.Claims.End(cx, a)
			if err == nil && a.Ran {
				return
			}
			if p.Clock.Sleep(cx, 500*time.Millisecond) != nil {
				return
			}
			if err == nil {
				_ = p.Claims.End(cx, a)
				return
			}
		}
	}()
}
