package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// maxTakeover bounds the time from the expiry of a holder's lease until another node holds the
// duty, while a majority of the lease servers answers.
const maxTakeover = 1500 * time.Millisecond

// The holder of a duty and one lease server fail together. One of the other nodes must take the
// duty over soon after its lease has expired, in whatever order their requests arrive.
func TestADutyIsTakenOverThoughACourtIsSilent(t *testing.T) {
	for trial := range 150 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l := newCluster(ctx, t)
			holder := l.leaseClient("w", &cluster{servers: l.servers, delay: map[string]time.Duration{}})
			holder.RequestDuty("duty")
			holderCtx, stopHolder := context.WithCancel(ctx)
			go holder.Run(holderCtx)
			time.Sleep(DutyLeaseDuration + 2*RenewInterval) // warm-up of the lease servers
			if !holder.HoldsDuty("duty") {
				t.Fatal("nobody holds the duty at first")
			}
			var others []*LeaseClient
			var networks []*cluster
			for i, id := range []string{"x", "y", "z"} {
				// The nodes don't start at the same time.
				network := l.nearestTo(i)
				other := l.leaseClient(id, network)
				other.RequestDuty("duty")
				others, networks = append(others, other), append(networks, network)
				time.Sleep(time.Duration(trial*7%250) * time.Millisecond / 3)
				go other.Run(ctx)
			}
			time.Sleep(time.Second)
			stopHolder()
			for _, network := range networks {
				network.setDelay("c", time.Hour)
			}
			began := time.Now()
			for time.Since(began) < DutyLeaseDuration+maxTakeover {
				time.Sleep(10 * time.Millisecond)
				holders := 0
				for _, o := range others {
					if o.HoldsDuty("duty") {
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
			t.Errorf("trial %d: nobody holds the duty %s after its holder failed", trial, time.Since(began))
		})
	}
}
