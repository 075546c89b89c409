package proxy

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A burst of large answers must not exceed the node's memory. Without a limit each answer was buffered completely, however many there were.
func TestABurstOfLargeAnswersStaysInItsRoom(t *testing.T) {
	const size, burst, megabytes = 2 << 20, 24, 20
	synctest.Test(t, func(t *testing.T) {
		l := newHarness(t, newPipes(), func(s *Settings) { s.MemoryMB = megabytes })
		defer l.close()
		l.routes(2)
		for i := range 8 {
			l.startTarget(fmt.Sprint("t", i), nil, answerWithSize(size, 50*time.Millisecond))
		}
		done := make(chan struct{})
		peak := int64(0)
		var watcher sync.WaitGroup
		watcher.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Millisecond):
					peak = max(peak, l.node.Stats().MemoryUsed)
				}
			}
		})
		var wg sync.WaitGroup
		var mu sync.Mutex
		completed := 0
		for i := range burst {
			wg.Go(func() {
				got, took, err := l.readSlowly(fmt.Sprint("id-", i), 20*time.Second, 64<<10, 20*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && got == size {
					completed++
				} else if err != nil {
					t.Errorf("%d: %d bytes after %v: %v", i, got, took, err)
				}
			})
		}
		wg.Wait()
		close(done)
		watcher.Wait()
		if most := int64(megabytes) << 20 * 3 / 5; peak > most {
			t.Errorf("%d bytes held at once, want at most %d", peak, most)
		}
		if completed < burst/2 {
			t.Errorf("%d of %d answers complete", completed, burst)
		}
		t.Logf("%d of %d complete, %d bytes held at once", completed, burst, peak)
	})
}
