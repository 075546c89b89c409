package target

import (
	"testing"
	"time"
)

func recalledRun(id string, seq uint64, s State) Run {
	r := testRun(id, seq, s)
	r.Recalled = true
	return r
}

func TestARecalledRunCountsUntilItIsDoubted(t *testing.T) {
	tb := NewTable()
	for _, id := range []string{"1", "2", "3"} {
		if !tb.Merge(recalledRun(id, 5, Ready), testStart) {
			t.Fatal("no news")
		}
	}
	tb.Merge(recalledRun("4", 5, Draining), testStart)
	tb.Merge(recalledRun("5", 5, Ended), testStart)
	if r, _ := tb.Get("1", testStart); r.Suspected() || r.State != Ready {
		t.Errorf("%+v", r)
	}
	before := tb.Sums()
	// A beat here and a copy from a node that heard one confirm it, each as news: those
	// who have yet to settle are to know.
	if _, news, _ := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 6), quietTime, testStart); !news {
		t.Error("a confirmation is no news")
	}
	if tb.Sums() == before {
		t.Error("the sums hide a confirmation")
	}
	if !tb.Merge(testRun("2", 5, Ready), testStart) || tb.Merge(recalledRun("2", 5, Ready), testStart) {
		t.Error("a confirmation does not stand")
	}
	if !tb.MarkComplete(testStart) || tb.MarkComplete(testStart) {
		t.Error("settles once")
	}
	for id, want := range map[string]bool{"1": false, "2": false, "3": true, "4": true, "5": false} {
		if r, _ := tb.Get(id, testStart); r.Suspected() != want {
			t.Errorf("%+v, suspected should be %v", r, want)
		}
	}
	if r, _ := tb.Get("4", testStart); r.State != Draining {
		t.Errorf("%+v", r)
	}
	// Its next beat clears one whose beats were only held up.
	if _, news, _ := tb.ReceiveHeartbeat(testHeartbeat("3", "10.0.0.1:3", 6), quietTime, testStart); !news {
		t.Error("no news")
	}
	if r, _ := tb.Get("3", testStart); r.Suspected() || r.Recalled {
		t.Errorf("%+v", r)
	}
	// One that never beats is forgotten as any other that is suspected.
	tb.RemoveExpired(testStart.Add(inactiveRetention + time.Second))
	if _, ok := tb.Get("4", testStart); ok {
		t.Error("not forgotten")
	}
}

func TestOldMemoriesDoNotTroubleWhoWasUp(t *testing.T) {
	tb := NewTable()
	tb.Merge(testRun("here", 9, Ready), testStart)
	tb.Merge(testRun("over", 9, Ended), testStart)
	tb.MarkComplete(testStart)
	at := tb.Seq()
	for _, r := range []Run{recalledRun("here", 5, Ready), recalledRun("over", 5, Ready), recalledRun("gone", 5, Ready), recalledRun("left", 5, Draining)} {
		if tb.Merge(r, testStart) {
			t.Errorf("taken for news: %+v", r)
		}
	}
	if tb.Seq() != at || tb.Len() != 2 || stateOf(tb, "over") != Ended {
		t.Errorf("%d runs", tb.Len())
	}
	// An end is true whoever remembers it, also of a run that is known.
	if !tb.Merge(recalledRun("here", 5, Ended), testStart) || stateOf(tb, "here") != Ended {
		t.Error("an end was passed over")
	}
	if !tb.Merge(recalledRun("gone", 5, Ended), testStart) || stateOf(tb, "gone") != Ended {
		t.Error("an end was passed over")
	}
}

// A leaving that is taken in for a recalled run is no memory.
func TestALeavingOfARecalledRunIsFirstHand(t *testing.T) {
	tb := NewTable()
	tb.Merge(recalledRun("1", 5, Ready), testStart)
	if r, news := tb.MarkEnded("1", testStart); !news || r.Recalled || r.State != Ended {
		t.Errorf("%+v, news %v", r, news)
	}
	tb.Merge(recalledRun("2", 5, Ready), testStart)
	b := testHeartbeat("2", "10.0.0.1:2", 6)
	b.Draining = true
	if r, news, _ := tb.ReceiveHeartbeat(b, quietTime, testStart); !news || r.Recalled || r.State != Draining {
		t.Errorf("%+v, news %v", r, news)
	}
}

// A move is told though the beat that showed it came too soon after another.
func TestAMoveThatCouldNotBeToldIsOwed(t *testing.T) {
	tb := NewTable()
	tb.Merge(testRun("1", 1, Ready), testStart)
	if _, news, moved := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 2), quietTime, testStart.Add(time.Second)); !news || !moved {
		t.Error("a first move is not told, though the run itself was told just before")
	}
	tb.Merge(testRun("1", 3, Ready), testStart.Add(1200*time.Millisecond))
	if _, news, _ := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 4), quietTime, testStart.Add(1500*time.Millisecond)); news {
		t.Error("each move is told")
	}
	for i, want := range []bool{false, true, false, false} {
		at := testStart.Add(2500*time.Millisecond + time.Duration(i)*500*time.Millisecond)
		if _, news, _ := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 5+uint64(i)), quietTime, at); news != want {
			t.Errorf("%d beats after the move: news %v", i+1, news)
		}
	}
}
