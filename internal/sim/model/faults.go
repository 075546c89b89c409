package model

import "slices"

// powerOff ends every process, empties the disk of lost unless it is nil, and starts all again.
func (w *World) powerOff(lost *node) {
	w.crash(0, w.nodeList...)
	if lost != nil {
		lost.disk.wipe()
		lost.diskLost.Store(true)
	}
	for _, n := range w.nodeList {
		n.boot()
	}
}

// togglePartition cuts a node off from all others, or reconnects it.
func (w *World) togglePartition(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.nodeList {
		for _, direction := range [][2]string{{n.id, o.id}, {o.id, n.id}} {
			if o != n {
				w.cuts[direction] = !w.cuts[direction]
			}
		}
	}
}

// toggleOutbound cuts or restores the paths from a node to all others; it still receives from them.
func (w *World) toggleOutbound(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.nodeList {
		if direction := [2]string{n.id, o.id}; o != n {
			w.cuts[direction] = !w.cuts[direction]
		}
	}
}

// partition separates a group of nodes from all others and restores all other paths.
func (w *World) partition(group []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts = map[[2]string]bool{}
	for _, a := range w.nodeList {
		for _, b := range w.nodeList {
			if slices.Contains(group, a.id) != slices.Contains(group, b.id) {
				w.cuts[[2]string{a.id, b.id}] = true
			}
		}
	}
}
