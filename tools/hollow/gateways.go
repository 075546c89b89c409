package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

// GatewaysArgs describe one process of hollow gateways, all of one zone.
type GatewaysArgs struct {
	For   time.Duration `arg:"--for" default:"1m"`
	Net   int           `arg:"--net" default:"70"`
	Zone  int           `arg:"--zone"`
	Count int           `arg:"--count" default:"1"`
	Seeds string        `arg:"--seeds,required"`
}

// seen notes when gateways got which version of the marked route.
type seen struct {
	mu   sync.Mutex
	at   map[uint64][]int64
	last map[int]uint64
	// told are items and runs that were news to gateways, and runs that were suspected.
	told map[string]int64
}

// note takes in that a gateway has a version, and so all before it.
func (s *seen) note(gateway int, v uint64, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := s.last[gateway] + 1; x <= v; x++ {
		s.at[x] = append(s.at[x], now)
	}
	s.last[gateway] = max(s.last[gateway], v)
}

// count takes in what was news to a gateway.
func (s *seen) count(t watch.WatchTold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told["items told"] += int64(len(t.Items))
	s.told["runs told"] += int64(len(t.Runs))
	s.told["suspected runs told"] += int64(lo.CountBy(t.Runs, target.Run.Suspected))
}

// take returns what was noted since the last look.
func (s *seen) take() map[uint64][]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.at
	s.at = map[uint64][]int64{}
	return out
}

func (a *GatewaysArgs) start(ctx context.Context) (*handler, error) {
	life, end := context.WithCancel(ctx)
	s := &seen{at: map[uint64][]int64{}, last: map[int]uint64{}, told: map[string]int64{}}
	var wg sync.WaitGroup
	var subs []*watch.Subscriber
	var lines []*link.TCP
	var cuts []*Way
	for i := range a.Count {
		id := fmt.Sprintf("gateway%d-%d", a.Zone, i)
		line := link.NewTCP(link.Identity{ID: id, Kind: watch.Gateway}, ip(a.Net, gatewayNet, a.Zone)+":0", quiet())
		way := &Way{Transport: line, Delay: ways(a.Zone)}
		sub := &watch.Subscriber{Me: watch.Member{ID: id, Kind: watch.Gateway, Zone: zoneName(a.Zone), Inc: rand.Uint64() | 1}, Transport: way, Clock: clock.Wall{}, Log: quiet()}
		sub.OnUpdate = func(t watch.WatchTold) {
			s.count(t)
			for _, x := range t.Items {
				if x.Name == routeName(0) {
					s.note(i, x.Version, time.Now().UnixNano())
				}
			}
		}
		sub.Init(strings.Split(a.Seeds, ","))
		subs, lines, cuts = append(subs, sub), append(lines, line), append(cuts, way)
		wg.Go(func() {
			// Not all at the very same moment, as machines do not start so either.
			if (clock.Wall{}).Sleep(life, time.Duration(i)*5*time.Millisecond) == nil {
				sub.Run(life)
			}
		})
	}
	stop := func() {
		end()
		for _, l := range lines {
			l.Close()
		}
		wg.Wait()
	}
	do := func(_ context.Context, o Order) (t Told) {
		switch o.Op {
		case "mark":
		case "seen":
			t.Seen = s.take()
		case "cut":
			for _, w := range cuts {
				w.Cut(o.Cut)
			}
		default:
			t.Err = "no such order"
		}
		s.mu.Lock()
		t.Counts = maps.Clone(s.told)
		s.mu.Unlock()
		for _, x := range subs {
			if x.Synced() && x.Fresh() {
				t.Ready++
			}
		}
		return t
	}
	return &handler{do: do, stop: stop}, nil
}
