package commands

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/registry"
	"walkrudder/internal/steperr"
)

// HeartbeatReceiver forwards heartbeats to the home controllers of their service.
type HeartbeatReceiver struct {
	Registry   *registry.HomeTable
	Membership *membership.LeaseClient
	Transport  link.Transport
	NodeID     string
	Drainer    *Drainer
}

// Receive forwards a heartbeat to the service's home controller in every zone. If no home
// answers, it is recorded in this controller's own registry. A heartbeat that announces
// leaving returns only once no gateway selects the target any more.
func (h *HeartbeatReceiver) Receive(ctx context.Context, beat httpapi.Beat) (registry.BeatTold, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var response registry.BeatTold
	merge := func(r registry.BeatTold, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && r.OK {
			response.OK, response.Seq, response.Gone = true, max(response.Seq, r.Seq), response.Gone || r.Gone
		}
	}
	for _, m := range registry.Homes(beat.Service, h.Membership.Members()) {
		wg.Go(func() {
			if m.ID == h.NodeID {
				merge(h.Registry.MergeBeat(ctx, beat))
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
			defer cancel()
			merge(link.Call[registry.BeatTold](callCtx, h.Transport, m.Inner, registry.BeatAsk{Beat: beat}))
		})
	}
	if beat.Leaving {
		if err := h.Drainer.MarkLeaving(ctx, beat); err != nil {
			// Requests to homes may still be running and write to response.
			return registry.BeatTold{}, steperr.Wrap("leaving", beat.ID, err)
		}
	}
	wg.Wait()
	if !response.OK {
		var err error
		if response, err = h.Registry.MergeBeat(ctx, beat); err != nil {
			return response, steperr.Wrap("take beat", beat.ID, err)
		}
	}
	return response, nil
}
