package day

import (
	"fmt"
	"time"
)

const (
	// disconnectSlack is how long after the caller disconnected its request may still reach a target, and a
	// target may still work on an idempotent request.
	disconnectSlack = 500 * time.Millisecond
	// maxLateRequests is how many requests may exceed disconnectSlack.
	maxLateRequests = 3
	// maxLateShare is the share of the longer requests whose work may continue beyond disconnectSlack.
	maxLateShare = 0.25
)

// disconnectRate is the share of callers that disconnect before their deadline, and how long after sending.
type disconnectRate struct {
	share float64
	after time.Duration
}

// CallersDisconnect makes a share of the callers close their connections some time after sending if
// they have no response by then.
func CallersDisconnect(share float64, after, d time.Duration) Scenario {
	set := func(w *World, l disconnectRate) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.disconnects = l
	}
	return During(d, func(w *World) func() {
		set(w, disconnectRate{share, after})
		return func() { set(w, disconnectRate{}) }
	})
}

// callerWait draws how long a caller waits and reports whether it disconnects before its deadline.
func (w *World) callerWait(deadline time.Time) (until time.Time, disconnects bool) {
	w.mu.Lock()
	l := w.disconnects
	w.mu.Unlock()
	early := time.Now().Add(l.after)
	if l.share == 0 || w.randFloat() >= l.share || !early.Before(deadline) {
		return deadline, false
	}
	return early, true
}

// CheckDisconnects checks that a request whose caller disconnected is no longer sent to targets, and that
// targets stop work on idempotent ones, both within disconnectSlack.
func CheckDisconnects(r *Record) (out []Violation) {
	arrivals := arrivalsByRequest(r)
	contacts := newContactHistory(r)
	var late, longer, worked []*Arrival
	for _, q := range r.Requests {
		end := q.Done + disconnectSlack
		if !q.Disconnected || !contacts.inContact(q.Machine, q.Sent, end) {
			continue
		}
		for _, a := range arrivals[q.ID] {
			switch {
			case a.ArrivedAt > end:
				late = append(late, a)
			case q.AtMostOnce || !a.Ran || a.DueAt <= end || len(r.TargetPathFaults[a.Run]) > 0:
			default:
				longer = append(longer, a)
				if a.FinishedAt > end {
					worked = append(worked, a)
				}
			}
		}
	}
	if len(late) > maxLateRequests {
		out = append(out, Violation{"GONE", late[0].ArrivedAt, fmt.Sprintf("%d requests reached a target after their callers had disconnected, the first is %s", len(late), late[0].ID)})
	}
	if len(worked) > maxLateRequests && float64(len(worked)) > maxLateShare*float64(len(longer)) {
		out = append(out, Violation{"GONE", worked[0].FinishedAt, fmt.Sprintf("targets continued work on %d of %d requests after their callers had disconnected, the first is %s", len(worked), len(longer), worked[0].ID)})
	}
	return out
}
