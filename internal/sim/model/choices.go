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

// takeStep takes the next step. It returns false if no step is possible, or if only faults are
// left and all actors have finished.
func (w *World) takeStep(chooser Chooser) bool {
	all := w.choices()
	if len(all) == 0 || w.idle() && len(w.pendingEvents()) == 0 {
		return false
	}
	c := all[chooser.Choose(len(all))]
	w.mu.Lock()
	w.steps = append(w.steps, c.label)
	w.mu.Unlock()
	c.do()
	return true
}

// choices lists the possible steps: first the pending events in their default order, then the faults.
func (w *World) choices() (out []choice) {
	events := w.deliverable()
	for _, e := range events {
		out = append(out, choice{e.String(), func() { w.remove(e); e.fire() }})
	}
	if w.finishing || len(events) == 0 && w.idle() {
		return out
	}
	for _, e := range events {
		if w.remaining.MessageLosses > 0 && e.lose != nil {
			out = append(out, choice{"lost: " + e.String(), func() { w.remaining.MessageLosses--; w.remove(e); e.lose() }})
		}
		if w.remaining.Duplicates > 0 && e.duplicate != nil {
			out = append(out, choice{"twice: " + e.String(), func() { w.remaining.Duplicates--; e.duplicate() }})
		}
	}
	for _, n := range w.nodeList {
		out = append(out, w.nodeFaults(n)...)
	}
	if w.remaining.ZoneLosses > 0 {
		out = append(out, w.zoneLosses()...)
	}
	if w.remaining.Timeouts > 0 {
		out = append(out, choice{"pending waits time out", func() { w.remaining.Timeouts--; time.Sleep(timeoutSpan) }})
	}
	if w.remaining.PowerLosses > 0 {
		out = append(out, choice{"power off everywhere", func() { w.remaining.PowerLosses--; w.powerOff(nil) }})
		if w.remaining.DiskLosses > 0 {
			for _, n := range w.nodeList {
				if w.toleratesLoss(n) {
					out = append(out, choice{"power off everywhere, disk of " + n.id + " lost", func() {
						w.remaining.PowerLosses--
						w.remaining.DiskLosses--
						w.powerOff(n)
					}})
				}
			}
		}
	}
	return out
}

// nodeFaults lists the faults that one node can suffer now.
func (w *World) nodeFaults(n *node) (out []choice) {
	if !n.running() {
		return []choice{{n.id + " starts", n.boot}}
	}
	if w.remaining.Freezes > 0 || n.frozen.Load() {
		out = append(out, choice{n.id + " is frozen, or resumed", func() { w.remaining.Freezes--; n.frozen.Store(!n.frozen.Load()) }})
	}
	if w.remaining.OneWayPartitions > 0 {
		out = append(out, choice{n.id + " is cut off in the outgoing direction, or reconnected", func() { w.remaining.OneWayPartitions--; w.toggleOutbound(n) }})
	}
	if w.remaining.Crashes > 0 {
		kept := []int{0}
		if k := n.disk.unsynced(); k > 0 {
			kept = append(kept, k)
		}
		if k := n.disk.unsynced(); k > 1 {
			kept = append(kept, k/2)
		}
		for _, k := range kept {
			out = append(out, choice{fmt.Sprintf("%s ends, %d of %d values synced", n.id, k, n.disk.unsynced()), func() { w.remaining.Crashes--; n.crash(k) }})
		}
	}
	if w.remaining.DiskLosses > 0 && w.toleratesLoss(n) {
		out = append(out, choice{n.id + " loses its disk and starts", func() { w.remaining.DiskLosses--; n.loseDisk() }})
	}
	if w.remaining.Partitions > 0 {
		out = append(out, choice{n.id + " is cut off, or reconnected", func() { w.remaining.Partitions--; w.togglePartition(n) }})
	}
	return out
}
