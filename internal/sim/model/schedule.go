// Package model explores schedules of the real core: voters, proposers, reconfigurers and the
// item path of control-plane nodes. Every message, sync, loss, crash and replacement is a step
// that a schedule chooses (docs/control.md). The core's code runs unchanged; the model replaces
// only the network, the disks and the clock.
package model

import (
	"math/rand/v2"
	"sort"
)

// Chooser decides which of n possible steps comes next; 0 is the default, the oldest pending
// event.
type Chooser interface{ Choose(n int) int }

// Deviations is a schedule that takes the default step everywhere except at the given positions,
// counted from 0.
type Deviations struct {
	At   map[int]int
	step int
}

// Choose returns the deviation at this position, if there is one.
func (d *Deviations) Choose(n int) int {
	c := d.At[d.step]
	d.step++
	return min(c, n-1)
}

// Walk is a random schedule: it draws a step at random once in deviationOdds steps on average, and
// takes the default one otherwise.
type Walk struct {
	rnd           *rand.Rand
	deviationOdds int
}

// NewWalk returns the random schedule of a seed.
func NewWalk(seed uint64) *Walk {
	rnd := rand.New(rand.NewPCG(seed, 7))
	return &Walk{rnd: rnd, deviationOdds: 1 + rnd.IntN(8)}
}

// Choose draws the next step.
func (w *Walk) Choose(n int) int {
	if n < 2 || w.rnd.IntN(w.deviationOdds) > 0 {
		return 0
	}
	return w.rnd.IntN(n)
}

// recorder records the choices of a chooser and the number of steps it had to choose from.
type recorder struct {
	chooser Chooser
	chosen  []int
	options []int
}

// Choose passes on the choice and records it.
func (r *recorder) Choose(n int) int {
	c := r.chooser.Choose(n)
	r.chosen = append(r.chosen, c)
	r.options = append(r.options, n)
	return c
}

// deviations returns the choices other than the default.
func (r *recorder) deviations() map[int]int {
	out := map[int]int{}
	for i, c := range r.chosen {
		if c > 0 {
			out[i] = c
		}
	}
	return out
}

// sortedPositions returns the positions of deviations in ascending order.
func sortedPositions(at map[int]int) []int {
	out := make([]int, 0, len(at))
	for i := range at {
		out = append(out, i)
	}
	sort.Ints(out)
	return out
}
