// Package queries implements the operations that read the shared state and change nothing
// (design 2.2).
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

// Reader answers queries on one controller.
type Reader struct {
	Ledger     *ledger.Ledger
	Registry   *registry.HomeTable
	Membership *membership.LeaseClient
	Proposer   *quorum.Proposer
	Transport  link.Transport
}

// NodeRow describes one member of the cluster.
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

// Nodes lists the members according to the lease tables of a majority.
func (rd *Reader) Nodes(ctx context.Context) ([]NodeRow, error) {
	members, err := rd.Membership.ReadTable(ctx)
	if err != nil {
		return nil, err
	}
	core := rd.Proposer.Core()
	return lo.Map(members, func(m membership.Member, _ int) NodeRow {
		seat, hasSeat := core.Seat(m.ID)
		return NodeRow{ID: m.ID, Kind: m.Kind, Zone: m.Zone, Inner: m.Inner, Door: m.Door, Votes: hasSeat && seat.Disk == m.Disk.Disk,
			Standby: !hasSeat && m.Disk.Disk != "", Drained: m.Rest, Version: m.Spec, UpSince: formatTime(m.Since)}
	}), nil
}

// formatTime formats a time in Unix milliseconds.
func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z") }

// TargetRow describes one target as its home controllers see it.
type TargetRow struct {
	Service     string  `json:"service"`
	ID          string  `json:"id"`
	Zone        string  `json:"zone"`
	Addr        string  `json:"addr"`
	Incarnation uint64  `json:"incarnation"`
	Capacity    int     `json:"capacity"`
	State       string  `json:"state"`
	Suspicion   float64 `json:"suspicion"`
	QuietMS     int64   `json:"quiet_ms"`
	Alpha       float64 `json:"alpha_s"`
	Beta        float64 `json:"beta"`
	// Gateways is the number of gateways that probe the target themselves, and Trusting
	// the number of those that find it healthy.
	Gateways int `json:"gateways"`
	Trusting int `json:"gateways_trusting"`
}

// Targets lists the targets of one service, or of all services if service is empty.
func (rd *Reader) Targets(ctx context.Context, service string) ([]TargetRow, error) {
	views := registry.CollectViews(ctx, rd.Transport, rd.Membership.Members())
	return lo.FilterMap(registry.CollectSeen(ctx, rd.Transport, rd.Membership.Members()), func(s registry.Seen, _ int) (TargetRow, bool) {
		v := views[ledger.Target{ID: s.Beat.ID, Service: s.Beat.Service, Incarnation: s.Beat.Inc}]
		state := "serving"
		switch {
		case s.Gone:
			state = "let go"
		case s.Beat.Leaving:
			state = "leaving"
		case s.W >= registry.SuspicionThreshold && v.TrustedByHalf():
			state = "serving, beats missed"
		case s.W >= registry.SuspicionThreshold:
			state = "suspected"
		}
		return TargetRow{Service: s.Beat.Service, ID: s.Beat.ID, Zone: s.Beat.Zone, Addr: s.Beat.Addr, Incarnation: s.Beat.Inc, Capacity: s.Beat.Capacity, State: state,
			Suspicion: s.W, QuietMS: s.Quiet.Milliseconds(), Alpha: s.Fit.Alpha, Beta: s.Fit.Beta,
			Gateways: v.Gateways, Trusting: v.Trusting}, service == "" || s.Beat.Service == service
	}), nil
}

// SheetStatus is the latest decided sheet and the version in force.
type SheetStatus struct {
	Version uint64     `json:"version"`
	InForce uint64     `json:"in_force"`
	Sheet   spec.Sheet `json:"sheet"`
}

// Sheet reads the sheet of version n from a majority; 0 selects the latest.
func (rd *Reader) Sheet(ctx context.Context, n uint64) (SheetStatus, error) {
	state, err := rd.Ledger.Refresh(ctx)
	if err != nil {
		return SheetStatus{}, err
	}
	activation, err := rd.Ledger.Activation(ctx)
	if err != nil {
		return SheetStatus{}, err
	}
	s := SheetStatus{Version: state.Version, InForce: activation.Version, Sheet: state.Sheet}
	if n != 0 && n != state.Version {
		s.Version = n
		s.Sheet, err = rd.Ledger.SheetAt(ctx, n)
	}
	return s, err
}

