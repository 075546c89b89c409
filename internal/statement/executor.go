package statement

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"walkrudder/internal/commands"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/ledger"
	"walkrudder/internal/link"
	"walkrudder/internal/membership"
	"walkrudder/internal/queries"
	"walkrudder/internal/registry"
	"walkrudder/internal/spec"
)

// Executor executes statements on one controller.
type Executor struct {
	Queries    *queries.Reader
	Changer    *commands.Changer
	Drainer    *commands.Drainer
	Supervisor *commands.Supervisor
	Ledger     *ledger.Ledger
	// WaitInForce waits until at least version n is in force everywhere and returns the version
	// that is.
	WaitInForce func(ctx context.Context, n uint64) (uint64, error)
}

// Reply is the answer to a statement. Kind identifies what Data holds.
type Reply struct {
	Kind string `json:"kind"`
	Data any    `json:"data"`
}

// ErrInvalid marks errors in the statement itself.
var ErrInvalid = errors.New("not understood")

// Execute executes one statement. Nothing is changed unless the whole statement is valid.
func (ex *Executor) Execute(ctx context.Context, text string) (Reply, error) {
	statement, err := Parse(text)
	if err != nil {
		return Reply{}, errors.Join(ErrInvalid, err)
	}
	switch {
	case statement.Show != nil:
		return ex.executeShow(ctx, statement.Show)
	case statement.Why != nil && statement.Why.Call != nil:
		d, err := ex.Queries.ExplainCall(ctx, *statement.Why.Call)
		return Reply{"call", d}, err
	case statement.Why != nil:
		svc, id, err := statement.Why.Target.splitName()
		if err != nil {
			return Reply{}, err
		}
		return replyTo("why", ex.Queries.ExplainTarget)(ctx, svc, id)
	case statement.History != nil:
		d, err := ex.Queries.History(ctx, *statement.History)
		return Reply{"history", d}, err
	case statement.Diff != nil:
		d, err := ex.Queries.Diff(ctx, statement.Diff.From, statement.Diff.To)
		return Reply{"diff", d}, err
	case statement.Wait != nil:
		n, err := ex.WaitInForce(ctx, *statement.Wait)
		return Reply{"in force", n}, err
	case statement.Order != nil:
		return ex.applyOrder(ctx, statement.Order)
	case statement.Drain != nil && statement.Drain.Node != nil:
		return ex.setDrained(ctx, *statement.Drain.Node, true)
	case statement.Drain != nil:
		return ex.drainTarget(ctx, statement.Drain.Target)
	case statement.Resume != nil:
		return ex.setDrained(ctx, *statement.Resume, false)
	case statement.Swap != nil:
		if err := ex.Supervisor.RequestSwap(ctx, statement.Swap.Out, statement.Swap.In); err != nil {
			return Reply{}, err
		}
		return Reply{"wished", *statement.Swap}, nil
	case statement.Forget != nil:
		return Reply{"forgotten", *statement.Forget}, ex.Ledger.RemoveGateway(ctx, *statement.Forget)
	}
	return Reply{"help", Help}, nil
}

// replyTo wraps f so that its result becomes a Reply of the given kind.
func replyTo[A, B any](kind string, f func(context.Context, A, B) (any, error)) func(context.Context, A, B) (Reply, error) {
	return func(ctx context.Context, a A, b B) (Reply, error) {
		d, err := f(ctx, a, b)
		return Reply{kind, d}, err
	}
}

// splitName returns the service and the ID of the target.
func (t *Target) splitName() (string, string, error) {
	svc, id, ok := strings.Cut(t.Name, "/")
	if !ok || svc == "" || id == "" {
		return "", "", errors.Join(ErrInvalid, fmt.Errorf("%q is no target: SERVICE/ID", t.Name))
	}
	return svc, id, nil
}

