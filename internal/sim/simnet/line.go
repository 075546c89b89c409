package simnet

import (
	"context"
	"maps"

	"walkrudder/internal/link"
)

// LinkClient is a process's client side of the links between the gateway's own nodes.
type LinkClient struct{ Proc *Proc }

// Call sends a request to the process at addr; request and answer are copied through gob as
// on a real link.
func (l LinkClient) Call(ctx context.Context, addr string, ask any) (any, error) {
	n := l.Proc.Host.net
	ask, err := n.codecs.RoundTrip(ask)
	if err != nil {
		return nil, err
	}
	return RemoteCall(ctx, l.Proc, addr, func(callCtx context.Context, p *Proc) (any, error) {
		v, err := p.handler.Dispatch(callCtx, link.Identity{ID: l.Proc.Host.ID}, ask)
		if err == nil {
			v, err = n.codecs.RoundTrip(v)
		}
		return v, err
	})
}

// Traffic returns how many requests and answers of each type were sent so far, and their
// total size in bytes.
func (n *Net) Traffic() (kinds map[string]int, bytes int) {
	n.codecs.mu.Lock()
	defer n.codecs.mu.Unlock()
	return maps.Clone(n.codecs.counts), n.codecs.bytes
}
