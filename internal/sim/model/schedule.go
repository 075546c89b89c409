// Package model explores schedules of the real core: voters, proposers, reconfigurers and the
// item path of control-plane nodes, with every message, sync, loss, crash and replacement as
// a step that a schedule chooses (docs/control.md). Nothing of the core is rewritten here: what
// the model replaces are the network, the disks and the clock.
package model

import (
	"math/rand/v2"
	"sort"
)

// Chooser decides which of n possible steps comes next; 0 is the usual one, the oldest event
// that waits.
type Chooser interface{ Choose(n int) int }

// Deviations is a schedule that takes the usual step everywhere but at the places named, counted
// from 0.
type Deviations struct {
	At   map[int]int
	step int
}

// Choose takes the deviation of this place, where there is one.
func (d *Deviations) Choose(n int) int {
	c := d.At[d.step]
	d.step++
	return min(c, n-1)
}

// Walk is a random schedule: it takes the usual step but for one place in Rare.
type Walk struct {
	rnd  *rand.Rand
	rare int
}

// NewWalk makes the walk of a seed.
func NewWalk(seed uint64) *Walk {
	rnd := rand.New(rand.NewPCG(seed, 7))
	return &Walk{rnd: rnd, rare: 1 + rnd.IntN(8)}
}

// Choose draws.
func (w *Walk) Choose(n int) int {
	if n < 2 || w.rnd.IntN(w.rare) > 0 {
		return 0
	}
	return w.rnd.IntN(n)
}

// recorder notes what a chooser chose, and among how many steps.
type recorder struct {
	of     Chooser
	chosen []int
	among  []int
}

// Choose notes the choice.
func (r *recorder) Choose(n int) int {
	c := r.of.Choose(n)
	r.chosen = append(r.chosen, c)
	r.among = append(r.among, n)
	return c
}

// deviations are the choices that were not the usual ones.
func (r *recorder) deviations() map[int]int {
	out := map[int]int{}
	for i, c := range r.chosen {
		if c > 0 {
			out[i] = c
		}
	}
	return out
}

// places are the keys of a set of deviations, in order.
func places(at map[int]int) []int {
	out := make([]int, 0, len(at))
	for i := range at {
		out = append(out, i)
	}
	sort.Ints(out)
	return out
}
