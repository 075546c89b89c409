package stand

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Relays carries the connections between the parts of a deployment through relays in this process,
// which can be cut: data sent over a cut path waits, as on a real network, and is delivered when the
// path is restored. Parts are identified by the address they dial from and the one they are reached
// at.
type Relays struct {
	mu        sync.Mutex
	changed   *sync.Cond
	names     map[string]string // by IP
	cut       func(from, to string) bool
	closed    bool
	listeners []net.Listener
	conns     map[net.Conn]bool
}

// NewRelays returns relays without cuts.
func NewRelays() *Relays {
	w := &Relays{names: map[string]string{}, conns: map[net.Conn]bool{}}
	w.changed = sync.NewCond(&w.mu)
	return w
}

// SetCut cuts every path for which f returns true and restores all others; nil restores all.
func (w *Relays) SetCut(f func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = f
	w.changed.Broadcast()
}

// IsCut reports whether the path is cut now.
func (w *Relays) IsCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isCutLocked(from, to)
}

// isCutLocked is IsCut for callers that hold mu; a node is never cut off from itself.
func (w *Relays) isCutLocked(from, to string) bool {
	return w.cut != nil && from != to && w.cut(from, to)
}

// waitUncut waits while the path is cut; it returns false once the relays are closed.
func (w *Relays) waitUncut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && w.isCutLocked(from, to) {
		w.changed.Wait()
	}
	return !w.closed
}

// SetName sets which part dials from an IP.
func (w *Relays) SetName(ip, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names[ip] = id
}

// Listen opens a relay at the address at which id is reached and forwards connections to its true
// address, which is looked up for each connection.
func (w *Relays) Listen(at, id string, to func() string) (string, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.listeners = append(w.listeners, ln)
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.relay(c, id, to())
		}
	}()
	return ln.Addr().String(), nil
}

func (w *Relays) relay(a net.Conn, id, to string) {
	defer a.Close()
	host, _, _ := net.SplitHostPort(a.RemoteAddr().String())
	w.mu.Lock()
	from := w.names[host]
	w.mu.Unlock()
	if w.IsCut(from, id) || w.IsCut(id, from) {
		// No connection is established over a cut path; the dialer gets no answer.
		w.discard(a, from, id)
		return
	}
	b, err := net.DialTimeout("tcp", to, 2*time.Second)
	if err != nil {
		return
	}
	defer b.Close()
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.conns[a], w.conns[b] = true, true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.conns, a)
		delete(w.conns, b)
	}()
	var wg sync.WaitGroup
	wg.Go(func() { w.copyOneWay(b, a, from, id) })
	wg.Go(func() { w.copyOneWay(a, b, id, from) })
	wg.Wait()
}

// discard reads and drops data until the caller gives up or the path is restored.
func (w *Relays) discard(a net.Conn, from, to string) {
	buf := make([]byte, 4<<10)
	for w.IsCut(from, to) || w.IsCut(to, from) {
		_ = a.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := a.Read(buf); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
	if t, ok := a.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// maxHeld bounds the data held back per connection and direction.
const maxHeld = 4 << 20

// holdBack waits while the path is cut and collects the data sent meanwhile. If the sender resets the
// connection, the undelivered data is lost, as on a real network.
func (w *Relays) holdBack(src net.Conn, buf []byte, from, to string) ([]byte, error) {
	chunk := make([]byte, 32<<10)
	defer func() { _ = src.SetReadDeadline(time.Time{}) }()
	var end error
	for w.IsCut(from, to) {
		if end != nil || len(buf) > maxHeld {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = src.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := src.Read(chunk)
		buf = append(buf, chunk[:n]...)
		switch {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case err == io.EOF:
			end = err
		default:
			return nil, err
		}
	}
	return buf, end
}

// copyOneWay copies one direction of a connection. When one end closes, the other end learns of it
// once the path is restored.
func (w *Relays) copyOneWay(dst, src net.Conn, from, to string) {
	readBuf := make([]byte, 32<<10)
	for {
		n, err := src.Read(readBuf)
		buf := readBuf[:n]
		if err == nil && w.IsCut(from, to) {
			buf, err = w.holdBack(src, slices.Clone(buf), from, to)
			n = len(buf)
		}
		if !w.waitUncut(from, to) {
			break
		}
		if n > 0 {
			if _, e := dst.Write(buf); e != nil {
				break
			}
		}
		if err == io.EOF {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
				return
			}
		}
		if err != nil {
			break
		}
	}
	_, _ = dst.Close(), src.Close()
}

// Close closes all relays and their connections.
func (w *Relays) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.changed.Broadcast()
	for _, l := range w.listeners {
		_ = l.Close()
	}
	for c := range w.conns {
		_ = c.Close()
	}
}
