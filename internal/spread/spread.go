// Package spread chooses for each node which of many targets it works with, so that
// nodes that know nothing of each other spread their load, and little changes when
// targets come and go (design 12.4).
package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order ranks targets for a node by rendezvous hashing (highest random weight): it
// returns the places in ids, first choice first. Who works with the first k of them
// keeps the same ones, except where one of them goes or a new one ranks among them.
//
// Weighed: dividing a shuffled list by the node's rank (the imbalance is one at most,
// but every node must know all nodes by name, and two lists that differ for a moment
// give two divisions that don't fit).
func Order(me string, ids []string) []int {
	type ranked struct {
		score uint64
		at    int
	}
	seed := xxhash.Sum64String(me)
	list := make([]ranked, len(ids))
	for i, id := range ids {
		list[i] = ranked{mix(seed ^ mix(xxhash.Sum64String(id))), i}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(ids[a.at], ids[b.at]), cmp.Compare(a.at, b.at))
	})
	order := make([]int, len(list))
	for i, r := range list {
		order[i] = r.at
	}
	return order
}

// mix is the finalizer of SplitMix64: every bit of x moves every bit of the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
