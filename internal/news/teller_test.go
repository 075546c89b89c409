package news

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/accord"
	"walkrudder/internal/item"
	"walkrudder/internal/pulse"
	"walkrudder/internal/target"
)

// bench is a teller whose freshness a test sets.
type bench struct {
	*Teller
	fresh atomic.Bool
	epoch atomic.Uint64
}

func newBench() *bench {
	b := &bench{}
	b.fresh.Store(true)
	b.Teller = &Teller{Me: func() Member {
		return Member{ID: "m", Kind: Mind, Inner: "in-m", Zone: "z", Inc: 5, Seat: accord.Seat{ID: "m", Disk: "d"}}
	},
		Board: NewBoard(pulse.Wall{}), Clock: pulse.Wall{}, Core: func() accord.Core { return accord.Core{Epoch: b.epoch.Load()} }, Votes: func() uint64 { return 0 },
		Fresh: func() (time.Duration, bool) { return 0, b.fresh.Load() }, Others: func() []Member { return nil }, Elsewhere: func() map[string]string { return map[string]string{"f9": "y"} }}
	return b
}

var asking = Member{ID: "f", Kind: Flow, Zone: "z", Inc: 1}

func (b *bench) ask(t *testing.T, a WatchAsk) WatchTold {
	t.Helper()
	r, err := b.watch(t.Context(), a)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestAnAskWaitsForNewsAndNoLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.Board.MergeItems([]item.Item{thing("x", 1)})
		r := b.ask(t, WatchAsk{Me: asking, Sums: make([]uint64, sumsLen)})
		if len(r.Items) != 1 || r.Inc != 5 || r.Me.ID != "m" || len(r.Peers) != 1 || r.Flows != 2 || r.FlowsNear != 1 {
			t.Fatalf("%+v", r)
		}
		next := func(wait time.Duration) WatchAsk {
			return WatchAsk{Me: Member{ID: "f", Inc: 1}, Inc: 5, Seen: r.Seen, Epoch: 0, Wait: wait}
		}
		begun := time.Now()
		r = b.ask(t, next(700*time.Millisecond))
		if d := time.Since(begun); d != 700*time.Millisecond || r.Waited != d || len(r.Items)+len(r.Peers) > 0 {
			t.Errorf("nothing new told after %v: %+v", d, r)
		}
		if b.ask(t, next(time.Hour)); time.Since(begun) != 700*time.Millisecond+maxWait {
			t.Errorf("held back until %v", time.Since(begun))
		}
		for name, f := range map[string]func(){
			"an item":   func() { b.Board.MergeItems([]item.Item{thing("x", r.Seen.Items+5)}) },
			"a run":     func() { b.Board.MergeRuns([]target.Run{someRun("1", 1)}) },
			"freshness": func() { b.fresh.Store(!b.fresh.Load()); b.Board.Wake() },
		} {
			begun = time.Now()
			go func() {
				time.Sleep(300 * time.Millisecond)
				f()
			}()
			r = b.ask(t, next(time.Second))
			if d := time.Since(begun); d != 300*time.Millisecond || r.Waited != d {
				t.Errorf("%s told after %v (%v)", name, d, r.Waited)
			}
		}
	})
}

func TestAnotherLifeTellsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.Board.MergeItems([]item.Item{thing("x", 1), thing("y", 1)})
		none := make([]uint64, sumsLen)
		for name, a := range map[string]WatchAsk{
			"never introduced":  {Me: Member{ID: "f", Inc: 1}, Inc: 5},
			"of a life before":  {Me: Member{ID: "f", Inc: 1}, Inc: 4, Seen: Cursor{Items: 2}},
			"past what it told": {Me: Member{ID: "f", Inc: 1}, Inc: 5, Seen: Cursor{Items: 9}},
			"another life asks": {Me: Member{ID: "f", Inc: 2}, Inc: 5},
		} {
			if name != "never introduced" {
				b.ask(t, WatchAsk{Me: asking, Sums: none})
			}
			if r := b.ask(t, a); !r.Anew || len(r.Items) > 0 {
				t.Errorf("%s: %+v", name, r)
			}
			a.Me, a.Sums = asking, none
			if r := b.ask(t, a); r.Anew || len(r.Items) != 2 && name != "another life asks" {
				t.Errorf("%s, introduced: %+v", name, r)
			}
			b.askers = nil
		}
	})
}

func TestFlowsThatAreGoneAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.ask(t, WatchAsk{Me: asking, Sums: make([]uint64, sumsLen)})
		if n, zones := b.Flows(); n != 2 || zones["z"] != 1 || zones["y"] != 1 {
			t.Errorf("%d %v", n, zones)
		}
		time.Sleep(flowGone + time.Second)
		if n, zones := b.Flows(); n != 1 || zones["z"] != 0 {
			t.Errorf("%d %v", n, zones)
		}
		time.Sleep(askerGone)
		if _, _ = b.Flows(); len(b.Askers()) != 0 {
			t.Error("an asker is remembered for ever")
		}
	})
}

// An asker whose patience ends is not kept waiting, and holds no goroutine.
func TestAnAskEndsWithItsPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.ask(t, WatchAsk{Me: asking, Sums: make([]uint64, sumsLen)})
		ctx, end := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer end()
		begun := time.Now()
		if _, err := b.watch(ctx, WatchAsk{Me: Member{ID: "f", Inc: 1}, Inc: 5, Wait: time.Second}); err != nil || time.Since(begun) != 100*time.Millisecond {
			t.Error(err, time.Since(begun))
		}
	})
}
