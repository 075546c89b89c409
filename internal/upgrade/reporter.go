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
	// reportInterval is how often a gateway reports during an active upgrade.
	reportInterval = 200 * time.Millisecond
	// reportTimeout bounds the delivery of one report.
	reportTimeout = 900 * time.Millisecond
	// CoordinatorsPerService is how many controllers get a service's reports: the one that decides, and its standbys.
	CoordinatorsPerService = 3
)

// RankControllers orders controllers, by ID, for a service's upgrades: the first healthy one decides.
func RankControllers(service string, ids []string) []string {
	out := slices.Clone(ids)
	score := func(id string) uint64 { return xxhash.Sum64String(service + "\x00" + id) }
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return out
}

// Reporter sends a gateway's reports to the controllers that coordinate the upgrades.
type Reporter struct {
	Transport   link.Transport
	Clock       clock.Clock
	Incarnation uint64 // of the gateway's process
	// Reports returns the gateway's reports on active upgrades.
	Reports func() []Report
	// Controllers returns the internal addresses of the known controllers, by ID.
	Controllers func() map[string]string

	seq uint64
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	clock.Every(ctx, r.Clock, reportInterval, func() { r.sendReports(ctx) })
}

func (r *Reporter) sendReports(ctx context.Context) {
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
	for _, report := range reports {
		report.Inc, report.Seq = r.Incarnation, r.seq
		ranked := RankControllers(report.Service, ids)
		for _, id := range ranked[:min(CoordinatorsPerService, len(ranked))] {
			if asks[id] == nil {
				asks[id] = &ReportAsk{}
			}
			asks[id].Reports = append(asks[id].Reports, report)
		}
	}
	for id, ask := range asks {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			// Errors are ignored: counts are cumulative, so a later report covers a lost one.
			_, _ = link.Call[ReportTold](callCtx, r.Transport, controllers[id], *ask)
		}()
	}
}
