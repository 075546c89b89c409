package sim

import (
	"context"
	"slices"
	"testing"
	"time"

	"walkrudder/tools/stand"
)

// When targets fail while requests are being served, repeatable requests must be answered by
// another target before half of their time is over: failure detection decides about the
// retry, not a timer. The log has the measured times.
func TestFailedTargetsCostLittleTime(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(*World, *Target){
		"frozen":  func(_ *World, x *Target) { x.SetMode(stand.Unresponsive) },
		"crashed": func(_ *World, x *Target) { x.Crash() },
		"slow":    func(_ *World, x *Target) { x.SetExtraWork(200 * time.Millisecond) },
		"cut off": func(w *World, x *Target) {
			for _, n := range w.Nodes {
				w.Net.Cut(x.ID, n.ID)
				w.Net.Cut(n.ID, x.ID)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withWorld(t, func(ctx context.Context, w *World) {
				w.Go(w.PollReadiness)
				callCtx, cancel := context.WithTimeout(ctx, 40*time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() { w.RunCallers(callCtx, 60); close(done) }()
				time.Sleep(2 * time.Second)
				// The targets fail one after the other, each for 3 s.
				for i := range 10 {
					x := w.Targets[i]
					fail(w, x)
					time.Sleep(3 * time.Second)
					x.SetMode(stand.Healthy)
					x.SetExtraWork(0)
					w.Net.Restore(x.ID)
					if !x.Running() {
						x.Start()
					}
					time.Sleep(700 * time.Millisecond)
				}
				cancel()
				<-done
				var took []time.Duration
				bad := 0
				for _, o := range w.Records.Outcomes {
					if o.Repeatable && o.Err == "" && o.Status < 300 {
						took = append(took, o.Done.Sub(o.Sent))
					} else if o.Repeatable && o.Valid {
						bad++
					}
				}
				slices.Sort(took)
				v := w.Records.Check()
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
