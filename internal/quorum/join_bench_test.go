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

// The planned size of a deployment: routes, other items, tombstones, and the bytes of a body.
const (
	plannedRoutes     = 6600
	plannedItems      = 17000
	plannedTombstones = 10000
	routeBytes        = 400
	itemBytes         = 150
)

// meteredClient calls voters of the same process and measures the pages of a transfer.
type meteredClient struct {
	mu          sync.Mutex
	muxes       map[string]*link.Mux
	pages       int
	bytes       int
	longestPage time.Duration
}

func (l *meteredClient) Call(ctx context.Context, addr string, ask any) (any, error) {
	start := time.Now()
	answer, err := l.muxes[addr].Dispatch(ctx, link.Identity{ID: "bench"}, ask)
	took := time.Since(start)
	switch ask.(type) {
	case ListAsk, RecordsAsk, MergedAsk:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pages++
		l.bytes += len(encodeGob(answer))
		l.longestPage = max(l.longestPage, took)
	}
	return answer, err
}

// startBenchVoters starts voters on empty disks that do not know a core yet.
func startBenchVoters(b *testing.B, ctx context.Context, l *meteredClient, ids ...string) (all []*Voter) {
	b.Helper()
	for _, id := range ids {
		v, err := NewVoter(Seat{ID: id, Addr: id}, newMemDisk(), "disk-"+id, l, nil, nil)
		if err != nil {
			b.Fatal(err)
		}
		mux := link.NewMux()
		v.Serve(mux)
		l.muxes[id] = mux
		go v.Run(ctx)
		all = append(all, v)
	}
	return all
}

// plannedState returns the whole configuration at the planned size.
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

// BenchmarkJoin measures how an empty disk takes a seat of a core at the planned size: pages and
// bytes over the network, the longest page (which delays any change at the voter that it is pulled
// from by as much), and the heap that the joining voter holds afterwards.
func BenchmarkJoin(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &meteredClient{muxes: map[string]*link.Mux{}}
	voters := startBenchVoters(b, ctx, l, "a", "b", "c")
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
	decided, err := p.Decide(ctx, plannedState())
	if err == nil {
		err = p.Merge(ctx, decided)
	}
	if err != nil {
		b.Fatal(err)
	}
	epoch := uint64(1)
	var heap int64
	for b.Loop() {
		epoch++
		id := fmt.Sprint("joiner", epoch)
		joiner := startBenchVoters(b, ctx, l, id)[0]
		next := Core{Epoch: epoch, After: epoch - 1, Seats: []Seat{core.Seats[0], core.Seats[1], joiner.Seat()}, Before: core.Seats}
		for _, s := range core.Seats[:2] {
			if _, err := l.Call(ctx, s.Addr, SealAsk{Next: next}); err != nil {
				b.Fatal(err)
			}
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		answer, err := l.Call(ctx, id, JoinAsk{Next: next, From: core.Seats[:2]})
		if err != nil || !answer.(JoinTold).OK {
			b.Fatal(answer, err)
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
	b.ReportMetric(float64(l.longestPage.Microseconds())/1e3, "ms-longest-page")
	b.ReportMetric(float64(heap)/n/1e6, "MB-held/op")
}
