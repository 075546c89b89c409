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

// confirmations are the contents that operators were told to be in force, by item and
// version. It does not use the product's own order of copies: that order is judged here.
type confirmations struct {
	mu   sync.Mutex
	sets map[item.Key]map[uint64]map[string]bool
}

func (c *confirmations) note(items []item.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sets == nil {
		c.sets = map[item.Key]map[uint64]map[string]bool{}
	}
	for _, i := range items {
		if c.sets[i.Key] == nil {
			c.sets[i.Key] = map[uint64]map[string]bool{}
		}
		if c.sets[i.Key][i.Version] == nil {
			c.sets[i.Key][i.Version] = map[string]bool{}
		}
		c.sets[i.Key][i.Version][content(i)] = true
	}
}

// content is what tells two contents of one version apart.
func content(i item.Item) string {
	if i.Gone {
		return "dropped"
	}
	return string(i.Body)
}

// check wants one content at most for each version.
func (c *confirmations) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, versions := range c.sets {
		for v, contents := range versions {
			if len(contents) > 1 {
				t.Errorf("%d contents of %v at version %d were confirmed", len(contents), k, v)
			}
		}
	}
}

// raceOutcome is what the operators of one race were told.
type raceOutcome struct{ confirmed, refused, unclear int }

// raceChanges sends two contents of one version of one route to two nodes at once, each again
// while the answer is unclear, and tells what the operators were told at last.
func (cl *cluster) raceChanges(c *confirmations, round int, lost func() bool) (out raceOutcome) {
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
					// The answer is lost on its way: the same is sent again.
				case err == nil:
					confirmed = true
					c.note(itemsOf(change))
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

// Of two operators who send two contents of one version to two nodes one is confirmed and
// the other refused, and the refused content is in force nowhere.
func TestOneContentOfAVersionIsConfirmed(t *testing.T) {
	eachSeed(t, func(cl *cluster) {
		cl.mustApply(baseChange(2), cl.controllers)
		var c confirmations
		for round := range 10 {
			if got := cl.raceChanges(&c, round, nil); got.confirmed != 1 || got.refused != 1 {
				t.Errorf("round %d: %+v", round, got)
			}
		}
		c.check(t)
		time.Sleep(propagationLimit)
		key := item.Key{Kind: item.Route, Name: "r0"}
		for _, x := range cl.gateways {
			if got := x.item(key); !c.sets[key][got.Version][content(got)] {
				t.Errorf("%s shows a content that was not confirmed: %+v", x.id, got)
			}
		}
	})
}

// The same while answers are lost and a controller is killed or loses its disk in each round.
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
			got := cl.raceChanges(&c, round, func() bool { return cl.randN(2) == 0 })
			if got.confirmed > 1 || got.confirmed+got.refused+got.unclear != 2 {
				t.Errorf("round %d: %+v", round, got)
			}
			time.Sleep(7 * time.Second) // an emptied disk has taken its seat back
		}
		c.check(t)
		for v := range uint64(6) {
			if n := len(c.sets[item.Key{Kind: item.Route, Name: "r0"}][10+2*v]); n > 1 {
				t.Error(fmt.Sprint("version ", 10+2*v, " has ", n, " contents"))
			}
		}
		cl.expectAcknowledged(cl.controllers)
	})
}
