package passage

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
)

// fixedSheet is a gate that is always open.
type fixedSheet struct{ t *spec.Table }

func (s fixedSheet) Gate() (*spec.Table, bool)                { return s.t, true }
func (s fixedSheet) Wait(context.Context) (*spec.Table, bool) { return s.t, true }

// hangingService is a transport on which the targets of one service accept every request
// and never respond, while all others respond at once.
type hangingService struct{ service string }

func (h hangingService) Send(ctx context.Context, s *SendRequest) (*Response, bool, error) {
	if !s.BeforeWrite() {
		return nil, false, ErrSendCancelled
	}
	p := strings.Split(s.Target, ";")
	if p[1] == h.service {
		sendCtx, cancel := context.WithDeadline(ctx, s.Expiry)
		defer cancel()
		<-sendCtx.Done()
		return nil, true, sendCtx.Err()
	}
	st := httpapi.Stamp{ID: p[0], Service: p[1], Inc: 1, Request: s.SendID}
	return &Response{Status: 200, Complete: true, Stamp: st.String()}, true, nil
}

// A service whose targets all hang must not use up the capacity of other services, and its
// excess requests must be refused at once, not at their expiry.
func TestHangingServiceLeavesTheOthersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 4
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p, _ := newTestPipeline(ctx, t, 2)
		b := httpapi.Beat{ID: "u", Service: "u", Zone: "z1", Addr: "127.0.0.1:9", Capacity: slots, Seq: 1, Inc: 1}
		if err := p.Targets.MergeEntries(ctx, "u", []registry.Entry{{Beat: b}}); err != nil {
			t.Fatal(err)
		}
		recordArrivals(p, append(p.Targets.Targets("s"), p.Targets.Targets("u")...), 3, 1, 3)
		var bindings []spec.Binding
		for _, n := range []string{"s", "u"} {
			bindings = append(bindings, spec.Binding{Name: n, Service: n, Methods: []string{"POST"}, Path: "/" + n, ExpiryMS: 1200})
		}
		p.Sheets = fixedSheet{spec.NewTable(1, spec.Sheet{Services: []spec.Service{{Name: "s"}, {Name: "u"}}, Bindings: bindings}.Sorted())}
		p.Transport, p.Gateways, p.ID = hangingService{"s"}, func() int { return 1 }, "f"
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused, hung, served := 0, 0, 0
		startCall := func(path string) {
			wg.Go(func() {
				start := time.Now()
				call := p.Handle(ctx, "", "", &Request{Method: "POST", URI: path})
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case call.ErrorResponse == nil && path == "/u" && took < 10*time.Millisecond:
					served++
				case path == "/s" && call.ErrorResponse.Code == httpapi.BusyNotRun && call.ErrorResponse.RetryDelay > 0 && took < maxCapacityWaits*waitInterval+10*time.Millisecond:
					refused++
				case path == "/s" && call.ErrorResponse.Code == httpapi.OutcomeUnknown:
					hung++
				default:
					t.Errorf("%s: %+v after %s", path, call.ErrorResponse, took)
				}
			})
		}
		for range 500 {
			startCall("/s")
		}
		time.Sleep(100 * time.Millisecond)
		// As many at once as the target has slots, and the next batch once those are done.
		// Among a hundred in one instant, some find the limit and the waiting places taken
		// and are refused at once; how many depends on the order of the goroutines within
		// that instant. What must hold for such a burst is checked below.
		for range 25 {
			for range slots {
				startCall("/u")
			}
			time.Sleep(time.Millisecond)
		}
		// A burst for the healthy service: each request is served or refused promptly.
		burstServed, burstRefused := 0, 0
		for range 100 {
			wg.Go(func() {
				start := time.Now()
				call := p.Handle(ctx, "", "", &Request{Method: "POST", URI: "/u"})
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case call.ErrorResponse == nil && took <= maxCapacityWaits*waitInterval:
					burstServed++
				case call.ErrorResponse != nil && call.ErrorResponse.Code == httpapi.BusyNotRun && call.ErrorResponse.RetryDelay > 0 && took <= maxCapacityWaits*waitInterval:
					burstRefused++
				default:
					t.Errorf("a request of the burst: %+v after %s", call.ErrorResponse, took)
				}
			})
		}
		wg.Wait()
		if served != 100 || hung == 0 || hung > maxServiceSends || refused != 500-hung {
			t.Errorf("%d of 100 served, %d hung, %d refused at once", served, hung, refused)
		}
		if burstServed < slots || burstServed+burstRefused != 100 {
			t.Errorf("of a burst of 100, %d were served and %d refused", burstServed, burstRefused)
		}
		// All counts must return to zero.
		for _, s := range append(p.Targets.Targets("s"), p.Targets.Targets("u")...) {
			if n := s.InFlight.Load(); n != 0 {
				t.Errorf("%s still counts %d sends", s.ID, n)
			}
		}
		if n := p.limiter("s").inFlight.Load() + p.limiter("u").inFlight.Load(); n != 0 {
			t.Errorf("the limiters still count %d", n)
		}
		cancel()
		<-done
	})
}
