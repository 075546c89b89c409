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
	// SuspicionThreshold is the suspicion from which on a target counts as suspected, unless
	// its service sets another threshold for the gateways.
	SuspicionThreshold = 0.99
	// MaxProofAge bounds the age of the proof of a target's identity when a request is
	// written: an address may pass to another service after about 2 s.
	MaxProofAge = 1500 * time.Millisecond
	// viewTimeout bounds the wait for the gateways' views.
	viewTimeout = 300 * time.Millisecond
)

// GatewayViews sums up how the gateways that answered see one target run.
type GatewayViews struct {
	Gateways int // gateways that probe it
	Trusting int // gateways for which it answers and is not suspected
}

// TrustedByHalf reports whether at least half of the gateways that probe a target trust it.
func (w GatewayViews) TrustedByHalf() bool { return w.Gateways > 0 && 2*w.Trusting >= w.Gateways }

// CollectViews asks the gateways among ms for their views of the targets (design 10.7).
func CollectViews(ctx context.Context, transport link.Transport, ms []membership.Member) map[ledger.Target]GatewayViews {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[ledger.Target]GatewayViews{}
	askCtx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	for _, m := range ms {
		if m.Kind != "gateway" {
			continue
		}
		wg.Go(func() {
			r, err := link.Call[ViewTold](askCtx, transport, m.Inner, ViewAsk{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, v := range r.Views {
				t := ledger.Target{ID: v.ID, Service: v.Service, Incarnation: v.Inc}
				x := out[t]
				if x.Gateways++; v.Proved && v.W < SuspicionThreshold {
					x.Trusting++
				}
				out[t] = x
			}
		})
	}
	wg.Wait()
	return out
}

// Views returns this gateway's view of the targets that it probes.
func (g *GatewayTable) Views() (out []View) {
	now := g.Clock.Now()
	for _, ss := range g.All() {
		for _, s := range ss {
			if s.InSubset() {
				out = append(out, View{s.Service, s.ID, s.Inc, s.Detector.Suspicion(now), g.ProofAge(s, now) < MaxProofAge})
			}
		}
	}
	return out
}
