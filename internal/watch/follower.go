package watch

import (
	"cmp"
	"slices"
)

// Follower is a node that asked here lately, as people are told of it. Seen is how far it
// had heard this node out when it asked last.
type Follower struct {
	Member
	Seen Cursor
}

// Gone tells whether a gateway no longer counts as attached.
func (f Follower) Gone() bool { return f.Age >= gatewayTimeout }

// Followers are the nodes that asked here lately, by ID.
func (t *Publisher) Followers() []Follower {
	now := t.Clock.Now()
	t.mu.Lock()
	out := make([]Follower, 0, len(t.clients))
	for _, a := range t.clients {
		f := Follower{a.Member, a.cursor}
		f.Age = now.Sub(a.askedAt)
		out = append(out, f)
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(a, b Follower) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// PollCount is how often this node was asked for news.
func (t *Publisher) PollCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pollCount
}

// Cursor is how far whoever heard all of this board out has got. Each change of an item
// or a run counts one.
func (b *Replica) Cursor() Cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Cursor{Items: b.items.Seq(), Runs: b.runs.Seq()}
}
