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

// Beater hands beats on to the homes of their service.
type Beater struct {
	House   *registry.House
	Tenant  *membership.Tenant
	Line    link.Line
	Me      string
	Drainer *Drainer
}

// Take hands a beat to the service's home in every zone; where none answers, to
// this controller's own house. A leaving beat returns only once no gateway elects the
// target.
func (b *Beater) Take(ctx context.Context, t httpapi.Beat) (registry.BeatTold, error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var told registry.BeatTold
	take := func(r registry.BeatTold, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err == nil && r.OK {
			told.OK, told.Seq, told.Gone = true, max(told.Seq, r.Seq), told.Gone || r.Gone
		}
	}
	for _, m := range registry.Homes(t.Service, b.Tenant.Members()) {
		wg.Go(func() {
			if m.ID == b.Me {
				take(b.House.Take(ctx, t))
				return
			}
			cx, end := context.WithTimeout(ctx, 500*time.Millisecond)
			defer end()
			take(link.Call[registry.BeatTold](cx, b.Line, m.Inner, registry.BeatAsk{Beat: t}))
		})
	}
	if t.Leaving {
		if err := b.Drainer.Leave(ctx, t); err != nil {
			// Some homes may still be answering into told.
			return registry.BeatTold{}, steperr.At("leaving", t.ID, err)
		}
	}
	wg.Wait()
	if !told.OK {
		var err error
		if told, err = b.House.Take(ctx, t); err != nil {
			return told, steperr.At("take beat", t.ID, err)
		}
	}
	return told, nil
}
