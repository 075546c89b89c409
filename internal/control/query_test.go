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

// operatorTransport returns the transport of a host that queries nodes.
func (cl *cluster) operatorTransport() simnet.LinkClient {
	return simnet.LinkClient{Proc: cl.net.addHost("operator", nil).Start(cl.ctx, "")}
}

// mustAsk queries a controller over the network, and fails the test without an answer.
func mustAsk[R any](cl *cluster, transport link.Transport, m *controllerHost, ask any) Answer[R] {
	cl.t.Helper()
	callCtx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
	defer cancel()
	a, err := link.Call[Answer[R]](callCtx, transport, m.addr, ask)
	if err != nil {
		cl.t.Fatalf("%s, asked %+v: %v", m.id, ask, err)
	}
	return a
}

func mustReadCounter(cl *cluster, transport link.Transport, m *controllerHost, name string) uint64 {
	cl.t.Helper()
	x, ok := lo.Find(mustAsk[CounterRow](cl, transport, m, CountersAsk{Prefix: name}).Rows, func(r CounterRow) bool { return r.Name == name })
	if !ok {
		cl.t.Fatalf("no counter %s", name)
	}
	return x.Value
}

func TestBadQueriesAreToldAndChangeNothing(t *testing.T) {
	runCluster(t, 21, smallCluster, func(cl *cluster) {
		cl.mustApply(baseChange(3), cl.controllers[:1])
		time.Sleep(propagationLimit)
		transport, m := cl.operatorTransport(), cl.controllers[0]
		before := m.control().Replica.Cursor()
		bad := []any{
			ItemsAsk{Page: Page{Most: -1}}, ItemsAsk{Page: Page{Most: 1001}}, ItemsAsk{Prefix: strings.Repeat("x", 2049)},
			ItemsAsk{Page: Page{After: strings.Repeat("x", 2049)}}, RunsAsk{Service: strings.Repeat("x", 257)}, RunsAsk{Prefix: strings.Repeat("x", 257)},
			MembersAsk{Page{Most: -1}}, DiskAsk{Page{Most: -1}}, CountersAsk{Prefix: strings.Repeat("x", 257)},
		}
		for _, ask := range bad {
			callCtx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
			start := time.Now()
			r, err := transport.Call(callCtx, m.addr, ask)
			cancel()
			if err == nil || r != nil || !strings.Contains(err.Error(), "query (m0)") || time.Since(start) > 100*time.Millisecond {
				t.Errorf("%.80s: %v, %v after %v", fmt.Sprintf("%+v", ask), r, err, time.Since(start))
			}
		}
		if n := mustReadCounter(cl, transport, m, "queries_refused"); n != uint64(len(bad)) {
			t.Errorf("%d refused, want %d", n, len(bad))
		}
		if end := m.control().Replica.Cursor(); end != before || !m.control().Ready() {
			t.Errorf("a query changed %+v to %+v", before, end)
		}
	})
}

// Querying a paused controller fails at the caller's deadline, and another controller answers.
func TestASilentControllerCostsNoMoreThanPatience(t *testing.T) {
	runCluster(t, 22, smallCluster, func(cl *cluster) {
		transport := cl.operatorTransport()
		cl.controllers[1].freeze()
		callCtx, cancel := context.WithTimeout(cl.ctx, 3*time.Second)
		defer cancel()
		start := time.Now()
		if _, err := link.Call[Answer[ItemRow]](callCtx, transport, cl.controllers[1].addr, ItemsAsk{}); !errors.Is(err, context.DeadlineExceeded) || time.Since(start) != 3*time.Second {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		mustAsk[ItemRow](cl, transport, cl.controllers[2], ItemsAsk{})
		cl.controllers[1].thaw()
	})
}

// Queries wait for a free slot, and no longer than their caller does.
func TestFewQueriesAreAnsweredAtOnce(t *testing.T) {
	runCluster(t, 23, smallCluster, func(cl *cluster) {
		node := cl.controllers[0].control()
		for range maxConcurrentQueries {
			node.querySlots <- struct{}{}
		}
		transport := cl.operatorTransport()
		callCtx, cancel := context.WithTimeout(cl.ctx, time.Second)
		if _, err := node.Mux.Dispatch(callCtx, link.Identity{}, DiskAsk{}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("query without a free slot: %v", err)
		}
		cancel()
		go func() {
			time.Sleep(time.Second)
			<-node.querySlots
		}()
		mustAsk[DiskRow](cl, transport, cl.controllers[0], DiskAsk{})
		if used := len(node.querySlots); used != maxConcurrentQueries-1 {
			t.Errorf("%d slots are in use", used)
		}
		<-node.querySlots
	})
}

// A long list is read in chunks, and reading stops when the caller no longer waits.
func TestLongListsAreReadInChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standaloneNode(t)
		for i := range 3000 {
			n.Replica.MergeRuns([]target.Run{{ID: fmt.Sprintf("i-%05d", 2999-i), Service: strings.Repeat("s", 250), Addr: "10.0.0.1:80", Zone: "z", State: target.Ready, Seq: 1}})
		}
		a, err := n.listRuns(t.Context(), RunsAsk{Page: Page{Most: 5, After: "i-00100"}})
		if err != nil || a.Total != 3000 || len(a.Rows) != 5 || a.Rows[0].ID != "i-00101" || a.Next != "i-00105" {
			t.Fatalf("%+v %v", a, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := n.listRuns(ctx, RunsAsk{}); err == nil {
			t.Error("query continued after its caller had left")
		}
	})
}

// standaloneNode returns a controller without a network.
func standaloneNode(tb testing.TB) *Node {
	n, err := New(Config{Settings: Settings{ID: "m", Zone: "z", InternalAddr: "in-m", Seeds: []string{"in-m"}, HeartbeatInterval: time.Second}, Incarnation: 1, NewDiskID: "x",
		Transport: simnet.LinkClient{}, Clock: clock.Wall{}, Log: discardLog()})
	if err != nil {
		tb.Fatal(err)
	}
	return n
}

// Measures queries over the largest tables.
func BenchmarkQueries(b *testing.B) {
	n := standaloneNode(b)
	var rs []target.Run
	for i := range target.MaxRuns {
		rs = append(rs, target.Run{ID: fmt.Sprintf("i-%05d", i), Service: fmt.Sprintf("s-%d", i%500), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "z", State: target.Ready, Seq: 1})
	}
	n.Replica.MergeRuns(rs)
	for i := range 6600 {
		n.Replica.MergeItems([]item.Item{routeTo(fmt.Sprintf("r%d", i), 1, "a").Item()})
	}
	b.Run("runs of one service of 16384", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if a, err := n.listRuns(b.Context(), RunsAsk{Service: "s-7"}); err != nil || len(a.Rows) < 30 {
				b.Fatal(len(a.Rows), err)
			}
		}
	})
	b.Run("200 of 6600 items by place", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if a, err := n.listItems(b.Context(), ItemsAsk{Prefix: "h.example/r"}); err != nil || len(a.Rows) != 200 {
				b.Fatal(len(a.Rows), err)
			}
		}
	})
	b.Run("one chunk under the lock", func(b *testing.B) {
		for b.Loop() {
			n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
				t.Since(0, scanChunk, 0, now)
				return false
			})
		}
	})
}
