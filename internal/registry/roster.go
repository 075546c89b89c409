package registry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/link"
	"walkrudder/internal/liveness"
	"walkrudder/internal/membership"
	"walkrudder/internal/owner"
)

// Stand is one target run as a gateway knows it. Its fields are set once; what
// changes is atomic, for the request path.
type Stand struct {
	ID      string
	Service string
	Inc     uint64
	Addr    string
	Zone    string

	Capacity atomic.Int64
	Leaving  atomic.Bool
	Gone     atomic.Bool
	// Flying counts requests under way there.
	Flying atomic.Int64
	// took is the mean time of the last answers, in nanoseconds.
	took atomic.Int64
	// proof is when the last probe or request left that proved the identity, in
	// nanoseconds of the roster's epoch.
	proof  atomic.Int64
	Det    *liveness.Detector
	near   atomic.Bool
	beat   httpapi.Beat // owned by the roster
	nearAt time.Time    // owned by the roster
	listed atomic.Int64
}

// Key names the target run.
func (s *Stand) Key() string { return s.Service + "/" + s.ID }

// Took is how long the target's last answers took in the mean, 0 where none came.
func (s *Stand) Took() time.Duration { return time.Duration(s.took.Load()) }

// Answered takes the time of an answer in, with the weight slower where it took longer
// than the mean, else with sooner.
func (s *Stand) Answered(d time.Duration, slower, sooner float64) {
	for {
		o := s.took.Load()
		n := int64(d)
		switch {
		case o > 0 && n > o:
			n = o + int64(slower*float64(n-o))
		case o > 0:
			n = o + int64(sooner*float64(n-o))
		}
		if s.took.CompareAndSwap(o, max(n, 1)) {
			return
		}
	}
}

// Roster is a gateway's table of targets, by service. Its owner replaces the
// snapshot that the request path reads.
type Roster struct {
	Line        link.Line
	Clock       clock.Clock
	Pause       *liveness.Pauses
	Me          string
	Zone        string
	Controllers func() []membership.Member
	// Every is the interval of probes.
	Every time.Duration
	// OnStand is told of each new stand, to start probing it; ctx ends with it.
	OnStand func(ctx context.Context, s *Stand)

	own   *owner.Owner
	epoch time.Time
	snap  atomic.Pointer[map[string][]*Stand]
	want  atomic.Pointer[map[string]bool]
	heard atomic.Pointer[map[string]bool] // services some home has told of

	// Owned by own.
	by   map[string]*Stand // by service/id
	stop map[string]context.CancelFunc
	left map[string]leave // by service/id
	many bool             // of some service not all targets are near
	ctx  context.Context
}

// leave is the latest run of a target that may get no new work.
type leave struct {
	inc  uint64
	gone bool
}

const (
	// maxStands bounds a gateway's table.
	maxStands = 8192
	// unseen is how long a target that no home lists any more is kept while it
	// proves no identity.
	unseen = 30 * time.Second
)

// Init makes the roster ready.
func (r *Roster) Init() {
	r.own = owner.New(1024)
	r.epoch = r.Clock.Now()
	r.by, r.stop, r.left = map[string]*Stand{}, map[string]context.CancelFunc{}, map[string]leave{}
	r.snap.Store(&map[string][]*Stand{})
	r.want.Store(&map[string]bool{})
	r.heard.Store(&map[string]bool{})
}

// Of lists the targets of a service.
func (r *Roster) Of(service string) []*Stand { return (*r.snap.Load())[service] }

// All is the whole table.
func (r *Roster) All() map[string][]*Stand { return *r.snap.Load() }

// Warm tells whether a home has told of every service followed, and some target
// of each has proved its identity. Where a home knows none it may just have begun:
// who calls this waits for a while only.
func (r *Roster) Warm(now time.Time) bool {
	h := *r.heard.Load()
	for n := range *r.want.Load() {
		if !h[n] {
			return false
		}
		if !lo.SomeBy(r.Of(n), func(s *Stand) bool { return !s.Leaving.Load() && r.Age(s, now) < time.Second }) {
			return false
		}
	}
	return true
}

