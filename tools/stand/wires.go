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

// Wires carries links between the parts of a town through relays of this process,
// which can be cut: what was sent waits, as on a real network, and goes on when the
// cut is mended. Parts are known by the address they dial from and the one they are
// reached at.
type Wires struct {
	mu    sync.Mutex
	mend  *sync.Cond
	names map[string]string // by IP
	cut   func(from, to string) bool
	shut  bool
	lns   []net.Listener
	conns map[net.Conn]bool
}

// NewWires makes wires of which none is cut.
func NewWires() *Wires {
	w := &Wires{names: map[string]string{}, conns: map[net.Conn]bool{}}
	w.mend = sync.NewCond(&w.mu)
	return w
}

// Cut breaks every way of which f says so; nil mends all.
func (w *Wires) Cut(f func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = f
	w.mend.Broadcast()
}

// IsCut tells whether the way is cut now.
func (w *Wires) IsCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken(from, to)
}

// broken is IsCut under the lock; nothing is cut off from itself.
func (w *Wires) broken(from, to string) bool {
	return w.cut != nil && from != to && w.cut(from, to)
}

// open waits while the way is cut; false says that the wires are taken down.
func (w *Wires) open(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.shut && w.broken(from, to) {
		w.mend.Wait()
	}
	return !w.shut
}

// Name says who dials from an IP.
func (w *Wires) Name(ip, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names[ip] = id
}

// Lay listens at the address at which id is reached and carries what comes there
// to its true address, which it may learn late.
func (w *Wires) Lay(at, id string, to func() string) (string, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.lns = append(w.lns, ln)
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.carry(c, id, to())
		}
	}()
	return ln.Addr().String(), nil
}

func (w *Wires) carry(a net.Conn, id, to string) {
	defer a.Close()
	host, _, _ := net.SplitHostPort(a.RemoteAddr().String())
	w.mu.Lock()
	from := w.names[host]
	w.mu.Unlock()
	if w.IsCut(from, id) || w.IsCut(id, from) {
		// No link comes about over a cut way; who asked for one waits in vain.
		w.sink(a, from, id)
		return
	}
	b, err := net.DialTimeout("tcp", to, 2*time.Second)
	if err != nil {
		return
	}
	defer b.Close()
	w.mu.Lock()
	if w.shut {
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
	wg.Go(func() { w.pump(b, a, from, id) })
	wg.Go(func() { w.pump(a, b, id, from) })
	wg.Wait()
}

// sink swallows what comes until the caller gives up or the way is mended.
func (w *Wires) sink(a net.Conn, from, to string) {
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

// maxHeld bounds what is held back of one direction.
const maxHeld = 4 << 20

// hold waits while the way is cut and gathers what is sent meanwhile. A sender that
// resets its link takes back what has not arrived, as on a real network.
func (w *Wires) hold(src net.Conn, buf []byte, from, to string) ([]byte, error) {
	more := make([]byte, 32<<10)
	defer func() { _ = src.SetReadDeadline(time.Time{}) }()
	var end error
	for w.IsCut(from, to) {
		if end != nil || len(buf) > maxHeld {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = src.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := src.Read(more)
		buf = append(buf, more[:n]...)
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

// pump carries one direction. When one end closes, the other is told once the way
// is open.
func (w *Wires) pump(dst, src net.Conn, from, to string) {
	room := make([]byte, 32<<10)
	for {
		n, err := src.Read(room)
		buf := room[:n]
		if err == nil && w.IsCut(from, to) {
			buf, err = w.hold(src, slices.Clone(buf), from, to)
			n = len(buf)
		}
		if !w.open(from, to) {
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

// Down takes the wires down.
func (w *Wires) Down() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shut = true
	w.mend.Broadcast()
	for _, l := range w.lns {
		_ = l.Close()
	}
	for c := range w.conns {
		_ = c.Close()
	}
}