func (ex *Executor) executeShow(ctx context.Context, show *Show) (Reply, error) {
	switch {
	case show.Nodes:
		d, err := ex.Queries.Nodes(ctx)
		return Reply{"nodes", d}, err
	case show.Targets != nil:
		d, err := ex.Queries.Targets(ctx, show.Targets.Service)
		return Reply{"targets", d}, err
	case show.Ledger != nil:
		d, err := ex.Queries.Decisions(ctx, show.Ledger.Last)
		return Reply{"ledger", d}, err
	case show.Change != nil:
		d, err := ex.Queries.Change(ctx, show.Change.Version, show.Change.Token)
		return Reply{"change", d}, err
	case show.Sheet != nil:
		d, err := ex.Queries.Sheet(ctx, show.Sheet.Number)
		return Reply{"sheet", d}, err
	case show.Picture:
		d, err := ex.Queries.FullState(ctx)
		return Reply{"picture", d}, err
	case show.Core:
		return Reply{"core", ex.Queries.Proposer.Core()}, nil
	case show.Bindings:
		d, err := ex.Queries.Sheet(ctx, 0)
		return Reply{"bindings", d.Sheet.Bindings}, err
	}
	d, err := ex.Queries.Sheet(ctx, 0)
	return Reply{"services", d.Sheet.Services}, err
}

// applyOrder converts an order into edits and applies them.
func (ex *Executor) applyOrder(ctx context.Context, order *Order) (Reply, error) {
	o := commands.Order{Base: order.Base, Token: order.Token, Operator: order.By, Note: order.Note, DryRun: order.Check}
	for _, e := range order.Edits {
		switch {
		case e.RollBack != nil:
			old, err := ex.Ledger.SheetAt(ctx, *e.RollBack)
			if err != nil {
				return Reply{}, err
			}
			o.Edits = append(o.Edits, spec.Edit{Op: spec.Replace, Sheet: &old})
		case e.Remove != nil && e.Remove.Service != nil:
			o.Edits = append(o.Edits, spec.Edit{Op: spec.RemoveService, Name: *e.Remove.Service})
		case e.Remove != nil:
			o.Edits = append(o.Edits, spec.Edit{Op: spec.RemoveBinding, Name: *e.Remove.Binding})
		case e.Put.Service != nil:
			p := e.Put.Service
			o.Edits = append(o.Edits, spec.Edit{Op: spec.PutService, Service: &spec.Service{Name: p.Name, Suspect: lo.FromPtr(p.Suspect), Note: p.Note}})
		default:
			p := e.Put.Binding
			o.Edits = append(o.Edits, spec.Edit{Op: spec.PutBinding, Binding: &spec.Binding{Name: p.Name, Service: p.Service, Methods: p.Methods, Path: p.Path,
				ExpiryMS: p.Expiry, Repeatable: p.Repeatable, MaxBody: p.MaxBody, Note: p.Note}})
		}
	}
	return Reply{"result", ex.Changer.Apply(ctx, o)}, nil
}

// setDrained drains a node, or resumes it if on is false.
func (ex *Executor) setDrained(ctx context.Context, id string, on bool) (Reply, error) {
	m, ok := lo.Find(ex.Queries.Membership.Members(), func(m membership.Member) bool { return m.ID == id })
	if !ok {
		return Reply{}, fmt.Errorf("no node %s has a lease now", id)
	}
	if _, err := link.Call[membership.RestTold](ctx, ex.Queries.Transport, m.Inner, membership.RestAsk{On: on}); err != nil {
		return Reply{}, err
	}
	return Reply{lo.Ternary(on, "drained", "resumed"), id}, nil
}

// drainTarget stops new requests to a target, in the run that this controller knows.
func (ex *Executor) drainTarget(ctx context.Context, x *Target) (Reply, error) {
	svc, id, err := x.splitName()
	if err != nil {
		return Reply{}, err
	}
	ts, err := ex.Queries.Targets(ctx, svc)
	if err != nil {
		return Reply{}, err
	}
	t, ok := lo.Find(ts, func(t queries.TargetRow) bool { return t.ID == id })
	if !ok {
		return Reply{}, fmt.Errorf("no target %s/%s is known here", svc, id)
	}
	if err := ex.Drainer.MarkLeaving(ctx, httpapi.Beat{ID: id, Service: svc, Inc: t.Incarnation}); err != nil {
		return Reply{}, err
	}
	_ = ex.Queries.Registry.Mark(ctx, svc, id, t.Incarnation, func(e *registry.Entry) { e.Beat.Leaving = true })
	return Reply{"drained", t}, nil
}