// Want says which services are followed.
func (r *Roster) Want(names []string) {
	m := make(map[string]bool, len(names))
	for _, n := range names {
		m[n] = true
	}
	r.want.Store(&m)
}

// Proved notes that a probe or request sent at t proved s's identity.
func (r *Roster) Proved(s *Stand, t time.Time) {
	n := int64(t.Sub(r.epoch))
	for {
		o := s.proof.Load()
		if n <= o || s.proof.CompareAndSwap(o, n) {
			return
		}
	}
}

// Age is how long ago the last proof of s's identity left.
func (r *Roster) Age(s *Stand, now time.Time) time.Duration {
	p := s.proof.Load()
	if p == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(r.epoch.Add(time.Duration(p)))
}

// Alone runs the owner alone, for a roster that follows no home.
func (r *Roster) Alone(ctx context.Context) {
	r.ctx = ctx
	r.own.Run(ctx)
}

// Run follows the wanted services until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	r.ctx = ctx
	go r.own.Run(ctx)
	subs := map[string]context.CancelFunc{}
	for {
		w := *r.want.Load()
		for n := range w {
			if subs[n] == nil {
				cx, end := context.WithCancel(ctx)
				subs[n] = end
				go r.follow(cx, n)
			}
		}
		for n, end := range subs {
			if !w[n] {
				end()
				delete(subs, n)
				r.drop(ctx, n)
			}
		}
		_ = r.own.Do(ctx, r.sweep)
		if r.Clock.Sleep(ctx, 100*time.Millisecond) != nil {
			return
		}
	}
}

// follow subscribes to one service at its home in the nearest zone; when that
// fails, at the next one. Entries merge by run and beat, so a change of home
// never steps back, and what is held stays while none answers (design 12.2).
func (r *Roster) follow(ctx context.Context, service string) {
	var run, seen uint64
	at, fails := "", 0
	for ctx.Err() == nil {
		hs := Homes(service, r.Controllers())
		for i, h := range hs {
			if h.Zone == r.Zone {
				hs[0], hs[i] = hs[i], hs[0]
			}
		}
		if len(hs) == 0 {
			if r.Clock.Sleep(ctx, 100*time.Millisecond) != nil {
				return
			}
			continue
		}
		h := hs[fails%len(hs)]
		if h.Inner != at {
			at, run, seen = h.Inner, 0, 0
		}
		cx, end := context.WithTimeout(ctx, 900*time.Millisecond)
		t, err := link.Call[WatchTold](cx, r.Line, h.Inner, WatchAsk{Service: service, Run: run, Seen: seen, WaitMS: 500})
		end()
		if err != nil {
			fails++
			if r.Clock.Sleep(ctx, 50*time.Millisecond) != nil {
				return
			}
			continue
		}
		if t.Same {
			_ = r.own.Do(ctx, func() {
				n := int64(r.Clock.Now().Sub(r.epoch))
				for _, s := range r.Of(service) {
					s.listed.Store(n)
				}
			})
		} else {
			_ = r.Learn(ctx, service, t.Entries)
			run, seen = t.Run, t.Version
		}
		// Now and then the nearest home is tried again.
		if fails > 0 && fails%len(hs) != 0 {
			fails += len(hs) - fails%len(hs)
		}
	}
}

// Learn takes in what a home tells of a service.
func (r *Roster) Learn(ctx context.Context, service string, es []Entry) error {
	return r.own.Do(ctx, func() {
		for _, e := range es {
			r.merge(e)
		}
		r.publish()
		if h := *r.heard.Load(); !h[service] {
			n := map[string]bool{service: true}
			for k := range h {
				n[k] = true
			}
			r.heard.Store(&n)
		}
	})
}

