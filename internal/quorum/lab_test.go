package quorum

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"walkrudder/internal/clock"
	"walkrudder/internal/link"
	"walkrudder/internal/storage"
)

// mem is a disk in memory that can fail.
type mem struct {
	mu   sync.Mutex
	m    map[string][]byte
	fail bool
}

func newMem() *mem { return &mem{m: map[string][]byte{}} }

func (d *mem) Load() (map[string][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range d.m {
		out[k] = v
	}
	return out, nil
}

func (d *mem) Commit(ps []storage.Put) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail {
		return errors.New("input/output error")
	}
	for _, p := range ps {
		if p.Value == nil {
			delete(d.m, p.Key)
		} else {
			d.m[p.Key] = p.Value
		}
	}
	return nil
}

func (d *mem) Close() error { return nil }

// breaks makes every sync fail from now on, or none.
func (d *mem) breaks(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail = on
}

// lab is a core whose voters can be reached or not, one by one, and by kind of
// question.
type lab struct {
	t     *testing.T
	ctx   context.Context
	mu    sync.Mutex
	desks map[string]*link.Desk
	vs    map[string]*Voter
	shut  func(addr string, ask any) bool
	core  Core
}

func (l *lab) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.mu.Lock()
	d, shut := l.desks[addr], l.shut
	l.mu.Unlock()
	if d == nil || shut != nil && shut(addr, ask) {
		return nil, errors.New("no way")
	}
	// Some time passes, so that what happens at once is told apart.
	if err := (clock.Wall{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	return d.Answer(ctx, link.Who{ID: "t"}, ask)
}

func (l *lab) close(f func(addr string, ask any) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shut = f
}

// voter starts, or starts again, the voter id on a disk.
func (l *lab) voter(id string, d storage.Disk, fresh string) *Voter {
	l.t.Helper()
	v, err := NewVoter(Seat{ID: id, Addr: id}, d, fresh, l, nil, nil)
	if err != nil {
		l.t.Fatal(err)
	}
	k := link.NewDesk()
	v.Serve(k)
	l.mu.Lock()
	l.desks[id], l.vs[id] = k, v
	l.mu.Unlock()
	go v.Run(l.ctx)
	return v
}

func newLab(ctx context.Context, t *testing.T) (*lab, map[string]*mem) {
	l := &lab{t: t, ctx: ctx, desks: map[string]*link.Desk{}, vs: map[string]*Voter{}, core: Core{Epoch: 1}}
	ds := map[string]*mem{}
	for _, id := range []string{"a", "b", "c"} {
		ds[id] = newMem()
		l.core.Seats = append(l.core.Seats, l.voter(id, ds[id], "disk-"+id).Seat())
	}
	for _, seal := range []bool{false, true} {
		for _, s := range l.core.Seats {
			if r, err := link.Ask[FormTold](ctx, l, s.Addr, FormAsk{By: "a", Core: l.core, Seal: seal}); err != nil || !r.OK {
				t.Fatal(r, err)
			}
		}
	}
	return l, ds
}

func (l *lab) prop(by string) *Proposer {
	p := NewProposer(by, l, clock.Wall{})
	p.Learn(l.core)
	return p
}

func (l *lab) set(p *Proposer, k, v string) {
	l.t.Helper()
	if _, err := p.Change(l.ctx, k, func([]byte) ([]byte, error) { return []byte(v), nil }); err != nil {
		l.t.Fatal(err)
	}
}

func (l *lab) get(p *Proposer, k string) string {
	l.t.Helper()
	v, err := p.Read(l.ctx, k)
	if err != nil && !IsNeverWritten(err) {
		l.t.Fatal(err)
	}
	return string(v)
}

// copy is what one voter holds of an item.
func (l *lab) copy(id, k string) string {
	var it Item
	v := l.vs[id]
	if err := v.do(l.ctx, func() { it = v.items[k] }); err != nil {
		l.t.Fatal(err)
	}
	return string(it.Value)
}
