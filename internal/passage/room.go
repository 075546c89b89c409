package passage

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"walkrudder/internal/registry"
)

const (
	// slower and sooner are the weights of the newest answer in the time that a target
	// takes, where it took longer than the mean and where not: few answers come while
	// there is little room, and one that is soon says that the queue has gone.
	slower = 0.1
	sooner = 0.4
	// useful is the part of a request's time left within which its target should be
	// done: the rest is for an answer that comes late.
	useful = 0.8
	// unmet is how many times faster than need be a target is taken to be that never
	// answered.
	unmet = 4
	// common of a service's room is for all its bindings alike; what is beyond is only
	// for those that have less than their equal part of the room (design 13.8).
	commonRoom = 0.75
	// mostRetry bounds what a refused caller is told to wait.
	mostRetry = 10 * time.Second
)

// room is how many sendings this gateway may have under way at a target of which each is
// to be done within d: what the target's announced capacity finishes in that time, at
// the pace seen, shared with all other gateways alike. Of a target that never answered
// not much is expected.
func room(s *registry.Target, d time.Duration, gateways int) float64 {
	may := useful * float64(d)
	took := float64(s.MeanLatency())
	if took <= 0 {
		took = may / unmet
	}
	return float64(max(1, s.Capacity.Load())) * may / took / float64(max(1, gateways))
}

// Lane counts one service's sendings, queued and under way, at this gateway, and how many
// calls it was asked to take.
type Lane struct {
	all   atomic.Int64
	waits atomic.Int64 // calls that wait a moment for room
	by    sync.Map     // by binding: *atomic.Int64

	mu    sync.Mutex
	since time.Time
	asked float64
	let   float64
}

func (l *Lane) of(binding string) *atomic.Int64 {
	if c, ok := l.by.Load(binding); ok {
		return c.(*atomic.Int64)
	}
	c, _ := l.by.LoadOrStore(binding, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// enter takes a place for one sending of a binding, where the room of the service and
// the part of the binding in it allow it; kinds is how many bindings share.
func (l *Lane) enter(binding string, room float64, kinds int) bool {
	room = math.Min(math.Max(1, room), laneWide)
	mine := l.of(binding)
	all, own := float64(l.all.Add(1)), float64(mine.Add(1))
	if all > room || all > commonRoom*room && own > math.Max(1, room/float64(max(1, kinds))) {
		l.leave(binding)
		return false
	}
	return true
}

// wait takes a place among those that wait for room, of whom there are no more than
// the room itself: whoever comes beyond in a crowd is refused at once.
func (l *Lane) wait(room float64) bool {
	if float64(l.waits.Add(1)) > math.Max(1, room) {
		l.waits.Add(-1)
		return false
	}
	return true
}

// leave gives the place back.
func (l *Lane) leave(binding string) {
	l.all.Add(-1)
	l.of(binding).Add(-1)
}

// note counts a call that was taken, or refused for want of room.
func (l *Lane) note(now time.Time, let bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := now.Sub(l.since); d > time.Second {
		// What came before counts less and less.
		f := math.Exp2(-d.Seconds())
		l.asked, l.let, l.since = l.asked*f, l.let*f, now
	}
	l.asked++
	if let {
		l.let++
	}
}

// retry is when a refused caller had better come back: were all told the same, those
// who come in a second would be as many as are taken in a second.
func (l *Lane) retry() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(mostRetry, max(time.Second, time.Duration(math.Ceil(l.asked/max(1, l.let)))*time.Second))
}
