package control

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

// errTableFull reports that the table of runs has no room for another run.
var errTableFull = errors.New("too many targets")

// Beat records a heartbeat of a target. A heartbeat of a ready target is only entered in the
// local table. A heartbeat that announces draining is acknowledged only once a majority of
// synced disks holds it.
func (n *Node) Beat(ctx context.Context, b target.Heartbeat) (err error) {
	if err := b.Check(); err != nil {
		n.calls.beats.record(true, nil)
		return err
	}
	defer func() { n.calls.beats.record(false, err) }()
	var r target.Run
	known := false
	n.Replica.WithRuns(func(t *target.Table, now time.Time) (changed bool) {
		var moved bool
		if r, changed, moved = t.ReceiveHeartbeat(b, n.addressReuseSilence(), now); moved || changed {
			_, known = t.Get(b.ID, now)
		} else {
			known = true
		}
		n.runMonitor.Observe(b.ID, b.Seq, moved, now)
		return changed
	})
	if !known {
		return steperr.Wrap("beat", b.ID, errTableFull)
	}
	if !b.Draining {
		return nil
	}
	return n.persistDeparture(ctx, r)
}

// Leave records that a run has ended, also when the run is not known here.
func (n *Node) Leave(ctx context.Context, id string) (err error) {
	if err := (target.Heartbeat{ID: id, Service: "-", Addr: "-"}).Check(); err != nil {
		n.calls.departures.record(true, nil)
		return err
	}
	defer func() { n.calls.departures.record(false, err) }()
	var r target.Run
	n.Replica.WithRuns(func(t *target.Table, now time.Time) (changed bool) {
		r, changed = t.MarkEnded(id, now)
		return changed
	})
	return n.persistDeparture(ctx, r)
}

// availableCacheTTL is how long the list of available controllers is reused. HomeMember reads the
// list for each heartbeat, and hundreds of heartbeats arrive per second. The list itself is only
// accurate to about a second.
const availableCacheTTL = 100 * time.Millisecond

// availableCache is the list of available controllers and the time at which it was read.
type availableCache struct {
	readAt      time.Time
	controllers []watch.Member
}

// availableControllers returns the controllers that may be assigned work, from a list at most
// availableCacheTTL old.
func (n *Node) availableControllers() []watch.Member {
	now := n.Clock.Now()
	if cached := n.availableCache.Load(); cached != nil && now.Sub(cached.readAt) < availableCacheTTL {
		return cached.controllers
	}
	cached := &availableCache{now, n.Mesh.Available()}
	n.availableCache.Store(cached)
	return cached.controllers
}

// HomeMember returns the controller to which later heartbeats of a service's targets in a zone
// should go. It prefers controllers of the same zone and chooses among them by rendezvous
// hashing, so that all nodes agree and few targets move when a controller is added or removed.
// A stopping node does not choose itself if there is another controller.
func (n *Node) HomeMember(service, zone string) (best watch.Member, ok bool) {
	controllers := n.availableControllers()
	stopping := n.stopping.Load() && len(controllers) > 1
	var bestScore uint64
	for _, m := range controllers {
		if stopping && m.ID == n.ID {
			continue
		}
		candidateScore := rendezvousScore(service, zone, m.ID)
		sameZone, better := m.Zone == zone, cmp.Or(cmp.Compare(candidateScore, bestScore), cmp.Compare(m.ID, best.ID)) > 0
		if bestSameZone := ok && best.Zone == zone; !ok || sameZone && !bestSameZone || sameZone == bestSameZone && better {
			best, bestScore, ok = m, candidateScore, true
		}
	}
	return best, ok
}

// rendezvousScore is the rendezvous hash of a controller for a service's targets in a zone.
func rendezvousScore(service, zone, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{service, "\x00", zone, "\x00", id} {
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// Home returns the inner address of the controller that HomeMember chooses, or "" if there is none.
func (n *Node) Home(service, zone string) string {
	m, _ := n.HomeMember(service, zone)
	return m.Inner
}
