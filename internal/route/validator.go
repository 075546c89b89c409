package route

import (
	"slices"

	"walkrudder/internal/item"
)

// maxProblems bounds the number of problems reported for one change.
const maxProblems = 64

// routeKey is the host and prefix that a route matches; no two declared routes may have the same one.
type routeKey struct{ host, prefix string }

func (r Route) key() routeKey { return routeKey{hostKey(r.Host), r.Prefix} }

// itemRecord is what a Validator keeps of one item.
type itemRecord struct {
	item.Item
	key      routeKey // of a declared route
	services []string // the services that the route refers to, each once
}

// Validator holds an index of the declared items, so that a change can be validated against the whole
// configuration at a cost proportional to the change. It is not safe for concurrent use; its owner
// guards it.
type Validator struct {
	items       map[item.Key]*itemRecord
	routesByKey map[routeKey][]string // names of the declared routes with this key, usually one
	serviceRefs map[string]int        // number of declared routes that refer to a service
}

// NewValidator returns a validator of an empty configuration.
func NewValidator() *Validator {
	return &Validator{items: map[item.Key]*itemRecord{}, routesByKey: map[routeKey][]string{}, serviceRefs: map[string]int{}}
}

// Apply stores an item if it is newer than the stored one. An item that can't be decoded
// is stored by its version, but has no route key and no references to services; the
// error says why.
func (v *Validator) Apply(it item.Item) error {
	old := v.items[it.Key]
	if old != nil && it.Compare(old.Item) <= 0 {
		return nil
	}
	if old != nil {
		v.remove(old)
	}
	rec := &itemRecord{Item: it}
	v.items[it.Key] = rec
	if it.Gone || it.Kind != item.Route {
		return nil
	}
	r, err := FromItem(it)
	if err != nil {
		return err
	}
	rec.key, rec.services = r.key(), r.serviceNames()
	v.routesByKey[rec.key] = append(v.routesByKey[rec.key], it.Name)
	for _, s := range rec.services {
		v.serviceRefs[s]++
	}
	return nil
}

func (v *Validator) remove(rec *itemRecord) {
	if rec.services == nil {
		return
	}
	rest := slices.DeleteFunc(v.routesByKey[rec.key], func(n string) bool { return n == rec.Name })
	if len(rest) == 0 {
		delete(v.routesByKey, rec.key)
	} else {
		v.routesByKey[rec.key] = rest
	}
	for _, s := range rec.services {
		if v.serviceRefs[s]--; v.serviceRefs[s] == 0 {
			delete(v.serviceRefs, s)
		}
	}
}

// serviceNames lists the services of a route, each once.
func (r Route) serviceNames() []string {
	names := make([]string, 0, len(r.Shares))
	for _, s := range r.Shares {
		if !slices.Contains(names, s.Service) {
			names = append(names, s.Service)
		}
	}
	return names
}

var kindNames = map[item.Kind]string{item.Route: "route", item.Service: "service", item.Limits: "limits"}

// changeCheck is the state of validating one change.
type changeCheck struct {
	*Validator
	problemList
	effective    map[item.Key]*itemRecord   // the items that would take effect
	order        []*itemRecord              // the same, in the order of the change
	changedByKey map[routeKey][]*itemRecord // the routes among them
	releasedRefs map[string]int             // number of changed routes that referred to a service before
}

// Validate reports the problems that the whole configuration would have after the change. Items that
// are not newer than the stored ones have no effect, but must be well-formed like all others. Two
// concurrent changes, each valid by itself, may have left a conflict; it is not reported for a
// change that does not touch it.
func (v *Validator) Validate(change []item.Item) []Problem {
	c := &changeCheck{Validator: v, effective: map[item.Key]*itemRecord{}, changedByKey: map[routeKey][]*itemRecord{}, releasedRefs: map[string]int{}}
	for _, it := range change {
		if len(c.list) >= maxProblems {
			return c.list[:maxProblems]
		}
		c.addItem(it)
	}
	if len(c.list) > 0 {
		return c.list[:min(len(c.list), maxProblems)]
	}
	for _, rec := range c.order {
		if rec.Kind == item.Route && !rec.Gone {
			c.changedByKey[rec.key] = append(c.changedByKey[rec.key], rec)
		}
		if old := c.items[rec.Key]; old != nil {
			for _, name := range old.services {
				c.releasedRefs[name]++
			}
		}
	}
	for _, rec := range c.order {
		c.path = itemPath(rec.Item)
		switch {
		case rec.Kind == item.Route && !rec.Gone:
			c.checkRoute(rec)
		case rec.Kind == item.Service && rec.Gone:
			c.checkRemovedService(rec)
		}
		if len(c.list) >= maxProblems {
			return c.list[:maxProblems]
		}
	}
	return c.list
}

