package model

import (
	"context"
	"fmt"
	"maps"
	"strings"
)

// Counterexample is a schedule that broke an invariant.
type Counterexample struct {
	Scenario string
	Broken   string
	// Deviations are the choices that were not the usual ones, by their place: what a play needs
	// to be repeated.
	Deviations map[int]int
	Steps      []string
}

// String lists the steps.
func (c Counterexample) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\ndeviations:", c.Scenario, c.Broken)
	for _, i := range places(c.Deviations) {
		fmt.Fprintf(&b, " %d:%d", i, c.Deviations[i])
	}
	b.WriteByte('\n')
	for i, s := range c.Steps {
		mark := " "
		if c.Deviations[i] > 0 {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %3d %s\n", mark, i, s)
	}
	return b.String()
}

// Bubble runs f in a bubble of testing/synctest of its own.
type Bubble func(f func(ctx context.Context))

// Result is what an exploration saw.
type Result struct {
	Schedules int
	Steps     int
	Found     *Counterexample
}

// run plays one schedule in a bubble.
func run(in Bubble, s Scenario, by Chooser) (r *recorder, broken string, steps []string) {
	r = &recorder{of: by}
	in(func(ctx context.Context) { broken, steps = play(ctx, s, r) })
	return r, broken, steps
}

// Replay plays the schedule with these deviations.
func Replay(in Bubble, s Scenario, at map[int]int) *Counterexample {
	r, broken, steps := run(in, s, &Deviations{At: at})
	if broken == "" {
		return nil
	}
	return &Counterexample{s.Name, broken, r.deviations(), steps}
}

// shrinks bounds the plays that a counterexample is shortened by.
const shrinks = 60

// shrink leaves out deviations that the counterexample does not need.
func shrink(in Bubble, s Scenario, c *Counterexample) *Counterexample {
	for plays := 0; plays < shrinks; {
		shorter := false
		for _, i := range places(c.Deviations) {
			plays++
			at := maps.Clone(c.Deviations)
			delete(at, i)
			if got := Replay(in, s, at); got != nil {
				c, shorter = got, true
				break
			}
		}
		if !shorter {
			break
		}
	}
	return c
}

// Exhaust plays every schedule with up to depth deviations from the usual one; part of parts of
// the first deviations are taken, so that several explorations share the work.
func Exhaust(in Bubble, s Scenario, depth, part, parts int) (res Result) {
	var extend func(at map[int]int, from, left int)
	extend = func(at map[int]int, from, left int) {
		r, broken, steps := run(in, s, &Deviations{At: at})
		res.Schedules++
		res.Steps += len(steps)
		if broken != "" {
			res.Found = shrink(in, s, &Counterexample{s.Name, broken, r.deviations(), steps})
			return
		}
		if left == 0 {
			return
		}
		for i := from; i < len(r.among); i++ {
			for c := 1; c < r.among[i]; c++ {
				if len(at) == 0 && (i+c)%parts != part {
					continue
				}
				next := maps.Clone(at)
				next[i] = c
				if extend(next, i+1, left-1); res.Found != nil {
					return
				}
			}
		}
	}
	extend(map[int]int{}, 0, depth)
	return res
}

// Walks plays the random schedules of seeds from first on, until one breaks an invariant.
func Walks(in Bubble, s Scenario, first uint64, count int) (res Result) {
	for seed := first; seed < first+uint64(count); seed++ {
		r, broken, steps := run(in, s, NewWalk(seed))
		res.Schedules++
		res.Steps += len(steps)
		if broken != "" {
			res.Found = shrink(in, s, &Counterexample{fmt.Sprintf("%s, walk %d", s.Name, seed), broken, r.deviations(), steps})
			return res
		}
	}
	return res
}
