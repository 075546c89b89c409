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

// Claims makes and ends claims on idempotency keys.
type Claims interface {
	Take(ctx context.Context, a claim.TakeAsk) (claim.TakeTold, error)
	End(ctx context.Context, a claim.EndAsk) error
}

const (
	// maxClaims bounds the concurrent claim requests of one gateway.
	maxClaims = 64
	// endClaimTimeout bounds how long ending a claim is retried.
	endClaimTimeout = 20 * time.Second
)

// needsClaim reports whether call must be claimed before it may be sent.
func (p *Pipeline) needsClaim(call *Call) bool {
	return p.Claims != nil && !call.Binding.Repeatable && call.Key != ""
}

// fingerprint distinguishes different requests that come under the same key.
func (r *Request) fingerprint() string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %d\n", r.Method, r.URI, len(r.Body))
	_, _ = h.Write(r.Body)
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// doClaim claims the caller's key for this call, or reports the outcome of the earlier
// call under it (design 17).
func (p *Pipeline) doClaim(call *Call) {
	if len(call.Key) > claim.MaxKey {
		p.reject(call, httpapi.ErrorResponse{Status: 400, Code: httpapi.Malformed, Reason: fmt.Sprintf("%s is longer than %d", httpapi.KeyHeader, claim.MaxKey)})
		return
	}
	call.ClaimKey = call.Client + "\x00" + call.Key
	call.claimMayExist.Store(true)
	claimCtx, cancel := context.WithDeadline(call.Ctx, call.Expiry.Add(-returnMargin))
	reply, err := p.Claims.Take(claimCtx, claim.TakeAsk{Key: call.ClaimKey, Call: call.ID, Print: call.Req.fingerprint()})
	cancel()
	if reply.OK {
		call.claimOwned.Store(true)
		p.addStep(call, "claim", "", "the key is this call's")
	}
	switch {
	case call.finished.Load():
		// The caller was answered "not run" in the meantime, so a claim obtained is released.
		p.endClaim(call, claim.EndAsk{Key: call.ClaimKey, Call: call.ID})
	case err != nil:
		p.refuse(call, "its key cannot be claimed now")
	case reply.OK:
		p.enqueueSelection(call, "the queue before the choice is full")
	default:
		call.claimMayExist.Store(false)
		p.reject(call, earlierCallResponse(reply.State, call.Req.fingerprint()))
	}
}

// notRun returns the response to a call that was not and will not be sent. If the claim on
// its key is not this call's, an earlier call may have run, and "not run" would be wrong
// for the request.
func (p *Pipeline) notRun(call *Call, reason string) *httpapi.ErrorResponse {
	response := busyResponse(reason, cmp.Or(call.RetryAfter, time.Second))
	if p.Claims != nil && call.Key != "" && !call.repeatable && !call.claimOwned.Load() {
		response.Code, response.Reason = httpapi.OutcomeUnknown, reason+"; whether an earlier call under this key ran is not known"
	}
	return response
}

// reject answers a call with response, unless a send may already have written.
func (p *Pipeline) reject(call *Call, response httpapi.ErrorResponse) {
	if call.tryMarkNotSent() {
		call.finish(nil, &response)
	}
}

// earlierCallResponse returns the response to a call whose key is claimed by another call.
func earlierCallResponse(s claim.State, fingerprint string) httpapi.ErrorResponse {
	switch {
	case s.Print != fingerprint:
		return httpapi.ErrorResponse{Status: 422, Code: httpapi.KeyReused, Reason: "this key was used for another request, call " + s.Call}
	case s.State == claim.Ended:
		return httpapi.ErrorResponse{Status: 409, Code: httpapi.AlreadyRun, Reason: fmt.Sprintf("call %s under this key ran and was answered with status %d", s.Call, s.Status)}
	}
	return httpapi.ErrorResponse{Status: 409, Code: httpapi.OutcomeUnknown, Reason: "call " + s.Call + " under this key is under way, or its outcome is unknown", RetryDelay: 2 * time.Second}
}

// closeClaim ends the claim of a call that has finished. The claim is released if nothing ran
// and nothing will, and marked as ended if the call was answered. With an unknown outcome the
// key stays claimed for as long as keys are kept.
func (p *Pipeline) closeClaim(call *Call) {
	if !call.claimMayExist.Load() {
		return
	}
	a := claim.EndAsk{Key: call.ClaimKey, Call: call.ID}
	switch {
	case call.Response != nil && call.ErrorResponse == nil:
		a.Ran, a.Status = true, call.Response.Status
	case call.ErrorResponse != nil && (call.state.Load() == stateNotSent || call.ErrorResponse.Code == httpapi.BusyNotRun):
	default:
		return
	}
	p.endClaim(call, a)
}

// endClaim retries in the background until the claim is ended or endClaimTimeout has passed;
// the caller already has its answer.
func (p *Pipeline) endClaim(call *Call, a claim.EndAsk) {
	go func() {
		endCtx, cancel := context.WithTimeout(call.Ctx, endClaimTimeout)
		defer cancel()
		for {
			// A claim request that returned an error may still be carried out later, so a
			// release is sent twice.
			err := p.Claims.End(endCtx, a)
			if err == nil && a.Ran {
				return
			}
			if p.Clock.Sleep(endCtx, 500*time.Millisecond) != nil {
				return
			}
			if err == nil {
				_ = p.Claims.End(endCtx, a)
				return
			}
		}
	}()
}
