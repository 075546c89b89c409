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
			t.Fatal("a new run is not reported as a change")
		}
	}
	tb.Merge(recalledRun("4", 5, Draining), testStart)
	tb.Merge(recalledRun("5", 5, Ended), testStart)
	if r, _ := tb.Get("1", testStart); r.Suspected() || r.State != Ready {
		t.Errorf("%+v", r)
	}
	before := tb.Sums()
	// A heartbeat received here and a copy from a node that received one both confirm the
	// run, each as a change, since nodes that are not complete yet must learn of it.
	if _, changed, _ := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 6), quietTime, testStart); !changed {
		t.Error("a confirmation is not reported as a change")
	}
	if tb.Sums() == before {
		t.Error("the checksums do not reflect a confirmation")
	}
	if !tb.Merge(testRun("2", 5, Ready), testStart) || tb.Merge(recalledRun("2", 5, Ready), testStart) {
		t.Error("a confirmation was not kept")
	}
	if !tb.MarkComplete(testStart) || tb.MarkComplete(testStart) {
		t.Error("MarkComplete must report a change exactly once")
	}
	for id, want := range map[string]bool{"1": false, "2": false, "3": true, "4": true, "5": false} {
		if r, _ := tb.Get(id, testStart); r.Suspected() != want {
			t.Errorf("%+v, suspected should be %v", r, want)
		}
	}
	if r, _ := tb.Get("4", testStart); r.State != Draining {
		t.Errorf("%+v", r)
	}
	// A run whose heartbeats were only delayed is cleared by its next one.
	if _, changed, _ := tb.ReceiveHeartbeat(testHeartbeat("3", "10.0.0.1:3", 6), quietTime, testStart); !changed {
		t.Error("a cleared suspicion is not reported as a change")
	}
	if r, _ := tb.Get("3", testStart); r.Suspected() || r.Recalled {
		t.Errorf("%+v", r)
	}
	// A run that never sends a heartbeat is removed like any other suspected run.
	tb.RemoveExpired(testStart.Add(inactiveRetention + time.Second))
	if _, ok := tb.Get("4", testStart); ok {
		t.Error("not removed")
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
			t.Errorf("reported as a change: %+v", r)
		}
	}
	if tb.Seq() != at || tb.Len() != 2 || stateOf(tb, "over") != Ended {
		t.Errorf("%d runs", tb.Len())
	}
	// An end is accepted from a recalled copy too, also for a run that is known to be live.
	if !tb.Merge(recalledRun("here", 5, Ended), testStart) || stateOf(tb, "here") != Ended {
		t.Error("an end was ignored")
	}
	if !tb.Merge(recalledRun("gone", 5, Ended), testStart) || stateOf(tb, "gone") != Ended {
		t.Error("an end was ignored")
	}
}

// The end of a recalled run is not itself marked as recalled.
func TestALeavingOfARecalledRunIsFirstHand(t *testing.T) {
	tb := NewTable()
	tb.Merge(recalledRun("1", 5, Ready), testStart)
	if r, changed := tb.MarkEnded("1", testStart); !changed || r.Recalled || r.State != Ended {
		t.Errorf("%+v, changed %v", r, changed)
	}
	tb.Merge(recalledRun("2", 5, Ready), testStart)
	b := testHeartbeat("2", "10.0.0.1:2", 6)
	b.Draining = true
	if r, changed, _ := tb.ReceiveHeartbeat(b, quietTime, testStart); !changed || r.Recalled || r.State != Draining {
		t.Errorf("%+v, changed %v", r, changed)
	}
}

// A move is reported even if the heartbeat that showed it came too soon after another move.
func TestAMoveThatCouldNotBeToldIsOwed(t *testing.T) {
	tb := NewTable()
	tb.Merge(testRun("1", 1, Ready), testStart)
	if _, changed, moved := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 2), quietTime, testStart.Add(time.Second)); !changed || !moved {
		t.Error("a first move is not reported if the run itself was reported just before")
	}
	tb.Merge(testRun("1", 3, Ready), testStart.Add(1200*time.Millisecond))
	if _, changed, _ := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 4), quietTime, testStart.Add(1500*time.Millisecond)); changed {
		t.Error("a move is reported too soon after another")
	}
	for i, want := range []bool{false, true, false, false} {
		at := testStart.Add(2500*time.Millisecond + time.Duration(i)*500*time.Millisecond)
		if _, changed, _ := tb.ReceiveHeartbeat(testHeartbeat("1", "10.0.0.1:1", 5+uint64(i)), quietTime, at); changed != want {
			t.Errorf("%d heartbeats after the move: changed %v", i+1, changed)
		}
	}
}
