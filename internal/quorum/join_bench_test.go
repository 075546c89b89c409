package quorum

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
)

// The size that is planned for: routes and other items with their bodies, and tombstones.
const (
	plannedRoutes     = 6600
	plannedItems      = 17000
	plannedTombstones = 10000
	routeBytes        = 400
	itemBytes         = 150
)

// meteredLine asks voters of one process and measures their answers to one asker.
type meteredLine struct {
	mu      sync.Mutex
	desks   map[string]*link.Desk
	pages   int
	bytes   int
	longest time.Duration
}

func (l *meteredLine) Call(ctx context.Context, addr string, ask any) (any, error) {
	began := time.Now()
	told, err := l.desks[addr].Answer(ctx, link.Who{ID: "bench"}, ask)
	took := time.Since(began)
	switch ask.(type) {
	case ListAsk, RecordsAsk, MergedAsk:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pages++
		l.bytes += len(pack(told))
		l.longest = max(l.longest, took)
	}
	return told, err
}

// benchVoters starts voters that know no core yet.
func benchVoters(b *testing.B, ctx context.Context, l *meteredLine, ids ...string) (all []*Voter) {
	b.Helper()
	for _, id := range ids {
		v, err := NewVoter(Seat{ID: id, Addr: id}, newMem(), "disk-"+id, l, nil, nil)
		if err != nil {
			b.Fatal(err)
		}
		desk := link.NewDesk()
		v.Serve(desk)
		l.desks[id] = desk
		go v.Run(ctx)
		all = append(all, v)
	}
	return all
}

// plannedState is the whole configuration at the planned size.
func plannedState() (out []item.Item) {
	add := func(kind item.Kind, name string, count, size int, gone bool) {
		for i := range count {
			it := item.Item{Key: item.Key{Kind: kind, Name: fmt.Sprintf("%s-%05d", name, i)}, Version: uint64(i + 2), Gone: gone}
			if !gone {
				it.Body = bytes.Repeat([]byte{byte('a' + i%26)}, size)
			}
			out = append(out, it)
		}
	}
	add(item.Route, "route", plannedRoutes, routeBytes, false)
	add(item.Service, "item", plannedItems, itemBytes, false)
	add(item.Route, "dropped", plannedTombstones, 0, true)
	return out
}

// BenchmarkJoin has an empty disk take a seat of a core at the planned size, and tells what that
// takes: pages and bytes over the network, the longest page (for so long a change waits at a voter
// that is pulled from), and what the joiner holds afterwards.
func BenchmarkJoin(b *testing.B) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	l := &meteredLine{desks: map[string]*link.Desk{}}
	voters := benchVoters(b, ctx, l, "a", "b", "c")
	core := Core{Epoch: 1}
	for _, v := range voters {
		core.Seats = append(core.Seats, v.Seat())
	}
	for _, s := range core.Seats {
		for _, seal := range []bool{false, true} {
			if _, err := l.Call(ctx, s.Addr, FormAsk{By: "a", Core: core, Seal: seal}); err != nil {
				b.Fatal(err)
			}
		}
	}
	p := NewProposer("bench", l, clock.Wall{})
	p.Learn(core)
	stands, err := p.Decide(ctx, plannedState())
	if err == nil {
		err = p.Merge(ctx, stands)
	}
	if err != nil {
		b.Fatal(err)
	}
	epoch := uint64(1)
	var heap int64
	for b.Loop() {
		epoch++
		id := fmt.Sprint("joiner", epoch)
		joiner := benchVoters(b, ctx, l, id)[0]
		next := Core{Epoch: epoch, After: epoch - 1, Seats: []Seat{core.Seats[0], core.Seats[1], joiner.Seat()}, Before: core.Seats}
		for _, s := range core.Seats[:2] {
			if _, err := l.Call(ctx, s.Addr, SealAsk{Next: next}); err != nil {
				b.Fatal(err)
			}
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		told, err := l.Call(ctx, id, JoinAsk{Next: next, From: core.Seats[:2]})
		if err != nil || !told.(JoinTold).OK {
			b.Fatal(told, err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap += int64(after.HeapAlloc) - int64(before.HeapAlloc)
		runtime.KeepAlive(joiner)
		core = next
	}
	n := float64(b.N)
	b.ReportMetric(float64(l.pages)/n, "pages/op")
	b.ReportMetric(float64(l.bytes)/n/1e6, "MB-sent/op")
	b.ReportMetric(float64(l.longest.Microseconds())/1e3, "ms-longest-page")
	b.ReportMetric(float64(heap)/n/1e6, "MB-held/op")
}
