package watch

import (
	"cmp"
	"maps"
	"slices"
)

// PeerInfo is another controller that this one follows, as people are told of it.
type PeerInfo struct {
	// Member is as it introduced itself, with how long ago it answered last; of one that
	// never did there is only Inner.
	Member
	Answered bool
	// Votes is the epoch of the core in which its disk has a seat, or 0.
	VotingEpoch uint64
	Stopping    bool
	// Gateways are the zones of the gateways that follow it, by ID.
	Gateways map[string]string
}

// Peers are the other controllers, by inner address.
func (m *Mesh) Peers() []PeerInfo {
	now := m.Clock.Now()
	m.mu.Lock()
	out := make([]PeerInfo, 0, len(m.peers))
	for addr, p := range m.peers {
		x := PeerInfo{Member: p.controller, Answered: !p.answeredAt.IsZero(), VotingEpoch: p.votingEpoch, Stopping: p.stopping, Gateways: maps.Clone(p.gateways)}
		x.Inner = addr
		if x.Answered {
			x.Age = now.Sub(p.answeredAt)
		}
		out = append(out, x)
	}
	m.mu.Unlock()
	slices.SortFunc(out, func(a, b PeerInfo) int { return cmp.Compare(a.Inner, b.Inner) })
	return out
}
