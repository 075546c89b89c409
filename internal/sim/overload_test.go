package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"walkrudder/internal/httpapi"
)

// At once, twice and five times what the targets' places can do, useful answers stay
// near what they can do, what is beyond is refused at once with a time to come back,
// hardly an order ends with an unknown outcome, and no kind of request starves another.
func TestOverload(t *testing.T) {
	t.Parallel()
	for _, times := range []float64{1, 2, 5} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			t.Parallel()
			raised(t, func(ctx context.Context, w *World) {
				w.Go(w.Platform)
				time.Sleep(2 * time.Second)
				can := float64(len(w.Targets)*capacity) / ((least + most) / 2).Seconds()
				const span = 6 * time.Second
				cx, end := context.WithTimeout(ctx, span)
				defer end()
				w.crush(cx, times*can)
				v := w.Rec.Check()
				by, all := map[string]int{}, map[string]int{}
				slow, retry := time.Duration(0), ""
				for _, o := range w.Rec.Outcomes {
					all[o.Path]++
					switch {
					case o.Status < 300 && o.Err == "":
						by[o.Path]++
					case o.Code == httpapi.BusyNotRun:
						slow, retry = max(slow, o.Done.Sub(o.Sent)), max(retry, o.RetryAfter)
					}
				}
				useful := float64(v.Successes) / span.Seconds()
				t.Logf("%.0f a second of %.0f that the places can do: %.0f useful a second, %d refused within %s (come back after up to %s s), %d unknown, 99 of 100 within %s, %v of %v",
					times*can, can, useful, v.Classes["refused: busy, not run"], slow, retry, v.Unknown, v.P99, by, all)
				if len(v.Violations) > 0 {
					t.Error(v.Violations)
				}
				if useful < 0.6*can {
					t.Errorf("%.0f useful answers a second, the places can do %.0f", useful, can)
				}
				if orders := all["/orders"]; v.Unknown*50 > orders {
					t.Errorf("%d of %d orders ended with an unknown outcome", v.Unknown, orders)
				}
				share := float64(v.Successes) / float64(v.Calls)
				for p, n := range all {
					if float64(by[p]) < 0.3*share*float64(n) {
						t.Errorf("%s starves: %d of %d served, where %d of %d are", p, by[p], n, v.Successes, v.Calls)
					}
				}
			})
		})
	}
}

// crush calls rate times a second until ctx ends, each call once.
func (w *World) crush(ctx context.Context, rate float64) {
	done := make(chan struct{})
	n := 0
	for ctx.Err() == nil {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		k := kinds[w.Draw("crush", len(kinds))]
		n++
		order := fmt.Sprintf("x%d", n)
		go func() { w.call(k, order, ""); done <- struct{}{} }()
	}
	for range n {
		<-done
	}
}
