package registry

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
)

const (
	// SuspectAt is the suspicion from which a target counts as suspected, unless its
	// service says otherwise to the gateways.
	SuspectAt = 0.99
	// Fresh is how old a proof of a target's identity may be when a request is
	// written: addresses pass to another service after about 2 s.
	Fresh = 1500 * time.Millisecond
	// viewTime bounds the wait for the gateways' views.
	viewTime = 300 * time.Millisecond
)

// Watched is how the gateways that answered see one target run.
type Watched struct {
	Gateways int // that probe it
	Trusting int // that it answers, unsuspected
}

// Vouched tells whether at least half of the gateways that probe a target trust it.
func (w Watched) Vouched() bool { return w.Gateways > 0 && 2*w.Trusting >= w.Gateways }

// Views gathers how the gateways among ms see the targets (design 10.7).
func Views(ctx context.Context, l link.Line, ms []membership.Member) map[ledger.Target]Watched {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[ledger.Target]Watched{}
	cx, end := context.WithTimeout(ctx, viewTime)
	defer end()
	for _, m := range ms {
		if m.Kind != "gateway" {
			continue
		}
		wg.Go(func() {
			r, err := link.Call[ViewTold](cx, l, m.Inner, ViewAsk{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, v := range r.Views {
				t := ledger.Target{ID: v.ID, Service: v.Service, Inc: v.Inc}
				x := out[t]
				if x.Gateways++; v.Proved && v.W < SuspectAt {
					x.Trusting++
				}
				out[t] = x
			}
		})
	}
	wg.Wait()
	return out
}

// Views tells how this gateway sees the targets that it probes.
func (r *Roster) Views() (out []View) {
	now := r.Clock.Now()
	for _, ss := range r.All() {
		for _, s := range ss {
			if s.Near() {
				out = append(out, View{s.Service, s.ID, s.Inc, s.Det.Suspicion(now), r.Age(s, now) < Fresh})
			}
		}
	}
	return out
}
