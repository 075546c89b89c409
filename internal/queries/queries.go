// Package queries holds what reads the shared state and changes nothing (design
// 2.2).
package queries

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/passage"
	"walkrudder/internal/quorum"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
	"walkrudder/internal/steperr"
)

// Asker answers queries at one controller.
type Asker struct {
	Book   *ledger.Book
	House  *registry.House
	Tenant *membership.Tenant
	Prop   *quorum.Proposer
	Line   link.Line
}

// NodeRow is one member.
type NodeRow struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Inner   string `json:"inner"`
	Door    string `json:"door"`
	Votes   bool   `json:"votes"`
	Standby bool   `json:"standby"`
	Drained bool   `json:"drained"`
	Version uint64 `json:"version,omitempty"`
	UpSince string `json:"up_since"`
}

// Nodes lists the members by a majority's lease tables.
func (a *Asker) Nodes(ctx context.Context) ([]NodeRow, error) {
	ms, err := a.Tenant.Table(ctx)
	if err != nil {
		return nil, err
	}
	c := a.Prop.Core()
	return lo.Map(ms, func(m membership.Member, _ int) NodeRow {
		s, in := c.Seat(m.ID)
		return NodeRow{ID: m.ID, Kind: m.Kind, Zone: m.Zone, Inner: m.Inner, Door: m.Door, Votes: in && s.Disk == m.Disk.Disk,
			Standby: !in && m.Disk.Disk != "", Drained: m.Rest, Version: m.Spec, UpSince: stamp(m.Since)}
	}), nil
}

func stamp(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }

// TargetRow is one target as its homes see it.
type TargetRow struct {
	Service   string  `json:"service"`
	ID        string  `json:"id"`
	Zone      string  `json:"zone"`
	Addr      string  `json:"addr"`
	Inc       uint64  `json:"incarnation"`
	Capacity  int     `json:"capacity"`
	State     string  `json:"state"`
	Suspicion float64 `json:"suspicion"`
	QuietMS   int64   `json:"quiet_ms"`
	Alpha     float64 `json:"alpha_s"`
	Beta      float64 `json:"beta"`
	// Gateways probe the target themselves; Trusting of them find it well.
	Gateways int `json:"gateways"`
	Trusting int `json:"gateways_trusting"`
}

// Targets lists the targets, of one service or of all.
func (a *Asker) Targets(ctx context.Context, service string) ([]TargetRow, error) {
	views := registry.Views(ctx, a.Line, a.Tenant.Members())
	return lo.FilterMap(registry.Collect(ctx, a.Line, a.Tenant.Members()), func(s registry.Seen, _ int) (TargetRow, bool) {
		v := views[ledger.Target{ID: s.Beat.ID, Service: s.Beat.Service, Inc: s.Beat.Inc}]
		state := "serving"
		switch {
		case s.Gone:
			state = "let go"
		case s.Beat.Leaving:
			state = "leaving"
		case s.W >= registry.SuspectAt && v.Vouched():
			state = "serving, beats missed"
		case s.W >= registry.SuspectAt:
			state = "suspected"
		}
		return TargetRow{Service: s.Beat.Service, ID: s.Beat.ID, Zone: s.Beat.Zone, Addr: s.Beat.Addr, Inc: s.Beat.Inc, Capacity: s.Beat.Capacity, State: state,
			Suspicion: s.W, QuietMS: s.Quiet.Milliseconds(), Alpha: s.Fit.Alpha, Beta: s.Fit.Beta,
			Gateways: v.Gateways, Trusting: v.Trusting}, service == "" || s.Beat.Service == service
	}), nil
}

// SheetNow is the sheet decided last, and what is in force.
type SheetNow struct {
	Version uint64     `json:"version"`
	InForce uint64     `json:"in_force"`
	Sheet   spec.Sheet `json:"sheet"`
}

// Sheet reads the last sheet by a majority, or the one of an earlier version.
func (a *Asker) Sheet(ctx context.Context, n uint64) (SheetNow, error) {
	f, err := a.Book.Refresh(ctx)
	if err != nil {
		return SheetNow{}, err
	}
	fo, err := a.Book.Flipped(ctx)
	if err != nil {
		return SheetNow{}, err
	}
	s := SheetNow{Version: f.N, InForce: fo.N, Sheet: f.Sheet}
	if n != 0 && n != f.N {
		s.Version = n
		s.Sheet, err = a.Book.At(ctx, n)
	}
	return s, err
}

