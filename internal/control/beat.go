package control

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
	"walkrudder/internal/watch"
)

const (
	// markTime bounds the wait for a majority to hold a leaving: a target waits one
	// second for the answer to its beat.
	markTime = 800 * time.Millisecond
	// markPause is the pause before those that did not answer are asked again.
	markPause = 50 * time.Millisecond
	// maxMarks bounds the leavings remembered as held.
	maxMarks = 2 * target.MaxRuns
)

// errFull says that the table of runs has no room.
var errFull = errors.New("too many targets")

// marks are the leavings known to be held by a majority, by run.
type marks struct {
	mu   sync.Mutex
	held map[string]target.State
}

func (m *marks) has(r target.Run) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[r.ID] >= r.State
}

func (m *marks) note(r target.Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held == nil || len(m.held) >= maxMarks {
		// Whoever asks again is held again.
		m.held = map[string]target.State{}
	}
	m.held[r.ID] = max(m.held[r.ID], r.State)
}

// Beat takes in what a target says of itself. One that is ready is taken note of, and
// that is all. That it drains is acknowledged only once so many voters know it that no
// fresh node can miss it.
func (n *Node) Beat(ctx context.Context, b target.Beat) (err error) {
	if err := b.Check(); err != nil {
		n.counts.beats.note(true, nil)
		return err
	}
	defer func() { n.counts.beats.note(false, err) }()
	var r target.Run
	known := false
	n.Board.Table(func(t *target.Table, now time.Time) (news bool) {
		var moved bool
		if r, news, moved = t.Hear(b, n.quiet(), now); moved || news {
			_, known = t.Get(b.ID, now)
		} else {
			known = true
		}
		n.watch.Heard(b.ID, b.Seq, moved, now)
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
	if err := (target.Beat{ID: id, Service: "-", Addr: "-"}).Check(); err != nil {
		n.counts.leaves.note(true, nil)
		return err
	}
	defer func() { n.counts.leaves.note(false, err) }()
	var r target.Run
	n.Board.Table(func(t *target.Table, now time.Time) (news bool) {
		r, news = t.Leave(id, now)
		return news
	})
	return n.hold(ctx, r)
}

// mark holds leavings for another node.
func (n *Node) mark(_ context.Context, _ link.Who, a watch.MarkAsk) (watch.MarkTold, error) {
	n.counts.marks.note(false, nil)
	n.Board.MergeRuns(a.Runs)
	t := watch.MarkTold{Votes: n.votes(), Core: n.core()}
	if t.Votes > 0 {
		t.Disk = n.Voter.Seat().Disk
	}
	return t, nil
}

// hold returns once a majority of the voters hold r in memory. That is enough: a fresh
// node hears of so many voters that one of these is among them, and where all of them
// lose their memory at once no node remembers the run as one to be used.
func (n *Node) hold(ctx context.Context, r target.Run) error {
	if n.marks.has(r) {
		return nil
	}
	ctx, end := context.WithTimeout(ctx, markTime)
	defer end()
	var got []seat
	for {
		core := n.core()
		if core.Epoch > 0 && n.tell(ctx, core, r, &got) && n.core().Epoch == core.Epoch {
			n.marks.note(r)
			return nil
		}
		if n.Clock.Sleep(ctx, markPause) != nil {
			return steperr.At("hold", r.ID, errors.Join(lo.Ternary(core.Epoch == 0, quorum.ErrNoCore, quorum.ErrNoQuorum), ctx.Err()))
		}
	}
}

// seat is a disk that holds a leaving, and the epoch of the core in which it votes.
type seat struct {
	id, disk string
	votes    uint64
}

// tell asks those seats of a core that do not hold r yet, and tells whether a majority
// do. It does not wait for the rest, but asks them all: copies beyond the majority cost
// little and last longer.
func (n *Node) tell(ctx context.Context, core quorum.Core, r target.Run, got *[]seat) bool {
	counts := func() int {
		return lo.CountBy(core.Seats, func(s quorum.Seat) bool {
			return lo.ContainsBy(*got, func(x seat) bool { return x.id == s.ID && watch.Counts(core, x.id, x.disk, x.votes) })
		})
	}
	me := n.me()
	cx, end := context.WithTimeout(context.WithoutCancel(ctx), markTime)
	back := make(chan *seat, len(core.Seats))
	var wg sync.WaitGroup
	asked := 0
	for _, s := range core.Seats {
		if s.ID == me.ID {
			*got = append(*got, seat{me.ID, me.Seat.Disk, n.votes()})
			continue
		}
		if lo.ContainsBy(*got, func(x seat) bool { return x.id == s.ID && watch.Counts(core, x.id, x.disk, x.votes) }) {
			continue
		}
		asked++
		wg.Go(func() {
			t, err := link.Ask[watch.MarkTold](cx, n.Line, s.Addr, watch.MarkAsk{Runs: []target.Run{r}})
			if err != nil {
				back <- nil
				return
			}
			n.Prop.Learn(t.Core)
			back <- &seat{s.ID, t.Disk, t.Votes}
		})
	}
	go func() {
		wg.Wait()
		end()
	}()
	for range asked {
		if counts() >= core.Quorum() {
			return true
		}
		select {
		case s := <-back:
			if s != nil {
				*got = append(*got, *s)
			}
		case <-ctx.Done():
			return false
		}
	}
	return counts() >= core.Quorum()
}

// nearFor is how long the list of the minds that may be given work is used for beats: there
// are hundreds of them a second, and who is near is only known to a second or so.
const nearFor = 100 * time.Millisecond

// nearby is that list, as it stood at a time.
type nearby struct {
	at    time.Time
	minds []watch.Member
}

// near are the minds that may be given work, as they stood just now.
func (n *Node) near() []watch.Member {
	now := n.Clock.Now()
	if l := n.nearby.Load(); l != nil && now.Sub(l.at) < nearFor {
		return l.minds
	}
	l := &nearby{now, n.Mesh.Near()}
	n.nearby.Store(l)
	return l.minds
}

// HomeMember is the mind to which later beats of a service's targets in a zone should
// go: one of their own zone where there is one, by rendezvous, so that every node says
// the same and few move when minds come and go.
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

// score ranks a mind among those for a service's targets in a zone.
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
