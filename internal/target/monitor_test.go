package target

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/liveness"
)

// sendHeartbeats makes n runs send heartbeats for d, except those for which silent returns true.
func sendHeartbeats(tb *Table, w *Monitor, n int, seq *uint64, d time.Duration, silent func(i int) bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if time.Now().UnixMilli()%1000 < 250 {
			*seq++
			for i := range n {
				if !silent(i) {
					now := time.Now()
					id := fmt.Sprint(i)
					_, _, moved := tb.ReceiveHeartbeat(testHeartbeat(id, "x:"+id, *seq), quietTime, now)
					w.Observe(id, *seq, moved, now)
				}
			}
		}
		w.Evaluate(tb, time.Now())
	}
}

func countSuspected(tb *Table) (n int) {
	for r := range tb.All(time.Now()) {
		if r.Suspected() {
			n++
		}
	}
	return n
}

func TestSilenceIsSuspectedUpToHalf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := liveness.NewPauseMonitorEvery(clock.Wall{}, 200*time.Millisecond)
		go p.Run(t.Context())
		tb, w := NewTable(), &Monitor{HeartbeatInterval: time.Second, Pauses: p}
		var seq uint64
		sendHeartbeats(tb, w, 7, &seq, 20*time.Second, func(int) bool { return false })
		if n := countSuspected(tb); n != 0 {
			t.Errorf("%d of 7 runs that send heartbeats are suspected", n)
		}
		sendHeartbeats(tb, w, 7, &seq, 5*time.Second, func(i int) bool { return i == 2 })
		if r, _ := tb.Get("2", time.Now()); !r.Suspected() || countSuspected(tb) != 1 || r.Silent != 20 {
			t.Errorf("%+v, %d suspected", r, countSuspected(tb))
		}
		sendHeartbeats(tb, w, 7, &seq, 5*time.Second, func(i int) bool { return false })
		if n := countSuspected(tb); n != 0 {
			t.Errorf("%d are suspected after a newer heartbeat", n)
		}
		sendHeartbeats(tb, w, 7, &seq, 10*time.Second, func(i int) bool { return true })
		if n := countSuspected(tb); n != 3 {
			t.Errorf("%d of 7 are suspected when all fall silent", n)
		}
	})
}

// If another node has received the run's heartbeats since, its silence here proves nothing.
func TestOnlyTheNodeThatHearsARunJudgesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := liveness.NewPauseMonitorEvery(clock.Wall{}, 200*time.Millisecond)
		go p.Run(t.Context())
		tb, w := NewTable(), &Monitor{HeartbeatInterval: time.Second, Pauses: p}
		var seq uint64
		sendHeartbeats(tb, w, 4, &seq, 10*time.Second, func(int) bool { return false })
		r, _ := tb.Get("1", time.Now())
		r.Seq += 3
		tb.Merge(r, time.Now())
		sendHeartbeats(tb, w, 4, &seq, 10*time.Second, func(i int) bool { return i == 1 })
		if n := countSuspected(tb); n != 0 {
			t.Error("suspected although another node receives its heartbeats")
		}
	})
}

// After a pause of this process, and after a run moved here from another node, apparent
// silence may be caused by this node itself.
func TestNobodyIsJudgedRightAfterAPauseOrAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := liveness.NewPauseMonitorEvery(clock.Wall{}, 200*time.Millisecond)
		startPauseMonitor := func() context.CancelFunc {
			ctx, end := context.WithCancel(t.Context())
			go p.Run(ctx)
			return end
		}
		stopPauseMonitor := startPauseMonitor()
		tb, w := NewTable(), &Monitor{HeartbeatInterval: time.Second, Pauses: p}
		var seq uint64
		none := func(int) bool { return false }
		sendHeartbeats(tb, w, 4, &seq, 10*time.Second, none)
		time.Sleep(200 * time.Millisecond)
		stopPauseMonitor()
		time.Sleep(5 * time.Second)
		stopPauseMonitor = startPauseMonitor()
		for range 3 {
			time.Sleep(250 * time.Millisecond)
			w.Evaluate(tb, time.Now())
		}
		if n := countSuspected(tb); n != 0 {
			t.Errorf("%d suspected right after a pause", n)
		}
		time.Sleep(1500 * time.Millisecond)
		w.Evaluate(tb, time.Now())
		if n := countSuspected(tb); n != 2 {
			t.Errorf("%d of 4 silent runs suspected in the end", n)
		}
		sendHeartbeats(tb, w, 4, &seq, 10*time.Second, none)
		r, _ := tb.Get("1", time.Now())
		r.Seq += 3
		tb.Merge(r, time.Now())
		seq += 5
		now := time.Now()
		_, _, moved := tb.ReceiveHeartbeat(testHeartbeat("1", "x:1", seq), quietTime, now)
		w.Observe("1", seq, moved, now)
		sendHeartbeats(tb, w, 4, &seq, 2500*time.Millisecond, func(i int) bool { return i == 1 })
		if n := countSuspected(tb); n != 0 {
			t.Error("suspected right after it moved here")
		}
		sendHeartbeats(tb, w, 4, &seq, 2*time.Second, func(i int) bool { return i == 1 })
		if n := countSuspected(tb); n != 1 {
			t.Errorf("%d suspected, want the one that fell silent after its move", n)
		}
		stopPauseMonitor()
	})
}
