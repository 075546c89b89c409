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

// errFull says that the table of runs has no room.
var errFull = errors.New("too many targets")

// Beat takes in what a target says of itself. One that is ready is taken note of, and
// that is all. That it drains is acknowledged only once a majority of synced disks holds it.
func (n *Node) Beat(ctx context.Context, b target.Heartbeat) (err error) {
	if err := b.Check(); err != nil {
		n.counts.beats.note(true, nil)
		return err
	}
	defer func() { n.counts.beats.note(false, err) }()
	var r target.Run
	known := false
	n.Board.WithRuns(func(t *target.Table, now time.Time) (news bool) {
		var moved bool
		if r, news, moved = t.ReceiveHeartbeat(b, n.quiet(), now); moved || news {
			_, known = t.Get(b.ID, now)
		} else {
			known = true
		}
		n.watch.Observe(b.ID, b.Seq, moved, now)
		return news
	})
	if !known {
		return steperr.At("beat", b.ID, errFull)
	}
	if !b.Draining {
		return nil
	}
	return n.hold(ctx, r)
}

// Leave takes in that a run has ended, also one that is not known here.
func (n *Node) Leave(ctx context.Context, id string) (err error) {
	if err := (target.Heartbeat{ID: id, Service: "-", Addr: "-"}).Check(); err != nil {
		n.counts.leaves.note(true, nil)
		return err
	}
	defer func() { n.counts.leaves.note(false, err) }()
	var r target.Run
	n.Board.WithRuns(func(t *target.Table, now time.Time) (news bool) {
		r, news = t.MarkEnded(id, now)
		return news
	})
	return n.hold(ctx, r)
}

// nearFor is how long the list of the controllers that may be given work is used for beats: there
// are hundreds of them a second, and who is near is only known to a second or so.
const nearFor = 100 * time.Millisecond

// nearby is that list, as it stood at a time.
type nearby struct {
	at          time.Time
	controllers []watch.Member
}

// near are the controllers that may be given work, as they stood just now.
func (n *Node) near() []watch.Member {
	now := n.Clock.Now()
	if l := n.nearby.Load(); l != nil && now.Sub(l.at) < nearFor {
		return l.controllers
	}
	l := &nearby{now, n.Mesh.Available()}
	n.nearby.Store(l)
	return l.controllers
}

// HomeMember is the controller to which later beats of a service's targets in a zone should
// go: one of their own zone where there is one, by rendezvous, so that every node says
// the same and few move when controllers come and go.
func (n *Node) HomeMember(service, zone string) (best watch.Member, ok bool) {
	ms := n.near()
	going := n.stop.Load() && len(ms) > 1
	var most uint64
	for _, m := range ms {
		if going && m.ID == n.ID {
			continue
		}
		s := score(service, zone, m.ID)
		own, better := m.Zone == zone, cmp.Or(cmp.Compare(s, most), cmp.Compare(m.ID, best.ID)) > 0
		if had := ok && best.Zone == zone; !ok || own && !had || own == had && better {
			best, most, ok = m, s, true
		}
	}
	return best, ok
}

// score ranks a controller among those for a service's targets in a zone.
func score(service, zone, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{service, "\x00", zone, "\x00", id} {
		_, _ = d.WriteString(s)
	}
	return d.Sum64()
}

// Home is the inner address of HomeMember, "" when there is none.
func (n *Node) Home(service, zone string) string {
	m, _ := n.HomeMember(service, zone)
	return m.Inner
}
