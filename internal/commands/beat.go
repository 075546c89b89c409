package commands

import (
	"context"
	"sync"
	"time"

	"walkrudder/internal/defect"
	"walkrudder/internal/face"
	"walkrudder/internal/home"
	"walkrudder/internal/link"
	"walkrudder/internal/mate"
)

// Beater hands beats on to the homes of their service.
type Beater struct {
	House   *home.House
	Tenant  *mate.Tenant
	Line    link.Line
	Me      string
	Drainer *Drainer
}

// Take hands a beat to the service's home in every zone, and to this mind's own
// house, so that a mind that becomes a home is not empty. A leaving beat returns
// only once no flow elects the target.
func (b *Beater) Take(ctx context.Context, t face.Beat) (home.BeatTold, error) {
	own, err := b.House.Take(ctx, t)
	if err != nil {
		return own, defect.At("take beat", t.ID, err)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range home.Homes(t.Service, b.Tenant.Members()) {
		if m.ID == b.Me {
			continue
		}
		wg.Go(func() {
			cx, end := context.WithTimeout(ctx, 500*time.Millisecond)
			defer end()
			r, err := link.Ask[home.BeatTold](cx, b.Line, m.Inner, home.BeatAsk{Beat: t})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			own.Seq = max(own.Seq, r.Seq)
			own.Gone = own.Gone || r.Gone
		})
	}
	if t.Leaving {
		if err := b.Drainer.Leave(ctx, t); err != nil {
			return own, defect.At("leaving", t.ID, err)
		}
	}
	wg.Wait()
	return own, nil
}
