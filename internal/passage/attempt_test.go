package passage

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/http1"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/spec"
)

// hangingTargets is a transport on which the targets in silent accept every request and
// never respond, while the others respond after 5 ms. It records the targets sent to.
type hangingTargets struct {
	silent map[string]bool
	sentTo chan string
}

func (d hangingTargets) Send(ctx context.Context, s *SendRequest) (*Response, bool, error) {
	if !s.BeforeWrite() {
		return nil, false, ErrSendCancelled
	}
	id, _, _ := strings.Cut(s.Target, ";")
	d.sentTo <- id
	wait := 5 * time.Millisecond
	if d.silent[id] {
		wait = time.Hour
	}
	sendCtx, cancel := context.WithDeadline(ctx, s.Expiry)
	defer cancel()
	select {
	case <-sendCtx.Done():
		return nil, true, sendCtx.Err()
	case <-time.After(wait):
	}
	return &Response{Status: 200, Complete: true, Stamp: httpapi.Stamp{ID: id, Service: "s", Inc: 1, Request: s.SendID}.String()}, true, nil
}

// withSilentTargets runs try on a pipeline of n targets. The first k become silent, to
// probes and requests alike, 100 ms before the calls. try gets a function that makes a
// repeatable (GET) or non-repeatable (POST) call and returns its result, its duration and the
// number of sends. Without hasBudget the retry budget is used up.
func withSilentTargets(t *testing.T, n, k int, hasBudget bool, try func(call func(method string) (*Call, time.Duration, int))) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p, targets := newTestPipeline(ctx, t, n)
		recordArrivals(p, targets, n, 1, 30)
		transport := hangingTargets{map[string]bool{}, make(chan string, 100)}
		for _, s := range targets[:k] {
			transport.silent[s.ID] = true
		}
		// Identity proofs continue: only silence is tested.
		for _, s := range targets {
			p.Targets.RecordProof(s, time.Now().Add(time.Hour))
		}
		go func() {
			for j := uint64(100); p.Clock.Sleep(ctx, 400*time.Millisecond) == nil; j++ {
				for _, s := range targets[k:] {
					s.Detector.RecordArrival(j, time.Now())
				}
			}
		}()
		var bindings []spec.Binding
		for _, m := range []string{"GET", "POST"} {
			bindings = append(bindings, spec.Binding{Name: m, Service: "s", Methods: []string{m}, Path: "/s", ExpiryMS: 4000, Repeatable: m == "GET"})
		}
		p.Sheets = fixedSheet{spec.NewTable(1, spec.Sheet{Services: []spec.Service{{Name: "s"}}, Bindings: bindings}.Sorted())}
		p.Transport, p.Gateways, p.ID = transport, func() int { return 1 }, "f"
		p.startedAt = time.Now().Add(-time.Minute)
		if b := p.budget("s"); !hasBudget {
			b.mu.Lock()
			b.slots[b.slotIndex(time.Now())].extra = 1000
			b.mu.Unlock()
		}
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		try(func(m string) (x *Call, took time.Duration, sends int) {
			// Repeats until the first selection falls on a silent target.
			for range 100 {
				from := time.Now()
				x = p.Handle(ctx, "", "", &Request{Method: m, URI: "/s"})
				took, sends = time.Since(from), len(transport.sentTo)
				to := <-transport.sentTo
				for len(transport.sentTo) > 0 {
					<-transport.sentTo
				}
				if transport.silent[to] {
					return x, took, sends
				}
			}
			t.Fatal("no call was sent to a silent target")
			return nil, 0, 0
		})
		cancel()
		<-done
		time.Sleep(time.Second)
		for _, s := range targets {
			if s.InFlight.Load() != 0 {
				t.Errorf("%s still counts a send", s.ID)
			}
		}
	})
}

