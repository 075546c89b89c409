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

// State is the route sheet after applying all changes up to Version. It is immutable.
type State struct {
	Version    uint64
	Sheet      spec.Sheet
	tokens     map[string]uint64
	fullSheets []fullSheet
}

// fullSheet records a change that carries the full route sheet.
type fullSheet struct {
	version uint64
	atMS    int64
}

// FullSheetBefore returns the version of the last change before ms (in Unix milliseconds) that
// carries the full sheet, or 0 if there is none. Replay can start at that change.
func (st *State) FullSheetBefore(ms int64) (n uint64) {
	for _, sheet := range st.fullSheets {
		if sheet.atMS < ms {
			n = sheet.version
		}
	}
	return n
}

// TokenVersion returns the version of the change that was made with idempotency token t.
func (st *State) TokenVersion(t string) (uint64, bool) {
	n, ok := st.tokens[t]
	return n, ok
}

// maxTokens bounds the number of idempotency tokens kept in a State. A retry is
// recognized only within that many later changes (design 6.4).
const maxTokens = 20000

// Ledger is one controller's view of the replicated ledger.
type Ledger struct {
	Proposer   *quorum.Proposer
	Clock      clock.Clock
	Controller string
	// WallMS returns the wall-clock time in Unix milliseconds, for timestamps that people read.
	WallMS func() int64

	// refreshSlot admits one refresh at a time. It is a channel instead of a mutex
	// because it is held during remote calls and waiting for it must be cancellable.
	// initOnce creates it.
	initOnce    sync.Once
	refreshSlot chan struct{}
	state       atomic.Pointer[State]
	noteSeq     atomic.Uint64
}

// State returns the most recent state computed on this controller.
func (l *Ledger) State() *State {
	if st := l.state.Load(); st != nil {
		return st
	}
	return &State{}
}

// Refresh applies every change that was decided before the call and returns the new state.
func (l *Ledger) Refresh(ctx context.Context) (*State, error) {
	key, _, err := l.Proposer.Last(ctx, ChangePrefix)
	if quorum.IsNeverWritten(err) {
		// The last number was promised or partly written and is now free again.
		// The listing below determines all changes before it.
		err = nil
	}
	if err != nil {
		return nil, steperr.Wrap("refresh", "", err)
	}
	current := l.State()
	if key == "" || key <= ChangeKey(current.Version) {
		return current, nil
	}
	l.initOnce.Do(func() { l.refreshSlot = make(chan struct{}, 1) })
	select {
	case l.refreshSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, steperr.Wrap("refresh", "", ctx.Err())
	}
	defer func() { <-l.refreshSlot }()
	current = l.State()
	if key <= ChangeKey(current.Version) {
		return current, nil
	}
	after := ""
	if current.Version > 0 {
		after = ChangeKey(current.Version)
	}
	next := &State{Version: current.Version, Sheet: current.Sheet, tokens: map[string]uint64{}, fullSheets: slices.Clone(current.fullSheets)}
	for t, k := range current.tokens {
		next.tokens[t] = k
	}
	err = l.Proposer.List(ctx, ChangePrefix, after, func(k string, v []byte) error {
		c, err := Decode[Change](v)
		if err != nil {
			return steperr.Wrap("fold "+k, "", err)
		}
		return next.apply(c)
	})
	if err != nil {
		return nil, err
	}
	l.state.Store(next)
	return next, nil
}

// apply applies one change to the state.
func (st *State) apply(c Change) error {
	switch {
	case st.Version == 0 && c.Sheet != nil:
		st.Sheet = *c.Sheet
	case c.Version != st.Version+1:
		return fmt.Errorf("change %d after %d: the ledger has a gap", c.Version, st.Version)
	default:
		s, bad := st.Sheet.Apply(c.Edits)
		if len(bad) > 0 {
			return fmt.Errorf("change %d does not apply: %v", c.Version, bad)
		}
		st.Sheet = s
	}
	st.Version = c.Version
	if c.Sheet != nil {
		st.fullSheets = append(st.fullSheets, fullSheet{c.Version, c.AtMS})
	}
	if c.Token != "" {
		st.tokens[c.Token] = c.Version
	}
	if len(st.tokens) > maxTokens {
		for t, k := range st.tokens {
			if k+maxTokens/2 < c.Version {
				delete(st.tokens, t)
			}
		}
	}
	return nil
}

// ErrNumberTaken means that another change was decided at this number first.
var ErrNumberTaken = errors.New("another change came first")

// Append writes change c at its number. It returns ErrNumberTaken if another change
// has that number.
func (l *Ledger) Append(ctx context.Context, c Change) error {
	raw := Encode(c)
	_, err := l.Proposer.Change(ctx, ChangeKey(c.Version), func(old []byte) ([]byte, error) {
		if old == nil || string(old) == string(raw) {
			return raw, nil
		}
		return nil, ErrNumberTaken
	})
	return err
}

// Activation is the record of which version is in force (design 8.4). Version is the version
// decided to be in force. Open is the version that may be served, because more than half of the
// voting gateways know of it. Gateways lists the voting gateways, and Round is the revision of
// that list.
type Activation struct {
	Version  uint64   `json:"version"`
	Open     uint64   `json:"open"`
	Gateways []string `json:"gateways"`
	Round    uint64   `json:"round"`
}

