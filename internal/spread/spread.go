// Package spread selects for each node the subset of targets that it works with, so that
// nodes without knowledge of each other distribute their load, and the subsets change little
// when targets are added or removed (design 12.4).
package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders targets for a node by rendezvous hashing (highest random weight): it
// returns indices into targetIDs, highest rank first. A node that works with the first k of them
// keeps the same ones, unless one of them is removed or a new target ranks among them.
//
// The alternative is to divide a shuffled list by the node's position. Its imbalance is at most
// one, but every node must know the names of all nodes, and while two nodes have different lists
// their divisions are inconsistent.
func Rank(nodeID string, targetIDs []string) []int {
	type ranked struct {
		score uint64
		index int
	}
	seed := xxhash.Sum64String(nodeID)
	list := make([]ranked, len(targetIDs))
	for i, id := range targetIDs {
		list[i] = ranked{mix(seed ^ mix(xxhash.Sum64String(id))), i}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(targetIDs[a.index], targetIDs[b.index]), cmp.Compare(a.index, b.index))
	})
	order := make([]int, len(list))
	for i, r := range list {
		order[i] = r.index
	}
	return order
}

// mix is the finalizer of SplitMix64: every bit of x affects every bit of the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
