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

// Speaker answers sayings at one controller.
type Speaker struct {
	Asker   *queries.Asker
	Changer *commands.Changer
	Drainer *commands.Drainer
	Warden  *commands.Warden
	Book    *ledger.Book
	Settle  func(ctx context.Context, n uint64) (uint64, error)
}

// Reply is the answer to a saying: Kind says what Data holds.
type Reply struct {
	Kind string `json:"kind"`
	Data any    `json:"data"`
}

// ErrSaid marks what is wrong with the saying itself.
var ErrSaid = errors.New("not understood")

// Say answers one saying. Nothing changes unless the whole of it was understood.
func (s *Speaker) Say(ctx context.Context, text string) (Reply, error) {
	x, err := Parse(text)
	if err != nil {
		return Reply{}, errors.Join(ErrSaid, err)
	}
	switch {
	case x.Show != nil:
		return s.show(ctx, x.Show)
	case x.Why != nil && x.Why.Call != nil:
		d, err := s.Asker.WhyCall(ctx, *x.Why.Call)
		return Reply{"call", d}, err
	case x.Why != nil:
		svc, id, err := x.Why.Target.split()
		if err != nil {
			return Reply{}, err
		}
		return reply("why", s.Asker.WhyTarget)(ctx, svc, id)
	case x.History != nil:
		d, err := s.Asker.History(ctx, *x.History)
		return Reply{"history", d}, err
	case x.Diff != nil:
		d, err := s.Asker.Diff(ctx, x.Diff.A, x.Diff.B)
		return Reply{"diff", d}, err
	case x.Wait != nil:
		n, err := s.Settle(ctx, *x.Wait)
		return Reply{"in force", n}, err
	case x.Order != nil:
		return s.order(ctx, x.Order)
	case x.Drain != nil && x.Drain.Node != nil:
		return s.rest(ctx, *x.Drain.Node, true)
	case x.Drain != nil:
		return s.drain(ctx, x.Drain.Target)
	case x.Resume != nil:
		return s.rest(ctx, *x.Resume, false)
	case x.Swap != nil:
		if err := s.Warden.Wish(ctx, x.Swap.Out, x.Swap.In); err != nil {
			return Reply{}, err
		}
		return Reply{"wished", *x.Swap}, nil
	case x.Forget != nil:
		return Reply{"forgotten", *x.Forget}, s.Book.Part(ctx, *x.Forget)
	}
	return Reply{"help", Help}, nil
}

func reply[A, B any](kind string, f func(context.Context, A, B) (any, error)) func(context.Context, A, B) (Reply, error) {
	return func(ctx context.Context, a A, b B) (Reply, error) {
		d, err := f(ctx, a, b)
		return Reply{kind, d}, err
	}
}

func (t *Target) split() (string, string, error) {
	svc, id, ok := strings.Cut(t.Name, "/")
	if !ok || svc == "" || id == "" {
		return "", "", errors.Join(ErrSaid, fmt.Errorf("%q is no target: SERVICE/ID", t.Name))
	}
	return svc, id, nil
}

func (s *Speaker) show(ctx context.Context, x *Show) (Reply, error) {
	switch {
	case x.Nodes:
		d, err := s.Asker.Nodes(ctx)
		return Reply{"nodes", d}, err
	case x.Targets != nil:
		d, err := s.Asker.Targets(ctx, x.Targets.Of)
		return Reply{"targets", d}, err
	case x.Ledger != nil:
		d, err := s.Asker.Ledger(ctx, x.Ledger.Last)
		return Reply{"ledger", d}, err
	case x.Change != nil:
		d, err := s.Asker.Change(ctx, x.Change.N, x.Change.Token)
		return Reply{"change", d}, err
	case x.Sheet != nil:
		d, err := s.Asker.Sheet(ctx, x.Sheet.N)
		return Reply{"sheet", d}, err
	case x.Picture:
		d, err := s.Asker.Picture(ctx)
		return Reply{"picture", d}, err
	case x.Core:
		return Reply{"core", s.Asker.Prop.Core()}, nil
	case x.Bindings:
		d, err := s.Asker.Sheet(ctx, 0)
		return Reply{"bindings", d.Sheet.Bindings}, err
	}
	d, err := s.Asker.Sheet(ctx, 0)
	return Reply{"services", d.Sheet.Services}, err
}

// order turns the words into edits and hands them to the changer.
func (s *Speaker) order(ctx context.Context, x *Order) (Reply, error) {
	o := commands.Order{Base: x.Base, Token: x.Token, By: x.By, Note: x.Note, Dry: x.Check}
	for _, e := range x.Edits {
		switch {
		case e.RollBack != nil:
			old, err := s.Book.At(ctx, *e.RollBack)
			if err != nil {
				return Reply{}, err
			}
			o.Edits = append(o.Edits, spec.Edit{Op: spec.Replace, Sheet: &old})
		case e.Remove != nil && e.Remove.Service != nil:
			o.Edits = append(o.Edits, spec.Edit{Op: spec.DropService, Name: *e.Remove.Service})
		case e.Remove != nil:
			o.Edits = append(o.Edits, spec.Edit{Op: spec.DropBinding, Name: *e.Remove.Binding})
		case e.Put.Service != nil:
			p := e.Put.Service
			o.Edits = append(o.Edits, spec.Edit{Op: spec.PutService, Service: &spec.Service{Name: p.Name, Suspect: lo.FromPtr(p.Suspect), Note: p.Note}})
		default:
			p := e.Put.Binding
			o.Edits = append(o.Edits, spec.Edit{Op: spec.PutBinding, Binding: &spec.Binding{Name: p.Name, Service: p.Service, Methods: p.Methods, Path: p.Path,
				ExpiryMS: p.Expiry, Repeatable: p.Repeatable, MaxBody: p.MaxBody, Note: p.Note}})
		}
	}
	return Reply{"result", s.Changer.Change(ctx, o)}, nil
}

// rest drains a node by hand, or ends that.
func (s *Speaker) rest(ctx context.Context, id string, on bool) (Reply, error) {
	m, ok := lo.Find(s.Asker.Tenant.Members(), func(m membership.Member) bool { return m.ID == id })
	if !ok {
		return Reply{}, fmt.Errorf("no node %s has a lease now", id)
	}
	if _, err := link.Call[membership.RestTold](ctx, s.Asker.Line, m.Inner, membership.RestAsk{On: on}); err != nil {
		return Reply{}, err
	}
	return Reply{lo.Ternary(on, "drained", "resumed"), id}, nil
}

// drain stops new work to the run of a target that this controller knows.
func (s *Speaker) drain(ctx context.Context, x *Target) (Reply, error) {
	svc, id, err := x.split()
	if err != nil {
		return Reply{}, err
	}
	ts, err := s.Asker.Targets(ctx, svc)
	if err != nil {
		return Reply{}, err
	}
	t, ok := lo.Find(ts, func(t queries.TargetRow) bool { return t.ID == id })
	if !ok {
		return Reply{}, fmt.Errorf("no target %s/%s is known here", svc, id)
	}
	if err := s.Drainer.Leave(ctx, httpapi.Beat{ID: id, Service: svc, Inc: t.Inc}); err != nil {
		return Reply{}, err
	}
	_ = s.Asker.House.Mark(ctx, svc, id, t.Inc, func(e *registry.Entry) { e.Beat.Leaving = true })
	return Reply{"drained", t}, nil
}
