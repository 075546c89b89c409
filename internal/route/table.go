package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"walkrudder/internal/item"
)

// shardCount is the number of small maps into which each index of a table is split, so that a
// change copies little.
const shardCount = 256

// maxUndecodable bounds the list of items that could not be decoded.
const maxUndecodable = 64

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// Table is the compiled form of the declared items, read on every request. It is
// immutable: With returns the next table, and the owner stores that in an atomic.Pointer.
// A nil Table has no routes.
type Table struct {
	hosts       [shardCount]map[string]*hostRoutes
	names       [shardCount]map[string]*Entry
	routes      int
	services    serviceList
	limits      Limits
	undecodable []Problem
}

// serviceList holds the services by index. An index, once assigned, belongs to the same name in all
// later tables, even after the service was removed.
type serviceList struct {
	list  []TableService
	index map[string]int
}

// TableService is a service in a table; Declared is false if it is only referred to or was removed.
type TableService struct {
	Service
	Declared bool
}

// hostRoutes holds one host's routes.
type hostRoutes struct {
	// entries are sorted by prefix; of two routes with the same prefix the effective one
	// comes last.
	entries []prefixEntry
}

type prefixEntry struct {
	*Entry
	// parent is the index of the last entry before this one whose prefix is a prefix of this
	// entry's; -1 if there is none.
	parent int32
}

// compareEntries is the sort order of entries. Of two routes that got the same host and prefix by
// concurrent changes the higher version is effective, then the lower name.
func compareEntries(a, b *Entry) int {
	return cmp.Or(
		strings.Compare(a.Prefix, b.Prefix),
		cmp.Compare(a.Version, b.Version),
		strings.Compare(b.Name, a.Name),
	)
}

// linkParents sets the parent of every entry; the ancestors of an entry form a stack.
func (h *hostRoutes) linkParents() {
	var ancestors []int32
	for i := range h.entries {
		p := h.entries[i].Prefix
		for len(ancestors) > 0 {
			o := h.entries[ancestors[len(ancestors)-1]].Prefix
			if strings.HasPrefix(p, o) {
				break
			}
			ancestors = ancestors[:len(ancestors)-1]
		}
		h.entries[i].parent = -1
		if n := len(ancestors); n > 0 {
			h.entries[i].parent = ancestors[n-1]
		}
		ancestors = append(ancestors, int32(i))
	}
}

