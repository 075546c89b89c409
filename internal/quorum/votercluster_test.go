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

// mem is an in-memory disk whose commits can be made to fail.
type memDisk struct {
	mu      sync.Mutex
	values  map[string][]byte
	failing bool
}

func newMemDisk() *memDisk { return &memDisk{values: map[string][]byte{}} }

func (d *memDisk) Load() (map[string][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range d.values {
		out[k] = v
	}
	return out, nil
}

func (d *memDisk) Commit(ps []storage.Put) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failing {
		return errors.New("input/output error")
	}
	for _, p := range ps {
		if p.Value == nil {
			delete(d.values, p.Key)
		} else {
			d.values[p.Key] = p.Value
		}
	}
	return nil
}

func (d *memDisk) Close() error { return nil }

// setFailing makes all further commits fail, or succeed again.
func (d *memDisk) setFailing(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = on
}

// voterCluster is a core of voters. Each can be made unreachable, also for some kinds of
// requests only.
type voterCluster struct {
	t           *testing.T
	ctx         context.Context
	mu          sync.Mutex
	muxes       map[string]*link.Mux
	voters      map[string]*Voter
	unreachable func(addr string, ask any) bool
	core        Core
}

func (l *voterCluster) Call(ctx context.Context, addr string, ask any) (any, error) {
	l.mu.Lock()
	mux, unreachable := l.muxes[addr], l.unreachable
	l.mu.Unlock()
	if mux == nil || unreachable != nil && unreachable(addr, ask) {
		return nil, errors.New("unreachable")
	}
	// A delay per request, so that events that follow each other get different times.
	if err := (clock.Wall{}).Sleep(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	return mux.Dispatch(ctx, link.Identity{ID: "t"}, ask)
}

func (l *voterCluster) setUnreachable(f func(addr string, ask any) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = f
}

// startVoter starts or restarts the voter id on a disk.
func (l *voterCluster) startVoter(id string, d storage.Disk, newIncarnation string) *Voter {
	l.t.Helper()
	v, err := NewVoter(Seat{ID: id, Addr: id}, d, newIncarnation, l, nil, nil)
	if err != nil {
		l.t.Fatal(err)
	}
	mux := link.NewMux()
	v.Serve(mux)
	l.mu.Lock()
	l.muxes[id], l.voters[id] = mux, v
	l.mu.Unlock()
	go v.Run(l.ctx)
	return v
}

func newVoterCluster(ctx context.Context, t *testing.T) (*voterCluster, map[string]*memDisk) {
	l := &voterCluster{t: t, ctx: ctx, muxes: map[string]*link.Mux{}, voters: map[string]*Voter{}, core: Core{Epoch: 1}}
	memDisks := map[string]*memDisk{}
	for _, id := range []string{"a", "b", "c"} {
		memDisks[id] = newMemDisk()
		l.core.Seats = append(l.core.Seats, l.startVoter(id, memDisks[id], "disk-"+id).Seat())
	}
	for _, seal := range []bool{false, true} {
		for _, s := range l.core.Seats {
			if r, err := link.Call[FormTold](ctx, l, s.Addr, FormAsk{By: "a", Core: l.core, Seal: seal}); err != nil || !r.OK {
				t.Fatal(r, err)
			}
		}
	}
	return l, memDisks
}

func (l *voterCluster) newProposer(by string) *Proposer {
	p := NewProposer(by, l, clock.Wall{})
	p.Learn(l.core)
	return p
}

func (l *voterCluster) mustSet(p *Proposer, k, v string) {
	l.t.Helper()
	if _, err := p.Change(l.ctx, k, func([]byte) ([]byte, error) { return []byte(v), nil }); err != nil {
		l.t.Fatal(err)
	}
}

func (l *voterCluster) mustGet(p *Proposer, k string) string {
	l.t.Helper()
	v, err := p.Read(l.ctx, k)
	if err != nil && !IsNeverWritten(err) {
		l.t.Fatal(err)
	}
	return string(v)
}

// valueAt returns the value that one voter holds for key k.
func (l *voterCluster) valueAt(id, k string) string {
	var it Item
	v := l.voters[id]
	if err := v.do(l.ctx, func() { it = v.registers[k] }); err != nil {
		l.t.Fatal(err)
	}
	return string(it.Value)
}
