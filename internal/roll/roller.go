package roll

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/defect"
	"walkrudder/internal/fault"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/mate"
	"walkrudder/internal/pulse"
)

const (
	askTime = 300 * time.Millisecond
	retry   = 20 * time.Millisecond
)

// Roller brings decided changes into force. Any mind may run one, and several
// at once do no harm: every step is safe to repeat (design 8.2).
type Roller struct {
	Book   *ledger.Book
	Tenant *mate.Tenant
	Line   link.Line
	Clock  pulse.Clock
	Faults *fault.Set
	Log    *log.Logger

	mu   sync.Mutex
	busy chan struct{} // closed when the drive under way ends
	done uint64        // highest version known to be in force everywhere
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
			return d, defect.New("roll", "", "version %d wanted, %d is the last decided", n, d)
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
	if was < f.N {
		if err := r.all(ctx, "stage", StageAsk{f.N, f.Sheet}); err != nil {
			return 0, err
		}
		r.Faults.At(fault.AfterStaged)
		if err := r.all(ctx, "hold", HoldAsk{f.N}); err != nil {
			return 0, err
		}
		r.Faults.At(fault.AfterHeld)
		if _, err := r.Book.SetFlipped(ctx, f.N); err != nil {
			return 0, err
		}
		r.Faults.At(fault.AfterFlipped)
	}
	// Told again even where the flip was found decided: who decided it may not
	// have come so far.
	if err := r.all(ctx, "flip", FlipAsk{f.N}); err != nil {
		return 0, err
	}
	if was < f.N {
		note := ledger.Note{Kind: ledger.NoteFlip, N: f.N, At: r.Book.WallMS()}
		if _, err := r.Book.Once(ctx, fmt.Sprintf("%sflip-%012d", ledger.NotePrefix, f.N), note); err != nil {
			return 0, err
		}
	}
	r.Faults.At(fault.BeforeAck)
	return f.N, nil
}

// all asks every leased flow until each has agreed, or its lease has lapsed.
func (r *Roller) all(ctx context.Context, step string, ask any) error {
	_, err := Everyone(ctx, r.Tenant, r.Clock, func(cx context.Context, m mate.Member) bool {
		t, err := link.Ask[FlowTold](cx, r.Line, m.Inner, ask)
		if err != nil && r.Log != nil {
			r.Log.Warn("flow not reached", "step", step, "mate", m.ID, "err", err)
		}
		return err == nil && t.OK
	})
	return defect.At(step, "", err)
}

// Everyone runs f for every flow that holds a lease until f agreed for it, or
// its lease has lapsed. It returns how many agreed. A flow that takes a lease
// meanwhile is asked too, though a confirmation would have told it.
func Everyone(ctx context.Context, t *mate.Tenant, c pulse.Clock, f func(context.Context, mate.Member) bool) (int, error) {
	type run struct {
		id  string
		inc uint64
	}
	ok := map[run]bool{}
	for {
		ms, err := t.Table(ctx)
		if err == nil {
			var mu sync.Mutex
			var wg sync.WaitGroup
			left := 0
			for _, m := range ms {
				k := run{m.ID, m.Inc}
				if m.Kind != "flow" || ok[k] {
					continue
				}
				wg.Go(func() {
					cx, end := context.WithTimeout(ctx, askTime)
					defer end()
					y := f(cx, m)
					mu.Lock()
					defer mu.Unlock()
					if y {
						ok[k] = true
					} else {
						left++
					}
				})
			}
			wg.Wait()
			if left == 0 {
				return len(ok), nil
			}
		}
		if ctx.Err() != nil || c.Sleep(ctx, retry) != nil {
			return len(ok), ctx.Err()
		}
	}
}

// Serve teaches d to confirm what is in force. leaves tells the target runs that
// may get no new work.
func (r *Roller) Serve(d *link.Desk, leaves func(context.Context) ([]Leave, error)) {
	link.On(d, func(ctx context.Context, w link.Who, a ConfirmAsk) (t ConfirmTold, err error) {
		f, err := r.Book.Refresh(ctx)
		if err != nil {
			return t, err
		}
		// Read after the changes: a flip seen here is of a change seen above, or
		// of a later one, and then this is not settled.
		n, err := r.Book.Flipped(ctx)
		if err != nil {
			return t, err
		}
		if t.Leaves, err = leaves(ctx); err != nil {
			return t, err
		}
		t.OK, t.N, t.Settled = true, n, n == f.N
		if n < f.N {
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
	link.On(d, func(ctx context.Context, _ link.Who, a LastAsk) (LastTold, error) {
		r.mu.Lock()
		n := r.done
		r.mu.Unlock()
		f := r.Book.Fold()
		t := LastTold{Held: r.Tenant.Held(), N: n, Known: n > 0 && n == f.N}
		if t.Known && a.Have != n {
			s := f.Sheet
			t.Sheet = &s
		}
		return t, nil
	})
}

// Watch finishes what another mind left undone, until ctx ends: the duty "roll"
// says which mind looks (design 8.2).
func (r *Roller) Watch(ctx context.Context) {
	r.Tenant.Seek("roll")
	for r.Clock.Sleep(ctx, 400*time.Millisecond) == nil {
		if !r.Tenant.Holds("roll") {
			continue
		}
		cx, end := context.WithTimeout(ctx, 4*time.Second)
		f, err := r.Book.Refresh(cx)
		if err == nil && f.N > 0 {
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
