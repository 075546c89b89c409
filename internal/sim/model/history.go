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

// version identifies one version of one item.
type version struct {
	key    item.Key
	number uint64
}

func (v version) String() string { return fmt.Sprintf("%s version %d", v.key.Name, v.number) }

// contentOf returns what distinguishes two contents of one version.
func contentOf(i item.Item) string {
	if i.Gone {
		return "dropped"
	}
	return string(i.Body)
}

// history records what operators, readers and targets were told and what nodes have shown. It
// deliberately does not use the product's own ordering of copies.
type history struct {
	mu        sync.Mutex
	confirmed map[version]string
	// newestConfirmed and newestRead are the highest confirmed and the highest read version of each item.
	newestConfirmed map[item.Key]uint64
	newestRead      map[item.Key]uint64
	// refused holds the contents that were refused as a conflict or as invalid.
	refused    map[version]map[string]bool
	shown      map[version]string
	leftRuns   map[string]bool // runs whose leave was confirmed
	violations []string
}

func newHistory() *history {
	return &history{confirmed: map[version]string{}, newestConfirmed: map[item.Key]uint64{}, newestRead: map[item.Key]uint64{}, refused: map[version]map[string]bool{},
		shown: map[version]string{}, leftRuns: map[string]bool{}}
}

// addViolationLocked records that an invariant does not hold. The caller holds mu.
func (h *history) addViolationLocked(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// recordConfirmed records that a change was acknowledged.
func (h *history) recordConfirmed(items []item.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range items {
		v, c := version{i.Key, i.Version}, contentOf(i)
		if old, ok := h.confirmed[v]; ok && old != c {
			h.addViolationLocked("two contents of %s were confirmed", v)
		}
		if h.refused[v][c] {
			h.addViolationLocked("a content of %s was refused and then confirmed", v)
		}
		h.confirmed[v] = c
		h.newestConfirmed[i.Key] = max(h.newestConfirmed[i.Key], i.Version)
	}
}

// recordRefused records that a change was refused: none of its items may ever be shown, except those
// that another change has confirmed.
func (h *history) recordRefused(items []item.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := true
	for _, i := range items {
		all = all && h.confirmed[version{i.Key, i.Version}] == contentOf(i)
	}
	if all {
		h.addViolationLocked("a confirmed change was refused: %v", items[0].Key)
	}
	for _, i := range items {
		v, c := version{i.Key, i.Version}, contentOf(i)
		if h.confirmed[v] == c {
			continue
		}
		if h.refused[v] == nil {
			h.refused[v] = map[string]bool{}
		}
		h.refused[v][c] = true
		if h.shown[v] == c {
			h.addViolationLocked("a content of %s was shown and then refused", v)
		}
	}
}

// recordShown records an item that a node shows.
func (h *history) recordShown(node string, i item.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, c := version{i.Key, i.Version}, contentOf(i)
	if old, ok := h.shown[v]; ok && old != c {
		h.addViolationLocked("%s shows another content of %s than was shown before", node, v)
	}
	if old, ok := h.confirmed[v]; ok && old != c {
		h.addViolationLocked("%s shows another content of %s than the confirmed one", node, v)
	}
	if h.refused[v][c] {
		h.addViolationLocked("%s shows a content of %s that was refused", node, v)
	}
	h.shown[v] = c
}

// readExpectation is what a read must return at least, taken when it begins.
type readExpectation struct {
	minVersions map[item.Key]uint64
	leftRuns    []string
}

// beginRead returns what a read that begins now must return at least.
func (h *history) beginRead() readExpectation {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := readExpectation{minVersions: map[item.Key]uint64{}}
	for k, v := range h.newestConfirmed {
		r.minVersions[k] = v
	}
	for k, v := range h.newestRead {
		r.minVersions[k] = max(r.minVersions[k], v)
	}
	for id := range h.leftRuns {
		r.leftRuns = append(r.leftRuns, id)
	}
	return r
}

// endRead checks the result of a read.
func (h *history) endRead(node string, r readExpectation, st control.Configuration, runs map[string]target.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	got := map[item.Key]item.Item{}
	for _, x := range st.Routes {
		got[x.Item().Key] = x.Item()
	}
	for _, x := range st.Services {
		got[x.Item().Key] = x.Item()
	}
	for _, k := range slices.SortedFunc(maps.Keys(r.minVersions), func(a, b item.Key) int { return strings.Compare(a.Name, b.Name) }) {
		least := r.minVersions[k]
		i, ok := got[k]
		dropped := h.confirmed[version{k, least}] == "dropped" || h.shown[version{k, least}] == "dropped"
		switch {
		case !ok && !dropped:
			h.addViolationLocked("%s reads %s as missing, version %d was confirmed or read before", node, k.Name, least)
		case ok && i.Version < least:
			h.addViolationLocked("%s reads %s at version %d, version %d was confirmed or read before", node, k.Name, i.Version, least)
		case ok && h.confirmed[version{k, i.Version}] != "" && h.confirmed[version{k, i.Version}] != contentOf(i):
			h.addViolationLocked("%s reads another content of %s version %d than the confirmed one", node, k.Name, i.Version)
		}
	}
	for k, i := range got {
		h.newestRead[k] = max(h.newestRead[k], i.Version)
	}
	for _, id := range r.leftRuns {
		if s, ok := runs[id]; ok && s < target.Ended {
			h.addViolationLocked("%s reports run %s as ready after its leave was confirmed", node, id)
		}
	}
}

// recordLeave records that a leave was acknowledged.
func (h *history) recordLeave(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leftRuns[id] = true
}

// addViolation records a violation that was found outside of the history.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(format, args...)
}

// firstViolation returns the first violation, or "" if there is none.
func (h *history) firstViolation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.violations) == 0 {
		return ""
	}
	return h.violations[0]
}
