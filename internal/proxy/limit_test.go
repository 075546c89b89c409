package proxy

import (
	"testing"
	"time"
)

// simulateLimit plays a service with room for so many requests of this node at once, which ask as
// often as the limit lets them, and tells the limit's mean over the last half, and the
// part of requests that met full targets then.
func simulateLimit(l *concurrencyLimit, now time.Time, room int, steps int) (mean, full float64) {
	n, fulls, ends := 0, 0, 0
	sum := 0.0
	for i := range steps {
		now = now.Add(20 * time.Millisecond)
		for l.allows() && l.inFlight < 4*room {
			l.begin()
		}
		for k := l.inFlight; k > 0; k-- {
			o := k > room
			l.end(now, o, false)
			if i > steps/2 {
				ends++
				if o {
					fulls++
				}
			}
		}
		if i > steps/2 {
			n++
			sum += l.max
		}
	}
	return sum / float64(n), float64(fulls) / float64(ends)
}

// TestLimit: where targets are full the limit comes down to their room, and goes up again
// with it; where none is there is no limit.
func TestLimit(t *testing.T) {
	l := &concurrencyLimit{}
	for i, room := range []int{20, 60, 10} {
		if mean, full := simulateLimit(l, time.Unix(int64(1+i*60), 0), room, 3000); mean < 0.7*float64(room) || mean > 1.4*float64(room) || full > 0.15 {
			t.Errorf("room for %d: limit %.1f, %.2f met full targets", room, mean, full)
		}
	}
	free := &concurrencyLimit{}
	now := time.Unix(1, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for range 30 {
			if !free.allows() {
				t.Fatal("limited without a full target")
			}
			free.begin()
		}
		for range 30 {
			free.end(now, false, false)
		}
	}
	// It never shuts a node out, however full all are.
	for range 1000 {
		now = now.Add(limitInterval)
		for range minLimitSamples {
			free.begin()
			free.end(now, true, false)
		}
	}
	if !free.allows() || free.max < minLimit {
		t.Errorf("shut out: %+v", free)
	}
}

// TestLimitOfSlowness: where what is under way makes each answer slower than its aim, the
// limit comes down to what is done in time; a few slow answers among many do nothing.
func TestLimitOfSlowness(t *testing.T) {
	const room = 10
	l, now, slows, ends := &concurrencyLimit{}, time.Unix(1, 0), 0, 0
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		for l.allows() && l.inFlight < 4*room {
			l.begin()
		}
		for k := l.inFlight; k > 0; k-- {
			slow := l.inFlight > room+k%3
			l.end(now, false, slow)
			if i > 1500 {
				ends++
				if slow {
					slows++
				}
			}
		}
	}
	if l.max > 1.6*room || l.max < 0.6*room {
		t.Errorf("limit %.1f where %d are done in time", l.max, room)
	}
	if part := float64(slows) / float64(ends); part > 0.5 {
		t.Errorf("%.2f of all are slow", part)
	}
	some := &concurrencyLimit{}
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		some.begin()
		some.end(now, false, i%8 == 0)
	}
	if !some.allows() || some.max != 0 {
		t.Errorf("limited to %.1f by one slow answer in eight", some.max)
	}
}

// TestLimitKeepsItsShare: where answers are lost though this node has no more under way
// than its part of the slots, that is not for want of room, and the limit stays there.
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
		t.Errorf("limit %.1f with a share of 12 where a fifth of all is reset", l.max)
	}
	// One that is lower already stays, and slowness alone is no reason to go lower either.
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
