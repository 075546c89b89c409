// Package claim sees to it that a request that may not be repeated, sent again
// by its caller under the same key, does not run twice (design 17).
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"walkrudder/internal/link"
	"walkrudder/internal/quorum"
	"walkrudder/internal/steperr"
)

// Prefix is where claims are kept among the items.
const Prefix = "claim/"

const (
	// Span is the length of one bucket of time. A key is remembered for at least
	// one span and at most two.
	Span = 10 * time.Minute
	// skew is how far the controllers' wall clocks may be apart: that near to a border
	// between buckets a key is claimed in both.
	skew = time.Minute
	// MaxKey bounds a caller's key.
	MaxKey = 255
)

// The states of a claim.
const (
	// Free: nobody has it, or who had it has given it back because nothing ran and
	// nothing will.
	Free = ""
	// Taken: a call has it and may run.
	Taken = "taken"
	// Ended: a call has run to its end.
	Ended = "ended"
)

// State is what stands under a key.
type State struct {
	State  string `json:"s"`
	Call   string `json:"c"`
	Print  string `json:"p"` // of method, path and body: another request must not pass for it
	Status int    `json:"a,omitempty"`
}

type (
	// TakeAsk claims a key for a call.
	TakeAsk struct {
		Key   string
		Call  string
		Print string
	}
	// TakeTold answers it: OK where the call has the claim, else what stands.
	TakeTold struct {
		OK    bool
		State State
	}
	// EndAsk gives a claim back, or marks it as run to its end.
	EndAsk struct {
		Key    string
		Call   string
		Ran    bool
		Status int
	}
	// EndTold answers it.
	EndTold struct{ OK bool }
)

func init() {
	link.RegisterPair[TakeAsk, TakeTold]()
	link.RegisterPair[EndAsk, EndTold]()
}

// Clerk keeps claims as items at a majority of the disks.
type Clerk struct {
	Prop *quorum.Proposer
	// WallMS is the wall clock in milliseconds.
	WallMS func() int64
}

func bucket(ms int64) int64 { return ms / Span.Milliseconds() }

// name is a key's short name, of one length for all.
func name(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:16])
}

func item(b int64, key string) string { return fmt.Sprintf("%s%09d/%s", Prefix, b, name(key)) }

// buckets lists, oldest first, those in which a key is to be claimed now, and the
// one before them, in which it may stand from earlier.
func buckets(ms int64) (before int64, claim []int64) {
	b := bucket(ms)
	in := ms % Span.Milliseconds()
	switch {
	case in < skew.Milliseconds():
		return b - 2, []int64{b - 1, b}
	case in >= Span.Milliseconds()-skew.Milliseconds():
		return b - 1, []int64{b, b + 1}
	}
	return b - 1, []int64{b}
}

var errTaken = errors.New("taken")

// Take claims a key for a call, or tells who has it. Asked again for the same
// call, it answers the same.
func (c *Clerk) Take(ctx context.Context, a TakeAsk) (TakeTold, error) {
	before, claim := buckets(c.WallMS())
	raw, err := c.Prop.Read(ctx, item(before, a.Key))
	if err != nil && !quorum.IsNeverWritten(err) {
		return TakeTold{}, steperr.At("claim", "", err)
	}
	if s := read(raw); s.State != Free && s.Call != a.Call {
		return TakeTold{State: s}, nil
	}
	mine, _ := json.Marshal(State{State: Taken, Call: a.Call, Print: a.Print})
	for i, b := range claim {
		raw, err := c.Prop.Change(ctx, item(b, a.Key), func(old []byte) ([]byte, error) {
			switch s := read(old); {
			case s.State == Free:
				return mine, nil
			case s.Call != a.Call:
				return nil, errTaken
			}
			return old, nil
		})
		if errors.Is(err, errTaken) {
			// What was taken in an earlier bucket on the way goes back.
			for _, o := range claim[:i] {
				_ = c.free(ctx, item(o, a.Key), a.Call)
			}
			return TakeTold{State: read(raw)}, nil
		}
		if err != nil {
			return TakeTold{}, steperr.At("claim", "", err)
		}
	}
	return TakeTold{OK: true, State: read(mine)}, nil
}

func read(b []byte) (s State) {
	if b != nil {
		_ = json.Unmarshal(b, &s)
	}
	return s
}

func (c *Clerk) free(ctx context.Context, k, call string) error {
	return c.settle(ctx, k, call, nil)
}

// settle replaces a call's own claim; nil frees it.
func (c *Clerk) settle(ctx context.Context, k, call string, to *State) error {
	raw, _ := json.Marshal(State{})
	if to != nil {
		raw, _ = json.Marshal(*to)
	}
	_, err := c.Prop.Change(ctx, k, func(old []byte) ([]byte, error) {
		if read(old).Call != call {
			return nil, errTaken
		}
		return raw, nil
	})
	if errors.Is(err, errTaken) {
		return nil
	}
	return err
}

// End gives a claim back where nothing ran, or marks it as ended. It looks in
// every bucket in which the call may have claimed.
func (c *Clerk) End(ctx context.Context, a EndAsk) error {
	b := bucket(c.WallMS())
	for x := b - 1; x <= b+1; x++ {
		k := item(x, a.Key)
		raw, err := c.Prop.Read(ctx, k)
		if err != nil && !quorum.IsNeverWritten(err) {
			return err
		}
		s := read(raw)
		if s.State != Taken || s.Call != a.Call {
			continue
		}
		if !a.Ran {
			if err := c.free(ctx, k, a.Call); err != nil {
				return err
			}
			continue
		}
		s.State, s.Status = Ended, a.Status
		if err := c.settle(ctx, k, a.Call, &s); err != nil {
			return err
		}
	}
	return nil
}

// Sweep lets the voters drop buckets that are out of reach.
func (c *Clerk) Sweep(ctx context.Context) error {
	return c.Prop.DropBelow(ctx, Prefix, fmt.Sprintf("%s%09d/", Prefix, bucket(c.WallMS())-3))
}

// Serve teaches d to answer for the clerk.
func (c *Clerk) Serve(d *link.Mux) {
	link.Handle(d, func(ctx context.Context, _ link.Identity, a TakeAsk) (TakeTold, error) { return c.Take(ctx, a) })
	link.Handle(d, func(ctx context.Context, _ link.Identity, a EndAsk) (EndTold, error) {
		err := c.End(ctx, a)
		return EndTold{OK: err == nil}, err
	})
}