// HasMajority reports whether ids contain more than half of the voting gateways. It is true if
// there are none.
func (a Activation) HasMajority(ids []string) bool {
	return len(a.Gateways) == 0 || 2*len(lo.Intersect(a.Gateways, ids)) > len(a.Gateways)
}

// Activation reads the activation record from a majority of the voters.
func (l *Ledger) Activation(ctx context.Context) (a Activation, err error) {
	v, err := l.Proposer.Read(ctx, ActivationKey)
	if quorum.IsNeverWritten(err) || err == nil && v == nil {
		return a, nil
	}
	if err != nil {
		return a, steperr.Wrap("read flip", "", err)
	}
	return Decode[Activation](v)
}

// Activate records that version n comes into force; the version never decreases.
// If the list of voting gateways is empty, it is set to gateways. Activate returns
// the resulting record.
func (l *Ledger) Activate(ctx context.Context, n uint64, gateways []string) (Activation, error) {
	return l.updateActivation(ctx, func(o Activation) Activation {
		o.Version = max(o.Version, n)
		if len(o.Gateways) == 0 {
			o.Gateways, o.Round = gateways, o.Round+1
		}
		return o
	})
}

// SetOpen records that version n may be served.
func (l *Ledger) SetOpen(ctx context.Context, n uint64) error {
	_, err := l.updateActivation(ctx, func(o Activation) Activation {
		o.Open = max(o.Open, min(n, o.Version))
		return o
	})
	return err
}

// SetGateways replaces the list of voting gateways if its revision is still round.
func (l *Ledger) SetGateways(ctx context.Context, round uint64, gateways []string) (Activation, error) {
	return l.updateActivation(ctx, func(o Activation) Activation {
		if o.Round == round {
			o.Gateways, o.Round = gateways, round+1
		}
		return o
	})
}

// RemoveGateway removes a gateway from the voting gateways: one that was stopped as planned, or
// that an operator ordered to forget.
func (l *Ledger) RemoveGateway(ctx context.Context, id string) error {
	_, err := l.updateActivation(ctx, func(o Activation) Activation {
		if n := lo.Without(o.Gateways, id); len(n) < len(o.Gateways) {
			o.Gateways, o.Round = n, o.Round+1
		}
		return o
	})
	return err
}

// updateActivation replaces the activation record by the result of update and returns it.
func (l *Ledger) updateActivation(ctx context.Context, update func(Activation) Activation) (out Activation, err error) {
	_, err = l.Proposer.Change(ctx, ActivationKey, func(old []byte) ([]byte, error) {
		var o Activation
		if old != nil {
			var err error
			if o, err = Decode[Activation](old); err != nil {
				return nil, err
			}
		}
		out = update(o)
		return Encode(out), nil
	})
	return out, steperr.Wrap("flip", "", err)
}

// WriteOnce writes a note as an immutable item. If the item exists, it is kept and returned.
func (l *Ledger) WriteOnce(ctx context.Context, key string, n Note) (Note, error) {
	n.Controller = l.Controller
	if n.AtMS == 0 {
		n.AtMS = l.WallMS()
	}
	raw, err := l.Proposer.Change(ctx, key, func(old []byte) ([]byte, error) {
		if old != nil {
			return old, nil
		}
		return Encode(n), nil
	})
	if err != nil {
		return n, steperr.Wrap("note "+n.Kind, "", err)
	}
	return Decode[Note](raw)
}

// AddNote writes a note under a new unique key.
func (l *Ledger) AddNote(ctx context.Context, n Note) error {
	at := l.WallMS()
	n.AtMS = at
	key := fmt.Sprintf("%s%013d-%s-%d", NotePrefix, at, l.Controller, l.noteSeq.Add(1))
	_, err := l.WriteOnce(ctx, key, n)
	return err
}

// Notes lists the notes under prefix, oldest first if the keys are ordered by time.
func (l *Ledger) Notes(ctx context.Context, prefix string) ([]Note, error) {
	var out []Note
	err := l.Proposer.List(ctx, prefix, "", func(k string, v []byte) error {
		n, err := Decode[Note](v)
		if err != nil {
			return steperr.Wrap("read "+k, "", err)
		}
		out = append(out, n)
		return nil
	})
	return out, err
}

// Suspected replays the suspect and trust notes and returns the target runs that are
// currently suspected.
func (l *Ledger) Suspected(ctx context.Context) (map[Target]bool, error) {
	notes, err := l.Notes(ctx, NotePrefix)
	if err != nil {
		return nil, err
	}
	m := map[Target]bool{}
	for _, n := range notes {
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
func (l *Ledger) Changes(ctx context.Context) ([]Change, error) {
	var out []Change
	err := l.Proposer.List(ctx, ChangePrefix, "", func(k string, v []byte) error {
		c, err := Decode[Change](v)
		if err != nil {
			return steperr.Wrap("read "+k, "", err)
		}
		out = append(out, c)
		return nil
	})
	return out, err
}

// SheetAt returns the route sheet as of version n.
func (l *Ledger) SheetAt(ctx context.Context, n uint64) (spec.Sheet, error) {
	changes, err := l.Changes(ctx)
	if err != nil {
		return spec.Sheet{}, err
	}
	st := &State{tokens: map[string]uint64{}}
	for _, c := range changes {
		if c.Version > n {
			break
		}
		if err := st.apply(c); err != nil {
			return spec.Sheet{}, err
		}
	}
	if st.Version != n {
		return spec.Sheet{}, steperr.New("sheet at version", "", "no version %d", n)
	}
	return st.Sheet, nil
}
