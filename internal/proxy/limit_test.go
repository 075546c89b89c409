package proxy

import (
	"testing"
	"time"
)

// simulateLimit simulates a service with capacity for a given number of this node's requests at
// once, and with as many requests as the limit allows. It returns the mean limit and the fraction of
// requests that met full targets, both over the second half of the steps.
func simulateLimit(l *concurrencyLimit, now time.Time, capacity int, steps int) (mean, full float64) {
	limitSamples, rejections, completed := 0, 0, 0
	sum := 0.0
	for i := range steps {
		now = now.Add(20 * time.Millisecond)
		for l.allows() && l.inFlight < 4*capacity {
			l.begin()
		}
		for k := l.inFlight; k > 0; k-- {
			rejected := k > capacity
			l.end(now, rejected, false)
			if i > steps/2 {
				completed++
				if rejected {
					rejections++
				}
			}
		}
		if i > steps/2 {
			limitSamples++
			sum += l.max
		}
	}
	return sum / float64(limitSamples), float64(rejections) / float64(completed)
}

// TestLimit: where targets are full, the limit converges to their capacity and follows it up
// again; while no target is full there is no limit.
func TestLimit(t *testing.T) {
	l := &concurrencyLimit{}
	for i, capacity := range []int{20, 60, 10} {
		if mean, full := simulateLimit(l, time.Unix(int64(1+i*60), 0), capacity, 3000); mean < 0.7*float64(capacity) || mean > 1.4*float64(capacity) || full > 0.15 {
			t.Errorf("capacity %d: limit %.1f, %.2f met full targets", capacity, mean, full)
		}
	}
	unlimited := &concurrencyLimit{}
	now := time.Unix(1, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for range 30 {
			if !unlimited.allows() {
				t.Fatal("limited without a full target")
			}
			unlimited.begin()
		}
		for range 30 {
			unlimited.end(now, false, false)
		}
	}
	// The limit never blocks a node completely, however full all targets are.
	for range 1000 {
		now = now.Add(limitInterval)
		for range minLimitSamples {
			unlimited.begin()
			unlimited.end(now, true, false)
		}
	}
	if !unlimited.allows() || unlimited.max < minLimit {
		t.Errorf("no request allowed: %+v", unlimited)
	}
}

// TestLimitOfSlowness: where the requests in flight make every answer slower than its latency target,
// the limit converges to what is answered in time; a few slow answers among many have no effect.
func TestLimitOfSlowness(t *testing.T) {
	const capacity = 10
	l, now, slowCount, completed := &concurrencyLimit{}, time.Unix(1, 0), 0, 0
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		for l.allows() && l.inFlight < 4*capacity {
			l.begin()
		}
		for k := l.inFlight; k > 0; k-- {
			slow := l.inFlight > capacity+k%3
			l.end(now, false, slow)
			if i > 1500 {
				completed++
				if slow {
					slowCount++
				}
			}
		}
	}
	if l.max > 1.6*capacity || l.max < 0.6*capacity {
		t.Errorf("limit %.1f where %d are answered in time", l.max, capacity)
	}
	if part := float64(slowCount) / float64(completed); part > 0.5 {
		t.Errorf("%.2f of all requests are slow", part)
	}
	lightlySlow := &concurrencyLimit{}
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		lightlySlow.begin()
		lightlySlow.end(now, false, i%8 == 0)
	}
	if !lightlySlow.allows() || lightlySlow.max != 0 {
		t.Errorf("limited to %.1f by one slow answer in eight", lightlySlow.max)
	}
}

// TestLimitKeepsItsShare: where answers are lost although this node has no more in flight than
// its share of the slots, capacity is not the cause, and the limit stays at the share.
func TestLimitKeepsItsShare(t *testing.T) {
	l, now := &concurrencyLimit{share: 12}, time.Unix(1, 0)
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		for l.allows() && l.inFlight < 40 {
			l.begin()
		}
		l.end(now, i%5 == 0, false)
	}
	if l.max < 12 || l.max > 13 {
		t.Errorf("limit %.1f with a share of 12 where a fifth of all requests is rejected", l.max)
	}
	// A limit below the share stays, and slowness alone does not lower it either.
	for _, c := range []struct {
		full, slow bool
		from       float64
	}{{true, false, 5}, {true, true, 5}, {false, true, 5}, {false, true, 12}} {
		l.max, l.slowRatio = c.from, 0
		if c.slow {
			l.slowRatio = 1
		}
		for range 40 * minLimitSamples {
			now = now.Add(limitInterval)
			l.begin()
			l.end(now, c.full, c.slow)
		}
		if l.max != c.from {
			t.Errorf("limit %.1f, from %.1f, full %v, slow %v", l.max, c.from, c.full, c.slow)
		}
	}
}