func itemPath(it item.Item) string { return kindNames[it.Kind] + "/" + it.Name + "/" }

// addItem checks an item by itself and, if it is valid and would take effect, adds it to effective
// and order.
func (c *changeCheck) addItem(it item.Item) {
	c.path = itemPath(it)
	rec := &itemRecord{Item: it}
	if !c.wellFormed(rec) {
		return
	}
	if old := c.items[it.Key]; old != nil && it.Compare(old.Item) <= 0 {
		return
	}
	if duplicate := c.effective[it.Key]; duplicate == nil {
		c.effective[it.Key] = rec
		c.order = append(c.order, rec)
	} else if it.Compare(duplicate.Item) > 0 {
		*duplicate = *rec
	}
}

// wellFormed reports whether an item is valid by itself, and adds its problems. It sets the key and the
// services of a valid route.
func (c *changeCheck) wellFormed(rec *itemRecord) bool {
	before := len(c.list)
	if kindNames[rec.Kind] == "" {
		c.add("", "kind %d is not known", rec.Kind)
		return false
	}
	if rec.Gone {
		if rec.Name == "" {
			c.add("Name", "is missing")
		}
		return len(c.list) == before
	}
	var err error
	switch rec.Kind {
	case item.Route:
		var r Route
		if r, err = FromItem(rec.Item); err == nil {
			r.check(&c.problemList)
			rec.key, rec.services = r.key(), r.serviceNames()
		}
	case item.Service:
		var s Service
		if s, err = ServiceFromItem(rec.Item); err == nil {
			s.check(&c.problemList)
		}
	case item.Limits:
		var l Limits
		if l, err = LimitsFromItem(rec.Item); err == nil {
			l.check(&c.problemList)
		}
	}
	if err != nil {
		c.add("", "%v", err)
	}
	return len(c.list) == before
}

// recordAfterChange returns the record that an item has after the change.
func (c *changeCheck) recordAfterChange(k item.Key) *itemRecord {
	if rec := c.effective[k]; rec != nil {
		return rec
	}
	return c.items[k]
}

// checkRoute reports unknown services of a route, and a host and prefix that another route has.
func (c *changeCheck) checkRoute(rec *itemRecord) {
	for _, name := range rec.services {
		s := c.recordAfterChange(item.Key{Kind: item.Service, Name: name})
		if s == nil || s.Gone {
			c.add("Shares", "unknown service %q", name)
		}
	}
	if old := c.items[rec.Key]; old != nil && old.services != nil && old.key == rec.key {
		return // the key is unchanged
	}
	for _, name := range c.Validator.routesByKey[rec.key] {
		if c.effective[item.Key{Kind: item.Route, Name: name}] == nil {
			c.add("Prefix", "route %q has this host and prefix", name)
			return
		}
	}
	for _, other := range c.changedByKey[rec.key] {
		if other != rec {
			c.add("Prefix", "route %q has this host and prefix", other.Name)
			return
		}
	}
}

// checkRemovedService reports routes outside the change that still refer to a removed service;
// those in the change are reported by checkRoute.
func (c *changeCheck) checkRemovedService(rec *itemRecord) {
	old := c.items[rec.Key]
	if old == nil || old.Gone {
		return
	}
	if n := c.serviceRefs[rec.Name] - c.releasedRefs[rec.Name]; n > 0 {
		c.add("", "%d routes still name this service", n)
	}
}
