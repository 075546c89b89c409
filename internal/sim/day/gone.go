package day

import (
	"fmt"
	"time"
)

const (
	// goneSlack is how long after a caller left its request may still reach a target, and a
	// target still work on what may be repeated.
	goneSlack = 500 * time.Millisecond
	// goneMost is how many requests may be later than that.
	goneMost = 3
	// goneShare is the part of those that would have lasted longer that may be worked on.
	goneShare = 0.25
)

// leavers are the callers that leave before their deadline.
type leavers struct {
	part  float64
	after time.Duration
}

// CallersLeave has a part of the callers close their connections a while after they sent, unless
// they have their answer by then.
func CallersLeave(part float64, after, d time.Duration) Trouble {
	set := func(w *World, l leavers) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leavers = l
	}
	return For(d, func(w *World) func() {
		set(w, leavers{part, after})
		return func() { set(w, leavers{}) }
	})
}

// patienceOf draws until when a caller waits, and tells whether that is before its deadline.
func (w *World) patienceOf(deadline time.Time) (until time.Time, leaves bool) {
	w.mu.Lock()
	l := w.leavers
	w.mu.Unlock()
	early := time.Now().Add(l.after)
	if l.part == 0 || w.real() >= l.part || !early.Before(deadline) {
		return deadline, false
	}
	return early, true
}

// CallersGone: a request whose caller left is not sent any more, and what may be repeated is not worked
// on, but for a short while.
func CallersGone(r *Record) (out []Breach) {
	arrivals := arrivalsOf(r)
	touch := newTouch(r)
	var late, longer, worked []*Arrival
	for _, q := range r.Requests {
		end := q.Done + goneSlack
		if !q.Left || !touch.in(q.Machine, q.Sent, end) {
			continue
		}
		for _, a := range arrivals[q.ID] {
			switch {
			case a.At > end:
				late = append(late, a)
			case q.Once || !a.Ran || a.Due <= end || len(r.Harmed[a.Run]) > 0:
			default:
				longer = append(longer, a)
				if a.Done > end {
					worked = append(worked, a)
				}
			}
		}
	}
	if len(late) > goneMost {
		out = append(out, Breach{"GONE", late[0].At, fmt.Sprintf("%d requests reached a target after their callers had left, %s the first", len(late), late[0].ID)})
	}
	if len(worked) > goneMost && float64(len(worked)) > goneShare*float64(len(longer)) {
		out = append(out, Breach{"GONE", worked[0].Done, fmt.Sprintf("%d of %d requests were worked on after their callers had left, %s the first", len(worked), len(longer), worked[0].ID)})
	}
	return out
}
