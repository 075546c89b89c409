package sim

import (
	"testing"
	"testing/synctest"
)

// One after the other needs one worker, all at once one each; when they were let go none
// stays, which the bubble would tell, and what comes later still runs.
func TestWorkersGoOn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var p workers
		ran := 0
		for range 100 {
			p.run(func() { ran++ })
			synctest.Wait()
		}
		if ran != 100 || len(p.idle) != 1 {
			t.Errorf("%d of 100 ran, one after the other, by %d workers", ran, len(p.idle))
		}
		gate, done := make(chan struct{}), make(chan struct{}, 10)
		for range 10 {
			p.run(func() { <-gate; done <- struct{}{} })
		}
		synctest.Wait()
		if len(p.idle) != 0 || len(done) != 0 {
			t.Errorf("10 at once: %d workers idle, %d are through", len(p.idle), len(done))
		}
		close(gate)
		synctest.Wait()
		if len(p.idle) != 10 || len(done) != 10 {
			t.Errorf("10 at once: by %d workers, %d are through", len(p.idle), len(done))
		}
		slow := make(chan struct{})
		p.run(func() { <-slow })
		p.end()
		close(slow)
		p.run(func() { ran++ })
		synctest.Wait()
		if ran != 101 || len(p.idle) != 0 {
			t.Errorf("after the end: %d ran, %d workers idle", ran-100, len(p.idle))
		}
	})
}
