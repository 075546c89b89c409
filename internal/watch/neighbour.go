package watch

import (
	"cmp"
	"maps"
	"slices"
)

// Neighbour is another mind that this one follows, as people are told of it.
type Neighbour struct {
	// Member is as it introduced itself, with how long ago it answered last; of one that
	// never did there is only Inner.
	Member
	Answered bool
	// Votes is the epoch of the core in which its disk has a seat, or 0.
	Votes uint64
	Going bool
	// Flows are the zones of the flows that follow it, by ID.
	Flows map[string]string
}

// Neighbours are the other minds, by inner address.
func (m *Mesh) Neighbours() []Neighbour {
	now := m.Clock.Now()
	m.mu.Lock()
	out := make([]Neighbour, 0, len(m.peers))
	for addr, p := range m.peers {
		x := Neighbour{Member: p.mind, Answered: !p.heard.IsZero(), Votes: p.votes, Going: p.going, Flows: maps.Clone(p.flows)}
		x.Inner = addr
		if x.Answered {
			x.Age = now.Sub(p.heard)
		}
		out = append(out, x)
	}
	m.mu.Unlock()
	slices.SortFunc(out, func(a, b Neighbour) int { return cmp.Compare(a.Inner, b.Inner) })
	return out
}
