package watch

import (
	"cmp"
	"maps"
	"slices"
)

// Neighbour is another controller that this one follows, as people are told of it.
type Neighbour struct {
	// Member is as it introduced itself, with how long ago it answered last; of one that
	// never did there is only Inner.
	Member
	Answered bool
	// Votes is the epoch of the core in which its disk has a seat, or 0.
	Votes uint64
	Going bool
	// Gateways are the zones of the gateways that follow it, by ID.
	Gateways map[string]string
}

// Neighbours are the other controllers, by inner address.
func (m *Mesh) Neighbours() []Neighbour {
	now := m.Clock.Now()
	m.mu.Lock()
	out := make([]Neighbour, 0, len(m.peers))
	for addr, p := range m.peers {
		x := Neighbour{Member: p.controller, Answered: !p.heard.IsZero(), Votes: p.votes, Going: p.going, Gateways: maps.Clone(p.gateways)}
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