// ChangeStatus is a change and its state.
type ChangeStatus struct {
	Change ledger.Change `json:"change"`
	State  string        `json:"state"`
}

// Change returns a change, found by version or token, and its state.
func (rd *Reader) Change(ctx context.Context, n uint64, token string) (ChangeStatus, error) {
	changes, err := rd.Ledger.Changes(ctx)
	if err != nil {
		return ChangeStatus{}, err
	}
	c, ok := lo.Find(changes, func(c ledger.Change) bool { return n != 0 && c.Version == n || token != "" && c.Token == token })
	if !ok {
		return ChangeStatus{}, steperr.New("find change", "", "no such change")
	}
	activation, err := rd.Ledger.Activation(ctx)
	if err != nil {
		return ChangeStatus{}, err
	}
	return ChangeStatus{c, lo.Ternary(c.Version <= activation.Version, "in force", "decided")}, nil
}

// Decision is one decision in human-readable form.
type Decision struct {
	At         string `json:"at"`
	Controller string `json:"controller"`
	Kind       string `json:"kind"`
	About      string `json:"about"`
	Reason     string `json:"why,omitempty"`
	atMS       int64
}

// notes lists all decisions other than changes, oldest first.
func (rd *Reader) notes(ctx context.Context) (out []ledger.Note, err error) {
	for _, p := range ledger.NotePrefixes {
		notes, err := rd.Ledger.Notes(ctx, p)
		if err != nil {
			return nil, err
		}
		out = append(out, notes...)
	}
	slices.SortStableFunc(out, func(a, b ledger.Note) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return out, nil
}

// Decisions lists all decisions, oldest first; only the last ones if last is above 0.
func (rd *Reader) Decisions(ctx context.Context, last int) ([]Decision, error) {
	var out []Decision
	changes, err := rd.Ledger.Changes(ctx)
	if err != nil {
		return nil, err
	}
	for _, c := range changes {
		out = append(out, Decision{formatTime(c.AtMS), c.Controller, "change", fmt.Sprintf("version %d", c.Version), fmt.Sprintf("by %q: %s %s", c.Operator, formatEdits(c.Edits), c.Note), c.AtMS})
	}
	notes, err := rd.notes(ctx)
	if err != nil {
		return nil, err
	}
	for _, n := range notes {
		about := fmt.Sprintf("version %d", n.Version)
		if n.Target != nil {
			about = fmt.Sprintf("%s/%s run %d", n.Target.Service, n.Target.ID, n.Target.Incarnation)
		}
		out = append(out, Decision{formatTime(n.AtMS), n.Controller, n.Kind, about, n.Reason, n.AtMS})
	}
	slices.SortStableFunc(out, func(a, b Decision) int { return cmp.Compare(a.atMS, b.atMS) })
	if last > 0 && len(out) > last {
		out = out[len(out)-last:]
	}
	return out, nil
}

// formatEdits summarizes edits; of more than four it names the first four.
func formatEdits(es []spec.Edit) string {
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

// ExplainTarget returns what is known about a target and the decisions made about it.
func (rd *Reader) ExplainTarget(ctx context.Context, service, id string) (any, error) {
	targets, err := rd.Targets(ctx, service)
	if err != nil {
		return nil, err
	}
	all, err := rd.notes(ctx)
	if err != nil {
		return nil, err
	}
	var notes []ledger.Note
	for _, n := range all {
		if n.Target != nil && n.Target.Service == service && n.Target.ID == id {
			notes = append(notes, n)
		}
	}
	now, seen := lo.Find(targets, func(t TargetRow) bool { return t.ID == id })
	if !seen && len(notes) == 0 {
		return nil, steperr.New("find target", "", "nothing is known of %s/%s", service, id)
	}
	return struct {
		Seen      bool          `json:"seen_here"`
		Now       TargetRow     `json:"now"`
		Decisions []ledger.Note `json:"decisions"`
	}{seen, now, notes}, nil
}

// ExplainCall asks the gateway that received a call what happened to it.
func (rd *Reader) ExplainCall(ctx context.Context, call string) (passage.Story, error) {
	runSep := strings.LastIndexByte(call, '-')
	idSep := strings.LastIndexByte(call[:max(runSep, 0)], '-')
	if idSep <= 0 {
		return passage.Story{}, steperr.New("find call", "", "%q is no call: FLOW-RUN-NUMBER", call)
	}
	gateway, inc := call[:idSep], call[idSep+1:runSep]
	m, ok := lo.Find(rd.Membership.Members(), func(m membership.Member) bool { return m.ID == gateway })
	if !ok {
		return passage.Story{}, steperr.New("find call", gateway, "that gateway has no lease now; its log has what it gave up")
	}
	if strconv.FormatUint(m.Inc, 36) != inc {
		return passage.Story{}, steperr.New("find call", gateway, "that run of the gateway has ended; its log has what it gave up")
	}
	r, err := link.Call[passage.StoryTold](ctx, rd.Transport, m.Inner, passage.StoryAsk{Call: call})
	if err != nil {
		return passage.Story{}, steperr.Wrap("find call", gateway, err)
	}
	if !r.Known {
		return passage.Story{}, steperr.New("find call", gateway, "not among the calls remembered; its log has what it gave up")
	}
	return r.Story, nil
}

// HistoryRow is one version of a binding.
type HistoryRow struct {
	Version  uint64        `json:"version"`
	At       string        `json:"at"`
	Operator string        `json:"by"`
	Binding  *spec.Binding `json:"binding"` // nil: removed
}

// History lists the versions of a binding, oldest first.
func (rd *Reader) History(ctx context.Context, name string) ([]HistoryRow, error) {
	changes, err := rd.Ledger.Changes(ctx)
	if err != nil {
		return nil, err
	}
	var out []HistoryRow
	var s spec.Sheet
	var previous *spec.Binding
	for _, c := range changes {
		if c.Sheet != nil {
			s = *c.Sheet
		} else {
			s, _ = s.Apply(c.Edits)
		}
		var current *spec.Binding
		if b, ok := lo.Find(s.Bindings, func(b spec.Binding) bool { return b.Name == name }); ok {
			current = &b
		}
		if !reflect.DeepEqual(previous, current) {
			out = append(out, HistoryRow{c.Version, formatTime(c.AtMS), c.Operator, current})
		}
		previous = current
	}
	if len(out) == 0 {
		return nil, steperr.New("history", "", "there was never a binding %q", name)
	}
	return out, nil
}

// DiffRow is one difference between two versions of the sheet.
type DiffRow struct {
	What string `json:"what"`
	Name string `json:"name"`
	From any    `json:"from"`
	To   any    `json:"to"`
}

// Diff lists the differences between two versions of the sheet.
func (rd *Reader) Diff(ctx context.Context, from, to uint64) ([]DiffRow, error) {
	fromSheet, err := rd.Sheet(ctx, from)
	if err != nil {
		return nil, err
	}
	toSheet, err := rd.Sheet(ctx, to)
	if err != nil {
		return nil, err
	}
	out := diff("service", fromSheet.Sheet.Services, toSheet.Sheet.Services, func(s spec.Service) string { return s.Name })
	return append(out, diff("binding", fromSheet.Sheet.Bindings, toSheet.Sheet.Bindings, func(b spec.Binding) string { return b.Name })...), nil
}

// diff lists the elements, matched by name, that differ between xs and ys.
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

// FullState is the complete shared state. The availability tests read it back at their end.
type FullState struct {
	Controller string          `json:"controller"`
	Sheet      SheetStatus     `json:"route_sheet"`
	Core       quorum.Core     `json:"core"`
	Nodes      []NodeRow       `json:"nodes"`
	Targets    []TargetRow     `json:"targets"`
	Changes    []ledger.Change `json:"changes"`
	Decisions  []ledger.Note   `json:"decisions"`
}

// FullState reads the complete shared state.
func (rd *Reader) FullState(ctx context.Context) (state FullState, err error) {
	state.Controller, state.Core = rd.Ledger.Controller, rd.Proposer.Core()
	if state.Sheet, err = rd.Sheet(ctx, 0); err != nil {
		return state, err
	}
	if state.Changes, err = rd.Ledger.Changes(ctx); err != nil {
		return state, err
	}
	if state.Decisions, err = rd.notes(ctx); err != nil {
		return state, err
	}
	if state.Targets, err = rd.Targets(ctx, ""); err != nil {
		return state, err
	}
	// The member list is not part of the decisions. If the member table is unavailable
	// for a moment after a restart, the rest of the state is still returned.
	if state.Nodes, err = rd.Nodes(ctx); err != nil {
		err = nil
	}
	return state, err
}
