package liveness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sec(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// detectorAfter returns a detector after n arrivals about a second apart, and the last arrival.
func detectorAfter(o Options, n int, jitter float64) (*Detector, time.Time) {
	r := rand.New(rand.NewPCG(7, 7))
	d := NewDetector(o, nil, t0)
	t := t0
	for j := range n {
		t = t.Add(time.Duration((1 + jitter*(r.Float64()-0.5)) * float64(time.Second)))
		d.RecordArrival(uint64(j+1), t)
	}
	return d, t
}

func TestSuspicionRisesWithSilenceAndFallsWithAnArrival(t *testing.T) {
	d, last := detectorAfter(DefaultOptions(time.Second), 50, 0.2)
	was := -1.0
	for ms := 0; ms < 5000; ms += 50 {
		w := d.Suspicion(last.Add(time.Duration(ms) * time.Millisecond))
		if w < was || w < 0 || w > 1 {
			t.Fatalf("w %v after %v at %d ms", w, was, ms)
		}
		was = w
	}
	if was < 0.99 {
		t.Errorf("w %v after 5 s of silence", was)
	}
	at := last.Add(5 * time.Second)
	if d.RecordArrival(50, at) || d.RecordArrival(3, at) {
		t.Error("an old sequence number was counted as an arrival")
	}
	if !d.RecordArrival(51, at) || d.Suspicion(at) > 0.01 {
		t.Errorf("w %v right after an arrival", d.Suspicion(at))
	}
}

// With nearly equal gaps the unmodified fit suspects a crash when an arrival is a few per cent late.
func TestNearConstantGapsDoNotMakeATrigger(t *testing.T) {
	o := DefaultOptions(time.Second)
	d, last := detectorAfter(o, 150, 0.001)
	unmodified := o
	unmodified.NoExtensions = true
	p, _ := detectorAfter(unmodified, 150, 0.001)
	late := last.Add(1050 * time.Millisecond)
	if w := p.Suspicion(late); w < 0.99 {
		t.Errorf("the unmodified detector was expected to suspect at 5%% late: %v", w)
	}
	if w := d.Suspicion(late); w > 0.9 {
		t.Errorf("w %v at 5%% late", w)
	}
	if w := d.Suspicion(last.Add(2500 * time.Millisecond)); w < 0.99 {
		t.Errorf("w %v after 2.5 intervals", w)
	}
}

func TestWarmUpJudgesByThePrior(t *testing.T) {
	d := NewDetector(DefaultOptions(time.Second), nil, t0)
	if w := d.Suspicion(sec(0.5)); w > 0.5 {
		t.Errorf("w %v half an interval after the start", w)
	}
	if w := d.Suspicion(sec(4)); w < 0.99 {
		t.Errorf("w %v after four intervals without an arrival", w)
	}
	o := DefaultOptions(time.Second)
	o.NoExtensions = true
	if w := NewDetector(o, nil, t0).Suspicion(sec(100)); w != 0 {
		t.Errorf("the unmodified detector suspects before its window is full: %v", w)
	}
}

func TestLostArrivalsAreFilledIn(t *testing.T) {
	o := DefaultOptions(time.Second)
	d, last := detectorAfter(o, 120, 0.1)
	before, _ := d.LastFit()
	o.NoLossFill = true
	n, _ := detectorAfter(o, 120, 0.1)
	// Three arrivals were lost: one gap of 4 s.
	d.RecordArrival(124, last.Add(4*time.Second))
	n.RecordArrival(124, last.Add(4*time.Second))
	after, _ := d.LastFit()
	raw, _ := n.LastFit()
	if m := after.Quantile(0.99) / before.Quantile(0.99); m > 1.05 || m < 0.95 {
		t.Errorf("filled: the time to suspect changed by %v", m)
	}
	if raw.Beta > after.Beta {
		t.Errorf("unfilled gap left beta at %v, filled %v", raw.Beta, after.Beta)
	}
}

func TestOwnPauseRaisesNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		c := &freezeClock{}
		p := NewPauseMonitor(c)
		go p.Run(ctx)
		var ds []*Detector
		for range 20 {
			ds = append(ds, NewDetector(DefaultOptions(time.Second), p, time.Now()))
		}
		for j := range 30 {
			time.Sleep(time.Second)
			for _, d := range ds {
				d.RecordArrival(uint64(j+1), time.Now())
			}
		}
		fit, _ := ds[0].LastFit()
		till := time.Now().Add(10 * time.Second)
		c.until.Store(&till)
		time.Sleep(10 * time.Second)
		// The first reading after the pause, before the next check has recorded it.
		for i, d := range ds {
			if w := d.Suspicion(time.Now()); w > 0.5 {
				t.Fatalf("target %d suspected at %v after a pause of this process", i, w)
			}
		}
		time.Sleep(100 * time.Millisecond)
		for _, d := range ds {
			d.RecordArrival(40, time.Now())
		}
		if f, _ := ds[0].LastFit(); f != fit {
			t.Errorf("a pause of this process was learnt as a gap: %v, was %v", f, fit)
		}
		time.Sleep(3 * time.Second)
		if w := ds[0].Suspicion(time.Now()); w < 0.99 {
			t.Errorf("silence of the target after the pause: %v", w)
		}
	})
}

