package control

import (
	"testing"
	"time"

	"walkrudder/internal/upgrade"
)

// Reports hold totals since the order: a late or repeated report counts nothing twice, and the counts of a lost report are
// included in the next one.
func TestReportsCountOnce(t *testing.T) {
	d := &upgradeState{analyzer: upgrade.NewAnalyzer(), reports: map[string]*gatewayReport{}}
	report := func(inc, seq uint64, answers int) upgrade.Report {
		count := upgrade.Tally{Answers: answers, Bad: answers / 2, Failed: answers / 4}
		return upgrade.Report{Gateway: "g", Inc: inc, Seq: seq, Routes: []upgrade.RouteCount{{Route: "r", Old: count, New: count}}, Targets: []upgrade.TargetCount{{Target: "t", Tally: count}}}
	}
	for _, x := range []struct {
		inc, seq uint64
		answers  int
		want     int // total answers
	}{{1, 1, 4, 4}, {1, 3, 12, 12}, {1, 2, 8, 12}, {1, 3, 12, 12}, {1, 5, 20, 20}, {2, 1, 4, 24}} {
		d.addReport(report(x.inc, x.seq, x.answers), time.Now())
		if got := d.analyzer.Routes()[0]; got.New.Answers != x.want || got.Old.Answers != x.want {
			t.Errorf("after report %d of incarnation %d: %+v, want %d answers", x.seq, x.inc, got, x.want)
		}
	}
}
