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

// Deployment is a whole deployment: fleet, targets, callers, operator and records.
type Deployment struct {
	Plan     Plan
	Fleet    *Fleet
	Targets  []*Target
	Callers  *Callers
	Balancer *LoadBalancer
	Rec      *Records
	Relays   *Relays // nil if connections are not to be cut
	net      byte
}

// NewDeployment lays out a deployment; Start starts it. If withRelays is set, its connections can be cut.
func NewDeployment(p Plan, dir, bin string, net byte, withRelays bool) (*Deployment, error) {
	d := &Deployment{Plan: p, Rec: NewRecords(), net: net}
	if withRelays {
		d.Relays = NewRelays()
	}
	f, err := NewFleet(p, dir, bin, net, d.Relays)
	if err != nil {
		return nil, err
	}
	d.Fleet = f
	f.Rec = d.Rec
	for _, n := range f.Nodes {
		n.outage = OutageTracker{Rec: d.Rec, Node: n.ID}
	}
	d.Balancer = &LoadBalancer{Addrs: func() []string { return f.PublicAddrs("gateway") }, NodeOf: f.NodeAt}
	d.Callers = &Callers{Kinds: p.CallKinds, Balancer: d.Balancer, Rec: d.Rec, RunID: fmt.Sprintf("%d", time.Now().UnixNano()%1e9)}
	i := 0
	names := lo.Keys(p.Targets)
	for _, svc := range names {
		for k := range p.Targets[svc] {
			i++
			x := &Target{ID: fmt.Sprintf("%s-%d", svc, k+1), Service: svc, Zone: fmt.Sprintf("z%d", k%p.Zones+1),
				Addr: fmt.Sprintf("127.%d.2.%d:0", net, i), Capacity: 8, HeartbeatInterval: time.Second, MeanWork: 8 * time.Millisecond,
				Rec: d.Rec}
			x.Controllers = func() []string { return d.controllers(x.ID) }
			if withRelays {
				if x.AnnouncedAddr, err = d.Relays.Listen(fmt.Sprintf("127.%d.4.%d:0", net, i), x.ID, func() string { return x.Addr }); err != nil {
					return nil, err
				}
			}
			d.Targets = append(d.Targets, x)
		}
	}
	return d, nil
}

// controllers lists the public addresses of the controllers that a target can reach.
func (d *Deployment) controllers(target string) (out []string) {
	for _, n := range d.Fleet.NodesOf("controller") {
		if d.Relays == nil || !d.Relays.IsCut(target, n.ID) && !d.Relays.IsCut(n.ID, target) {
			out = append(out, n.PublicAddr)
		}
	}
	return out
}

// CutZones cuts the given zones off from the others, including their targets.
func (d *Deployment) CutZones(zs ...string) {
	isolated := map[string]bool{}
	for _, n := range d.Fleet.Nodes {
		isolated[n.ID] = lo.Contains(zs, n.Zone)
	}
	for _, x := range d.Targets {
		isolated[x.ID] = lo.Contains(zs, x.Zone)
	}
	d.Relays.SetCut(func(a, b string) bool { return a != "" && b != "" && isolated[a] != isolated[b] })
}

// Sheet returns the deployment's initial route sheet.
func (d *Deployment) Sheet() spec.Sheet {
	var s spec.Sheet
	for n := range d.Plan.Targets {
		s.Services = append(s.Services, spec.Service{Name: n})
	}
	for _, k := range d.Plan.CallKinds {
		s.Bindings = append(s.Bindings, binding(k, k.Service))
	}
	return s.Sorted()
}

