package model

import (
	"fmt"
	"time"
)

// choice is one possible step.
type choice struct {
	label string
	do    func()
}

// step takes the next step; false says that there is none, and nobody at work.
func (w *World) step(by Chooser) bool {
	all := w.choices()
	if len(all) == 0 || w.idle() && len(w.waiting()) == 0 {
		return false
	}
	c := all[by.Choose(len(all))]
	w.mu.Lock()
	w.steps = append(w.steps, c.label)
	w.mu.Unlock()
	c.do()
	return true
}

// choices are the possible steps: first the events in their usual order, then what may go wrong.
func (w *World) choices() (out []choice) {
	events := w.eligible()
	for _, e := range events {
		out = append(out, choice{e.String(), func() { w.take(e); e.fire() }})
	}
	if w.ending || len(events) == 0 && w.idle() {
		return out
	}
	for _, e := range events {
		if w.left.Losses > 0 && e.lose != nil {
			out = append(out, choice{"lost: " + e.String(), func() { w.left.Losses--; w.take(e); e.lose() }})
		}
		if w.left.Repeats > 0 && e.again != nil {
			out = append(out, choice{"twice: " + e.String(), func() { w.left.Repeats--; e.again() }})
		}
	}
	for _, n := range w.list {
		out = append(out, w.troubles(n)...)
	}
	if w.left.Zones > 0 {
		out = append(out, w.zoneLosses()...)
	}
	if w.left.Delays > 0 {
		out = append(out, choice{"time-outs pass", func() { w.left.Delays--; time.Sleep(waitTime) }})
	}
	if w.left.PowerOff > 0 {
		out = append(out, choice{"power off everywhere", func() { w.left.PowerOff--; w.powerOff(nil) }})
		if w.left.Wipes > 0 {
			for _, n := range w.list {
				if w.bearsLoss(n) {
					out = append(out, choice{"power off everywhere, disk of " + n.id + " lost", func() {
						w.left.PowerOff--
						w.left.Wipes--
						w.powerOff(n)
					}})
				}
			}
		}
	}
	return out
}

// troubles are what may happen to one node.
func (w *World) troubles(n *node) (out []choice) {
	if !n.up() {
		return []choice{{n.id + " starts", n.boot}}
	}
	if w.left.Freezes > 0 || n.frozen.Load() {
		out = append(out, choice{n.id + " stands still, or wakes", func() { w.left.Freezes--; n.frozen.Store(!n.frozen.Load()) }})
	}
	if w.left.OneWay > 0 {
		out = append(out, choice{n.id + " is not heard, or heard again", func() { w.left.OneWay--; w.turnMute(n) }})
	}
	if w.left.Crashes > 0 {
		kept := []int{0}
		if k := n.disk.unsynced(); k > 0 {
			kept = append(kept, k)
		}
		if k := n.disk.unsynced(); k > 1 {
			kept = append(kept, k/2)
		}
		for _, k := range kept {
			out = append(out, choice{fmt.Sprintf("%s ends, %d of %d values synced", n.id, k, n.disk.unsynced()), func() { w.left.Crashes--; n.crash(k) }})
		}
	}
	if w.left.Wipes > 0 && w.bearsLoss(n) {
		out = append(out, choice{n.id + " loses its disk and starts", func() { w.left.Wipes--; n.lose() }})
	}
	if w.left.Cuts > 0 {
		out = append(out, choice{n.id + " is cut off, or joined again", func() { w.left.Cuts--; w.turnCut(n) }})
	}
	return out
}
