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

// sentVersion is one version of a route as sent by an operator.
type sentVersion struct {
	version      uint64
	dropped      bool
	services     []string
	sentAt       time.Duration
	ackedAt      time.Duration
	acknowledged bool
	valid        bool
}

// allows reports whether the version permits a request to run at a service, or to be answered with 404 for "".
func (c sentVersion) allows(service string) bool {
	if service == "" {
		return c.dropped
	}
	return !c.dropped && slices.Contains(c.services, service)
}

// sentVersions returns the versions of each route that any operator sent, ordered by version.
func sentVersions(r *Record) map[string][]sentVersion {
	byRoute := map[string][]sentVersion{}
	for _, o := range r.Changes {
		for _, i := range o.Items {
			if i.Kind != item.Route {
				continue
			}
			c := sentVersion{version: i.Version, dropped: i.Gone, sentAt: o.SentAt, ackedAt: o.AckedAt, acknowledged: o.Acknowledged, valid: o.Valid && !o.rejectedAsConflict()}
			if x, err := route.FromItem(i); err == nil && !i.Gone {
				for _, s := range x.Shares {
					c.services = append(c.services, s.Service)
				}
			}
			byRoute[i.Name] = append(byRoute[i.Name], c)
		}
	}
	for _, cs := range byRoute {
		slices.SortStableFunc(cs, func(a, b sentVersion) int { return cmp.Compare(a.version, b.version) })
	}
	return byRoute
}

// handledRequest is a request and how a machine handled it.
type handledRequest struct {
	request *Request
	service string        // "" for a 404
	at      time.Duration // when a target received it, or the caller received the 404
}

func handledRequests(r *Record) (out []handledRequest) {
	arrivals := arrivalsByRequest(r)
	for _, q := range r.Requests {
		for _, a := range arrivals[q.ID] {
			if a.Ran {
				out = append(out, handledRequest{q, a.Service, a.ArrivedAt})
			}
		}
		if q.Status == 404 && len(arrivals[q.ID]) == 0 {
			out = append(out, handledRequest{q, "", q.Done})
		}
	}
	slices.SortStableFunc(out, func(a, b handledRequest) int { return cmp.Compare(a.at, b.at) })
	return out
}

// anyVersionAllows reports whether a valid version from minVersion on that had already been sent permits how a
// request was handled. Before the first version a route is absent.
func anyVersionAllows(versions []sentVersion, h handledRequest, minVersion uint64) bool {
	if minVersion == 0 && h.service == "" {
		return true
	}
	return slices.ContainsFunc(versions, func(c sentVersion) bool {
		return c.valid && c.version >= minVersion && c.sentAt <= h.at && c.allows(h.service)
	})
}

// CheckRoute checks that a request runs only at a service to which some configuration routes it.
func CheckRoute(r *Record) (out []Violation) {
	versions := sentVersions(r)
	for _, h := range handledRequests(r) {
		if h.service != "" && !slices.ContainsFunc(versions[h.request.Route], func(c sentVersion) bool { return c.sentAt <= h.at && c.allows(h.service) }) {
			out = append(out, Violation{"ROUTE", h.at, fmt.Sprintf("%s on %s ran at %s, by %s", h.request.ID, h.request.Route, h.service, h.request.Machine)})
		}
	}
	return out
}

// CheckConfig checks that acknowledged changes take effect in time, that invalid ones never do, and that no
// process reverts to an older version.
func CheckConfig(r *Record) (out []Violation) {
	contacts := newContactHistory(r)
	byRoute := sentVersions(r)
	for name, versions := range byRoute {
		for _, c := range versions {
			if !c.valid && c.acknowledged {
				out = append(out, Violation{"CONFIG", c.ackedAt, fmt.Sprintf("invalid %s version %d was acknowledged", name, c.version)})
			}
		}
	}
	type routeInRun struct {
		machine    string
		gatewayRun int
		route      string
	}
	type observedVersion struct {
		at      time.Duration
		version uint64
	}
	effects := map[routeInRun][]observedVersion{}
	for _, h := range handledRequests(r) {
		q, versions := h.request, byRoute[h.request.Route]
		report := func(f string, args ...any) {
			out = append(out, Violation{"CONFIG", h.at, fmt.Sprintf("%s on %s sent at %v by %s handled as %q: ", q.ID, q.Route, q.Sent, q.Machine, h.service) + fmt.Sprintf(f, args...)})
		}
		if !anyVersionAllows(versions, h, 0) {
			if slices.ContainsFunc(versions, func(c sentVersion) bool { return !c.valid && c.allows(h.service) }) {
				report("only an invalid version allows it")
			}
			continue
		}
		minVersion := uint64(0)
		var acked time.Duration
		bound := r.Bounds.Apply
		switch {
		case !contacts.machineHealthy(q.Machine, q.Sent, h.at) || contacts.majorityLostDuring(q.Sent, h.at):
			bound = r.Length
		case !contacts.coreStable(q.Sent, h.at):
			bound += r.Bounds.MaxApplyExtension
		}
		for _, c := range versions {
			if c.acknowledged && c.valid && c.ackedAt+bound < q.Sent && c.version > minVersion {
				minVersion, acked = c.version, c.ackedAt
			}
		}
		if !anyVersionAllows(versions, h, minVersion) {
			report("version %d was acknowledged at %v", minVersion, acked)
		}
		// Within one run of a gateway no version reverts, whether it is in contact or not.
		k := routeInRun{q.Machine, q.GatewayRun, q.Route}
		seenVersion := minVersion
		for _, s := range effects[k] {
			if s.at+r.Bounds.OverlapTolerance < q.Sent && s.version > seenVersion {
				seenVersion = s.version
			}
		}
		if seenVersion > minVersion && !anyVersionAllows(versions, h, seenVersion) {
			report("version %d was already in effect there in the same run", seenVersion)
		}
		// The lowest version that explains the result is the one that was in effect for certain.
		i := slices.IndexFunc(versions, func(c sentVersion) bool {
			return c.valid && c.version >= seenVersion && c.sentAt <= h.at && c.allows(h.service)
		})
		if i >= 0 && (seenVersion > 0 || !(h.service == "")) {
			effects[k] = append(effects[k], observedVersion{h.at, versions[i].version})
		}
	}
	return out
}

