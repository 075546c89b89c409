package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"walkrudder/internal/commands"
	"walkrudder/internal/ledger"
	"walkrudder/internal/queries"
	"walkrudder/internal/spec"
)

// Town is a whole deployment: fleet, targets, callers, operator and records.
type Town struct {
	Plan     Plan
	Fleet    *Fleet
	Targets  []*Target
	Callers  *Callers
	Platform *Platform
	Rec      *Records
	Wires    *Wires // nil where nothing is to be cut
	net      byte
}

// NewTown lays a deployment out; Raise starts it. A wired one can be cut.
func NewTown(p Plan, dir, bin string, net byte, wired bool) (*Town, error) {
	t := &Town{Plan: p, Rec: NewRecords(), net: net}
	if wired {
		t.Wires = NewWires()
	}
	f, err := NewFleet(p, dir, bin, net, t.Wires)
	if err != nil {
		return nil, err
	}
	t.Fleet = f
	f.Rec = t.Rec
	for _, n := range f.Nodes {
		n.struck = Struck{Rec: t.Rec, Node: n.ID}
	}
	t.Platform = &Platform{Doors: func() []string { return f.Doors("gateway") }, Name: f.Name}
	t.Callers = &Callers{Kinds: p.Kinds, Platform: t.Platform, Rec: t.Rec, Run: fmt.Sprintf("%d", time.Now().UnixNano()%1e9)}
	i := 0
	names := lo.Keys(p.Targets)
	for _, svc := range names {
		for k := range p.Targets[svc] {
			i++
			x := &Target{ID: fmt.Sprintf("%s-%d", svc, k+1), Service: svc, Zone: fmt.Sprintf("z%d", k%p.Zones+1),
				Addr: fmt.Sprintf("127.%d.2.%d:0", net, i), Capacity: 8, Every: time.Second, Work: 8 * time.Millisecond,
				Rec: t.Rec}
			x.Controllers = func() []string { return t.controllers(x.ID) }
			if wired {
				if x.Face, err = t.Wires.Lay(fmt.Sprintf("127.%d.4.%d:0", net, i), x.ID, func() string { return x.Addr }); err != nil {
					return nil, err
				}
			}
			t.Targets = append(t.Targets, x)
		}
	}
	return t, nil
}

// controllers lists the doors of the controllers that a target reaches.
func (t *Town) controllers(target string) (out []string) {
	for _, n := range t.Fleet.Of("controller") {
		if t.Wires == nil || !t.Wires.IsCut(target, n.ID) && !t.Wires.IsCut(n.ID, target) {
			out = append(out, n.Door)
		}
	}
	return out
}

// CutZones cuts the zones named off from the others, targets included.
func (t *Town) CutZones(zs ...string) {
	side := map[string]bool{}
	for _, n := range t.Fleet.Nodes {
		side[n.ID] = lo.Contains(zs, n.Zone)
	}
	for _, x := range t.Targets {
		side[x.ID] = lo.Contains(zs, x.Zone)
	}
	t.Wires.Cut(func(a, b string) bool { return a != "" && b != "" && side[a] != side[b] })
}

// Sheet is the deployment's route sheet.
func (t *Town) Sheet() spec.Sheet {
	var s spec.Sheet
	for n := range t.Plan.Targets {
		s.Services = append(s.Services, spec.Service{Name: n})
	}
	for _, k := range t.Plan.Kinds {
		s.Bindings = append(s.Bindings, binding(k, k.Service))
	}
	return s.Sorted()
}

