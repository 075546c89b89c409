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

// beats has n runs beat for d, all but those mute says.
func beats(tb *Table, w *Watch, n int, seq *uint64, d time.Duration, mute func(i int) bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if time.Now().UnixMilli()%1000 < 250 {
			*seq++
			for i := range n {
				if !mute(i) {
					now := time.Now()
					id := fmt.Sprint(i)
					_, _, moved := tb.Hear(beat(id, "x:"+id, *seq), quiet, now)
					w.Heard(id, *seq, moved, now)
				}
			}
		}
		w.Judge(tb, time.Now())
	}
}

func suspects(tb *Table) (n int) {
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
		tb, w := NewTable(), &Watch{Every: time.Second, Pause: p}
		var seq uint64
		beats(tb, w, 7, &seq, 20*time.Second, func(int) bool { return false })
		if n := suspects(tb); n != 0 {
			t.Errorf("%d of 7 that beat are suspected", n)
		}
		beats(tb, w, 7, &seq, 5*time.Second, func(i int) bool { return i == 2 })
		if r, _ := tb.Get("2", time.Now()); !r.Suspected() || suspects(tb) != 1 || r.Silent != 20 {
			t.Errorf("%+v, %d suspected", r, suspects(tb))
		}
		beats(tb, w, 7, &seq, 5*time.Second, func(i int) bool { return false })
		if n := suspects(tb); n != 0 {
			t.Errorf("%d are suspected after a newer beat", n)
		}
		beats(tb, w, 7, &seq, 10*time.Second, func(i int) bool { return true })
		if n := suspects(tb); n != 3 {
			t.Errorf("%d of 7 are suspected when all fall silent", n)
		}
	})
}

// Where another node heard the run since, its silence here shows nothing.
func TestOnlyTheNodeThatHearsARunJudgesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := liveness.NewPauseMonitorEvery(clock.Wall{}, 200*time.Millisecond)
		go p.Run(t.Context())
		tb, w := NewTable(), &Watch{Every: time.Second, Pause: p}
		var seq uint64
		beats(tb, w, 4, &seq, 10*time.Second, func(int) bool { return false })
		r, _ := tb.Get("1", time.Now())
		r.Seq += 3
		tb.Merge(r, time.Now())
		beats(tb, w, 4, &seq, 10*time.Second, func(i int) bool { return i == 1 })
		if n := suspects(tb); n != 0 {
			t.Error("judged though it beats elsewhere")
		}
	})
}

// After a pause of this process, and after a run came here from another node, what would
// look like silence may be this node's own doing.
func TestNobodyIsJudgedRightAfterAPauseOrAMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := liveness.NewPauseMonitorEvery(clock.Wall{}, 200*time.Millisecond)
		run := func() context.CancelFunc {
			ctx, end := context.WithCancel(t.Context())
			go p.Run(ctx)
			return end
		}
		freeze := run()
		tb, w := NewTable(), &Watch{Every: time.Second, Pause: p}
		var seq uint64
		none := func(int) bool { return false }
		beats(tb, w, 4, &seq, 10*time.Second, none)
		time.Sleep(200 * time.Millisecond)
		freeze()
		time.Sleep(5 * time.Second)
		freeze = run()
		for range 3 {
			time.Sleep(250 * time.Millisecond)
			w.Judge(tb, time.Now())
		}
		if n := suspects(tb); n != 0 {
			t.Errorf("%d suspected right after a pause", n)
		}
		time.Sleep(1500 * time.Millisecond)
		w.Judge(tb, time.Now())
		if n := suspects(tb); n != 2 {
			t.Errorf("%d of 4 silent runs suspected in the end", n)
		}
		beats(tb, w, 4, &seq, 10*time.Second, none)
		r, _ := tb.Get("1", time.Now())
		r.Seq += 3
		tb.Merge(r, time.Now())
		seq += 5
		now := time.Now()
		_, _, moved := tb.Hear(beat("1", "x:1", seq), quiet, now)
		w.Heard("1", seq, moved, now)
		beats(tb, w, 4, &seq, 2500*time.Millisecond, func(i int) bool { return i == 1 })
		if n := suspects(tb); n != 0 {
			t.Error("suspected right after it came here")
		}
		beats(tb, w, 4, &seq, 2*time.Second, func(i int) bool { return i == 1 })
		if n := suspects(tb); n != 1 {
			t.Errorf("%d suspected, want the one that fell silent after it came", n)
		}
		freeze()
	})
}