// Status is the state of a change.
type Status struct {
	Change ledger.Change `json:"change"`
	State  string        `json:"state"`
}

// Change tells the state of one change, found by version or token.
func (a *Asker) Change(ctx context.Context, n uint64, token string) (Status, error) {
	cs, err := a.Book.Changes(ctx)
	if err != nil {
		return Status{}, err
	}
	c, ok := lo.Find(cs, func(c ledger.Change) bool { return n != 0 && c.N == n || token != "" && c.Token == token })
	if !ok {
		return Status{}, steperr.New("find change", "", "no such change")
	}
	fo, err := a.Book.Flipped(ctx)
	if err != nil {
		return Status{}, err
	}
	return Status{c, lo.Ternary(c.N <= fo.N, "in force", "decided")}, nil
}

// Item is one decision, as people read it.
type Item struct {
	At         string `json:"at"`
	Controller string `json:"controller"`
	Kind       string `json:"kind"`
	About      string `json:"about"`
	Why        string `json:"why,omitempty"`
	ms         int64
}

// notes lists the decisions of every kind but changes, oldest first.
func (a *Asker) notes(ctx context.Context) (out []ledger.Note, err error) {
	for _, p := range ledger.NotePrefixes {
		ns, err := a.Book.Notes(ctx, p)
		if err != nil {
			return nil, err
		}
		out = append(out, ns...)
	}
	slices.SortStableFunc(out, func(a, b ledger.Note) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

// Ledger lists all decisions, oldest first; last limits them where above 0.
func (a *Asker) Ledger(ctx context.Context, last int) ([]Item, error) {
	var out []Item
	cs, err := a.Book.Changes(ctx)
	if err != nil {
		return nil, err
	}
	for _, c := range cs {
		out = append(out, Item{stamp(c.At), c.Controller, "change", fmt.Sprintf("version %d", c.N), fmt.Sprintf("by %q: %s %s", c.By, edits(c.Edits), c.Note), c.At})
	}
	ns, err := a.notes(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range ns {
		about := fmt.Sprintf("version %d", n.N)
		if n.Target != nil {
			about = fmt.Sprintf("%s/%s run %d", n.Target.Service, n.Target.ID, n.Target.Inc)
		}
		out = append(out, Item{stamp(n.At), n.Controller, n.Kind, about, n.Why, n.At})
	}
	slices.SortStableFunc(out, func(a, b Item) int { return cmp.Compare(a.ms, b.ms) })
	if last > 0 && len(out) > last {
		out = out[len(out)-last:]
	}
	return out, nil
}

func edits(es []spec.Edit) string {
	s := ""
	for i, e := range es {
		if i > 0 {
			s += ", "
		}
		if i == 4 {
			return s + fmt.Sprintf("and %d more", len(es)-i)
		}
		n := e.Name
		switch {
		case e.Service != nil:
			n = e.Service.Name
		case e.Binding != nil:
			n = e.Binding.Name
		}
		s += e.Op + " " + n
	}
	return s
}

// WhyTarget tells what is known and was decided of one target.
func (a *Asker) WhyTarget(ctx context.Context, service, id string) (any, error) {
	ts, err := a.Targets(ctx, service)
	if err != nil {
		return nil, err
	}
	all, err := a.notes(ctx)
	if err != nil {
		return nil, err
	}
	var notes []ledger.Note
	for _, n := range all {
		if n.Target != nil && n.Target.Service == service && n.Target.ID == id {
			notes = append(notes, n)
		}
	}
	now, seen := lo.Find(ts, func(t TargetRow) bool { return t.ID == id })
	if !seen && len(notes) == 0 {
		return nil, steperr.New("find target", "", "nothing is known of %s/%s", service, id)
	}
	return struct {
		Seen      bool          `json:"seen_here"`
		Now       TargetRow     `json:"now"`
		Decisions []ledger.Note `json:"decisions"`
	}{seen, now, notes}, nil
}

// WhyCall asks the gateway that a call came to what became of it.
func (a *Asker) WhyCall(ctx context.Context, call string) (passage.Story, error) {
	run := strings.LastIndexByte(call, '-')
	id := strings.LastIndexByte(call[:max(run, 0)], '-')
	if id <= 0 {
		return passage.Story{}, steperr.New("find call", "", "%q is no call: FLOW-RUN-NUMBER", call)
	}
	gateway, inc := call[:id], call[id+1:run]
	m, ok := lo.Find(a.Tenant.Members(), func(m membership.Member) bool { return m.ID == gateway })
	if !ok {
		return passage.Story{}, steperr.New("find call", gateway, "that gateway has no lease now; its log has what it gave up")
	}
	if strconv.FormatUint(m.Inc, 36) != inc {
		return passage.Story{}, steperr.New("find call", gateway, "that run of the gateway has ended; its log has what it gave up")
	}
	r, err := link.Call[passage.StoryTold](ctx, a.Line, m.Inner, passage.StoryAsk{Call: call})
	if err != nil {
		return passage.Story{}, steperr.At("find call", gateway, err)
	}
	if !r.Known {
		return passage.Story{}, steperr.New("find call", gateway, "not among the calls remembered; its log has what it gave up")
	}
	return r.Story, nil
}

// HistoryRow is one version of a binding.
type HistoryRow struct {
	Version uint64        `json:"version"`
	At      string        `json:"at"`
	By      string        `json:"by"`
	Binding *spec.Binding `json:"binding"` // nil: removed
}

// History tells how a binding came to be as it is.
func (a *Asker) History(ctx context.Context, name string) ([]HistoryRow, error) {
	cs, err := a.Book.Changes(ctx)
	if err != nil {
		return nil, err
	}
	var out []HistoryRow
	var s spec.Sheet
	var was *spec.Binding
	for _, c := range cs {
		if c.Sheet != nil {
			s = *c.Sheet
		} else {
			s, _ = s.Apply(c.Edits)
		}
		var is *spec.Binding
		if b, ok := lo.Find(s.Bindings, func(b spec.Binding) bool { return b.Name == name }); ok {
			is = &b
		}
		if !reflect.DeepEqual(was, is) {
			out = append(out, HistoryRow{c.N, stamp(c.At), c.By, is})
		}
		was = is
	}
	if len(out) == 0 {
		return nil, steperr.New("history", "", "there was never a binding %q", name)
	}
	return out, nil
}

// DiffRow is one thing in which two versions differ.
type DiffRow struct {
	What string `json:"what"`
	Name string `json:"name"`
	From any    `json:"from"`
	To   any    `json:"to"`
}

// Diff tells in what versions x and y differ.
func (a *Asker) Diff(ctx context.Context, x, y uint64) ([]DiffRow, error) {
	sx, err := a.Sheet(ctx, x)
	if err != nil {
		return nil, err
	}
	sy, err := a.Sheet(ctx, y)
	if err != nil {
		return nil, err
	}
	out := diff("service", sx.Sheet.Services, sy.Sheet.Services, func(s spec.Service) string { return s.Name })
	return append(out, diff("binding", sx.Sheet.Bindings, sy.Sheet.Bindings, func(b spec.Binding) string { return b.Name })...), nil
}

func diff[T any](what string, xs, ys []T, name func(T) string) []DiffRow {
	x, y := lo.KeyBy(xs, name), lo.KeyBy(ys, name)
	ks := lo.Uniq(append(lo.Keys(x), lo.Keys(y)...))
	slices.Sort(ks)
	return lo.FilterMap(ks, func(k string, _ int) (DiffRow, bool) {
		r := DiffRow{What: what, Name: k}
		if v, ok := x[k]; ok {
			r.From = v
		}
		if v, ok := y[k]; ok {
			r.To = v
		}
		return r, !reflect.DeepEqual(r.From, r.To)
	})
}

// Picture is everything, as it is read back at the end of the day.
type Picture struct {
	Controller string          `json:"controller"`
	Sheet      SheetNow        `json:"route_sheet"`
	Core       quorum.Core     `json:"core"`
	Nodes      []NodeRow       `json:"nodes"`
	Targets    []TargetRow     `json:"targets"`
	Changes    []ledger.Change `json:"changes"`
	Decisions  []ledger.Note   `json:"decisions"`
}

// Picture reads the whole.
func (a *Asker) Picture(ctx context.Context) (p Picture, err error) {
	p.Controller, p.Core = a.Book.Controller, a.Prop.Core()
	if p.Sheet, err = a.Sheet(ctx, 0); err != nil {
		return p, err
	}
	if p.Changes, err = a.Book.Changes(ctx); err != nil {
		return p, err
	}
	if p.Decisions, err = a.notes(ctx); err != nil {
		return p, err
	}
	if p.Targets, err = a.Targets(ctx, ""); err != nil {
		return p, err
	}
	// Who is a member does not belong to the decisions: a table that is not to be
	// had for a moment after a restart does not spoil the picture.
	if p.Nodes, err = a.Nodes(ctx); err != nil {
		err = nil
	}
	return p, err
}
