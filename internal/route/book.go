package route

import (
	"slices"

	"walkrudder/internal/item"
)

// maxProblems bounds what is told of one change.
const maxProblems = 64

// place is what a route answers for; two standing routes must not share one.
type place struct{ host, prefix string }

func (r Route) place() place { return place{hostKey(r.Host), r.Prefix} }

// record is what the book keeps of one item.
type record struct {
	item.Item
	at    place    // of a route that stands
	names []string // the services that it names, each once
}

// Book knows what stands, so that a change can be checked as a whole at the cost of
// the change. It is not for concurrent use; its owner guards it.
type Book struct {
	held   map[item.Key]*record
	places map[place][]string // the names of the routes that stand there, mostly one
	named  map[string]int     // how many standing routes name a service
}

// NewBook makes a book in which nothing stands.
func NewBook() *Book {
	return &Book{held: map[item.Key]*record{}, places: map[place][]string{}, named: map[string]int{}}
}

// Apply takes an item in where it is newer than what stands. One that can't be read
// stands all the same, by its version, but holds no place and names no service; the
// error says so.
func (b *Book) Apply(it item.Item) error {
	old := b.held[it.Key]
	if old != nil && it.Compare(old.Item) <= 0 {
		return nil
	}
	if old != nil {
		b.remove(old)
	}
	rec := &record{Item: it}
	b.held[it.Key] = rec
	if it.Gone || it.Kind != item.Route {
		return nil
	}
	r, err := FromItem(it)
	if err != nil {
		return err
	}
	rec.at, rec.names = r.place(), r.services()
	b.places[rec.at] = append(b.places[rec.at], it.Name)
	for _, s := range rec.names {
		b.named[s]++
	}
	return nil
}

func (b *Book) remove(rec *record) {
	if rec.names == nil {
		return
	}
	rest := slices.DeleteFunc(b.places[rec.at], func(n string) bool { return n == rec.Name })
	if len(rest) == 0 {
		delete(b.places, rec.at)
	} else {
		b.places[rec.at] = rest
	}
	for _, s := range rec.names {
		if b.named[s]--; b.named[s] == 0 {
			delete(b.named, s)
		}
	}
}

// services lists the services of a route, each once.
func (r Route) services() []string {
	names := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		if !slices.Contains(names, s.Service) {
			names = append(names, s.Service)
		}
	}
	return names
}

var kinds = map[item.Kind]string{item.Route: "route", item.Service: "service", item.Limits: "limits"}

// trial is a change on its way through the checks.
type trial struct {
	*Book
	problems
	effect map[item.Key]*record // what would take effect
	order  []*record            // the same in the order of the change
	places map[place][]*record  // the routes in it
	freed  map[string]int       // how many routes in it named a service before
}

// Problems tells what would be wrong with the whole if the change were applied; older
// and equal copies change nothing then, but must be well-formed like all others. What
// was already wrong through a race of two operators, each valid by itself, is not held
// against a change that leaves it as it is.
func (b *Book) Problems(change []item.Item) []Problem {
	t := &trial{Book: b, effect: map[item.Key]*record{}, places: map[place][]*record{}, freed: map[string]int{}}
	for _, it := range change {
		if len(t.list) >= maxProblems {
			return t.list[:maxProblems]
		}
		t.take(it)
	}
	if len(t.list) > 0 {
		return t.list[:min(len(t.list), maxProblems)]
	}
	for _, rec := range t.order {
		if rec.Kind == item.Route && !rec.Gone {
			t.places[rec.at] = append(t.places[rec.at], rec)
		}
		if old := t.held[rec.Key]; old != nil {
			for _, name := range old.names {
				t.freed[name]++
			}
		}
	}
	for _, rec := range t.order {
		t.path = path(rec.Item)
		switch {
		case rec.Kind == item.Route && !rec.Gone:
			t.route(rec)
		case rec.Kind == item.Service && rec.Gone:
			t.dropped(rec)
		}
		if len(t.list) >= maxProblems {
			return t.list[:maxProblems]
		}
	}
	return t.list
}

func path(it item.Item) string { return kinds[it.Kind] + "/" + it.Name + "/" }

// take checks an item by itself and keeps it where it would take effect.
func (t *trial) take(it item.Item) {
	t.path = path(it)
	rec := &record{Item: it}
	if !t.wellFormed(rec) {
		return
	}
	if old := t.held[it.Key]; old != nil && it.Compare(old.Item) <= 0 {
		return
	}
	if twin := t.effect[it.Key]; twin == nil {
		t.effect[it.Key] = rec
		t.order = append(t.order, rec)
	} else if it.Compare(twin.Item) > 0 {
		*twin = *rec
	}
}

func (t *trial) wellFormed(rec *record) bool {
	before := len(t.list)
	if kinds[rec.Kind] == "" {
		t.add("", "kind %d is not known", rec.Kind)
		return false
	}
	if rec.Gone {
		if rec.Name == "" {
			t.add("Name", "is missing")
		}
		return len(t.list) == before
	}
	var err error
	switch rec.Kind {
	case item.Route:
		var r Route
		if r, err = FromItem(rec.Item); err == nil {
			r.check(&t.problems)
			rec.at, rec.names = r.place(), r.services()
		}
	case item.Service:
		var s Service
		if s, err = ServiceFromItem(rec.Item); err == nil {
			s.check(&t.problems)
		}
	case item.Limits:
		var l Limits
		if l, err = LimitsFromItem(rec.Item); err == nil {
			l.check(&t.problems)
		}
	}
	if err != nil {
		t.add("", "%v", err)
	}
	return len(t.list) == before
}

// after is what there would be of an item.
func (t *trial) after(k item.Key) *record {
	if rec := t.effect[k]; rec != nil {
		return rec
	}
	return t.held[k]
}

func (t *trial) route(rec *record) {
	for _, name := range rec.names {
		s := t.after(item.Key{Kind: item.Service, Name: name})
		if s == nil || s.Gone {
			t.add("Shares", "unknown service %q", name)
		}
	}
	if old := t.held[rec.Key]; old != nil && old.names != nil && old.at == rec.at {
		return // it takes no place that it had not
	}
	for _, name := range t.Book.places[rec.at] {
		if t.effect[item.Key{Kind: item.Route, Name: name}] == nil {
			t.add("Prefix", "route %q has this host and prefix", name)
			return
		}
	}
	for _, other := range t.places[rec.at] {
		if other != rec {
			t.add("Prefix", "route %q has this host and prefix", other.Name)
			return
		}
	}
}

// dropped looks for routes that still name a service and are not in the change; those
// in it are told of by themselves.
func (t *trial) dropped(rec *record) {
	old := t.held[rec.Key]
	if old == nil || old.Gone {
		return
	}
	if n := t.named[rec.Name] - t.freed[rec.Name]; n > 0 {
		t.add("", "%d routes still name this service", n)
	}
}
