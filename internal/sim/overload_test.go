package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"walkrudder/internal/httpapi"
)

// At 1, 2 and 5 times the targets' capacity, the rate of useful answers must stay near the
// capacity, excess calls must be refused at once with a time to retry after, few orders may end
// with an unknown outcome, and no kind of request may starve another.
func TestOverload(t *testing.T) {
	t.Parallel()
	for _, times := range []float64{1, 2, 5} {
		t.Run(fmt.Sprint(times), func(t *testing.T) {
			t.Parallel()
			withWorld(t, func(ctx context.Context, w *World) {
				w.Go(w.PollReadiness)
				time.Sleep(2 * time.Second)
				capacityRate := float64(len(w.Targets)*capacity) / ((minWork + maxWork) / 2).Seconds()
				const span = 6 * time.Second
				callCtx, cancel := context.WithTimeout(ctx, span)
				defer cancel()
				w.overload(callCtx, times*capacityRate)
				v := w.Records.Check()
				served, sent := map[string]int{}, map[string]int{}
				slowestRefusal, retryAfter := time.Duration(0), ""
				for _, o := range w.Records.Outcomes {
					sent[o.Path]++
					switch {
					case o.Status < 300 && o.Err == "":
						served[o.Path]++
					case o.Code == httpapi.BusyNotRun:
						slowestRefusal, retryAfter = max(slowestRefusal, o.Done.Sub(o.Sent)), max(retryAfter, o.RetryAfter)
					}
				}
				useful := float64(v.Successes) / span.Seconds()
				t.Logf("%.0f a second with a capacity of %.0f: %.0f useful a second, %d refused within %s (retry after up to %s s), %d unknown, 99 of 100 within %s, %v of %v",
					times*capacityRate, capacityRate, useful, v.Classes["refused: busy, not run"], slowestRefusal, retryAfter, v.Unknown, v.P99, served, sent)
				if len(v.Violations) > 0 {
					t.Error(v.Violations)
				}
				if useful < 0.6*capacityRate {
					t.Errorf("%.0f useful answers a second with a capacity of %.0f", useful, capacityRate)
				}
				if orders := sent["/orders"]; v.Unknown*50 > orders {
					t.Errorf("%d of %d orders ended with an unknown outcome", v.Unknown, orders)
				}
				share := float64(v.Successes) / float64(v.Calls)
				for p, n := range sent {
					if float64(served[p]) < 0.3*share*float64(n) {
						t.Errorf("%s starves: %d of %d served, where %d of %d are", p, served[p], n, v.Successes, v.Calls)
					}
				}
			})
		})
	}
}

// overload makes rate calls a second until ctx ends, without retries.
func (w *World) overload(ctx context.Context, rate float64) {
	done := make(chan struct{})
	n := 0
	for ctx.Err() == nil {
		time.Sleep(time.Duration(float64(time.Second) / rate))
		k := callKinds[w.RandN("crush", len(callKinds))]
		n++
		order := fmt.Sprintf("x%d", n)
		go func() { w.call(k, order, ""); done <- struct{}{} }()
	}
	for range n {
		<-done
	}
}
