package simnet

import (
	"context"
	"maps"

	"walkrudder/internal/link"
)

// Line is a process's end of the links between walkrudder's own nodes.
type Line struct{ P *Proc }

// Call asks the process at addr; question and answer are copied as on a real link.
func (l Line) Call(ctx context.Context, addr string, ask any) (any, error) {
	n := l.P.Host.net
	ask, err := n.codecs.Through(ask)
	if err != nil {
		return nil, err
	}
	return Do(ctx, l.P, addr, func(cx context.Context, p *Proc) (any, error) {
		v, err := p.desk.Dispatch(cx, link.Identity{ID: l.P.Host.ID}, ask)
		if err == nil {
			v, err = n.codecs.Through(v)
		}
		return v, err
	})
}

// Traffic is how many questions and answers of each type have travelled until now, and
// how many bytes they took.
func (n *Net) Traffic() (kinds map[string]int, bytes int) {
	n.codecs.mu.Lock()
	defer n.codecs.mu.Unlock()
	return maps.Clone(n.codecs.kinds), n.codecs.bytes
}
