package target

import "time"

// LastHeard tells when this node received a run's newest beat itself, and when it heard of
// the run at all: both are zero where it never did.
func (t *Table) LastHeard(id string) (beat, last time.Time) {
	e := t.runs[id]
	if e == nil {
		return beat, last
	}
	return e.ownSeqAt, e.heardAt
}
