package model

import "slices"

// powerOff ends every process, loses a disk, if any is named, and starts all again.
func (w *World) powerOff(lost *node) {
	w.crash(0, w.list...)
	if lost != nil {
		lost.disk.wipe()
		lost.lost.Store(true)
	}
	for _, n := range w.list {
		n.boot()
	}
}

// turnCut cuts a node off from all others, or joins it.
func (w *World) turnCut(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.list {
		for _, way := range [][2]string{{n.id, o.id}, {o.id, n.id}} {
			if o != n {
				w.cuts[way] = !w.cuts[way]
			}
		}
	}
}

// turnMute cuts the ways from a node to all others, or joins them; it still hears them.
func (w *World) turnMute(n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.list {
		if way := [2]string{n.id, o.id}; o != n {
			w.cuts[way] = !w.cuts[way]
		}
	}
}

// split cuts a group of nodes from all others, and joins all other ways.
func (w *World) split(group []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts = map[[2]string]bool{}
	for _, a := range w.list {
		for _, b := range w.list {
			if slices.Contains(group, a.id) != slices.Contains(group, b.id) {
				w.cuts[[2]string{a.id, b.id}] = true
			}
		}
	}
}
