package quorum

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/link"
)

func in(t *testing.T, f func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		f(ctx, t)
		end()
		time.Sleep(10 * time.Second)
	})
}

// The disk of one node is not taken for another's.
func TestAnotherNodesDiskIsRefused(t *testing.T) {
	d := newMem()
	if _, err := NewVoter(Seat{ID: "a"}, d, "x", nil, nil, nil); err != nil {
		t.Fatal(err)
	}
	if v, err := NewVoter(Seat{ID: "a"}, d, "y", nil, nil, nil); err != nil || v.Seat().Disk != "x" {
		t.Errorf("its own disk: %v", err)
	}
	if _, err := NewVoter(Seat{ID: "b"}, d, "z", nil, nil, nil); !errors.Is(err, ErrOwner) {
		t.Errorf("another's disk: %v", err)
	}
}

// A voter promises a ballot, loses its disk and comes back. An accept that rests
// on that promise must not count, or two majorities could choose differently.
func TestPromiseGivenBeforeTheDiskWasLostIsWorthless(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		l, _ := newLab(ctx, t)
		old := l.core.Seats[2]
		b := Ballot{5, "p"}
		for _, s := range []string{"b", "c"} {
			r, err := link.Ask[PrepareTold](ctx, l, s, PrepareAsk{Mark{Epoch: 1}, "k", b})
			if err != nil || !r.Yes {
				t.Fatal(r, err)
			}
		}
		// c's disk is emptied; the seat goes to its next incarnation.
		c := l.voter("c", newMem(), "disk-c2")
		if r, _ := link.Ask[AcceptTold](ctx, l, "c", AcceptAsk{Mark{1, old.Disk}, "k", b, []byte("v")}); r.OK || r.Yes {
			t.Error("an emptied disk accepted in the epoch that it no longer knows")
		}
		next := Core{Epoch: 2, Seats: []Seat{l.core.Seats[0], l.core.Seats[1], c.Seat()}}
		if _, err := link.Ask[JoinTold](ctx, l, "c", JoinAsk{next, l.core.Seats[:2]}); err == nil {
			t.Error("joined from voters that were never sealed")
		}
		for _, s := range []string{"a", "b"} {
			if r, err := link.Ask[SealTold](ctx, l, s, SealAsk{next}); err != nil || !r.OK {
				t.Fatal(r, err)
			}
		}
		if r, err := link.Ask[JoinTold](ctx, l, "c", JoinAsk{next, l.core.Seats[:2]}); err != nil || !r.OK {
			t.Fatal(r, err)
		}
		for name, m := range map[string]Mark{"the lost disk": {2, old.Disk}, "the old epoch": {1, c.Seat().Disk}, "no disk": {Epoch: 2}} {
			if r, _ := link.Ask[AcceptTold](ctx, l, "c", AcceptAsk{m, "k", b, []byte("v")}); r.OK || r.Yes {
				t.Errorf("an accept marked with %s counted", name)
			}
		}
		// The promise itself came along from b.
		if r, _ := link.Ask[PrepareTold](ctx, l, "c", PrepareAsk{Mark{Epoch: 2}, "k", Ballot{4, "q"}}); r.Yes {
			t.Error("a lower ballot was promised after the join")
		}
	})
}

func TestFailedSyncIsNeverAnswered(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		l, ds := newLab(ctx, t)
		l.set(l.prop("p"), "k", "1")
		ds["a"].breaks(true)
		if _, err := link.Ask[PrepareTold](ctx, l, "a", PrepareAsk{Mark{Epoch: 1}, "k", Ballot{9, "p"}}); !errors.Is(err, ErrBad) {
			t.Errorf("answered %v on a disk that failed", err)
		}
		ds["a"].breaks(false)
		if _, err := link.Ask[ReadTold](ctx, l, "a", ReadAsk{Mark{Epoch: 1}, "k"}); !errors.Is(err, ErrBad) {
			t.Errorf("voted on after a failed sync: %v", err)
		}
		p := l.prop("q")
		l.set(p, "k", "2")
		if v := l.get(p, "k"); v != "2" {
			t.Errorf("the other two hold %q", v)
		}
	})
}

func TestRestartKeepsWhatWasAcknowledged(t *testing.T) {
	in(t, func(ctx context.Context, t *testing.T) {
		l, ds := newLab(ctx, t)
		l.set(l.prop("p"), "k", "1")
		for _, id := range []string{"a", "b", "c"} {
			if v := l.voter(id, ds[id], "never"); v.Seat().Disk != "disk-"+id || !v.Voting() {
				t.Errorf("%s came back as %+v, voting %v", id, v.Seat(), v.Voting())
			}
		}
		if v := l.get(l.prop("q"), "k"); v != "1" {
			t.Errorf("after all restarted: %q", v)
		}
	})
}
