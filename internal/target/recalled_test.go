package target

import (
	"testing"
	"time"
)

func recalled(id string, seq uint64, s State) Run {
	r := run(id, seq, s)
	r.Recalled = true
	return r
}

func TestARecalledRunCountsUntilItIsDoubted(t *testing.T) {
	tb := NewTable()
	for _, id := range []string{"1", "2", "3"} {
		if !tb.Merge(recalled(id, 5, Ready), begin) {
			t.Fatal("no news")
		}
	}
	tb.Merge(recalled("4", 5, Draining), begin)
	tb.Merge(recalled("5", 5, Ended), begin)
	if r, _ := tb.Get("1", begin); r.Suspected() || r.State != Ready {
		t.Errorf("%+v", r)
	}
	before := tb.Sums()
	// A beat here and a copy from a node that heard one confirm it, each as news: those
	// who have yet to settle are to know.
	if _, news, _ := tb.Hear(beat("1", "10.0.0.1:1", 6), quiet, begin); !news {
		t.Error("a confirmation is no news")
	}
	if tb.Sums() == before {
		t.Error("the sums hide a confirmation")
	}
	if !tb.Merge(run("2", 5, Ready), begin) || tb.Merge(recalled("2", 5, Ready), begin) {
		t.Error("a confirmation does not stand")
	}
	if !tb.Settle(begin) || tb.Settle(begin) {
		t.Error("settles once")
	}
	for id, want := range map[string]bool{"1": false, "2": false, "3": true, "4": true, "5": false} {
		if r, _ := tb.Get(id, begin); r.Suspected() != want {
			t.Errorf("%+v, suspected should be %v", r, want)
		}
	}
	if r, _ := tb.Get("4", begin); r.State != Draining {
		t.Errorf("%+v", r)
	}
	// Its next beat clears one whose beats were only held up.
	if _, news, _ := tb.Hear(beat("3", "10.0.0.1:3", 6), quiet, begin); !news {
		t.Error("no news")
	}
	if r, _ := tb.Get("3", begin); r.Suspected() || r.Recalled {
		t.Errorf("%+v", r)
	}
	// One that never beats is forgotten as any other that is suspected.
	tb.Forget(begin.Add(forgetAfter + time.Second))
	if _, ok := tb.Get("4", begin); ok {
		t.Error("not forgotten")
	}
}

func TestOldMemoriesDoNotTroubleWhoWasUp(t *testing.T) {
	tb := NewTable()
	tb.Merge(run("here", 9, Ready), begin)
	tb.Merge(run("over", 9, Ended), begin)
	tb.Settle(begin)
	at := tb.Seq()
	for _, r := range []Run{recalled("here", 5, Ready), recalled("over", 5, Ready), recalled("gone", 5, Ready), recalled("left", 5, Draining)} {
		if tb.Merge(r, begin) {
			t.Errorf("taken for news: %+v", r)
		}
	}
	if tb.Seq() != at || tb.Len() != 2 || state(tb, "over") != Ended {
		t.Errorf("%d runs", tb.Len())
	}
	// An end is true whoever remembers it, also of a run that is known.
	if !tb.Merge(recalled("here", 5, Ended), begin) || state(tb, "here") != Ended {
		t.Error("an end was passed over")
	}
	if !tb.Merge(recalled("gone", 5, Ended), begin) || state(tb, "gone") != Ended {
		t.Error("an end was passed over")
	}
}

// A leaving that is taken in for a recalled run is no memory.
func TestALeavingOfARecalledRunIsFirstHand(t *testing.T) {
	tb := NewTable()
	tb.Merge(recalled("1", 5, Ready), begin)
	if r, news := tb.Leave("1", begin); !news || r.Recalled || r.State != Ended {
		t.Errorf("%+v, news %v", r, news)
	}
	tb.Merge(recalled("2", 5, Ready), begin)
	b := beat("2", "10.0.0.1:2", 6)
	b.Draining = true
	if r, news, _ := tb.Hear(b, quiet, begin); !news || r.Recalled || r.State != Draining {
		t.Errorf("%+v, news %v", r, news)
	}
}

// A move is told though the beat that showed it came too soon after another.
func TestAMoveThatCouldNotBeToldIsOwed(t *testing.T) {
	tb := NewTable()
	tb.Merge(run("1", 1, Ready), begin)
	if _, news, moved := tb.Hear(beat("1", "10.0.0.1:1", 2), quiet, begin.Add(time.Second)); !news || !moved {
		t.Error("a first move is not told, though the run itself was told just before")
	}
	tb.Merge(run("1", 3, Ready), begin.Add(1200*time.Millisecond))
	if _, news, _ := tb.Hear(beat("1", "10.0.0.1:1", 4), quiet, begin.Add(1500*time.Millisecond)); news {
		t.Error("each move is told")
	}
	for i, want := range []bool{false, true, false, false} {
		at := begin.Add(2500*time.Millisecond + time.Duration(i)*500*time.Millisecond)
		if _, news, _ := tb.Hear(beat("1", "10.0.0.1:1", 5+uint64(i)), quiet, at); news != want {
			t.Errorf("%d beats after the move: news %v", i+1, news)
		}
	}
}
