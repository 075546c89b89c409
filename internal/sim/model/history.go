package model

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"walkrudder/internal/control"
	"walkrudder/internal/item"
	"walkrudder/internal/target"
)

// version names one version of one item.
type version struct {
	key    item.Key
	number uint64
}

func (v version) String() string { return fmt.Sprintf("%s version %d", v.key.Name, v.number) }

// content is what tells two contents of one version apart.
func content(i item.Item) string {
	if i.Gone {
		return "dropped"
	}
	return string(i.Body)
}

// history is what operators, readers and targets were told, and what nodes have shown. It does
// not use the product's own order of copies.
type history struct {
	mu        sync.Mutex
	confirmed map[version]string
	// newest is the highest version confirmed of each name, and read the highest read.
	newest map[item.Key]uint64
	read   map[item.Key]uint64
	// refused are contents that a conflict or a check refused.
	refused map[version]map[string]bool
	shown   map[version]string
	left    map[string]bool // runs whose leaving was confirmed
	broken  []string
}

func newHistory() *history {
	return &history{confirmed: map[version]string{}, newest: map[item.Key]uint64{}, read: map[item.Key]uint64{}, refused: map[version]map[string]bool{},
		shown: map[version]string{}, left: map[string]bool{}}
}

// breaks notes that an invariant does not hold. Under the lock.
func (h *history) breaks(format string, args ...any) {
	h.broken = append(h.broken, fmt.Sprintf(format, args...))
}

// confirm notes that a change was acknowledged.
func (h *history) confirm(items []item.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range items {
		v, c := version{i.Key, i.Version}, content(i)
		if old, ok := h.confirmed[v]; ok && old != c {
			h.breaks("two contents of %s were confirmed", v)
		}
		if h.refused[v][c] {
			h.breaks("a content of %s was refused and then confirmed", v)
		}
		h.confirmed[v] = c
		h.newest[i.Key] = max(h.newest[i.Key], i.Version)
	}
}

// refuse notes that a call was refused: of items that no other call has confirmed nothing may
// ever be shown.
func (h *history) refuse(items []item.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := true
	for _, i := range items {
		all = all && h.confirmed[version{i.Key, i.Version}] == content(i)
	}
	if all {
		h.breaks("a call that was confirmed is refused: %v", items[0].Key)
	}
	for _, i := range items {
		v, c := version{i.Key, i.Version}, content(i)
		if h.confirmed[v] == c {
			continue
		}
		if h.refused[v] == nil {
			h.refused[v] = map[string]bool{}
		}
		h.refused[v][c] = true
		if h.shown[v] == c {
			h.breaks("a content of %s was shown and then refused", v)
		}
	}
}

// show notes what a node shows.
func (h *history) show(node string, i item.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, c := version{i.Key, i.Version}, content(i)
	if old, ok := h.shown[v]; ok && old != c {
		h.breaks("%s shows another content of %s than was shown before", node, v)
	}
	if old, ok := h.confirmed[v]; ok && old != c {
		h.breaks("%s shows another content of %s than the confirmed one", node, v)
	}
	if h.refused[v][c] {
		h.breaks("%s shows a content of %s that was refused", node, v)
	}
	h.shown[v] = c
}

// reading is a read that has begun: what it must hold at least.
type reading struct {
	least map[item.Key]uint64
	left  []string
}

// beginRead notes what a read that begins now must tell.
func (h *history) beginRead() reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := reading{least: map[item.Key]uint64{}}
	for k, v := range h.newest {
		r.least[k] = v
	}
	for k, v := range h.read {
		r.least[k] = max(r.least[k], v)
	}
	for id := range h.left {
		r.left = append(r.left, id)
	}
	return r
}

// endRead checks what a read told.
func (h *history) endRead(node string, r reading, st control.Configuration, runs map[string]target.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	got := map[item.Key]item.Item{}
	for _, x := range st.Routes {
		got[x.Item().Key] = x.Item()
	}
	for _, x := range st.Services {
		got[x.Item().Key] = x.Item()
	}
	for _, k := range slices.SortedFunc(maps.Keys(r.least), func(a, b item.Key) int { return strings.Compare(a.Name, b.Name) }) {
		least := r.least[k]
		i, ok := got[k]
		dropped := h.confirmed[version{k, least}] == "dropped" || h.shown[version{k, least}] == "dropped"
		switch {
		case !ok && !dropped:
			h.breaks("%s reads %s as missing, version %d was confirmed or read before", node, k.Name, least)
		case ok && i.Version < least:
			h.breaks("%s reads %s at version %d, version %d was confirmed or read before", node, k.Name, i.Version, least)
		case ok && h.confirmed[version{k, i.Version}] != "" && h.confirmed[version{k, i.Version}] != content(i):
			h.breaks("%s reads another content of %s version %d than the confirmed one", node, k.Name, i.Version)
		}
	}
	for k, i := range got {
		h.read[k] = max(h.read[k], i.Version)
	}
	for _, id := range r.left {
		if s, ok := runs[id]; ok && s < target.Ended {
			h.breaks("%s holds run %s for ready, its leaving was confirmed before", node, id)
		}
	}
}

// leave notes that a leaving was acknowledged.
func (h *history) leave(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left[id] = true
}

// note adds what is broken by another measure.
func (h *history) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breaks(format, args...)
}

// verdict is the first invariant that does not hold, "" where all do.
func (h *history) verdict() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.broken) == 0 {
		return ""
	}
	return h.broken[0]
}
