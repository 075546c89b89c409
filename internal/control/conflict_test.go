package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
)

// confirmations records the contents whose changes were acknowledged, by item and version. It
// deliberately avoids the product's own comparison of copies, which is under test.
type confirmations struct {
	mu       sync.Mutex
	contents map[item.Key]map[uint64]map[string]bool
}

func (c *confirmations) record(items []item.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.contents == nil {
		c.contents = map[item.Key]map[uint64]map[string]bool{}
	}
	for _, i := range items {
		if c.contents[i.Key] == nil {
			c.contents[i.Key] = map[uint64]map[string]bool{}
		}
		if c.contents[i.Key][i.Version] == nil {
			c.contents[i.Key][i.Version] = map[string]bool{}
		}
		c.contents[i.Key][i.Version][content(i)] = true
	}
}

// content distinguishes two contents of one version.
func content(i item.Item) string {
	if i.Gone {
		return "dropped"
	}
	return string(i.Body)
}

// check fails the test if more than one content of a version was confirmed.
func (c *confirmations) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, versions := range c.contents {
		for v, contents := range versions {
			if len(contents) > 1 {
				t.Errorf("%d contents of %v at version %d were confirmed", len(contents), k, v)
			}
		}
	}
}

// conflictOutcome counts the answers that the operators of one conflict received.
type conflictOutcome struct{ confirmed, refused, unclear int }

// sendConflictingChanges concurrently sends two contents of one version of one route to two nodes, retrying each
// while its outcome is unknown, and returns the final answers.
func (cl *cluster) sendConflictingChanges(c *confirmations, round int, lost func() bool) (out conflictOutcome) {
	version := uint64(10 + 2*round)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for op, service := range []string{"a", "b"} {
		change := Change{Routes: []route.Route{routeTo("r0", version, service)}}
		turn := shuffled(cl, cl.controllers)
		wg.Go(func() {
			confirmed, refused := false, false
			for try := range 12 {
				ps, err := cl.apply(turn[(try+op)%len(turn)], change)
				switch {
				case len(ps) > 0 || IsConflict(err):
					refused = true
				case err == nil && lost != nil && lost():
					// The answer is lost on the network: the same change is sent again.
				case err == nil:
					confirmed = true
					c.record(itemsOf(change))
				}
				if confirmed || refused {
					break
				}
				time.Sleep(20 * time.Millisecond << min(try, 4))
			}
			mu.Lock()
			defer mu.Unlock()
			out.confirmed += lo.Ternary(confirmed, 1, 0)
			out.refused += lo.Ternary(refused, 1, 0)
			out.unclear += lo.Ternary(!confirmed && !refused, 1, 0)
		})
	}
	wg.Wait()
	return out
}

// Of two operators who concurrently send two contents of one version to two nodes, one is confirmed and
// the other refused, and the refused content is in force nowhere.
func TestOneContentOfAVersionIsConfirmed(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(2), cl.controllers)
		var c confirmations
		for round := range 10 {
			if got := cl.sendConflictingChanges(&c, round, nil); got.confirmed != 1 || got.refused != 1 {
				t.Errorf("round %d: %+v", round, got)
			}
		}
		c.check(t)
		time.Sleep(propagationLimit)
		key := item.Key{Kind: item.Route, Name: "r0"}
		for _, x := range cl.gateways {
			if got := x.item(key); !c.contents[key][got.Version][content(got)] {
				t.Errorf("%s shows content that was not confirmed: %+v", x.id, got)
			}
		}
	})
}

// As above, while answers are lost, and in each round a controller is killed or loses its disk.
func TestOneContentOfAVersionIsConfirmedInTrouble(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(2), cl.controllers)
		var c confirmations
		for round := range 6 {
			cl.wg.Go(func() {
				time.Sleep(time.Duration(cl.randN(12)) * time.Millisecond)
				m := pick(cl, cl.controllers)
				m.kill()
				if m.disk != nil && round%3 == 0 {
					m.disk.wipe()
				}
				m.boot()
			})
			got := cl.sendConflictingChanges(&c, round, func() bool { return cl.randN(2) == 0 })
			if got.confirmed > 1 || got.confirmed+got.refused+got.unclear != 2 {
				t.Errorf("round %d: %+v", round, got)
			}
			time.Sleep(7 * time.Second) // time for a wiped disk to get its seat back
		}
		c.check(t)
		for v := range uint64(6) {
			if n := len(c.contents[item.Key{Kind: item.Route, Name: "r0"}][10+2*v]); n > 1 {
				t.Error(fmt.Sprint("version ", 10+2*v, " has ", n, " contents"))
			}
		}
		cl.expectAcknowledged(cl.controllers)
	})
}
