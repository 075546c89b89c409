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

// shards is how many small maps a table's indices are cut into, so that a change
// copies little.
const shards = 256

// maxUnread bounds the list of items that could not be read.
const maxUnread = 64

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shards) }

// Table is the compiled form of what stands, read on every request. It is never
// written to: With makes the next one, and the owner puts that into an atomic.Pointer.
// A nil Table has no routes.
type Table struct {
	hosts    [shards]map[string]*host
	names    [shards]map[string]*Entry
	routes   int
	services services
	limits   Limits
	unread   []Problem
}

// services are the services by index. An index, once given, keeps its name in all
// later tables, also when the service is dropped.
type services struct {
	list  []Known
	index map[string]int
}

// Known is a service as a table knows it.
type Known struct {
	Service
	Stands bool
}

// host is one host's routes.
type host struct {
	// cells are sorted by prefix, and of two routes that share one the one that stands
	// comes last.
	cells []cell
}

type cell struct {
	*Entry
	// outer is the last cell before this one whose prefix begins this one's; -1 is none.
	outer int32
}

// precedes orders routes as cells are sorted. Of two routes that share a place through
// a race of two operators the higher version stands, then the lower name.
func precedes(a, b *Entry) int {
	return cmp.Or(
		strings.Compare(a.Prefix, b.Prefix),
		cmp.Compare(a.Version, b.Version),
		strings.Compare(b.Name, a.Name),
	)
}

// link finds every cell's outer one: those around a cell are a stack.
func (h *host) link() {
	var around []int32
	for i := range h.cells {
		p := h.cells[i].Prefix
		for len(around) > 0 {
			o := h.cells[around[len(around)-1]].Prefix
			if strings.HasPrefix(p, o) {
				break
			}
			around = around[:len(around)-1]
		}
		h.cells[i].outer = -1
		if n := len(around); n > 0 {
			h.cells[i].outer = around[n-1]
		}
		around = append(around, int32(i))
	}
}

