package main

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"walkrudder/internal/link"
)

// Way is a line with a delay, on which IPs may be cut off. A cut is silent: what was
// asked, or is yet to be answered, is waited for in vain.
type Way struct {
	link.Transport
	// Delay is the time of both ways together to an IP.
	Delay func(ip string) time.Duration

	mu  sync.Mutex
	cut []string
}

// Cut replaces the IPs that are cut off.
func (w *Way) Cut(ips []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = slices.Clone(ips)
}

func (w *Way) gone(ip string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.cut, ip)
}

// Call asks over the line.
func (w *Way) Call(ctx context.Context, addr string, ask any) (any, error) {
	ip, _, _ := net.SplitHostPort(addr)
	if d := w.delay(ip); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if w.gone(ip) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	v, err := w.Transport.Call(ctx, addr, ask)
	if w.gone(ip) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return v, err
}

func (w *Way) delay(ip string) time.Duration {
	if w.Delay == nil {
		return 0
	}
	return w.Delay(ip)
}
