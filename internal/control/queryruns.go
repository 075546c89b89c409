package control

import (
	"context"
	"math"
	"strings"
	"time"

	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

// RunsAsk queries the runs of a service, or of all services, whose ID begins with Prefix.
type RunsAsk struct {
	Page
	Service string `validate:"max=256"`
	Prefix  string `validate:"max=256"`
}

// RunRow is one run as seen by this node.
type RunRow struct {
	ID      string `json:"run"`
	Service string `json:"service"`
	Addr    string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// Held reports that, as this node has seen itself, a majority of the voters has stored that the
	// run drains or has ended.
	Held bool `json:"held"`
	// Home is the inner address of the controller that should receive the heartbeats of the run: that
	// controller judges it.
	Home string `json:"home"`
	Beat uint64 `json:"beat"` // the largest known heartbeat number
	// BeatMS is the time since its last heartbeat arrived here. NewsMS is the time since the last
	// information about it arrived, whether from the run or from another controller.
	BeatMS Maybe `json:"beat_ago_ms"`
	NewsMS Maybe `json:"news_ago_ms"`
	// Suspicion is its current suspicion level w_d if its heartbeats arrive here. Suspected is part
	// of the replicated state, which all controllers share.
	Suspicion Maybe `json:"suspicion"`
	Suspected bool  `json:"suspected"`
	Recalled  bool  `json:"recalled"` // loaded from a journal; no heartbeat arrived since
}

var stateNames = map[target.State]string{target.Ready: "ready", target.Draining: "draining", target.Ended: "ended"}

// listRuns answers a RunsAsk.
func (n *Node) listRuns(ctx context.Context, a RunsAsk) (r Answer[RunRow], err error) {
	p := newPageCollector[target.Run](a.Page)
	for from, more := uint64(0), true; more; {
		if ctx.Err() != nil {
			return r, steperr.Wrap("runs", n.ID, ctx.Err())
		}
		var got []target.Run
		n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
			got, from, more = t.Since(from, scanChunk, 0, now)
			return false
		})
		for _, x := range got {
			if (a.Service == "" || x.Service == a.Service) && strings.HasPrefix(x.ID, a.Prefix) {
				p.add(x.ID, x)
			}
		}
	}
	p.trim()
	rows := make(map[string]RunRow, len(p.rows))
	for start := 0; start < len(p.rows); start += scanChunk {
		n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
			for _, k := range p.rows[start:min(start+scanChunk, len(p.rows))] {
				x := k.value
				row := RunRow{ID: x.ID, Service: x.Service, Addr: x.Addr, Zone: x.Zone, Slots: x.Slots, State: stateNames[x.State], Beat: x.Seq,
					Suspected: x.Suspected(), Recalled: x.Recalled, Held: n.departures.isHeld(x)}
				beat, last := t.LastHeard(x.ID)
				row.BeatMS, row.NewsMS = millisecondsSince(now, beat), millisecondsSince(now, last)
				if suspicion, ok := n.runMonitor.Suspicion(x.ID, now); ok {
					if _, newest := t.OwnSeq(x.ID); newest {
						row.Suspicion = knownValue(math.Round(suspicion*1e6) / 1e6)
					}
				}
				rows[k.key] = row
			}
			return false
		})
	}
	homes := map[[2]string]string{}
	return buildAnswer(n.about(), p, func(key string, _ target.Run) (RunRow, int) {
		x := rows[key]
		if x.State != stateNames[target.Ended] {
			serviceZone := [2]string{x.Service, x.Zone}
			if _, ok := homes[serviceZone]; !ok {
				homes[serviceZone] = n.Home(x.Service, x.Zone)
			}
			x.Home = homes[serviceZone]
		}
		return x, len(x.ID) + len(x.Service) + len(x.Addr) + len(x.Zone) + len(x.Home)
	}), nil
}