// merge takes an entry in if it is news.
func (r *Roster) merge(e Entry) {
	b := e.Beat
	k := b.Service + "/" + b.ID
	s := r.by[k]
	if s != nil && b.Inc < s.Inc {
		return
	}
	if s == nil || b.Inc > s.Inc || b.Addr != s.Addr {
		if s != nil && b.Inc == s.Inc && b.Seq <= s.beat.Seq {
			return
		}
		if s == nil && len(r.by) >= maxStands {
			return
		}
		r.unstand(k)
		now := r.Clock.Now()
		s = &Stand{ID: b.ID, Service: b.Service, Inc: b.Inc, Addr: b.Addr, Zone: b.Zone,
			Det: liveness.New(liveness.Defaults(r.Every), r.Pause, now)}
		cx, end := context.WithCancel(r.ctx)
		r.by[k], r.stop[k] = s, end
		if l := r.left[k]; l.inc >= s.Inc {
			s.Leaving.Store(true)
			s.Gone.Store(l.gone)
		}
		if r.OnStand != nil {
			go r.OnStand(cx, s)
		}
	}
	if b.Seq >= s.beat.Seq {
		s.beat = b
		s.Capacity.Store(int64(b.Capacity))
	}
	s.listed.Store(int64(r.Clock.Now().Sub(r.epoch)))
	if b.Leaving || e.Gone {
		r.mark(k, b.Inc, e.Gone)
	}
}

func (r *Roster) unstand(k string) {
	if end := r.stop[k]; end != nil {
		end()
		delete(r.stop, k)
	}
	delete(r.by, k)
}

// mark binds the run inc of target k, and all before it, to get no new work.
func (r *Roster) mark(k string, inc uint64, gone bool) {
	l := r.left[k]
	if inc > l.inc {
		l = leave{inc: inc}
	}
	if inc == l.inc {
		l.gone = l.gone || gone
	}
	r.left[k] = l
	if s := r.by[k]; s != nil && s.Inc <= l.inc {
		s.Leaving.Store(true)
		if l.gone {
			s.Gone.Store(true)
		}
	}
}

// Drain binds a target run to get no new work; once it returned, none is
// elected there.
func (r *Roster) Drain(ctx context.Context, service, id string, inc uint64, gone bool) error {
	return r.own.Do(ctx, func() { r.mark(service+"/"+id, inc, gone) })
}

func (r *Roster) publish() {
	m := map[string][]*Stand{}
	for _, s := range r.by {
		m[s.Service] = append(m[s.Service], s)
	}
	near := map[*Stand]bool{}
	r.many = false
	for n, ss := range m {
		r.many = r.many || len(ss) > nearMost
		m[n] = r.nearest(ss)
		for _, s := range m[n] {
			near[s] = true
		}
	}
	r.settle(near)
	r.snap.Store(&m)
}

// drop forgets a service that no binding names any more.
func (r *Roster) drop(ctx context.Context, service string) {
	_ = r.own.Do(ctx, func() {
		for k, s := range r.by {
			if s.Service == service {
				r.unstand(k)
			}
		}
		r.publish()
	})
}

// sweep lets go of targets that are gone, or that no home lists and no probe
// reaches any more.
func (r *Roster) sweep() {
	now := r.Clock.Now()
	n := 0
	for k, s := range r.by {
		if s.Flying.Load() > 0 {
			continue
		}
		quiet := now.Sub(r.epoch.Add(time.Duration(s.listed.Load()))) > unseen && r.Age(s, now) > unseen
		if quiet || s.Gone.Load() {
			r.unstand(k)
			n++
		}
	}
	if n > 0 || r.many {
		r.publish()
	}
	if len(r.left) > 2*maxStands {
		r.left = map[string]leave{}
	}
}

// Serve teaches d to take word of leaving targets, and to tell how all are seen.
func (r *Roster) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a DrainAsk) (DrainTold, error) {
		err := r.Drain(ctx, a.Service, a.ID, a.Inc, a.Gone)
		return DrainTold{OK: err == nil}, err
	})
	link.Handle(d, func(context.Context, link.Identity, ViewAsk) (ViewTold, error) { return ViewTold{r.Views()}, nil })
}
