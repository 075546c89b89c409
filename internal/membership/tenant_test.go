package membership

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/storage"
)

// mem is a disk that keeps nothing beyond the test.
type mem map[string][]byte

func (m mem) Load() (map[string][]byte, error) { return m, nil }
func (m mem) Commit(ps []storage.Put) error {
	for _, p := range ps {
		m[p.Key] = p.Value
	}
	return nil
}
func (m mem) Close() error { return nil }

// lab is three courts with a way to each that can be slow or shut.
type lab struct {
	mu    sync.Mutex
	desks map[string]*link.Mux
	slow  map[string]time.Duration
	core  quorum.Core
}

var errShut = errors.New("no way")

func (l *lab) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.mu.Lock()
	d, w := l.desks[addr], l.slow[addr]
	l.mu.Unlock()
	if w < 0 {
		return nil, errShut
	}
	if (clock.Wall{}).Sleep(ctx, time.Millisecond+w) != nil {
		return nil, ctx.Err()
	}
	return d.Dispatch(ctx, link.Identity{ID: "t"}, ask)
}

// pace sets the way to a court: below 0 it is shut.
func (l *lab) pace(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow[id] = d
}

func newLab(ctx context.Context, t *testing.T) *lab {
	l := &lab{desks: map[string]*link.Mux{}, slow: map[string]time.Duration{}, core: quorum.Core{Epoch: 1}}
	var vs []*quorum.Voter
	for _, id := range []string{"a", "b", "c"} {
		v, err := quorum.NewVoter(quorum.Seat{ID: id, Addr: id}, mem{}, "disk-"+id, l, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		d := link.NewMux()
		v.Serve(d)
		NewCourt(v, clock.Wall{}).Serve(d)
		l.desks[id] = d
		l.core.Seats = append(l.core.Seats, v.Seat())
		vs = append(vs, v)
		go v.Run(ctx)
	}
	for i := range vs {
		for _, seal := range []bool{false, true} {
			if _, err := link.Call[quorum.FormTold](ctx, l, l.core.Seats[i].Addr, quorum.FormAsk{By: "a", Core: l.core, Seal: seal}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return l
}

func has(ms []Member, id string) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.ID == id })
}

// nearestTo is the way of a node whose asks come to the i-th court first.
func (l *lab) nearestTo(i int) *lab {
	way := &lab{desks: l.desks, slow: map[string]time.Duration{}}
	for j, c := range []string{"a", "b", "c"} {
		way.pace(c, time.Duration((j-i+3)%3)*5*time.Millisecond)
	}
	return way
}

func (l *lab) tenant(id string, line link.Line) *Tenant {
	p := quorum.NewProposer(id, line, clock.Wall{})
	p.Learn(l.core)
	return &Tenant{Line: line, Clock: clock.Wall{}, Core: p, Me: func() Member { return Member{ID: id, Inc: 1, Kind: "gateway"} }}
}

// A lease that moves from one majority of courts to another must be in every
// table read meanwhile, however far apart in time the courts answer.
func TestTableNeverMissesALeaseThatMovesBetweenCourts(t *testing.T) {
	for late := time.Duration(0); late < time.Second; late += 20 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, end := context.WithCancel(t.Context())
			defer end()
			l := newLab(ctx, t)
			ways := &lab{desks: l.desks, slow: map[string]time.Duration{"c": -1}}
			f, r := l.tenant("f", ways), l.tenant("r", l)
			go f.Run(ctx)
			go r.Run(ctx)
			time.Sleep(3 * time.Second) // the courts' warm-up
			// f renews at a and b; then b and c take it over from a. The reader is
			// refused by b, has c's answer at once and a's late.
			l.pace("b", -1)
			l.pace("a", late)
			time.AfterFunc(10*time.Millisecond, func() {
				ways.pace("a", -1)
				ways.pace("c", 0)
			})
			ms, err := r.Table(ctx)
			if err == nil && f.Held() && !has(ms, "f") {
				t.Errorf("a's answer %s late: the table lacks a gateway whose lease stands", late)
			}
			if late == 0 && (err != nil || !has(ms, "f")) {
				t.Errorf("prompt answers: %v %v", ms, err)
			}
		})
	}
}

func TestHeldEndsBeforeTheCourtsForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		l := newLab(ctx, t)
		ways := &lab{desks: l.desks, slow: map[string]time.Duration{}}
		f, r := l.tenant("f", ways), l.tenant("r", l)
		f.Seek("duty")
		go f.Run(ctx)
		go r.Run(ctx)
		time.Sleep(4 * time.Second)
		since, ok := f.HeldSince()
		if !ok || !f.Holds("duty") {
			t.Fatal("no lease or duty after four seconds")
		}
		for _, c := range []string{"a", "b", "c"} {
			ways.pace(c, -1)
		}
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			ms, err := r.Table(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if f.Held() && !has(ms, "f") {
				t.Fatal("the courts forgot a lease that its holder still trusts")
			}
		}
		if f.Held() || f.Holds("duty") {
			t.Fatal("lease or duty outlived the courts' silence")
		}
		for _, c := range []string{"a", "b", "c"} {
			ways.pace(c, 0)
		}
		time.Sleep(time.Second)
		if again, ok := f.HeldSince(); !ok || !again.After(since) {
			t.Fatal("a broken lease passed for an unbroken one")
		}
	})
}

// Several nodes that ask at once may each get a part of a duty; one must come to
// hold it all the same, and never two.
func TestOneOfManyComesToHoldADuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(t.Context())
		defer end()
		l := newLab(ctx, t)
		var all []*Tenant
		for i, id := range []string{"x", "y", "z"} {
			x := l.tenant(id, l.nearestTo(i))
			x.Seek("duty")
			all = append(all, x)
			go x.Run(ctx)
		}
		got := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			n := 0
			for _, x := range all {
				if x.Holds("duty") {
					n++
				}
			}
			if n > 1 {
				t.Fatalf("%d nodes hold one duty", n)
			}
			got += n
		}
		if got < 500 {
			t.Fatalf("the duty was held for %d of 1000 looks", got)
		}
	})
}
