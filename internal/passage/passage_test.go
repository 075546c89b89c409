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

// sheet is a gate that is always open.
type sheet struct{ t *spec.Table }

func (s sheet) Gate() (*spec.Table, bool)                { return s.t, true }
func (s sheet) Wait(context.Context) (*spec.Table, bool) { return s.t, true }

// halves is a courier whose targets of one service answer at once, while those of
// the other take every request and never answer.
type halves struct{ hang string }

func (h halves) Carry(ctx context.Context, s *Sending) (*Answer, bool, error) {
	if !s.Last() {
		return nil, false, ErrStopped
	}
	p := strings.Split(s.Target, ";")
	if p[1] == h.hang {
		cx, end := context.WithDeadline(ctx, s.Expiry)
		defer end()
		<-cx.Done()
		return nil, true, cx.Err()
	}
	st := httpapi.Stamp{ID: p[0], Service: p[1], Inc: 1, Request: s.Number}
	return &Answer{Status: 200, Whole: true, Stamp: st.String()}, true, nil
}

// A service whose targets all hang takes nothing from the others, and what it can
// no longer take is refused at once, not at its expiry.
func TestHangingServiceLeavesTheOthersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 4
		ctx, end := context.WithCancel(context.Background())
		defer end()
		p, _ := crowd(ctx, t, 2)
		b := httpapi.Beat{ID: "u", Service: "u", Zone: "z1", Addr: "127.0.0.1:9", Capacity: slots, Seq: 1, Inc: 1}
		if err := p.Roster.MergeEntries(ctx, "u", []registry.Entry{{Beat: b}}); err != nil {
			t.Fatal(err)
		}
		hear(p, append(p.Roster.Targets("s"), p.Roster.Targets("u")...), 3, 1, 3)
		var bs []spec.Binding
		for _, n := range []string{"s", "u"} {
			bs = append(bs, spec.Binding{Name: n, Service: n, Methods: []string{"POST"}, Path: "/" + n, ExpiryMS: 1200})
		}
		p.Rack = sheet{spec.NewTable(1, spec.Sheet{Services: []spec.Service{{Name: "s"}, {Name: "u"}}, Bindings: bs}.Sorted())}
		p.Courier, p.Gateways, p.ID = halves{"s"}, func() int { return 1 }, "f"
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		var wg sync.WaitGroup
		var mu sync.Mutex
		atOnce, hung, served := 0, 0, 0
		enter := func(path string) {
			wg.Go(func() {
				from := time.Now()
				x := p.Enter(ctx, "", "", &Request{Method: "POST", URI: path})
				took := time.Since(from)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case x.Out == nil && path == "/u" && took < 10*time.Millisecond:
					served++
				case path == "/s" && x.Out.Code == httpapi.BusyNotRun && x.Out.Retry > 0 && took < roomWaits*waitTime+10*time.Millisecond:
					atOnce++
				case path == "/s" && x.Out.Code == httpapi.Unknown:
					hung++
				default:
					t.Errorf("%s: %+v after %s", path, x.Out, took)
				}
			})
		}
		for range 500 {
			enter("/s")
		}
		time.Sleep(100 * time.Millisecond)
		// As many at once as the target has slots, and the next once those are through. Of a
		// hundred in one instant some find the room and the places of the wait taken, and
		// are refused at once; how many do depends on the order of the goroutines within
		// that instant. What must hold of such a crowd is checked below.
		for range 25 {
			for range slots {
				enter("/u")
			}
			time.Sleep(time.Millisecond)
		}
		// A crowd for the sound service: each is served or refused, all at once.
		crowded, turnedAway := 0, 0
		for range 100 {
			wg.Go(func() {
				from := time.Now()
				x := p.Enter(ctx, "", "", &Request{Method: "POST", URI: "/u"})
				took := time.Since(from)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case x.Out == nil && took <= roomWaits*waitTime:
					crowded++
				case x.Out != nil && x.Out.Code == httpapi.BusyNotRun && x.Out.Retry > 0 && took <= roomWaits*waitTime:
					turnedAway++
				default:
					t.Errorf("one of a crowd: %+v after %s", x.Out, took)
				}
			})
		}
		wg.Wait()
		if served != 100 || hung == 0 || hung > laneWide || atOnce != 500-hung {
			t.Errorf("%d of 100 served, %d hung, %d refused at once", served, hung, atOnce)
		}
		if crowded < slots || crowded+turnedAway != 100 {
			t.Errorf("of a crowd of 100 %d were served and %d refused", crowded, turnedAway)
		}
		// Nothing is left counted.
		for _, s := range append(p.Roster.Targets("s"), p.Roster.Targets("u")...) {
			if n := s.InFlight.Load(); n != 0 {
				t.Errorf("%s still counts %d sendings", s.ID, n)
			}
		}
		if n := p.lane("s").all.Load() + p.lane("u").all.Load(); n != 0 {
			t.Errorf("the lanes still count %d", n)
		}
		end()
		<-done
	})
}
