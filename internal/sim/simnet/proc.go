package simnet

import (
	"context"
	"sync"

	"walkrudder/internal/link"
)

// Proc is one run of a process.
type Proc struct {
	Host    *Host
	Addr    string
	name    string
	ctx     context.Context
	cancel  context.CancelFunc
	handler *link.Mux

	mu    sync.Mutex
	conns map[*Conn]struct{}
	ln    *Listener
}

// Start starts a process. A host has at most one process of a name at a time.
func (h *Host) Start(ctx context.Context, name string) *Proc {
	p := &Proc{Host: h, Addr: Addr(h.ID, name), name: name, conns: map[*Conn]struct{}{}}
	p.ctx, p.cancel = context.WithCancel(ctx)
	h.mu.Lock()
	h.procs[name] = p
	h.mu.Unlock()
	return p
}

// Register makes the process reachable at its address. handler answers the requests of a
// LinkClient and may be nil.
func (p *Proc) Register(handler *link.Mux) {
	p.handler = handler
	n := p.Host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	n.procs[p.Addr] = p
}

// Context returns a context that ends with the process.
func (p *Proc) Context() context.Context { return p.ctx }

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool { return p.ctx.Err() != nil }

// Kill ends the process and resets its connections. If the host has no power, the peers are
// not notified.
func (p *Proc) Kill() {
	n, h := p.Host.net, p.Host
	p.cancel()
	n.mu.Lock()
	if n.procs[p.Addr] == p {
		delete(n.procs, p.Addr)
	}
	n.mu.Unlock()
	h.mu.Lock()
	if h.procs[p.name] == p {
		delete(h.procs, p.name)
	}
	h.mu.Unlock()
	p.mu.Lock()
	ln := p.ln
	p.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	for _, c := range p.openConns() {
		c.Abort()
	}
}

func (p *Proc) openConns() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Conn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// WaitThawed blocks while the host is frozen, unless the process has ended.
func (p *Proc) WaitThawed() {
	for p.ctx.Err() == nil {
		p.Host.mu.Lock()
		untilThaw := p.Host.thawed
		p.Host.mu.Unlock()
		if untilThaw == nil {
			return
		}
		select {
		case <-untilThaw:
		case <-p.ctx.Done():
		}
	}
}