// Start starts the fleet and the targets, puts the sheet in force and waits until every gateway is
// ready.
func (d *Deployment) Start(ctx context.Context) error {
	if err := d.Fleet.Start(); err != nil {
		return err
	}
	for _, x := range d.Targets {
		// Targets outlive this call: ctx only limits the start.
		if err := x.Start(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	s := d.Sheet()
	if r, err := d.SubmitUntilFinal(ctx, ChangeRequest{Token: "first", Edits: []spec.Edit{{Op: spec.Replace, Sheet: &s}}}); err != nil {
		return fmt.Errorf("first sheet: %+v: %w", r, err)
	}
	if err := WaitUntil(ctx, func() bool {
		d.Balancer.PollOnce()
		d.Balancer.mu.Lock()
		defer d.Balancer.mu.Unlock()
		return len(d.Balancer.ready) == d.Plan.Gateways
	}); err != nil {
		return fmt.Errorf("gateways not ready: %w", err)
	}
	return nil
}

var operatorClient = &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// SubmitChange sends a change to any controller.
func (d *Deployment) SubmitChange(ctx context.Context, o commands.Order) (r commands.Result, err error) {
	addrs := d.Fleet.PublicAddrs("controller")
	err = errors.New("no controller")
	for _, i := range rand.Perm(len(addrs)) {
		if r, err = SendChange(ctx, addrs[i], o); err == nil {
			return r, nil
		}
	}
	return r, err
}

// SendChange sends a change to one controller.
func SendChange(ctx context.Context, addr string, o commands.Order) (r commands.Result, err error) {
	b, err := json.Marshal(o)
	if err != nil {
		return r, err
	}
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/v1/changes", bytes.NewReader(b))
	if err != nil {
		return r, err
	}
	p, err := operatorClient.Do(q)
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

// SubmitUntilFinal sends a change to any controller until it has a final result, and records it.
func (d *Deployment) SubmitUntilFinal(ctx context.Context, a ChangeRequest) (commands.Result, error) {
	a.SubmittedAt = time.Now()
	var err error
	r, ok := d.Rec.SubmitUntilFinal(ctx, a, func() (r commands.Result, ok bool) {
		if a.RollbackTo > 0 {
			err = d.Query(ctx, fmt.Sprintf("roll back to %d token %s", a.RollbackTo, a.Token), &r)
		} else {
			r, err = d.SubmitChange(ctx, commands.Order{Token: a.Token, Operator: "stand", Edits: a.Edits})
		}
		return r, err == nil
	}, func() { time.Sleep(50 * time.Millisecond) })
	if !ok {
		return r, errors.Join(err, ctx.Err())
	}
	return r, nil
}

// BindPath binds a path to a service.
func (d *Deployment) BindPath(ctx context.Context, k CallKind, service string) (commands.Result, error) {
	b := binding(k, service)
	return d.SubmitUntilFinal(ctx, ChangeRequest{Token: fmt.Sprintf("bind-%d", time.Now().UnixNano()), Edits: []spec.Edit{{Op: spec.PutBinding, Binding: &b}}})
}

// binding returns the binding of k's path to service.
func binding(k CallKind, service string) spec.Binding {
	return spec.Binding{Name: k.Path[1:], Service: service, Methods: []string{k.Method}, Path: k.Path, ExpiryMS: 3000, Repeatable: k.Repeatable}
}

// Query sends a statement to any controller and decodes the answer's data into out.
func (d *Deployment) Query(ctx context.Context, text string, out any) error {
	addrs := d.Fleet.PublicAddrs("controller")
	err := errors.New("no controller")
	for _, i := range rand.Perm(len(addrs)) {
		if err = QueryNode(ctx, addrs[i], text, out); err == nil {
			return nil
		}
	}
	return err
}

// QueryNode sends a statement to one controller.
func QueryNode(ctx context.Context, addr, text string, out any) error {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/v1/say", strings.NewReader(text))
	if err != nil {
		return err
	}
	p, err := operatorClient.Do(q)
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

// Suspicions lists the target runs that a full state records as suspected, each with the time of the
// suspicion.
func Suspicions(p queries.FullState) (out []Crash) {
	for _, n := range p.Decisions {
		if n.Kind == ledger.NoteSuspect && n.Target != nil {
			out = append(out, Crash{n.Target.ID, n.Target.Incarnation, time.UnixMilli(n.AtMS)})
		}
	}
	return out
}

// Stop ends the targets, the fleet and the relays.
func (d *Deployment) Stop() {
	for _, x := range d.Targets {
		x.Crash()
	}
	d.Fleet.Stop()
	if d.Relays != nil {
		d.Relays.Close()
	}
}
