package target

import (
	"testing"
	"time"
)

// What came in here and what was only told of are two things.
func TestHeardTellsOwnBeatsFromOthers(t *testing.T) {
	tb := NewTable()
	tb.Hear(Beat{ID: "1", Service: "a", Addr: "10.0.0.1:1", Seq: 1}, time.Second, begin)
	tb.Merge(run("2", 1, Ready), begin.Add(time.Second))
	tb.Merge(run("1", 2, Draining), begin.Add(2*time.Second))
	for id, want := range map[string][2]time.Time{"1": {begin, begin.Add(2 * time.Second)}, "2": {{}, begin.Add(time.Second)}, "3": {}} {
		if beat, last := tb.Heard(id); beat != want[0] || last != want[1] {
			t.Errorf("%s: %v and %v, want %v", id, beat, last, want)
		}
	}
}