// match finds the longest prefix that begins the path. All that sorts between such a
// prefix and the path begins with the prefix, so it is the path's neighbour or around it.
func (h *host) match(path string) *Entry {
	lo, hi := 0, len(h.cells)
	for lo < hi {
		mid := int(uint(lo+hi) / 2)
		if h.cells[mid].Prefix <= path {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	for i := int32(lo - 1); i >= 0; i = h.cells[i].outer {
		if strings.HasPrefix(path, h.cells[i].Prefix) {
			return h.cells[i].Entry
		}
	}
	return nil
}

// Match finds the route of a request: of the host's routes the one with the longest
// prefix that begins the path, as its bytes came; a query is no part of it. The host is
// compared without case and port. It returns nil where there is none.
func (t *Table) Match(hostname, path string) *Entry {
	if t == nil {
		return nil
	}
	hostname = bareHost(hostname)
	if len(hostname) > maxHost {
		return nil
	}
	var room [maxHost]byte
	if b, changed := lowerInto(room[:0], hostname); changed {
		hostname = asString(b)
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

// MatchBytes is Match for bytes that are not kept.
func (t *Table) MatchBytes(hostname, path []byte) *Entry {
	return t.Match(asString(hostname), asString(path))
}

// asString looks at bytes as a string without a copy, for as long as a call lasts.
func asString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// Route finds a standing route by its name.
func (t *Table) Route(name string) *Entry {
	if t == nil {
		return nil
	}
	return t.names[shardOf(name)][name]
}

// Len is the number of standing routes.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return t.routes
}

// Services are the services by index, also such as are only named or were dropped; to
// be read only.
func (t *Table) Services() []Known {
	if t == nil {
		return nil
	}
	return t.services.list
}

// ServiceIndex finds a service's index.
func (t *Table) ServiceIndex(name string) (int, bool) {
	if t == nil {
		return 0, false
	}
	i, ok := t.services.index[name]
	return i, ok
}

// Limits are those that stand; none bound anything before any came.
func (t *Table) Limits() Limits {
	if t == nil {
		return Limits{}
	}
	return t.limits
}

// Unread lists items that could not be read; what stood before of them still does. It
// is to be read only.
func (t *Table) Unread() []Problem {
	if t == nil {
		return nil
	}
	return t.unread
}

// With makes the table in which the changed items stand, at the cost of what changed:
// of each host in the change its routes, and shards of the indices. The items are those
// that a Set took in, so they are newer than what stands; of two copies of one item the
// later stands. An item that can't be read, as from a later release, leaves what
// stood.
func (t *Table) With(changed ...item.Item) *Table {
	if len(changed) == 0 && t != nil {
		return t
	}
	d := newDraft(t)
	for _, it := range changed {
		d.take(it)
	}
	return d.finish()
}

// draft is a table in the making.
type draft struct {
	*Table
	ownHosts, ownNames [shards]bool
	ownServices        bool
	touched            map[string]*edit
}

// edit is what changes at one host.
type edit struct {
	out map[*Entry]bool
	in  []*Entry
}

func newDraft(t *Table) *draft {
	d := &draft{Table: &Table{}, touched: map[string]*edit{}}
	if t != nil {
		*d.Table = *t
	}
	return d
}

func (d *draft) at(hostname string) *edit {
	key := hostKey(hostname)
	e := d.touched[key]
	if e == nil {
		e = &edit{out: map[*Entry]bool{}}
		d.touched[key] = e
	}
	return e
}

// own copies a shard once, so that it can be written to.
func own[V any](shard *map[string]V, owned *bool) map[string]V {
	if !*owned {
		*owned = true
		if *shard = maps.Clone(*shard); *shard == nil {
			*shard = map[string]V{}
		}
	}
	return *shard
}

func (d *draft) take(it item.Item) {
	var err error
	switch it.Kind {
	case item.Route:
		err = d.takeRoute(it)
	case item.Service:
		err = d.takeService(it)
	case item.Limits:
		var l Limits
		if !it.Gone {
			l, err = LimitsFromItem(it)
		}
		if err == nil {
			d.limits = l
		}
	}
	d.note(it, err)
}

// note keeps the list of what could not be read.
func (d *draft) note(it item.Item, err error) {
	if len(d.unread) == 0 && err == nil {
		return
	}
	at := strings.TrimSuffix(path(it), "/")
	d.unread = slices.DeleteFunc(slices.Clone(d.unread), func(p Problem) bool { return p.Path == at })
	if err != nil && len(d.unread) < maxUnread {
		d.unread = append(d.unread, Problem{at, err.Error()})
	}
}

func (d *draft) takeRoute(it item.Item) error {
	var e *Entry
	if !it.Gone {
		r, err := FromItem(it)
		if err != nil {
			return err
		}
		if len(r.Shares) > 0 {
			e = newEntry(r, d.indexOf)
		}
	}
	shard := shardOf(it.Name)
	old := d.names[shard][it.Name]
	if old == nil && e == nil {
		return nil
	}
	names := own(&d.names[shard], &d.ownNames[shard])
	if old != nil {
		d.routes--
		d.at(old.Host).out[old] = true
		delete(names, it.Name)
	}
	if e != nil {
		d.routes++
		ed := d.at(e.Host)
		ed.in = append(ed.in, e)
		names[it.Name] = e
	}
	return nil
}

func (d *draft) takeService(it item.Item) error {
	if it.Gone {
		if i, ok := d.services.index[it.Name]; ok {
			d.setService(i, Known{Service: Service{Name: it.Name}})
		}
		return nil
	}
	s, err := ServiceFromItem(it)
	if err != nil {
		return err
	}
	d.setService(d.indexOf(it.Name), Known{s, true})
	return nil
}

func (d *draft) ownServiceList() {
	if !d.ownServices {
		d.ownServices = true
		d.services = services{slices.Clone(d.services.list), maps.Clone(d.services.index)}
		if d.services.index == nil {
			d.services.index = map[string]int{}
		}
	}
}

func (d *draft) setService(i int, k Known) {
	d.ownServiceList()
	d.services.list[i] = k
}

// indexOf yields a service's index, a new one for a new name.
func (d *draft) indexOf(name string) int {
	if i, ok := d.services.index[name]; ok {
		return i
	}
	d.ownServiceList()
	i := len(d.services.list)
	d.services.list = append(d.services.list, Known{Service: Service{Name: name}})
	d.services.index[name] = i
	return i
}

func (d *draft) finish() *Table {
	for key, ed := range d.touched {
		shard := shardOf(key)
		hosts := own(&d.hosts[shard], &d.ownHosts[shard])
		if h := hosts[key].with(ed); h != nil {
			hosts[key] = h
		} else {
			delete(hosts, key)
		}
	}
	return d.Table
}

// with merges an edit into a host's routes; nil is a host without any.
func (h *host) with(ed *edit) *host {
	in := slices.DeleteFunc(ed.in, func(e *Entry) bool { return ed.out[e] })
	slices.SortFunc(in, precedes)
	var old []cell
	if h != nil {
		old = h.cells
	}
	cells := make([]cell, 0, max(0, len(old)+len(in)-len(ed.out)))
	for _, c := range old {
		if ed.out[c.Entry] {
			continue
		}
		for len(in) > 0 && precedes(in[0], c.Entry) < 0 {
			cells, in = append(cells, cell{Entry: in[0]}), in[1:]
		}
		cells = append(cells, c)
	}
	for _, e := range in {
		cells = append(cells, cell{Entry: e})
	}
	if len(cells) == 0 {
		return nil
	}
	next := &host{cells: cells}
	next.link()
	return next
}
