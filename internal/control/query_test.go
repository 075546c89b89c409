package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/item"
	"walkrudder/internal/link"
	"walkrudder/internal/sim/simnet"
	"walkrudder/internal/target"
)

// operator is a host from which nodes are asked.
func (w *world) operator() simnet.Line {
	return simnet.Line{P: w.net.add("operator", nil).Start(w.ctx, "")}
}

// look asks a controller over the network, and must be answered.
func look[R any](w *world, l link.Line, m *controllerHost, ask any) Answer[R] {
	w.t.Helper()
	cx, end := context.WithTimeout(w.ctx, 3*time.Second)
	defer end()
	a, err := link.Ask[Answer[R]](cx, l, m.addr, ask)
	if err != nil {
		w.t.Fatalf("%s, asked %+v: %v", m.id, ask, err)
	}
	return a
}

func counter(w *world, l link.Line, m *controllerHost, name string) uint64 {
	w.t.Helper()
	x, ok := lo.Find(look[CounterRow](w, l, m, CountersAsk{Prefix: name}).Rows, func(r CounterRow) bool { return r.Name == name })
	if !ok {
		w.t.Fatalf("no counter %s", name)
	}
	return x.Value
}

func TestBadQueriesAreToldAndChangeNothing(t *testing.T) {
	play(t, 21, small, func(w *world) {
		w.order(base(3), w.controllers[:1])
		time.Sleep(bound)
		l, m := w.operator(), w.controllers[0]
		before := m.control().Board.Cursor()
		bad := []any{
			ItemsAsk{Page: Page{Most: -1}}, ItemsAsk{Page: Page{Most: 1001}}, ItemsAsk{Prefix: strings.Repeat("x", 2049)},
			ItemsAsk{Page: Page{After: strings.Repeat("x", 2049)}}, RunsAsk{Service: strings.Repeat("x", 257)}, RunsAsk{Prefix: strings.Repeat("x", 257)},
			MembersAsk{Page{Most: -1}}, DiskAsk{Page{Most: -1}}, CountersAsk{Prefix: strings.Repeat("x", 257)},
		}
		for _, ask := range bad {
			cx, end := context.WithTimeout(w.ctx, 3*time.Second)
			begun := time.Now()
			r, err := l.Call(cx, m.addr, ask)
			end()
			if err == nil || r != nil || !strings.Contains(err.Error(), "query (m0)") || time.Since(begun) > 100*time.Millisecond {
				t.Errorf("%.80s: %v, %v after %v", fmt.Sprintf("%+v", ask), r, err, time.Since(begun))
			}
		}
		if n := counter(w, l, m, "queries_refused"); n != uint64(len(bad)) {
			t.Errorf("%d refused, want %d", n, len(bad))
		}
		if end := m.control().Board.Cursor(); end != before || !m.control().Ready() {
			t.Errorf("a query changed %+v to %+v", before, end)
		}
	})
}

// A controller that stands still costs the asker its patience, and another one answers.
func TestASilentControllerCostsNoMoreThanPatience(t *testing.T) {
	play(t, 22, small, func(w *world) {
		l := w.operator()
		w.controllers[1].freeze()
		cx, end := context.WithTimeout(w.ctx, 3*time.Second)
		defer end()
		begun := time.Now()
		if _, err := link.Ask[Answer[ItemRow]](cx, l, w.controllers[1].addr, ItemsAsk{}); !errors.Is(err, context.DeadlineExceeded) || time.Since(begun) != 3*time.Second {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		look[ItemRow](w, l, w.controllers[2], ItemsAsk{})
		w.controllers[1].thaw()
	})
}

// Queries wait for their turn, and no longer than whoever asks.
func TestFewQueriesAreAnsweredAtOnce(t *testing.T) {
	play(t, 23, small, func(w *world) {
		n := w.controllers[0].control()
		for range mostQueries {
			n.asked <- struct{}{}
		}
		l := w.operator()
		cx, end := context.WithTimeout(w.ctx, time.Second)
		if _, err := n.Desk.Answer(cx, link.Who{}, DiskAsk{}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("out of turn: %v", err)
		}
		end()
		go func() {
			time.Sleep(time.Second)
			<-n.asked
		}()
		look[DiskRow](w, l, w.controllers[0], DiskAsk{})
		if n := len(n.asked); n != mostQueries-1 {
			t.Errorf("%d tokens are out", n)
		}
		<-n.asked
	})
}

// A long list is read in chunks, and as long as somebody waits for it.
func TestLongListsAreReadInChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := alone(t)
		for i := range 3000 {
			n.Board.MergeRuns([]target.Run{{ID: fmt.Sprintf("i-%05d", 2999-i), Service: strings.Repeat("s", 250), Addr: "10.0.0.1:80", Zone: "z", State: target.Ready, Seq: 1}})
		}
		a, err := n.runs(t.Context(), RunsAsk{Page: Page{Most: 5, After: "i-00100"}})
		if err != nil || a.Total != 3000 || len(a.Rows) != 5 || a.Rows[0].ID != "i-00101" || a.Next != "i-00105" {
			t.Fatalf("%+v %v", a, err)
		}
		ctx, end := context.WithCancel(t.Context())
		end()
		if _, err := n.runs(ctx, RunsAsk{}); err == nil {
			t.Error("went on though nobody waits")
		}
	})
}

// alone is a controller that is asked without a network.
func alone(tb testing.TB) *Node {
	n, err := New(Parts{Settings: Settings{ID: "m", Zone: "z", Inner: "in-m", Seeds: []string{"in-m"}, BeatEvery: time.Second}, Inc: 1, Fresh: "x",
		Line: simnet.Line{}, Clock: clock.Wall{}, Log: quietLog()})
	if err != nil {
		tb.Fatal(err)
	}
	return n
}

// What the largest tables cost to be looked through.
func BenchmarkQueries(b *testing.B) {
	n := alone(b)
	var rs []target.Run
	for i := range target.MaxRuns {
		rs = append(rs, target.Run{ID: fmt.Sprintf("i-%05d", i), Service: fmt.Sprintf("s-%d", i%500), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "z", State: target.Ready, Seq: 1})
	}
	n.Board.MergeRuns(rs)
	for i := range 6600 {
		n.Board.MergeItems([]item.Item{routeTo(fmt.Sprintf("r%d", i), 1, "a").Item()})
	}
	b.Run("runs of one service of 16384", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if a, err := n.runs(b.Context(), RunsAsk{Service: "s-7"}); err != nil || len(a.Rows) < 30 {
				b.Fatal(len(a.Rows), err)
			}
		}
	})
	b.Run("200 of 6600 items by place", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if a, err := n.items(b.Context(), ItemsAsk{Prefix: "h.example/r"}); err != nil || len(a.Rows) != 200 {
				b.Fatal(len(a.Rows), err)
			}
		}
	})
	b.Run("one chunk under the lock", func(b *testing.B) {
		for b.Loop() {
			n.Board.WithRuns(func(t *target.Table, now time.Time) bool {
				t.Since(0, chunk, 0, now)
				return false
			})
		}
	})
}
