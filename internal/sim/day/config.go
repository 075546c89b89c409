package day

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/route"
)

// copyOf is one version of a route that was sent.
type copyOf struct {
	version  uint64
	gone     bool
	services []string
	sent     time.Duration
	acked    time.Duration
	isAcked  bool
	valid    bool
}

// allows tells whether a handling fits: a service at which it ran, or "" for a 404.
func (c copyOf) allows(service string) bool {
	if service == "" {
		return c.gone
	}
	return !c.gone && slices.Contains(c.services, service)
}

// copies are the versions of each route that any operator sent, by version.
func copies(r *Record) map[string][]copyOf {
	by := map[string][]copyOf{}
	for _, o := range r.Orders {
		for _, i := range o.Items {
			if i.Kind != item.Route {
				continue
			}
			c := copyOf{version: i.Version, gone: i.Gone, sent: o.Sent, acked: o.Acked, isAcked: o.Acknowledged, valid: o.Valid && !o.lostRace()}
			if x, err := route.FromItem(i); err == nil && !i.Gone {
				for _, s := range x.Shares {
					c.services = append(c.services, s.Service)
				}
			}
			by[i.Name] = append(by[i.Name], c)
		}
	}
	for _, cs := range by {
		slices.SortStableFunc(cs, func(a, b copyOf) int { return cmp.Compare(a.version, b.version) })
	}
	return by
}

// handling is how a machine handled a request.
type handling struct {
	q       *Request
	service string        // "" is a 404
	at      time.Duration // when a target or the caller saw it
}

func handlings(r *Record) (out []handling) {
	by := arrivalsOf(r)
	for _, q := range r.Requests {
		for _, a := range by[q.ID] {
			if a.Ran {
				out = append(out, handling{q, a.Service, a.At})
			}
		}
		if q.Status == 404 && len(by[q.ID]) == 0 {
			out = append(out, handling{q, "", q.Done})
		}
	}
	slices.SortStableFunc(out, func(a, b handling) int { return cmp.Compare(a.at, b.at) })
	return out
}

// fits tells whether some valid version from least on that had been sent allows a
// handling. Before any version a route is absent.
func fits(cs []copyOf, h handling, least uint64) bool {
	if least == 0 && h.service == "" {
		return true
	}
	return slices.ContainsFunc(cs, func(c copyOf) bool { return c.valid && c.version >= least && c.sent <= h.at && c.allows(h.service) })
}

// Route: a request runs only where some configuration lets it go.
func Route(r *Record) (out []Breach) {
	by := copies(r)
	for _, h := range handlings(r) {
		if h.service != "" && !slices.ContainsFunc(by[h.q.Route], func(c copyOf) bool { return c.sent <= h.at && c.allows(h.service) }) {
			out = append(out, Breach{"ROUTE", h.at, fmt.Sprintf("%s on %s ran at %s, by %s", h.q.ID, h.q.Route, h.service, h.q.Machine)})
		}
	}
	return out
}

// Config: what was acknowledged is in force in time, nothing invalid is ever, and no
// process goes back.
func Config(r *Record) (out []Breach) {
	t := newTouch(r)
	by := copies(r)
	for name, cs := range by {
		for _, c := range cs {
			if !c.valid && c.isAcked {
				out = append(out, Breach{"CONFIG", c.acked, fmt.Sprintf("invalid %s version %d was acknowledged", name, c.version)})
			}
		}
	}
	type life struct {
		machine string
		life    int
		route   string
	}
	type seen struct {
		at      time.Duration
		version uint64
	}
	effects := map[life][]seen{}
	for _, h := range handlings(r) {
		q, cs := h.q, by[h.q.Route]
		bad := func(f string, args ...any) {
			out = append(out, Breach{"CONFIG", h.at, fmt.Sprintf("%s on %s sent at %v by %s handled as %q: ", q.ID, q.Route, q.Sent, q.Machine, h.service) + fmt.Sprintf(f, args...)})
		}
		if !fits(cs, h, 0) {
			if slices.ContainsFunc(cs, func(c copyOf) bool { return !c.valid && c.allows(h.service) }) {
				bad("only an invalid version allows it")
			}
			continue
		}
		least := uint64(0)
		var acked time.Duration
		bound := r.Bounds.Apply
		switch {
		case !t.calm(q.Machine, q.Sent, h.at) || t.lacking(q.Sent, h.at):
			bound = r.Length
		case !t.settled(q.Sent, h.at):
			bound += r.Bounds.StretchMax
		}
		for _, c := range cs {
			if c.isAcked && c.valid && c.acked+bound < q.Sent && c.version > least {
				least, acked = c.version, c.acked
			}
		}
		if !fits(cs, h, least) {
			bad("version %d was acknowledged at %v", least, acked)
		}
		// Within one life nothing goes back, in touch or not.
		k := life{q.Machine, q.Life, q.Route}
		floor := least
		for _, s := range effects[k] {
			if s.at+r.Bounds.Revert < q.Sent && s.version > floor {
				floor = s.version
			}
		}
		if floor > least && !fits(cs, h, floor) {
			bad("version %d had shown there in the same life", floor)
		}
		// The lowest version that explains it is the one that surely showed.
		i := slices.IndexFunc(cs, func(c copyOf) bool { return c.valid && c.version >= floor && c.sent <= h.at && c.allows(h.service) })
		if i >= 0 && (floor > 0 || !(h.service == "")) {
			effects[k] = append(effects[k], seen{h.at, cs[i].version})
		}
	}
	return out
}

