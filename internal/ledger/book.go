package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/samber/lo"

	"walkrudder/internal/clock"
	"walkrudder/internal/quorum"
	"walkrudder/internal/spec"
	"walkrudder/internal/steperr"
)

// Fold is the state that the changes up to N give. It is never changed.
type Fold struct {
	N      uint64
	Sheet  spec.Sheet
	tokens map[string]uint64
	wholes []whole
}

// whole is a change that carries the whole sheet.
type whole struct {
	n  uint64
	ms int64
}

// WholeBefore is the last change before ms that carries the whole sheet, 0 if none:
// a fold may begin there.
func (f *Fold) WholeBefore(ms int64) (n uint64) {
	for _, w := range f.wholes {
		if w.ms < ms {
			n = w.n
		}
	}
	return n
}

// Token finds the change that carried a token.
func (f *Fold) Token(t string) (uint64, bool) {
	n, ok := f.tokens[t]
	return n, ok
}

// maxTokens bounds how many tokens a fold remembers; a resend must come within
// as many changes (design 6.4).
const maxTokens = 20000

// Book is one controller's view of the ledger.
type Book struct {
	Prop       *quorum.Proposer
	Clock      clock.Clock
	Controller string
	// WallMS is the wall clock for people, in milliseconds.
	WallMS func() int64

	// one refresh at a time; a channel, for it is held while others are asked
	once sync.Once
	busy chan struct{}
	fold atomic.Pointer[Fold]
	seq  atomic.Uint64
}

// Fold is the last fold made here.
func (b *Book) Fold() *Fold {
	if f := b.fold.Load(); f != nil {
		return f
	}
	return &Fold{}
}

// Refresh folds every change that was decided before the call.
func (b *Book) Refresh(ctx context.Context) (*Fold, error) {
	key, _, err := b.Prop.Last(ctx, ChangePrefix)
	if quorum.IsNeverWritten(err) {
		// The last number was promised or half written and is now free again:
		// what comes before it is settled by the listing.
		err = nil
	}
	if err != nil {
		return nil, steperr.At("refresh", "", err)
	}
	f := b.Fold()
	if key == "" || key <= ChangeKey(f.N) {
		return f, nil
	}
	b.once.Do(func() { b.busy = make(chan struct{}, 1) })
	select {
	case b.busy <- struct{}{}:
	case <-ctx.Done():
		return nil, steperr.At("refresh", "", ctx.Err())
	}
	defer func() { <-b.busy }()
	f = b.Fold()
	if key <= ChangeKey(f.N) {
		return f, nil
	}
	after := ""
	if f.N > 0 {
		after = ChangeKey(f.N)
	}
	n := &Fold{N: f.N, Sheet: f.Sheet, tokens: map[string]uint64{}, wholes: slices.Clone(f.wholes)}
	for t, k := range f.tokens {
		n.tokens[t] = k
	}
	err = b.Prop.List(ctx, ChangePrefix, after, func(k string, v []byte) error {
		c, err := Decode[Change](v)
		if err != nil {
			return steperr.At("fold "+k, "", err)
		}
		return n.take(c)
	})
	if err != nil {
		return nil, err
	}
	b.fold.Store(n)
	return n, nil
}

// take folds one change in.
func (f *Fold) take(c Change) error {
	switch {
	case f.N == 0 && c.Sheet != nil:
		f.Sheet = *c.Sheet
	case c.N != f.N+1:
		return fmt.Errorf("change %d after %d: the ledger has a gap", c.N, f.N)
	default:
		s, bad := f.Sheet.Apply(c.Edits)
		if len(bad) > 0 {
			return fmt.Errorf("change %d does not apply: %v", c.N, bad)
		}
		f.Sheet = s
	}
	f.N = c.N
	if c.Sheet != nil {
		f.wholes = append(f.wholes, whole{c.N, c.At})
	}
	if c.Token != "" {
		f.tokens[c.Token] = c.N
	}
	if len(f.tokens) > maxTokens {
		for t, k := range f.tokens {
			if k+maxTokens/2 < c.N {
				delete(f.tokens, t)
			}
		}
	}
	return nil
}

// ErrTaken says that another change took the number first.
var ErrTaken = errors.New("another change came first")

// Decide creates change c at its number, or tells that the number was taken.
func (b *Book) Decide(ctx context.Context, c Change) error {
	raw := Encode(c)
	_, err := b.Prop.Change(ctx, ChangeKey(c.N), func(old []byte) ([]byte, error) {
		if old == nil || string(old) == string(raw) {
			return raw, nil
		}
		return nil, ErrTaken
	})
	return err
}

// Force is what is in force: the version decided, the version that more than half
// of the gateways that count were told of and that may show, and the gateways that count
// (design 8.4). Round numbers their list.
type Force struct {
	N        uint64   `json:"version"`
	Open     uint64   `json:"open"`
	Gateways []string `json:"gateways"`
	Round    uint64   `json:"round"`
}

// More tells whether ids hold more than half of the gateways that count.
func (f Force) More(ids []string) bool {
	return len(f.Gateways) == 0 || 2*len(lo.Intersect(f.Gateways, ids)) > len(f.Gateways)
}

