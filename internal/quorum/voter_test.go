package quorum

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/link"
)

// runSynctest runs f in a synctest bubble and lets its goroutines end after its context is cancelled.
func runSynctest(t *testing.T, f func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, t)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// A voter refuses to start on the disk of another node.
func TestAnotherNodesDiskIsRefused(t *testing.T) {
	d := newMemDisk()
	if _, err := NewVoter(Seat{ID: "a"}, d, "x", nil, nil, nil); err != nil {
		t.Fatal(err)
	}
	if v, err := NewVoter(Seat{ID: "a"}, d, "y", nil, nil, nil); err != nil || v.Seat().Disk != "x" {
		t.Errorf("refused its own disk, or took a new incarnation: %v", err)
	}
	if _, err := NewVoter(Seat{ID: "b"}, d, "z", nil, nil, nil); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("another node's disk: got %v, want ErrWrongOwner", err)
	}
}

// A voter promises a ballot, loses its disk and returns with an empty one. An accept that relies
// on that promise must not count, or two majorities could choose different values.
func TestPromiseGivenBeforeTheDiskWasLostIsWorthless(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, _ := newVoterCluster(ctx, t)
		old := l.core.Seats[2]
		b := Ballot{5, "p"}
		for _, s := range []string{"b", "c"} {
			r, err := link.Call[PrepareTold](ctx, l, s, PrepareAsk{Mark{Epoch: 1}, "k", b})
			if err != nil || !r.Yes {
				t.Fatal(r, err)
			}
		}
		// The disk of c is erased; the seat goes to its next incarnation.
		c := l.startVoter("c", newMemDisk(), "disk-c2")
		if r, _ := link.Call[AcceptTold](ctx, l, "c", AcceptAsk{Mark{1, old.Disk}, "k", b, []byte("v")}); r.OK || r.Yes {
			t.Error("a voter with an erased disk accepted a value in an epoch that it no longer knows")
		}
		next := Core{Epoch: 2, Seats: []Seat{l.core.Seats[0], l.core.Seats[1], c.Seat()}}
		if _, err := link.Call[JoinTold](ctx, l, "c", JoinAsk{next, l.core.Seats[:2]}); err == nil {
			t.Error("a voter joined from voters that were never sealed")
		}
		for _, s := range []string{"a", "b"} {
			if r, err := link.Call[SealTold](ctx, l, s, SealAsk{next}); err != nil || !r.OK {
				t.Fatal(r, err)
			}
		}
		if r, err := link.Call[JoinTold](ctx, l, "c", JoinAsk{next, l.core.Seats[:2]}); err != nil || !r.OK {
			t.Fatal(r, err)
		}
		for name, m := range map[string]Mark{"the lost disk": {2, old.Disk}, "the old epoch": {1, c.Seat().Disk}, "no disk": {Epoch: 2}} {
			if r, _ := link.Call[AcceptTold](ctx, l, "c", AcceptAsk{m, "k", b, []byte("v")}); r.OK || r.Yes {
				t.Errorf("an accept marked with %s was counted", name)
			}
		}
		// The join pulled the promise itself from b.
		if r, _ := link.Call[PrepareTold](ctx, l, "c", PrepareAsk{Mark{Epoch: 2}, "k", Ballot{4, "q"}}); r.Yes {
			t.Error("a ballot lower than the promise was promised after the join")
		}
	})
}

func TestFailedSyncIsNeverAnswered(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, memDisks := newVoterCluster(ctx, t)
		l.mustSet(l.newProposer("p"), "k", "1")
		memDisks["a"].setFailing(true)
		if _, err := link.Call[PrepareTold](ctx, l, "a", PrepareAsk{Mark{Epoch: 1}, "k", Ballot{9, "p"}}); !errors.Is(err, ErrDiskFailed) {
			t.Errorf("answered on a failed disk: %v", err)
		}
		memDisks["a"].setFailing(false)
		if _, err := link.Call[ReadTold](ctx, l, "a", ReadAsk{Mark{Epoch: 1}, "k"}); !errors.Is(err, ErrDiskFailed) {
			t.Errorf("kept voting after a failed sync: %v", err)
		}
		p := l.newProposer("q")
		l.mustSet(p, "k", "2")
		if v := l.mustGet(p, "k"); v != "2" {
			t.Errorf("the other two voters hold %q", v)
		}
	})
}

func TestRestartKeepsWhatWasAcknowledged(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, memDisks := newVoterCluster(ctx, t)
		l.mustSet(l.newProposer("p"), "k", "1")
		for _, id := range []string{"a", "b", "c"} {
			if v := l.startVoter(id, memDisks[id], "never"); v.Seat().Disk != "disk-"+id || !v.Voting() {
				t.Errorf("%s restarted as %+v, voting %v", id, v.Seat(), v.Voting())
			}
		}
		if v := l.mustGet(l.newProposer("q"), "k"); v != "1" {
			t.Errorf("value after all voters restarted: %q", v)
		}
	})
}
