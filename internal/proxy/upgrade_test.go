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

func versionedRun(id, version string) target.Run {
	r := readyRun(id, "a", 2)
	r.Version = version
	return r
}

// serviceInUpgrade returns a node whose service is being upgraded from v1 to v2, with a share of the requests in thousandths.
func serviceInUpgrade(t *testing.T, share int, runs ...target.Run) (*Node, *service) {
	t.Helper()
	n, s := testService(runs...)
	u, result := upgrade.Order{Service: "svc", To: "v2", Term: time.Minute}.Apply(upgrade.Upgrade{}, "v1", time.Now())
	if result != upgrade.Started {
		t.Fatal(result)
	}
	if share != u.Share {
		u = u.WithShare(share)
	}
	n.ApplyItems([]item.Item{u.Item()})
	n.SetAsOf(time.Now().Add(time.Millisecond))
	return n, s
}

// A target of another version gets no requests until the node's state is newer than its first sight of that version.
func TestAnUnknownVersionGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := testService(versionedRun("a1", "v1"), versionedRun("a2", "v1"))
		seen := time.Now()
		n.ApplyRuns([]target.Run{versionedRun("a3", "v2")})
		for _, id := range acquireAll(n, s, route.Idempotent) {
			if id == "a3" {
				t.Fatal("a target of an unknown version got a request")
			}
		}
		n.SetAsOf(seen.Add(time.Millisecond))
		if s.endpoints["a3"].trafficClass != upgrade.StableTraffic {
			t.Error("it is not in use although no upgrade to it was acknowledged")
		}
	})
}

// The fraction of requests that a gateway sends to the new version equals the share.
func TestTheShareIsDrawnByLot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, share := range []int{50, 200, 400} {
			n, s := serviceInUpgrade(t, share, versionedRun("a1", "v1"), versionedRun("a2", "v1"), versionedRun("b1", "v2"), versionedRun("b2", "v2"), versionedRun("b3", "v2"))
			got := 0
			const asked = 20000
			for i := range asked {
				x := testExchange(n, s, route.Idempotent)
				x.versionDraw = float64(i) / asked
				g := s.tryAcquire(x)
				if g.e.run.Version == "v2" {
					got++
				}
				s.release(g, outcomeAnswered, time.Millisecond, 0)
			}
			if got != asked*share/upgrade.FullShare {
				t.Errorf("share %d: %d of %d requests", share, got, asked)
			}
		}
	})
}

// Once all requests go to the new version, old targets get none, and their requests in flight are reported.
func TestOldTargetsAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := serviceInUpgrade(t, 200, versionedRun("a1", "v1"), versionedRun("b1", "v2"))
		x := testExchange(n, s, route.Idempotent)
		x.versionDraw = 0.9
		old := s.tryAcquire(x)
		final := s.upgrade.versions.Upgrade().WithShare(upgrade.FullShare)
		n.ApplyItems([]item.Item{final.Item()})
		if r := n.UpgradeReports(); len(r) != 1 || r[0].OldUnderWay != 1 || r[0].Number != final.Number {
			t.Errorf("with a request in flight: %+v", r)
		}
		for _, id := range acquireAll(n, s, route.Idempotent) {
			if id == "a1" {
				t.Error("an old target got a request")
			}
		}
		s.release(old, outcomeAnswered, time.Millisecond, 0)
		if r := n.UpgradeReports(); len(r) != 1 || r[0].OldUnderWay != 0 {
			t.Errorf("with none: %+v", r)
		}
	})
}

// Guards against reverting a good version: on a route with few requests, each gateway's first answer of the old version
// counted as not slow, although the bound for slow answers was not known there yet.
func TestAnswersCountOnlyWhereSlowIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := serviceInUpgrade(t, 200, versionedRun("a1", "v1"), versionedRun("b1", "v2"))
		s.recordForUpgrade("rare", s.endpoints["a1"], outcomeAnswered, 300*time.Millisecond)
		s.recordForUpgrade("rare", s.endpoints["b1"], outcomeAnswered, 900*time.Millisecond)
		for _, r := range n.UpgradeReports()[0].Routes {
			if r.Old.Answers > 0 || r.New.Answers > 0 {
				t.Errorf("after one answer of each: %+v", r)
			}
		}
		s.recordForUpgrade("rare", s.endpoints["b1"], outcomeServerError, time.Millisecond)
		if r := n.UpgradeReports()[0].Routes; len(r) != 1 || r[0].New.Failed != 1 {
			t.Errorf("a failure must always count: %+v", r)
		}
		for range minBoundAnswers {
			s.recordForUpgrade("rare", s.endpoints["a1"], outcomeAnswered, 300*time.Millisecond)
		}
		s.recordForUpgrade("rare", s.endpoints["b1"], outcomeAnswered, 900*time.Millisecond)
		if r := n.UpgradeReports()[0].Routes; len(r) != 1 || r[0].Old.Answers != 1 || r[0].New.Bad != 2 {
			t.Errorf("once the bound is known: %+v", r)
		}
	})
}
