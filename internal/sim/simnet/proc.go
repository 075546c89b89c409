package simnet

import (
	"context"
	"sync"

	"walkrudder/internal/link"
)

// Proc is one life of a process.
type Proc struct {
	Host *Host
	Addr string
	name string
	ctx  context.Context
	end  context.CancelFunc
	desk *link.Mux

	mu    sync.Mutex
	conns map[*Conn]struct{}
	ln    *Listener
}

// Start begins a process; desk answers questions that come over a Line and may be nil.
// There is one process of a name at a time.
func (h *Host) Start(ctx context.Context, name string) *Proc {
	p := &Proc{Host: h, Addr: Addr(h.ID, name), name: name, conns: map[*Conn]struct{}{}}
	p.ctx, p.end = context.WithCancel(ctx)
	h.mu.Lock()
	h.procs[name] = p
	h.mu.Unlock()
	return p
}

// Open lets the process be found under its address.
func (p *Proc) Open(desk *link.Mux) {
	p.desk = desk
	n := p.Host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	n.procs[p.Addr] = p
}

// Context ends with the process.
func (p *Proc) Context() context.Context { return p.ctx }

// Dead tells whether the process has ended.
func (p *Proc) Dead() bool { return p.ctx.Err() != nil }

// Kill ends the process. Its connections are reset; on a host without power nobody is
// told.
func (p *Proc) Kill() {
	n, h := p.Host.net, p.Host
	p.end()
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
	for _, c := range p.open() {
		c.Abort()
	}
}

func (p *Proc) open() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Conn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// Awake waits while the host is frozen, unless the process has ended.
func (p *Proc) Awake() {
	for p.ctx.Err() == nil {
		p.Host.mu.Lock()
		ice := p.Host.ice
		p.Host.mu.Unlock()
		if ice == nil {
			return
		}
		select {
		case <-ice:
		case <-p.ctx.Done():
		}
	}
}