// CheckFinalRead checks that the configuration read at the end is complete and not older than acknowledged.
func CheckFinalRead(r *Record) (out []Violation) {
	report := func(f string, args ...any) {
		out = append(out, Violation{"CONFIG", r.FinalReadAt, fmt.Sprintf(f, args...)})
	}
	if r.FinalRead == nil {
		report("no configuration could be read at the end of the day")
		return out
	}
	got := map[item.Key]item.Item{}
	for _, i := range r.FinalRead {
		got[i.Key] = i
	}
	newest := map[item.Key]item.Item{}
	var sent []item.Item
	for _, o := range r.Changes {
		for _, i := range o.Items {
			if o.Valid && !o.rejectedAsConflict() {
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
			report("%v reappeared at version %d after being dropped at %d", k, g.Version, i.Version)
		case !i.Gone && !ok && !slices.ContainsFunc(sent, above):
			report("%v is missing, version %d was acknowledged", k, i.Version)
		case !i.Gone && ok && g.Version < i.Version:
			report("%v was read at version %d, but %d was acknowledged", k, g.Version, i.Version)
		}
	}
	for k, g := range got {
		if !slices.ContainsFunc(sent, func(x item.Item) bool { return x.Key == k && x.Version == g.Version && bytes.Equal(x.Body, g.Body) }) {
			report("%v version %d differs from everything that was sent", k, g.Version)
		}
	}
	return out
}

// CheckOneContent checks that at most one content of each version of an item is acknowledged; any other change
// with that version is refused or gets no response.
func CheckOneContent(r *Record) (out []Violation) {
	type version struct {
		key    item.Key
		number uint64
	}
	acked := map[version]item.Item{}
	for _, o := range r.Changes {
		if !o.Acknowledged && !o.AckLost {
			continue
		}
		for _, i := range o.Items {
			v := version{i.Key, i.Version}
			if old, ok := acked[v]; ok && (old.Gone != i.Gone || !bytes.Equal(old.Body, i.Body)) {
				out = append(out, Violation{"CONFIG", o.AckedAt, fmt.Sprintf("two different contents of %v version %d were acknowledged", i.Key, i.Version)})
			}
			acked[v] = i
		}
	}
	return out
}

// CheckAcks checks that a valid change is acknowledged in time while the core is stable, and is never refused.
func CheckAcks(r *Record) (out []Violation) {
	contacts := newContactHistory(r)
	for _, change := range r.Changes {
		if !change.Valid {
			continue
		}
		if change.rejectedAsConflict() && !change.AckLost {
			continue
		}
		if change.Refused {
			out = append(out, Violation{"ACKS", change.SentAt, fmt.Sprintf("a valid change of %s was refused", change.Operator)})
			continue
		}
		until := r.Length
		if change.Acknowledged {
			until = change.AckedAt
		}
		// Looks for a fault-free span as long as the bound while the change is waiting.
		for from := change.SentAt; from+r.Bounds.Ack < until; from += 100 * time.Millisecond {
			if contacts.coreStable(from, from+r.Bounds.Ack) && !change.Superseded && len(faultsDuring(r, from, from+r.Bounds.Ack)) == 0 {
				out = append(out, Violation{"ACKS", from, fmt.Sprintf("a change of %s sent at %v was not acknowledged within %v without faults", change.Operator, change.SentAt, r.Bounds.Ack)})
				break
			}
		}
	}
	return out
}

func faultsDuring(r *Record, from, to time.Duration) (out []*FaultSpan) {
	for _, s := range r.Faults {
		if s.From <= to && from-r.Bounds.Contact <= s.To {
			out = append(out, s)
		}
	}
	return out
}