// A target that becomes silent while a repeatable request waits for it is suspected, and
// the request is sent to another target well before half of its time has passed. A
// non-repeatable request waits for its target until the expiry, and its outcome is unknown.
func TestSilenceSendsElsewhereOnlyWhatMayBeRepeated(t *testing.T) {
	withSilentTargets(t, 6, 1, true, func(call func(string) (*Call, time.Duration, int)) {
		x, took, sends := call("GET")
		if x.ErrorResponse != nil || sends != 2 || took > 1300*time.Millisecond || took < 100*time.Millisecond {
			t.Errorf("a repeatable request: %+v after %s, %d sends", x.ErrorResponse, took, sends)
		}
	})
	withSilentTargets(t, 6, 1, true, func(call func(string) (*Call, time.Duration, int)) {
		x, took, sends := call("POST")
		if x.ErrorResponse == nil || x.ErrorResponse.Code != httpapi.OutcomeUnknown || sends != 1 || took < 3900*time.Millisecond {
			t.Errorf("a non-repeatable request: %+v after %s, %d sends", x.ErrorResponse, took, sends)
		}
	})
}

// If all targets become silent at once, the fault is at this node: no request is hedged
// for suspicion, only after half of its time.
func TestMassSilenceSendsNothingElsewhere(t *testing.T) {
	withSilentTargets(t, 6, 6, true, func(call func(string) (*Call, time.Duration, int)) {
		x, took, sends := call("GET")
		if x.ErrorResponse == nil || sends > 2 || took < 3900*time.Millisecond {
			t.Errorf("%+v after %s, %d sends", x.ErrorResponse, took, sends)
		}
	})
}

// A request is not hedged if the retry budget of its service is used up, and it keeps
// waiting for the first target's response.
func TestElsewhereKeepsToTheAllowance(t *testing.T) {
	withSilentTargets(t, 6, 1, false, func(call func(string) (*Call, time.Duration, int)) {
		x, took, sends := call("GET")
		if x.ErrorResponse == nil || sends != 1 || took < 3900*time.Millisecond {
			t.Errorf("%+v after %s, %d sends", x.ErrorResponse, took, sends)
		}
	})
}

// failingTargets is a transport on which each target fails at once, in the way that respond gives.
type failingTargets struct {
	respond func(s *SendRequest) (*Response, error)
}

func (f failingTargets) Send(_ context.Context, s *SendRequest) (*Response, bool, error) {
	if !s.BeforeWrite() {
		return nil, false, ErrSendCancelled
	}
	time.Sleep(time.Millisecond)
	response, err := f.respond(s)
	return response, true, err
}

// A send without a valid response counts against the target like silence, however soon it fails: a target that breaks its
// responses must not look like a fast one.
func TestInvalidResponsesDoNotLookFast(t *testing.T) {
	const expiry = 3 * time.Second
	stamp := func(s *SendRequest) string {
		return httpapi.Stamp{ID: "t0", Service: "s", Inc: 1, Request: s.SendID, Length: -1}.String()
	}
	for name, c := range map[string]struct {
		respond func(s *SendRequest) (*Response, error)
		fast    bool
	}{
		"valid": {func(s *SendRequest) (*Response, error) {
			return &Response{Status: 200, Complete: true, Stamp: stamp(s)}, nil
		}, true},
		"malformed":  {func(*SendRequest) (*Response, error) { return nil, http1.ErrStatusLine }, false},
		"broken off": {func(*SendRequest) (*Response, error) { return nil, io.ErrUnexpectedEOF }, false},
		"no stamp":   {func(*SendRequest) (*Response, error) { return &Response{Status: 200, Complete: true}, nil }, false},
		"no end":     {func(s *SendRequest) (*Response, error) { return &Response{Status: 200, Stamp: stamp(s)}, nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				p, targets := newTestPipeline(ctx, t, 1)
				recordArrivals(p, targets, 1, 1, 3)
				binding := spec.Binding{Name: "b", Service: "s", Methods: []string{"POST"}, Path: "/s", ExpiryMS: int(expiry.Milliseconds())}
				p.Sheets = fixedSheet{spec.NewTable(1, spec.Sheet{Services: []spec.Service{{Name: "s"}}, Bindings: []spec.Binding{binding}}.Sorted())}
				p.Transport, p.ID = failingTargets{c.respond}, "f"
				done := make(chan struct{})
				go func() { p.Run(ctx); close(done) }()
				call := p.Handle(ctx, "", "", &Request{Method: "POST", URI: "/s"})
				if (call.ErrorResponse == nil) != c.fast {
					t.Errorf("%+v", call.ErrorResponse)
				}
				if got := targets[0].MeanLatency(); c.fast != (got < expiry/2) {
					t.Errorf("the target's latency is taken for %s", got)
				}
				cancel()
				<-done
				time.Sleep(time.Second)
			})
		})
	}
}
