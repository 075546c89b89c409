package target

import (
	"testing"
	"time"
)

// Heartbeats received here are distinguished from information that other nodes sent.
func TestHeardTellsOwnBeatsFromOthers(t *testing.T) {
	tb := NewTable()
	tb.ReceiveHeartbeat(Heartbeat{ID: "1", Service: "a", Addr: "10.0.0.1:1", Seq: 1}, time.Second, testStart)
	tb.Merge(testRun("2", 1, Ready), testStart.Add(time.Second))
	tb.Merge(testRun("1", 2, Draining), testStart.Add(2*time.Second))
	for id, want := range map[string][2]time.Time{"1": {testStart, testStart.Add(2 * time.Second)}, "2": {{}, testStart.Add(time.Second)}, "3": {}} {
		if beat, last := tb.LastHeard(id); beat != want[0] || last != want[1] {
			t.Errorf("%s: %v and %v, want %v", id, beat, last, want)
		}
	}
}
