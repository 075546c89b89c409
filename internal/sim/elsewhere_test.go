package sim

import (
	"context"
	"slices"
	"testing"
	"time"

	"walkrudder/tools/stand"
)

// Where targets fail while requests are under way there, what may be repeated is
// answered from elsewhere before half of its time is over: the suspicion decides, not
// the clock. The log has the figures.
func TestFailedTargetsCostLittleTime(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*World, *Target){
		"frozen":  func(_ *World, x *Target) { x.Set(stand.Unresponsive) },
		"crashed": func(_ *World, x *Target) { x.Crash() },
		"slow":    func(_ *World, x *Target) { x.Lag(200 * time.Millisecond) },
		"cut off": func(w *World, x *Target) {
			for _, n := range w.Nodes {
				w.Net.Cut(x.ID, n.ID)
				w.Net.Cut(n.ID, x.ID)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			raised(t, func(ctx context.Context, w *World) {
				w.Go(w.Platform)
				cx, end := context.WithTimeout(ctx, 40*time.Second)
				defer end()
				done := make(chan struct{})
				go func() { w.Callers(cx, 60); close(done) }()
				time.Sleep(2 * time.Second)
				// One after the other, each for 3 s.
				for i := range 10 {
					x := w.Targets[i]
					fail(w, x)
					time.Sleep(3 * time.Second)
					x.Set(stand.Healthy)
					x.Lag(0)
					w.Net.Mend(x.ID)
					if !x.Up() {
						x.Start()
					}
					time.Sleep(700 * time.Millisecond)
				}
				end()
				<-done
				var took []time.Duration
				bad := 0
				for _, o := range w.Rec.Outcomes {
					if o.Repeatable && o.Err == "" && o.Status < 300 {
						took = append(took, o.Done.Sub(o.Sent))
					} else if o.Repeatable && o.Valid {
						bad++
					}
				}
				slices.Sort(took)
				v := w.Rec.Check()
				n := len(took)
				t.Logf("%d calls, %d failed, %d extra sends, 99 of 100 within %s, 995 of 1000 within %s, slowest %s", n, bad, v.ExtraSends, took[n*99/100], took[n*995/1000], took[n-1])
				if len(v.Violations) > 0 || bad > 0 || n < 500 {
					t.Errorf("%d calls, %d failed, %v %v", n, bad, v.RefusalReasons, v.Violations)
				}
				if took[n-1] > 1400*time.Millisecond {
					t.Errorf("the slowest took %s: half of the time is 1.5 s", took[n-1])
				}
			})
		})
	}
}