// Raise starts fleet and targets, puts the sheet in force and waits until every
// gateway is ready and knows its targets.
func (t *Town) Raise(ctx context.Context) error {
	if err := t.Fleet.Start(); err != nil {
		return err
	}
	for _, x := range t.Targets {
		// They outlive the raising: ctx is only its time limit.
		if err := x.Start(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	s := t.Sheet()
	if r, err := t.Insist(ctx, Asked{Token: "first", Edits: []spec.Edit{{Op: spec.Replace, Sheet: &s}}}); err != nil {
		return fmt.Errorf("first sheet: %+v: %w", r, err)
	}
	if err := Await(ctx, func() bool {
		t.Platform.Ask()
		t.Platform.mu.Lock()
		defer t.Platform.mu.Unlock()
		return len(t.Platform.ready) == t.Plan.Gateways
	}); err != nil {
		return fmt.Errorf("gateways not ready: %w", err)
	}
	return nil
}

var operator = &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Order sends an order to some controller.
func (t *Town) Order(ctx context.Context, o commands.ChangeRequest) (r commands.Result, err error) {
	ms := t.Fleet.Doors("controller")
	err = errors.New("no controller")
	for _, i := range rand.Perm(len(ms)) {
		if r, err = SendOrder(ctx, ms[i], o); err == nil {
			return r, nil
		}
	}
	return r, err
}

// SendOrder sends an order to one controller.
func SendOrder(ctx context.Context, door string, o commands.ChangeRequest) (r commands.Result, err error) {
	b, err := json.Marshal(o)
	if err != nil {
		return r, err
	}
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+door+"/v1/changes", bytes.NewReader(b))
	if err != nil {
		return r, err
	}
	p, err := operator.Do(q)
	if err != nil {
		return r, err
	}
	defer p.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(p.Body, 4<<20))
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, fmt.Errorf("%s: %s", p.Status, raw)
	}
	return r, nil
}

// Insist sends an order to any controller until it has a final result, and notes it.
func (t *Town) Insist(ctx context.Context, a Asked) (commands.Result, error) {
	a.At = time.Now()
	var err error
	r, ok := t.Rec.Insist(ctx, a, func() (r commands.Result, ok bool) {
		if a.Back > 0 {
			err = t.Say(ctx, fmt.Sprintf("roll back to %d token %s", a.Back, a.Token), &r)
		} else {
			r, err = t.Order(ctx, commands.ChangeRequest{Token: a.Token, Operator: "stand", Edits: a.Edits})
		}
		return r, err == nil
	}, func() { time.Sleep(50 * time.Millisecond) })
	if !ok {
		return r, errors.Join(err, ctx.Err())
	}
	return r, nil
}

// Bind moves a path to a service.
func (t *Town) Bind(ctx context.Context, k Kind, service string) (commands.Result, error) {
	b := binding(k, service)
	return t.Insist(ctx, Asked{Token: fmt.Sprintf("bind-%d", time.Now().UnixNano()), Edits: []spec.Edit{{Op: spec.PutBinding, Binding: &b}}})
}

// binding is the one that sends k's path to service.
func binding(k Kind, service string) spec.Binding {
	return spec.Binding{Name: k.Path[1:], Service: service, Methods: []string{k.Method}, Path: k.Path, ExpiryMS: 3000, Repeatable: k.Repeatable}
}

// Say says something to some controller and reads the answer's data into out.
func (t *Town) Say(ctx context.Context, text string, out any) error {
	ds := t.Fleet.Doors("controller")
	err := errors.New("no controller")
	for _, i := range rand.Perm(len(ds)) {
		if err = SayTo(ctx, ds[i], text, out); err == nil {
			return nil
		}
	}
	return err
}

// SayTo says something to one controller.
func SayTo(ctx context.Context, door, text string, out any) error {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+door+"/v1/say", strings.NewReader(text))
	if err != nil {
		return err
	}
	p, err := operator.Do(q)
	if err != nil {
		return err
	}
	defer p.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(p.Body, 256<<20))
	if err != nil {
		return err
	}
	var v struct {
		Data  json.RawMessage
		Error string
	}
	if err := json.Unmarshal(raw, &v); err != nil || v.Error != "" {
		return fmt.Errorf("%s: %s", p.Status, raw[:min(len(raw), 300)])
	}
	return json.Unmarshal(v.Data, out)
}

// Suspicions picks from a picture which target runs the ledger notes as suspected.
func Suspicions(p queries.FullState) (out []Down) {
	for _, n := range p.Decisions {
		if n.Kind == ledger.NoteSuspect && n.Target != nil {
			out = append(out, Down{n.Target.ID, n.Target.Incarnation, time.UnixMilli(n.AtMS)})
		}
	}
	return out
}

// Lower ends targets and fleet.
func (t *Town) Lower() {
	for _, x := range t.Targets {
		x.Crash()
	}
	t.Fleet.Stop()
	if t.Wires != nil {
		t.Wires.Down()
	}
}
