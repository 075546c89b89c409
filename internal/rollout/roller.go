package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/fault"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/steperr"
)

const (
	askTime = 300 * time.Millisecond
	retry   = 20 * time.Millisecond
	// holdTime is how long a roll-out holds the gateways before it lets them go on under
	// the old sheet: calls wait meanwhile. Two rounds take some 10 ms; what takes
	// longer is a gateway that is gone, whose lease lapses no sooner for the wait.
	holdTime = 250 * time.Millisecond
)

// Roller brings decided changes into force. Any controller may run one, and several
// at once do no harm: every step is safe to repeat (design 8.2).
type Roller struct {
	Book   *ledger.Book
	Tenant *membership.Tenant
	Line   link.Line
	Clock  clock.Clock
	Faults *fault.Set
	Log    *log.Logger

	mu   sync.Mutex
	busy chan struct{} // closed when the drive under way ends
	done uint64        // highest version known to be in force everywhere
	// absent is since when a gateway that counts has had no lease.
	absent map[string]time.Time
	told   uint64 // last list of those that was told to all; Watch's alone
	holds  atomic.Uint64
}

// Settle brings into force all that is decided, up to at least n, and returns
// the version that is then in force everywhere.
func (r *Roller) Settle(ctx context.Context, n uint64) (uint64, error) {
	for {
		r.mu.Lock()
		if r.done >= n {
			d := r.done
			r.mu.Unlock()
			return d, nil
		}
		if b := r.busy; b != nil {
			r.mu.Unlock()
			select {
			case <-b:
				continue
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}
		b := make(chan struct{})
		r.busy = b
		r.mu.Unlock()
		d, err := r.drive(ctx)
		r.mu.Lock()
		r.busy = nil
		close(b)
		if err == nil {
			r.done = max(r.done, d)
		}
		r.mu.Unlock()
		if err != nil {
			return 0, err
		}
		if d < n {
			return d, steperr.New("roll", "", "version %d wanted, %d is the last decided", n, d)
		}
	}
}

// drive runs one roll-out to the last decided version.
func (r *Roller) drive(ctx context.Context) (uint64, error) {
	f, err := r.Book.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	was, err := r.Book.Flipped(ctx)
	if err != nil {
		return 0, err
	}
	if f.N == 0 {
		return 0, nil
	}
	r.Faults.At(fault.AfterDecided)
	now := was
	if was.N < f.N {
		ids, err := r.held(ctx, f, was)
		if err != nil {
			return 0, err
		}
		r.Faults.At(fault.AfterHeld)
		slices.Sort(ids)
		if now, err = r.Book.SetFlipped(ctx, f.N, ids); err != nil {
			return 0, err
		}
		r.Faults.At(fault.AfterFlipped)
	}
	if now.Open < f.N {
		// Gateways that are cut off with more than half of those that count may serve on
		// under the old sheet as long as none of them knows of the flip. So nobody
		// shows the new one before more than half know; the others, held, are not
		// waited for.
		if _, err := r.most(ctx, "flip", now, FlipAsk{f.N, false, now.Round, now.Gateways}, now.More); err != nil {
			return 0, err
		}
		r.Faults.At(fault.AfterTold)
	}
	// Told again even where it was found open: who opened it may not have come so
	// far.
	note := make(chan error, 1)
	go func() { note <- r.opened(ctx, now, f.N) }()
	_, err = r.all(ctx, "open", FlipAsk{f.N, true, now.Round, now.Gateways}, nil)
	if err = errors.Join(err, <-note); err != nil {
		return 0, err
	}
	r.Faults.At(fault.BeforeAck)
	return f.N, nil
}

// held stages the sheet at every leased gateway and then holds them all; it names them.
// Whom the hold does not reach at once is gone or about to be: the others are let go
// on until that one's lease has lapsed, and then held again.
func (r *Roller) held(ctx context.Context, f *ledger.Fold, was ledger.Force) ([]string, error) {
	for {
		// More than half of the gateways that count must take part: gateways that are cut off
		// with as many may go on under the old sheet (design 8.4).
		if _, err := r.most(ctx, "stage", was, StageAsk{f.N, f.Sheet}, nil); err != nil {
			return nil, err
		}
		r.Faults.At(fault.AfterStaged)
		// A hold of its own each time: only who holds lets go, so that none of two
		// roll-outs undoes the other's.
		a := HoldAsk{N: f.N, By: fmt.Sprintf("%s-%d", r.Book.Controller, r.holds.Add(1))}
		cx, end := context.WithTimeout(ctx, holdTime)
		ids, err := r.most(cx, "hold", was, a, nil)
		end()
		if err == nil {
			return ids, nil
		}
		go func() {
			cx, end := context.WithTimeout(context.WithoutCancel(ctx), membership.Lease)
			defer end()
			_, _ = r.all(cx, "let go on", FreeAsk(a), nil)
		}()
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// opened writes down that version n may show.
func (r *Roller) opened(ctx context.Context, now ledger.Force, n uint64) error {
	if now.Open >= n {
		return nil
	}
	if err := r.Book.SetOpened(ctx, n); err != nil {
		return err
	}
	_, err := r.Book.Once(ctx, ledger.FlipKey(n), ledger.Note{Kind: ledger.NoteFlip, N: n, At: r.Book.WallMS()})
	return err
}

// forgetAfter is how long a gateway that counts may be without a lease before it is
// left out.
const forgetAfter = time.Minute

// wanted lists the gateways that are to count: those that do, less those that have
// long had no lease, and those that have one.
func (r *Roller) wanted(ctx context.Context, was []string) ([]string, error) {
	ms, err := r.Tenant.Table(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	out := lo.Union(lo.Filter(was, func(id string, _ int) bool {
		t, ok := r.absent[id]
		return !ok || now.Sub(t) < forgetAfter
	}), lo.FilterMap(ms, func(m membership.Member, _ int) (string, bool) { return m.ID, m.Kind == "gateway" }))
	slices.Sort(out)
	return out, nil
}

// note follows which gateways that count hold no lease.
func (r *Roller) note(count []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	here := lo.SliceToMap(r.Tenant.Kind("gateway"), func(m membership.Member) (string, bool) { return m.ID, true })
	old := r.absent
	r.absent = map[string]time.Time{}
	for _, id := range count {
		if here[id] {
			continue
		}
		t, ok := old[id]
		if !ok {
			t = r.Clock.Now()
		}
		r.absent[id] = t
	}
}

// recount brings the list of gateways that count up to date. More than half of those
// that count by the old list must know the new one before it is decided: so no
// group that may serve without a lease can be without a member that knows it.
func (r *Roller) recount(ctx context.Context, fo ledger.Force) {
	if fo.N == 0 {
		return
	}
	all, err := r.wanted(ctx, fo.Gateways)
	if err == nil && !slices.Equal(all, fo.Gateways) {
		var ids []string
		if ids, err = r.all(ctx, "count", CountAsk{Round: fo.Round + 1, Gateways: all}, nil); err == nil && fo.More(ids) {
			fo, err = r.Book.Recount(ctx, fo.Round, all)
		}
	}
	if err == nil && r.told != fo.Round {
		if _, err = r.all(ctx, "count", CountAsk{Round: fo.Round, Gateways: fo.Gateways, Sure: true}, nil); err == nil {
			r.told = fo.Round
		}
	}
	if err != nil && ctx.Err() == nil && r.Log != nil {
		r.Log.Warn("gateways not counted anew", "step", "count", "err", err)
	}
}

// most is all, repeated until more than half of the gateways that count agreed.
func (r *Roller) most(ctx context.Context, step string, was ledger.Force, ask any, enough func([]string) bool) ([]string, error) {
	for {
		ids, err := r.all(ctx, step, ask, enough)
		if err != nil {
			return nil, err
		}
		if was.More(ids) {
			return ids, nil
		}
		if r.Clock.Sleep(ctx, 5*retry) != nil {
			return nil, steperr.New(step, "", "%d of %d gateways that count take part, more than half must", len(lo.Intersect(ids, was.Gateways)), len(was.Gateways))
		}
	}
}

// all asks every leased gateway until each has agreed, or its lease has lapsed, or those
// that agreed are enough; it names them.
func (r *Roller) all(ctx context.Context, step string, ask any, enough func([]string) bool) ([]string, error) {
	var told sync.Map
	ids, err := Everyone(ctx, r.Tenant, r.Clock, enough, func(cx context.Context, m membership.Member) bool {
		t, err := link.Call[GatewayTold](cx, r.Line, m.Inner, ask)
		if _, again := told.LoadOrStore(m.ID, true); err != nil && !again && r.Log != nil {
			r.Log.Warn("gateway not reached, waiting for its lease to lapse", "step", step, "mate", m.ID, "err", err)
		}
		return err == nil && t.OK
	})
	return ids, steperr.At(step, "", err)
}

// Everyone runs f for every gateway that holds a lease until f agreed for it, or its
// lease has lapsed, or those that agreed are enough, where enough is given. It names
// them. A gateway that takes a lease meanwhile is asked too, though a confirmation would
// have told it.
func Everyone(ctx context.Context, t *membership.Tenant, c clock.Clock, enough func([]string) bool, f func(context.Context, membership.Member) bool) ([]string, error) {
	type run struct {
		id  string
		inc uint64
	}
	ok := map[run]bool{}
	var late []string
	ids := func() []string {
		return lo.Uniq(lo.Map(lo.Keys(ok), func(k run, _ int) string { return k.id }))
	}
	for {
		ms, err := t.Table(ctx)
		if err != nil {
			// Those that are known can be told meanwhile; who is missing is not known.
			ms = t.Members()
		}
		todo := lo.Filter(ms, func(m membership.Member, _ int) bool { return m.Kind == "gateway" && !ok[run{m.ID, m.Inc}] })
		ch := make(chan *run, len(todo))
		for _, m := range todo {
			go func() {
				cx, end := context.WithTimeout(ctx, askTime)
				defer end()
				ch <- lo.Ternary(f(cx, m), &run{m.ID, m.Inc}, nil)
			}()
		}
		left := 0
		for range todo {
			k := <-ch
			if k == nil {
				left++
				continue
			}
			if ok[*k] = true; enough != nil && enough(ids()) {
				return ids(), nil
			}
		}
		if left == 0 && err == nil {
			return ids(), nil
		}
		if ctx.Err() != nil || c.Sleep(ctx, retry) != nil {
			for _, m := range todo {
				if !ok[run{m.ID, m.Inc}] {
					late = append(late, m.ID)
				}
			}
			if err != nil {
				return nil, errors.Join(ctx.Err(), err)
			}
			return nil, fmt.Errorf("waiting for %s: %w", strings.Join(late, ", "), ctx.Err())
		}
	}
}

// Serve teaches d to confirm what is in force. leaves tells the target runs that
// may get no new work.
func (r *Roller) Serve(d *link.Mux, leaves func(context.Context) ([]Leave, error)) {
	link.Handle(d, func(ctx context.Context, w link.Identity, a ConfirmAsk) (t ConfirmTold, err error) {
		f, err := r.Book.Refresh(ctx)
		if err != nil {
			return t, err
		}
		// Read after the changes: a flip seen here is of a change seen above, or
		// of a later one, and then this is not settled.
		fo, err := r.Book.Flipped(ctx)
		if err != nil {
			return t, err
		}
		n := fo.N
		t.Gateways, t.Round = fo.Gateways, fo.Round
		if t.Leaves, err = leaves(ctx); err != nil {
			return t, err
		}
		t.OK, t.N, t.Open = true, n, fo.Open >= n
		t.Settled = t.Open && n == f.N
		if !t.Settled && n <= f.N {
			go func() {
				cx, end := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
				defer end()
				_, _ = r.Settle(cx, f.N)
			}()
		}
		if n > f.N {
			t.OK = false
		} else if n != a.Have {
			s := f.Sheet
			if n != f.N {
				if s, err = r.Book.At(ctx, n); err != nil {
					return t, err
				}
			}
			t.Sheet = &s
		}
		return t, nil
	})
	link.Handle(d, func(ctx context.Context, _ link.Identity, a PartAsk) (PartTold, error) {
		err := r.Book.Part(ctx, a.ID)
		return PartTold{OK: err == nil}, err
	})
	link.Handle(d, func(context.Context, link.Identity, LastAsk) (LastTold, error) {
		// A controller's own memory of what is in force may be old; only its lease counts.
		return LastTold{Held: r.Tenant.Calm(), Fresh: r.Tenant.Calm() && r.Tenant.Left() > membership.Doubt}, nil
	})
}

// Watch finishes what another controller left undone, until ctx ends: the duty "roll"
// says which controller looks (design 8.2).
func (r *Roller) Watch(ctx context.Context) {
	r.Tenant.Seek("roll")
	for r.Clock.Sleep(ctx, 400*time.Millisecond) == nil {
		if !r.Tenant.Holds("roll") {
			continue
		}
		cx, end := context.WithTimeout(ctx, 4*time.Second)
		f, err := r.Book.Refresh(cx)
		if err == nil && f.N > 0 {
			if fo, err := r.Book.Flipped(cx); err == nil {
				r.note(fo.Gateways)
				r.recount(cx, fo)
			}
			r.mu.Lock()
			behind := r.done < f.N
			r.mu.Unlock()
			if behind {
				_, err = r.Settle(cx, f.N)
			}
		}
		end()
		if err != nil && ctx.Err() == nil && r.Log != nil {
			r.Log.Warn("roll-out not finished", "step", "watch", "err", err)
		}
	}
}
