// Package claim prevents a non-repeatable request from running twice when its caller
// sends it again under the same key (design 17).
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

// Prefix is the key prefix of claims in the quorum store.
const Prefix = "claim/"

const (
	// BucketSpan is the length of one time bucket. A key is remembered for at least one
	// BucketSpan and at most two.
	BucketSpan = 10 * time.Minute
	// maxClockSkew is the assumed bound on the difference between the controllers' wall
	// clocks. Closer than this to a bucket boundary, a key is claimed in both buckets.
	maxClockSkew = time.Minute
	// MaxKey bounds the length of a caller's key.
	MaxKey = 255
)

// The states of a claim.
const (
	// Free: nobody holds the claim, or its holder released it because nothing ran and
	// nothing will.
	Free = ""
	// Taken: a call holds the claim and may run.
	Taken = "taken"
	// Ended: the call that held the claim has finished.
	Ended = "ended"
)

// State is the state stored under a key.
type State struct {
	State  string `json:"s"`
	Call   string `json:"c"`
	Print  string `json:"p"` // fingerprint of method, path and body, so that a different request is recognized
	Status int    `json:"a,omitempty"`
}

type (
	// TakeAsk claims a key for a call.
	TakeAsk struct {
		Key   string
		Call  string
		Print string
	}
	// TakeTold answers TakeAsk: OK if the call holds the claim, otherwise the state found.
	TakeTold struct {
		OK    bool
		State State
	}
	// EndAsk releases a claim, or marks it as ended.
	EndAsk struct {
		Key    string
		Call   string
		Ran    bool
		Status int
	}
	// EndTold answers EndAsk.
	EndTold struct{ OK bool }
)

func init() {
	link.RegisterPair[TakeAsk, TakeTold]()
	link.RegisterPair[EndAsk, EndTold]()
}

// QuorumStore keeps claims as items in the quorum store, on a majority of the disks.
type QuorumStore struct {
	Proposer *quorum.Proposer
	// WallMS returns the wall-clock time in Unix milliseconds.
	WallMS func() int64
}

// bucket returns the number of the time bucket that contains ms.
func bucket(ms int64) int64 { return ms / BucketSpan.Milliseconds() }

// keyHash returns a fixed-length hash of a key.
func keyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:16])
}

func itemKey(b int64, key string) string { return fmt.Sprintf("%s%09d/%s", Prefix, b, keyHash(key)) }

// buckets returns the buckets in which a key must be claimed at ms, oldest first, and the
// bucket before them, in which an earlier claim may still be valid.
func buckets(ms int64) (previous int64, current []int64) {
	b := bucket(ms)
	offset := ms % BucketSpan.Milliseconds()
	switch {
	case offset < maxClockSkew.Milliseconds():
		return b - 2, []int64{b - 1, b}
	case offset >= BucketSpan.Milliseconds()-maxClockSkew.Milliseconds():
		return b - 1, []int64{b, b + 1}
	}
	return b - 1, []int64{b}
}

var errTaken = errors.New("taken")

// Take claims a key for a call, or returns the state of the claim of another call. It is
// idempotent for the same call.
func (q *QuorumStore) Take(ctx context.Context, a TakeAsk) (TakeTold, error) {
	previous, current := buckets(q.WallMS())
	raw, err := q.Proposer.Read(ctx, itemKey(previous, a.Key))
	if err != nil && !quorum.IsNeverWritten(err) {
		return TakeTold{}, steperr.Wrap("claim", "", err)
	}
	if s := decodeState(raw); s.State != Free && s.Call != a.Call {
		return TakeTold{State: s}, nil
	}
	taken, _ := json.Marshal(State{State: Taken, Call: a.Call, Print: a.Print})
	for i, b := range current {
		raw, err := q.Proposer.Change(ctx, itemKey(b, a.Key), func(old []byte) ([]byte, error) {
			switch s := decodeState(old); {
			case s.State == Free:
				return taken, nil
			case s.Call != a.Call:
				return nil, errTaken
			}
			return old, nil
		})
		if errors.Is(err, errTaken) {
			// The claim is released in the earlier buckets where it was just taken.
			for _, o := range current[:i] {
				_ = q.releaseClaim(ctx, itemKey(o, a.Key), a.Call)
			}
			return TakeTold{State: decodeState(raw)}, nil
		}
		if err != nil {
			return TakeTold{}, steperr.Wrap("claim", "", err)
		}
	}
	return TakeTold{OK: true, State: decodeState(taken)}, nil
}

func decodeState(b []byte) (s State) {
	if b != nil {
		_ = json.Unmarshal(b, &s)
	}
	return s
}

func (q *QuorumStore) releaseClaim(ctx context.Context, key, call string) error {
	return q.replaceClaim(ctx, key, call, nil)
}

// replaceClaim replaces a call's own claim; nil releases it. A claim of another call is kept.
func (q *QuorumStore) replaceClaim(ctx context.Context, key, call string, to *State) error {
	raw, _ := json.Marshal(State{})
	if to != nil {
		raw, _ = json.Marshal(*to)
	}
	_, err := q.Proposer.Change(ctx, key, func(old []byte) ([]byte, error) {
		if decodeState(old).Call != call {
			return nil, errTaken
		}
		return raw, nil
	})
	if errors.Is(err, errTaken) {
		return nil
	}
	return err
}

// End releases a claim if nothing ran, or marks it as ended. It checks every bucket in
// which the call may have claimed.
func (q *QuorumStore) End(ctx context.Context, a EndAsk) error {
	b := bucket(q.WallMS())
	for x := b - 1; x <= b+1; x++ {
		k := itemKey(x, a.Key)
		raw, err := q.Proposer.Read(ctx, k)
		if err != nil && !quorum.IsNeverWritten(err) {
			return err
		}
		s := decodeState(raw)
		if s.State != Taken || s.Call != a.Call {
			continue
		}
		if !a.Ran {
			if err := q.releaseClaim(ctx, k, a.Call); err != nil {
				return err
			}
			continue
		}
		s.State, s.Status = Ended, a.Status
		if err := q.replaceClaim(ctx, k, a.Call, &s); err != nil {
			return err
		}
	}
	return nil
}

// Sweep makes the voters drop buckets that are no longer read.
func (q *QuorumStore) Sweep(ctx context.Context) error {
	return q.Proposer.DropBelow(ctx, Prefix, fmt.Sprintf("%s%09d/", Prefix, bucket(q.WallMS())-3))
}

// Serve registers the handlers for TakeAsk and EndAsk.
func (q *QuorumStore) Serve(mux *link.Mux) {
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a TakeAsk) (TakeTold, error) { return q.Take(ctx, a) })
	link.Handle(mux, func(ctx context.Context, _ link.Identity, a EndAsk) (EndTold, error) {
		err := q.End(ctx, a)
		return EndTold{OK: err == nil}, err
	})
}
