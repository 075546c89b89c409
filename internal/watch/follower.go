package watch

import (
	"cmp"
	"slices"
)

// Follower is a node that polled this controller recently, as shown to operators. Seen is the cursor
// of its last request.
type Follower struct {
	Member
	Seen Cursor
}

// Gone reports whether a gateway no longer counts as attached.
func (f Follower) Gone() bool { return f.Age >= gatewayTimeout }

// Followers returns the nodes that polled this controller recently, ordered by ID.
func (t *Publisher) Followers() []Follower {
	now := t.Clock.Now()
	t.mu.Lock()
	out := make([]Follower, 0, len(t.followers))
	for _, a := range t.followers {
		f := Follower{a.Member, a.cursor}
		f.Age = now.Sub(a.polledAt)
		out = append(out, f)
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b Follower) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// PollCount returns the number of requests for changes that this node received.
func (t *Publisher) PollCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pollCount
}

// Cursor returns the cursor of a follower that has received all changes of this replica.
// It advances by one for each change of an item or a run.
func (b *Replica) Cursor() Cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Cursor{Items: b.items.Seq(), Runs: b.runs.Seq()}
}