// freezeClock is a clock whose sleepers wake late while the process is frozen.
type freezeClock struct {
	clock.Wall
	until atomic.Pointer[time.Time]
}

func (f *freezeClock) Sleep(ctx context.Context, d time.Duration) error {
	err := f.Wall.Sleep(ctx, d)
	if t := f.until.Load(); t != nil && time.Until(*t) > 0 {
		err = f.Wall.Sleep(ctx, time.Until(*t)+time.Millisecond)
	}
	return err
}

func BenchmarkArrive(b *testing.B) {
	for _, n := range []int{50, 100, 250, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			o := DefaultOptions(time.Second)
			o.WindowSize = n
			d, t := detectorAfter(o, n, 0.2)
			r := rand.New(rand.NewPCG(1, 1))
			b.ResetTimer()
			for i := range b.N {
				t = t.Add(time.Duration((0.9 + 0.2*r.Float64()) * float64(time.Second)))
				d.RecordArrival(uint64(n+i+1), t)
			}
		})
	}
}

func BenchmarkSuspicion(b *testing.B) {
	d, t := detectorAfter(DefaultOptions(time.Second), 100, 0.2)
	t = t.Add(time.Second)
	for range b.N {
		_ = d.Suspicion(t)
	}
}

// offsetClock is a clock whose time the test can set.
type offsetClock struct {
	clock.Wall
	offset atomic.Int64
}

func (j *offsetClock) Now() time.Time { return time.Now().Add(time.Duration(j.offset.Load())) }

// A step of the clock, ahead or back, raises no suspicion and is not learnt as a gap.
func TestClockJumpsAreNoGaps(t *testing.T) {
	for _, jump := range []time.Duration{time.Hour, -time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			defer end()
			c := &offsetClock{}
			p := NewPauseMonitor(c)
			go p.Run(ctx)
			d := NewDetector(DefaultOptions(time.Second), p, c.Now())
			arrive := func(from, n int) {
				for j := range n {
					time.Sleep(time.Second)
					d.RecordArrival(uint64(from+j), c.Now())
				}
			}
			arrive(1, 30)
			fit, _ := d.LastFit()
			c.offset.Store(int64(jump))
			if w := d.Suspicion(c.Now()); w > 0.5 {
				t.Errorf("suspected at %v right after a jump of %s", w, jump)
			}
			arrive(31, 1)
			if f, _ := d.LastFit(); f != fit {
				t.Errorf("a jump of %s was learnt as a gap: %v, was %v", jump, f, fit)
			}
			arrive(32, 5)
			time.Sleep(4 * time.Second)
			if w := d.Suspicion(c.Now()); w < 0.99 {
				t.Errorf("four intervals of silence after a jump of %s: %v", jump, w)
			}
		})
	}
}
