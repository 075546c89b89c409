package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// maxTakeover is how long after the end of a holder's lease the next one has the duty,
// while a majority of the courts answers.
const maxTakeover = 1500 * time.Millisecond

// The machine that held a duty is lost, and a court with it: the others take the duty over
// soon after its lease has lapsed, however their asks fall.
func TestADutyIsTakenOverThoughACourtIsSilent(t *testing.T) {
	for trial := range 150 {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			defer end()
			l := newLab(ctx, t)
			holder := l.tenant("w", &lab{desks: l.desks, slow: map[string]time.Duration{}})
			holder.Seek("duty")
			holding, lose := context.WithCancel(ctx)
			go holder.Run(holding)
			time.Sleep(DutyLease + 2*Renew) // the courts' warm-up
			if !holder.Holds("duty") {
				t.Fatal("nobody holds the duty at first")
			}
			var others []*Tenant
			var ways []*lab
			for i, id := range []string{"x", "y", "z"} {
				// None begins with the others.
				way := l.nearestTo(i)
				other := l.tenant(id, way)
				other.Seek("duty")
				others, ways = append(others, other), append(ways, way)
				time.Sleep(time.Duration(trial*7%250) * time.Millisecond / 3)
				go other.Run(ctx)
			}
			time.Sleep(time.Second)
			lose()
			for _, way := range ways {
				way.pace("c", time.Hour)
			}
			began := time.Now()
			for time.Since(began) < DutyLease+maxTakeover {
				time.Sleep(10 * time.Millisecond)
				holders := 0
				for _, o := range others {
					if o.Holds("duty") {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("trial %d: %d nodes hold one duty", trial, holders)
				}
				if holders == 1 {
					return
				}
			}
			t.Errorf("trial %d: nobody holds the duty %s after its holder was lost", trial, time.Since(began))
		})
	}
}
