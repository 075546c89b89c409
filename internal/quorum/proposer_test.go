package quorum

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"walkrudder/internal/link"
)

func TestCollidingChangesHaveOneWinner(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, _ := newVoterCluster(ctx, t)
		taken := errors.New("taken")
		var mu sync.Mutex
		var wg sync.WaitGroup
		won := map[string]bool{}
		reported := map[string]bool{}
		for i := range 8 {
			wg.Go(func() {
				me := fmt.Sprint("w", i)
				v, err := l.newProposer(me).Change(ctx, "k", func(old []byte) ([]byte, error) {
					if old != nil && string(old) != me {
						return nil, taken
					}
					return []byte(me), nil
				})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					won[me] = true
				case errors.Is(err, taken):
					reported[string(v)] = true
				default:
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if len(won) != 1 || len(reported) != 1 {
			t.Fatalf("winners %v, the others got %v", won, reported)
		}
		for w := range won {
			if !reported[w] || l.mustGet(l.newProposer("r"), "k") != w {
				t.Errorf("%s won, the others got %v", w, reported)
			}
		}
	})
}

func TestReadsAndSweepsMendOldCopies(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, _ := newVoterCluster(ctx, t)
		p := l.newProposer("p")
		l.mustSet(p, "k", "1")
		time.Sleep(time.Second)
		l.setUnreachable(func(a string, _ any) bool { return a == "c" })
		l.mustSet(p, "k", "2")
		l.setUnreachable(func(a string, _ any) bool { return a == "a" })
		if got := l.valueAt("c", "k"); got != "1" {
			t.Fatalf("c holds %q before", got)
		}
		if v := l.mustGet(l.newProposer("q"), "k"); v != "2" {
			t.Fatalf("read %q", v)
		}
		time.Sleep(time.Second)
		if got := l.valueAt("c", "k"); got != "2" {
			t.Errorf("after the read c holds %q", got)
		}
		l.setUnreachable(func(a string, _ any) bool { return a == "c" })
		for i := range 5 {
			l.mustSet(p, fmt.Sprint("m", i), "3")
		}
		l.setUnreachable(nil)
		n, err := p.RepairCopies(ctx)
		time.Sleep(time.Second)
		if err != nil || n != 6 || l.valueAt("c", "m4") != "3" || l.valueAt("a", "k") != "2" {
			t.Errorf("repaired %d registers, %v; c holds %q", n, err, l.valueAt("c", "m4"))
		}
		if n, err := p.RepairCopies(ctx); n != 0 || err != nil {
			t.Errorf("a second repair changed %d registers, %v", n, err)
		}
	})
}

// An accept that reached only one voter is either completed or never seen: a reader must
// not see the value if it can still be lost.
func TestHalfWrittenValueIsFinishedBeforeItIsTold(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, _ := newVoterCluster(ctx, t)
		l.setUnreachable(func(a string, ask any) bool {
			_, acc := ask.(AcceptAsk)
			return acc && a != "a"
		})
		shortCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		if _, err := l.newProposer("p").Change(shortCtx, "k", func([]byte) ([]byte, error) { return []byte("half"), nil }); !errors.Is(err, ErrNoQuorum) {
			t.Fatalf("%v, want no majority", err)
		}
		l.setUnreachable(nil)
		refuse := errors.New("not wanted")
		v, err := l.newProposer("q").Change(ctx, "k", func(old []byte) ([]byte, error) {
			if old != nil {
				return nil, refuse
			}
			return []byte("mine"), nil
		})
		if errors.Is(err, refuse) {
			l.setUnreachable(func(a string, _ any) bool { return a == "a" })
			if got := l.mustGet(l.newProposer("r"), "k"); got != "half" || string(v) != "half" {
				t.Errorf("Change returned %q, but with a unreachable %q was read", v, got)
			}
		} else if err != nil || string(v) != "mine" {
			t.Errorf("%q %v", v, err)
		}
	})
}

func TestListAndLast(t *testing.T) {
	runSynctest(t, func(ctx context.Context, t *testing.T) {
		l, _ := newVoterCluster(ctx, t)
		p := l.newProposer("p")
		for i := range 30 {
			skip := []string{"a", "b", "c"}[i%3]
			l.setUnreachable(func(a string, _ any) bool { return a == skip })
			l.mustSet(p, fmt.Sprintf("x/%02d", i), fmt.Sprint(i))
		}
		l.mustSet(p, "y/1", "other")
		l.setUnreachable(func(a string, _ any) bool { return a == "b" })
		n := 0
		if err := p.List(ctx, "x/", "x/09", func(k string, v []byte) error {
			if k != fmt.Sprintf("x/%02d", n+10) || string(v) != fmt.Sprint(n+10) {
				t.Errorf("%s = %q at %d", k, v, n)
			}
			n++
			return nil
		}); err != nil || n != 20 {
			t.Errorf("%d listed, %v", n, err)
		}
		if k, v, err := p.Last(ctx, "x/"); k != "x/29" || string(v) != "29" || err != nil {
			t.Errorf("last %s %q %v", k, v, err)
		}
		l.setUnreachable(nil)
		if err := p.DropBelow(ctx, "x/", "x/20"); err != nil {
			t.Fatal(err)
		}
		if r, _ := link.Call[PrepareTold](ctx, l, "a", PrepareAsk{Mark{Epoch: 1}, "x/03", Ballot{99, "z"}}); r.Yes {
			t.Error("an item below the floor was promised")
		}
		if got := l.mustGet(p, "x/20"); got != "20" {
			t.Errorf("the floor's own item: %q", got)
		}
	})
}