// match finds the longest prefix of the path. All strings that sort between such a prefix and the
// path begin with the prefix, so it is the predecessor of the path or one of its ancestors.
func (h *hostRoutes) match(path string) *Entry {
	lo, hi := 0, len(h.entries)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if h.entries[mid].Prefix <= path {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	for i := int32(lo - 1); i >= 0; i = h.entries[i].parent {
		if strings.HasPrefix(path, h.entries[i].Prefix) {
			return h.entries[i].Entry
		}
	}
	return nil
}

// Match finds the route of a request: among the host's routes the one with the longest
// prefix of the path. The path is compared as received, without its query. The host is
// compared without case and port. It returns nil if there is no such route.
func (t *Table) Match(hostname, path string) *Entry {
	if t == nil {
		return nil
	}
	hostname = bareHost(hostname)
	if len(hostname) > maxHostLen {
		return nil
	}
	var buf [maxHostLen]byte
	if b, changed := lowerInto(buf[:0], hostname); changed {
		hostname = unsafeString(b)
	}
	h := t.hosts[shardOf(hostname)][hostname]
	if h == nil {
		return nil
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	return h.match(path)
}

// MatchBytes is Match for byte slices; it does not retain them.
func (t *Table) MatchBytes(hostname, path []byte) *Entry {
	return t.Match(unsafeString(hostname), unsafeString(path))
}

// unsafeString returns the bytes as a string without a copy; it is valid only while they don't change.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// Route finds a declared route by its name.
func (t *Table) Route(name string) *Entry {
	if t == nil {
		return nil
	}
	return t.names[shardOf(name)][name]
}

// Len is the number of declared routes.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return t.routes
}

// Services returns the services by index, including those that are only referred to or were
// removed; the result must not be modified.
func (t *Table) Services() []TableService {
	if t == nil {
		return nil
	}
	return t.services.list
}

// ServiceIndex returns the index of a service.
func (t *Table) ServiceIndex(name string) (int, bool) {
	if t == nil {
		return 0, false
	}
	i, ok := t.services.index[name]
	return i, ok
}

// Limits returns the declared limits; before any are declared, all of them are 0.
func (t *Table) Limits() Limits {
	if t == nil {
		return Limits{}
	}
	return t.limits
}

// Undecodable lists items that could not be decoded; their previous versions stay in effect. The
// result must not be modified.
func (t *Table) Undecodable() []Problem {
	if t == nil {
		return nil
	}
	return t.undecodable
}

// With returns a table with the changed items applied, at a cost proportional to the change:
// it copies the routes of each affected host, and the affected shards of the indices. The items
// must be newer than those in the table, as a Set ensures; of two copies of one item the later
// argument wins. An item that can't be decoded, for example of a later release, leaves its
// previous version in effect.
func (t *Table) With(changed ...item.Item) *Table {
	if len(changed) == 0 && t != nil {
		return t
	}
	b := newTableBuilder(t)
	for _, it := range changed {
		b.apply(it)
	}
	return b.build()
}

// tableBuilder is a table under construction.
type tableBuilder struct {
	*Table
	clonedHosts, clonedNames [shardCount]bool
	servicesCloned           bool
	hostChanges              map[string]*hostChange
}

// hostChange is the difference of one host's routes.
type hostChange struct {
	removed map[*Entry]bool
	added   []*Entry
}

func newTableBuilder(t *Table) *tableBuilder {
	b := &tableBuilder{Table: &Table{}, hostChanges: map[string]*hostChange{}}
	if t != nil {
		*b.Table = *t
	}
	return b
}

func (b *tableBuilder) changeOf(hostname string) *hostChange {
	key := hostKey(hostname)
	e := b.hostChanges[key]
	if e == nil {
		e = &hostChange{removed: map[*Entry]bool{}}
		b.hostChanges[key] = e
	}
	return e
}

// writableShard returns a shard of a table under construction, and clones it before the first write.
func writableShard[V any](shard *map[string]V, cloned *bool) map[string]V {
	if !*cloned {
		*cloned = true
		if *shard = maps.Clone(*shard); *shard == nil {
			*shard = map[string]V{}
		}
	}
	return *shard
}

func (b *tableBuilder) apply(it item.Item) {
	var err error
	switch it.Kind {
	case item.Route:
		err = b.applyRoute(it)
	case item.Service:
		err = b.applyService(it)
	case item.Limits:
		var l Limits
		if !it.Gone {
			l, err = LimitsFromItem(it)
		}
		if err == nil {
			b.limits = l
		}
	}
	b.recordError(it, err)
}

// recordError updates the list of items that could not be decoded.
func (b *tableBuilder) recordError(it item.Item, err error) {
	if len(b.undecodable) == 0 && err == nil {
		return
	}
	path := strings.TrimSuffix(itemPath(it), "/")
	b.undecodable = slices.DeleteFunc(slices.Clone(b.undecodable), func(p Problem) bool { return p.Path == path })
	if err != nil && len(b.undecodable) < maxUndecodable {
		b.undecodable = append(b.undecodable, Problem{path, err.Error()})
	}
}

func (b *tableBuilder) applyRoute(it item.Item) error {
	var e *Entry
	if !it.Gone {
		r, err := FromItem(it)
		if err != nil {
			return err
		}
		if len(r.Shares) > 0 {
			e = newEntry(r, b.indexOf)
		}
	}
	shard := shardOf(it.Name)
	old := b.names[shard][it.Name]
	if old == nil && e == nil {
		return nil
	}
	names := writableShard(&b.names[shard], &b.clonedNames[shard])
	if old != nil {
		b.routes--
		b.changeOf(old.Host).removed[old] = true
		delete(names, it.Name)
	}
	if e != nil {
		b.routes++
		change := b.changeOf(e.Host)
		change.added = append(change.added, e)
		names[it.Name] = e
	}
	return nil
}

func (b *tableBuilder) applyService(it item.Item) error {
	if it.Gone {
		if i, ok := b.services.index[it.Name]; ok {
			b.setService(i, TableService{Service: Service{Name: it.Name}})
		}
		return nil
	}
	s, err := ServiceFromItem(it)
	if err != nil {
		return err
	}
	b.setService(b.indexOf(it.Name), TableService{s, true})
	return nil
}

func (b *tableBuilder) cloneServices() {
	if !b.servicesCloned {
		b.servicesCloned = true
		b.services = serviceList{slices.Clone(b.services.list), maps.Clone(b.services.index)}
		if b.services.index == nil {
			b.services.index = map[string]int{}
		}
	}
}

func (b *tableBuilder) setService(i int, k TableService) {
	b.cloneServices()
	b.services.list[i] = k
}

// indexOf returns the index of a service, and assigns one to a new name.
func (b *tableBuilder) indexOf(name string) int {
	if i, ok := b.services.index[name]; ok {
		return i
	}
	b.cloneServices()
	i := len(b.services.list)
	b.services.list = append(b.services.list, TableService{Service: Service{Name: name}})
	b.services.index[name] = i
	return i
}

func (b *tableBuilder) build() *Table {
	for key, change := range b.hostChanges {
		shard := shardOf(key)
		hosts := writableShard(&b.hosts[shard], &b.clonedHosts[shard])
		if h := hosts[key].merge(change); h != nil {
			hosts[key] = h
		} else {
			delete(hosts, key)
		}
	}
	return b.Table
}

// merge applies a change to a host's routes; it returns nil if none are left.
func (h *hostRoutes) merge(change *hostChange) *hostRoutes {
	added := slices.DeleteFunc(change.added, func(e *Entry) bool { return change.removed[e] })
	slices.SortFunc(added, compareEntries)
	var old []prefixEntry
	if h != nil {
		old = h.entries
	}
	merged := make([]prefixEntry, 0, max(0, len(old)+len(added)-len(change.removed)))
	for _, c := range old {
		if change.removed[c.Entry] {
			continue
		}
		for len(added) > 0 && compareEntries(added[0], c.Entry) < 0 {
			merged, added = append(merged, prefixEntry{Entry: added[0]}), added[1:]
		}
		merged = append(merged, c)
	}
	for _, e := range added {
		merged = append(merged, prefixEntry{Entry: e})
	}
	if len(merged) == 0 {
		return nil
	}
	next := &hostRoutes{entries: merged}
	next.linkParents()
	return next
}
