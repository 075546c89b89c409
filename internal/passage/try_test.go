package passage

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/spec"
)

// deaf is a courier whose targets named in hang take every request and never answer,
// while the others answer after 5 ms. It notes what it carried.
type deaf struct {
	hang map[string]bool
	to   chan string
}

func (d deaf) Carry(ctx context.Context, s *Sending) (*Answer, bool, error) {
	if !s.Last() {
		return nil, false, ErrStopped
	}
	id, _, _ := strings.Cut(s.Target, ";")
	d.to <- id
	wait := 5 * time.Millisecond
	if d.hang[id] {
		wait = time.Hour
	}
	cx, end := context.WithDeadline(ctx, s.Expiry)
	defer end()
	select {
	case <-cx.Done():
		return nil, true, cx.Err()
	case <-time.After(wait):
	}
	return &Answer{Status: 200, Whole: true, Stamp: httpapi.Stamp{ID: id, Service: "s", Inc: 1, Request: s.Number}.String()}, true, nil
}

// retry is a passage of n targets of which the first k fall silent, in probes and
// requests alike, 100 ms before the calls come; call makes one that may be repeated
// or not, and tells its end, how long it took, and how many sendings there were.
func retry(t *testing.T, n, k int, spare bool, try func(call func(method string) (*Trip, time.Duration, int))) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(context.Background())
		p, ss := crowd(ctx, t, n)
		hear(p, ss, n, 1, 30)
		d := deaf{map[string]bool{}, make(chan string, 100)}
		for _, s := range ss[:k] {
			d.hang[s.ID] = true
		}
		// Proofs go on: silence alone is what is tried.
		for _, s := range ss {
			p.Roster.RecordProof(s, time.Now().Add(time.Hour))
		}
		go func() {
			for j := uint64(100); p.Clock.Sleep(ctx, 400*time.Millisecond) == nil; j++ {
				for _, s := range ss[k:] {
					s.Detector.RecordArrival(j, time.Now())
				}
			}
		}()
		var bs []spec.Binding
		for _, m := range []string{"GET", "POST"} {
			bs = append(bs, spec.Binding{Name: m, Service: "s", Methods: []string{m}, Path: "/s", ExpiryMS: 4000, Repeatable: m == "GET"})
		}
		p.Rack = sheet{spec.NewTable(1, spec.Sheet{Services: []spec.Service{{Name: "s"}}, Bindings: bs}.Sorted())}
		p.Courier, p.Gateways, p.ID = d, func() int { return 1 }, "f"
		p.born = time.Now().Add(-time.Minute)
		if b := p.budget("s"); !spare {
			b.mu.Lock()
			b.slot[b.cell(time.Now())].extra = 1000
			b.mu.Unlock()
		}
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		time.Sleep(100 * time.Millisecond)
		try(func(m string) (x *Trip, took time.Duration, sends int) {
			// Until the first choice falls on one that is silent.
			for range 100 {
				from := time.Now()
				x = p.Enter(ctx, "", "", &Request{Method: m, URI: "/s"})
				took, sends = time.Since(from), len(d.to)
				to := <-d.to
				for len(d.to) > 0 {
					<-d.to
				}
				if d.hang[to] {
					return x, took, sends
				}
			}
			t.Fatal("no call fell on a silent target")
			return nil, 0, 0
		})
		end()
		<-done
		time.Sleep(time.Second)
		for _, s := range ss {
			if s.InFlight.Load() != 0 {
				t.Errorf("%s still counts a sending", s.ID)
			}
		}
	})
}

// A target that falls silent while a repeatable request waits for it is suspected, and
// the request goes elsewhere long before half of its time is over; one that may not be
// repeated waits for its target to the end, and its outcome is unknown.
func TestSilenceSendsElsewhereOnlyWhatMayBeRepeated(t *testing.T) {
	retry(t, 6, 1, true, func(call func(string) (*Trip, time.Duration, int)) {
		x, took, sends := call("GET")
		if x.Out != nil || sends != 2 || took > 1300*time.Millisecond || took < 100*time.Millisecond {
			t.Errorf("a repeatable request: %+v after %s, %d sendings", x.Out, took, sends)
		}
	})
	retry(t, 6, 1, true, func(call func(string) (*Trip, time.Duration, int)) {
		x, took, sends := call("POST")
		if x.Out == nil || x.Out.Code != httpapi.Unknown || sends != 1 || took < 3900*time.Millisecond {
			t.Errorf("one that may not be repeated: %+v after %s, %d sendings", x.Out, took, sends)
		}
	})
}

// Where all fall silent at once, the fault is on this side: nothing is sent elsewhere
// for suspicion, only when half of the time is over.
func TestMassSilenceSendsNothingElsewhere(t *testing.T) {
	retry(t, 6, 6, true, func(call func(string) (*Trip, time.Duration, int)) {
		x, took, sends := call("GET")
		if x.Out == nil || sends > 2 || took < 3900*time.Millisecond {
			t.Errorf("%+v after %s, %d sendings", x.Out, took, sends)
		}
	})
}

// What the service's allowance does not give is not sent elsewhere either, and the
// first target's late answer would still count.
func TestElsewhereKeepsToTheAllowance(t *testing.T) {
	retry(t, 6, 1, false, func(call func(string) (*Trip, time.Duration, int)) {
		x, took, sends := call("GET")
		if x.Out == nil || sends != 1 || took < 3900*time.Millisecond {
			t.Errorf("%+v after %s, %d sendings", x.Out, took, sends)
		}
	})
}
