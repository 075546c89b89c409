package target

import "time"

// LastHeard returns when this node itself received a run's newest heartbeat, and when it
// last received any information about the run. A time is zero if that never happened.
func (t *Table) LastHeard(id string) (beat, last time.Time) {
	e := t.runs[id]
	if e == nil {
		return beat, last
	}
	return e.ownSeqAt, e.heardAt
}
