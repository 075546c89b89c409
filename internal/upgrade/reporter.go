package upgrade

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
)

const (
	// reportEvery is how often a gateway reports while an upgrade is under way.
	reportEvery = 200 * time.Millisecond
	// reportTime bounds one report's way.
	reportTime = 900 * time.Millisecond
	// Directors is how many controllers get a service's reports: the one that decides, and those that stand in for it.
	Directors = 3
)

// Rank orders the controllers that look after a service's upgrades, by their IDs: the first that is well decides.
func Rank(service string, ids []string) []string {
	out := slices.Clone(ids)
	score := func(id string) uint64 { return xxhash.Sum64String(service + "\x00" + id) }
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return out
}

// Reporter brings a gateway's reports to the controllers that look after the upgrades.
type Reporter struct {
	Line  link.Line
	Clock clock.Clock
	Inc   uint64 // of this life of the gateway
	// Reports are the gateway's, of the upgrades under way.
	Reports func() []Report
	// Controllers are the inner addresses of the controllers known, by ID.
	Controllers func() map[string]string

	seq uint64
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	clock.Every(ctx, r.Clock, reportEvery, func() { r.report(ctx) })
}

func (r *Reporter) report(ctx context.Context) {
	reports := r.Reports()
	if len(reports) == 0 {
		return
	}
	controllers := r.Controllers()
	ids := make([]string, 0, len(controllers))
	for id := range controllers {
		ids = append(ids, id)
	}
	r.seq++
	asks := map[string]*ReportAsk{}
	for _, x := range reports {
		x.Inc, x.Seq = r.Inc, r.seq
		ranked := Rank(x.Service, ids)
		for _, id := range ranked[:min(Directors, len(ranked))] {
			if asks[id] == nil {
				asks[id] = &ReportAsk{}
			}
			asks[id].Reports = append(asks[id].Reports, x)
		}
	}
	for id, ask := range asks {
		go func() {
			cx, end := context.WithTimeout(ctx, reportTime)
			defer end()
			// One that does not arrive is followed by the next, which holds all that it did.
			_, _ = link.Call[ReportTold](cx, r.Line, controllers[id], *ask)
		}()
	}
}