// ReadBack: what is read at the end is complete and not older than acknowledged.
func ReadBack(r *Record) (out []Breach) {
	bad := func(f string, args ...any) { out = append(out, Breach{"CONFIG", r.ReadAt, fmt.Sprintf(f, args...)}) }
	if r.Read == nil {
		bad("nothing came back at the end of the day")
		return out
	}
	got := map[item.Key]item.Item{}
	for _, i := range r.Read {
		got[i.Key] = i
	}
	newest := map[item.Key]item.Item{}
	var sent []item.Item
	for _, o := range r.Orders {
		for _, i := range o.Items {
			if o.Valid && !o.lostRace() {
				sent = append(sent, i)
			}
			if old, ok := newest[i.Key]; o.Acknowledged && o.Valid && (!ok || i.Version > old.Version) {
				newest[i.Key] = i
			}
		}
	}
	for k, i := range newest {
		g, ok := got[k]
		above := func(x item.Item) bool { return x.Key == k && x.Version > i.Version && x.Gone }
		switch {
		case i.Gone && ok && g.Version < i.Version:
			bad("%v is back at version %d, dropped at %d", k, g.Version, i.Version)
		case !i.Gone && !ok && !slices.ContainsFunc(sent, above):
			bad("%v is missing, version %d was acknowledged", k, i.Version)
		case !i.Gone && ok && g.Version < i.Version:
			bad("%v came back at version %d, %d was acknowledged", k, g.Version, i.Version)
		}
	}
	for k, g := range got {
		if !slices.ContainsFunc(sent, func(x item.Item) bool { return x.Key == k && x.Version == g.Version && bytes.Equal(x.Body, g.Body) }) {
			bad("%v version %d differs from all that were sent", k, g.Version)
		}
	}
	return out
}

// OneContent: of a version of an item one content at most is acknowledged, the other order is
// refused or gets no answer.
func OneContent(r *Record) (out []Breach) {
	type version struct {
		key    item.Key
		number uint64
	}
	acked := map[version]item.Item{}
	for _, o := range r.Orders {
		if !o.Acknowledged && !o.Lost {
			continue
		}
		for _, i := range o.Items {
			v := version{i.Key, i.Version}
			if old, ok := acked[v]; ok && (old.Gone != i.Gone || !bytes.Equal(old.Body, i.Body)) {
				out = append(out, Breach{"CONFIG", o.Acked, fmt.Sprintf("two contents of %v version %d were acknowledged", i.Key, i.Version)})
			}
			acked[v] = i
		}
	}
	return out
}

// Acks: a proper order is acknowledged while the core is settled, and never refused.
func Acks(r *Record) (out []Breach) {
	t := newTouch(r)
	for _, o := range r.Orders {
		if !o.Valid {
			continue
		}
		if o.lostRace() && !o.Lost {
			continue
		}
		if o.Refused {
			out = append(out, Breach{"ACKS", o.Sent, fmt.Sprintf("a valid order of %s was refused", o.By)})
			continue
		}
		until := r.Length
		if o.Acknowledged {
			until = o.Acked
		}
		// A stretch of calm as long as the bound within the wait.
		for from := o.Sent; from+r.Bounds.Ack < until; from += 100 * time.Millisecond {
			if t.settled(from, from+r.Bounds.Ack) && !o.Overtaken && len(anyTrouble(r, from, from+r.Bounds.Ack)) == 0 {
				out = append(out, Breach{"ACKS", from, fmt.Sprintf("an order of %s sent at %v was not acknowledged in %v of calm", o.By, o.Sent, r.Bounds.Ack)})
				break
			}
		}
	}
	return out
}

func anyTrouble(r *Record, from, to time.Duration) (out []*Span) {
	for _, s := range r.Spans {
		if s.From <= to && from-r.Bounds.Contact <= s.To {
			out = append(out, s)
		}
	}
	return out
}
