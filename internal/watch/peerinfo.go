package watch

import (
	"cmp"
	"maps"
	"slices"
)

// PeerInfo describes another controller that this one follows, for operators.
type PeerInfo struct {
	// Member is the controller's introduction, with Age set to the age of its last answer. If
	// it never answered, only Inner is set.
	Member
	Answered bool
	// VotingEpoch is the epoch of the core in which its disk has a seat, or 0.
	VotingEpoch uint64
	Stopping    bool
	// Gateways holds the zones of the gateways that follow it, by gateway ID.
	Gateways map[string]string
}

// Peers returns the other controllers, ordered by inner address.
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