// Flipped tells what is in force, by a majority.
func (b *Book) Flipped(ctx context.Context) (f Force, err error) {
	v, err := b.Prop.Read(ctx, Flip)
	if quorum.IsNeverWritten(err) || err == nil && v == nil {
		return f, nil
	}
	if err != nil {
		return f, steperr.At("read flip", "", err)
	}
	return Decode[Force](v)
}

// SetFlipped records that n comes into force; the version never goes back. Gateways
// are those that count where none did. It returns what then stands.
func (b *Book) SetFlipped(ctx context.Context, n uint64, gateways []string) (Force, error) {
	return b.force(ctx, func(o Force) Force {
		o.N = max(o.N, n)
		if len(o.Gateways) == 0 {
			o.Gateways, o.Round = gateways, o.Round+1
		}
		return o
	})
}

// SetOpened records that version n may show.
func (b *Book) SetOpened(ctx context.Context, n uint64) error {
	_, err := b.force(ctx, func(o Force) Force {
		o.Open = max(o.Open, min(n, o.N))
		return o
	})
	return err
}

// Recount makes gateways those that count, if the list is still that of round.
func (b *Book) Recount(ctx context.Context, round uint64, gateways []string) (Force, error) {
	return b.force(ctx, func(o Force) Force {
		if o.Round == round {
			o.Gateways, o.Round = gateways, round+1
		}
		return o
	})
}

// Part takes a gateway that stopped as planned off those that count.
func (b *Book) Part(ctx context.Context, id string) error {
	_, err := b.force(ctx, func(o Force) Force {
		if n := lo.Without(o.Gateways, id); len(n) < len(o.Gateways) {
			o.Gateways, o.Round = n, o.Round+1
		}
		return o
	})
	return err
}

func (b *Book) force(ctx context.Context, f func(Force) Force) (out Force, err error) {
	_, err = b.Prop.Change(ctx, Flip, func(old []byte) ([]byte, error) {
		var o Force
		if old != nil {
			var err error
			if o, err = Decode[Force](old); err != nil {
				return nil, err
			}
		}
		out = f(o)
		return Encode(out), nil
	})
	return out, steperr.At("flip", "", err)
}

// Once writes an immutable item; an item already there stays, and counts.
func (b *Book) Once(ctx context.Context, key string, n Note) (Note, error) {
	n.Controller = b.Controller
	if n.At == 0 {
		n.At = b.WallMS()
	}
	raw, err := b.Prop.Change(ctx, key, func(old []byte) ([]byte, error) {
		if old != nil {
			return old, nil
		}
		return Encode(n), nil
	})
	if err != nil {
		return n, steperr.At("note "+n.Kind, "", err)
	}
	return Decode[Note](raw)
}

// Note writes a decision under a key of its own.
func (b *Book) Note(ctx context.Context, n Note) error {
	at := b.WallMS()
	n.At = at
	key := fmt.Sprintf("%s%013d-%s-%d", NotePrefix, at, b.Controller, b.seq.Add(1))
	_, err := b.Once(ctx, key, n)
	return err
}

// Notes lists the decisions under prefix, oldest first where keys are by time.
func (b *Book) Notes(ctx context.Context, prefix string) ([]Note, error) {
	var out []Note
	err := b.Prop.List(ctx, prefix, "", func(k string, v []byte) error {
		n, err := Decode[Note](v)
		if err != nil {
			return steperr.At("read "+k, "", err)
		}
		out = append(out, n)
		return nil
	})
	return out, err
}

// Suspected folds the notes of suspicion and trust: the target runs that stand
// suspected.
func (b *Book) Suspected(ctx context.Context) (map[Target]bool, error) {
	ns, err := b.Notes(ctx, NotePrefix)
	if err != nil {
		return nil, err
	}
	m := map[Target]bool{}
	for _, n := range ns {
		switch {
		case n.Target == nil:
		case n.Kind == NoteSuspect:
			m[*n.Target] = true
		case n.Kind == NoteTrust:
			delete(m, *n.Target)
		}
	}
	return m, nil
}

// Changes lists all changes, oldest first.
func (b *Book) Changes(ctx context.Context) ([]Change, error) {
	var out []Change
	err := b.Prop.List(ctx, ChangePrefix, "", func(k string, v []byte) error {
		c, err := Decode[Change](v)
		if err != nil {
			return steperr.At("read "+k, "", err)
		}
		out = append(out, c)
		return nil
	})
	return out, err
}

// At folds the sheet as it was at version n.
func (b *Book) At(ctx context.Context, n uint64) (spec.Sheet, error) {
	cs, err := b.Changes(ctx)
	if err != nil {
		return spec.Sheet{}, err
	}
	f := &Fold{tokens: map[string]uint64{}}
	for _, c := range cs {
		if c.N > n {
			break
		}
		if err := f.take(c); err != nil {
			return spec.Sheet{}, err
		}
	}
	if f.N != n {
		return spec.Sheet{}, steperr.New("sheet at version", "", "no version %d", n)
	}
	return f.Sheet, nil
}
