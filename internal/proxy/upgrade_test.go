package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
	"walkrudder/internal/target"
	"walkrudder/internal/upgrade"
)

// versioned is a run of a version.
func versioned(id, version string) target.Run {
	r := at(id, "a", 2)
	r.Version = version
	return r
}

// inUpgrade has a node know an upgrade of its service from v1 to v2, with a share of the requests in thousandths.
func inUpgrade(t *testing.T, share int, runs ...target.Run) (*Node, *service) {
	t.Helper()
	n, s := plan(runs...)
	u, verdict := upgrade.Order{Service: "svc", To: "v2", Term: time.Minute}.Apply(upgrade.Upgrade{}, "v1", time.Now())
	if verdict != upgrade.Started {
		t.Fatal(verdict)
	}
	if share != u.Share {
		u = u.WithShare(share)
	}
	n.TakeItems([]item.Item{u.Item()})
	n.SetAsOf(time.Now().Add(time.Millisecond))
	return n, s
}

// A target of another version gets nothing before the node's news is newer than its first sight of that version.
func TestAnUnknownVersionGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := plan(versioned("a1", "v1"), versioned("a2", "v1"))
		seen := time.Now()
		n.TakeRuns([]target.Run{versioned("a3", "v2")})
		for _, id := range fill(n, s, route.Idempotent) {
			if id == "a3" {
				t.Fatal("it got a request")
			}
		}
		n.SetAsOf(seen.Add(time.Millisecond))
		if s.all["a3"].lane != upgrade.Stable {
			t.Error("it gets nothing though no upgrade to it was acknowledged")
		}
	})
}

// A gateway's part for the new version follows the share, whatever its requests.
func TestTheShareIsDrawnByLot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, share := range []int{50, 200, 400} {
			n, s := inUpgrade(t, share, versioned("a1", "v1"), versioned("a2", "v1"), versioned("b1", "v2"), versioned("b2", "v2"), versioned("b3", "v2"))
			got := 0
			const asked = 20000
			for i := range asked {
				x := ask(n, s, route.Idempotent)
				x.lot = float64(i) / asked
				g := s.take(x)
				if g.e.run.Version == "v2" {
					got++
				}
				s.release(g, answered, time.Millisecond, 0)
			}
			if got != asked*share/upgrade.FullShare {
				t.Errorf("share %d: %d of %d", share, got, asked)
			}
		}
	})
}

// With all requests at the new version the old targets get none, and what is under way there is told.
func TestOldTargetsAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := inUpgrade(t, 200, versioned("a1", "v1"), versioned("b1", "v2"))
		x := ask(n, s, route.Idempotent)
		x.lot = 0.9
		old := s.take(x)
		last := s.moves.versions.Upgrade().WithShare(upgrade.FullShare)
		n.TakeItems([]item.Item{last.Item()})
		if r := n.UpgradeReports(); len(r) != 1 || r[0].OldUnderWay != 1 || r[0].Number != last.Number {
			t.Errorf("with a request under way: %+v", r)
		}
		for _, id := range fill(n, s, route.Idempotent) {
			if id == "a1" {
				t.Error("an old target got a request")
			}
		}
		s.release(old, answered, time.Millisecond, 0)
		if r := n.UpgradeReports(); len(r) != 1 || r[0].OldUnderWay != 0 {
			t.Errorf("with none: %+v", r)
		}
	})
}

// Guards against a good version that was reverted: on a route with few requests each gateway's first answer of the old
// version counted as not slow, though nothing was known there of what is slow.
func TestAnswersCountOnlyWhereSlowIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := inUpgrade(t, 200, versioned("a1", "v1"), versioned("b1", "v2"))
		s.tally("rare", s.all["a1"], answered, 300*time.Millisecond)
		s.tally("rare", s.all["b1"], answered, 900*time.Millisecond)
		for _, r := range n.UpgradeReports()[0].Routes {
			if r.Old.Answers > 0 || r.New.Answers > 0 {
				t.Errorf("after one answer of each: %+v", r)
			}
		}
		s.tally("rare", s.all["b1"], erred, time.Millisecond)
		if r := n.UpgradeReports()[0].Routes; len(r) != 1 || r[0].New.Failed != 1 {
			t.Errorf("a failure counts always: %+v", r)
		}
		for range boundAfter {
			s.tally("rare", s.all["a1"], answered, 300*time.Millisecond)
		}
		s.tally("rare", s.all["b1"], answered, 900*time.Millisecond)
		if r := n.UpgradeReports()[0].Routes; len(r) != 1 || r[0].Old.Answers != 1 || r[0].New.Bad != 2 {
			t.Errorf("once it is known: %+v", r)
		}
	})
}
