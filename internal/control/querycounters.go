package control

import (
	"context"
	"strings"

	"walkrudder/internal/usage"
)

// CountersAsk queries the counters whose name begins with Prefix.
type CountersAsk struct {
	Page
	Prefix string `validate:"max=256"`
}

// CounterRow is one counter. It counts from the start of the process, except that memory and the
// known state are given by their current values.
type CounterRow struct {
	Name  string `json:"name"`
	Value uint64 `json:"value"`
}

// counterRows reads all counters.
func (n *Node) counterRows() (out []CounterRow) {
	add := func(name string, v uint64) { out = append(out, CounterRow{name, v}) }
	for _, c := range []struct {
		name string
		*callCounter
	}{{"beats", &n.calls.beats}, {"leavings", &n.calls.departures}, {"changes", &n.calls.changes}, {"reads", &n.calls.reads}, {"queries", &n.calls.queries}, {"upgrade_orders", &n.calls.orders}, {"unknown_calls", &n.calls.unknown}} {
		add(c.name, c.total.Load())
		add(c.name+"_failed", c.failed.Load())
		add(c.name+"_refused", c.refused.Load())
	}
	core, seats := n.coreSeats()
	exposed := n.Tolerance.ExposureOf(seats)
	add("core_epoch", core.Epoch)
	add("core_seats", uint64(len(seats)))
	add("core_exposed_machines", uint64(exposed.Machines))
	add("core_exposed_zones", uint64(exposed.Zones))
	add("core_exposed_regions", uint64(exposed.Regions))
	end, u := n.Replica.Cursor(), usage.Now()
	add("asks", n.publisher.PollCount())
	add("item_merges", end.Items)
	add("run_merges", end.Runs)
	add("heap_bytes", u.Heap)
	add("held_bytes", u.Held)
	add("goroutines", u.Goroutines)
	add("uptime_seconds", uint64(n.Clock.Now().Sub(n.started).Seconds()))
	return out
}

// listCounters answers a CountersAsk.
func (n *Node) listCounters(_ context.Context, a CountersAsk) (Answer[CounterRow], error) {
	p := newPageCollector[CounterRow](a.Page)
	for _, r := range n.counterRows() {
		if strings.HasPrefix(r.Name, a.Prefix) {
			p.add(r.Name, r)
		}
	}
	return buildAnswer(n.about(), p, func(_ string, r CounterRow) (CounterRow, int) { return r, len(r.Name) }), nil
}
