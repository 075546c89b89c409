package simnet

import (
	"errors"
	"sync"
	"syscall"
)

// sockets are two real ones: at the first there is nothing to read, at the second there
// is. Whoever looks at a simulated connection through its descriptor, to see whether it
// is still quiet, is shown one of them. Nothing is ever read from either.
var sockets = sync.OnceValues(func() (fds [2]int, err error) {
	for i := range fds {
		p, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return fds, err
		}
		if fds[i] = p[0]; i == 1 {
			if _, err := syscall.Write(p[1], []byte{0}); err != nil {
				return fds, err
			}
		}
	}
	return fds, nil
})

// raw is the descriptor of a simulated connection.
type raw struct{ c *Conn }

// SyscallConn gives the descriptor, good for looking only.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return raw{c}, nil }

var errRaw = errors.New("a simulated connection has no descriptor for that")

// Control is not there.
func (raw) Control(func(uintptr)) error { return errRaw }

// Write is not there.
func (raw) Write(func(uintptr) bool) error { return errRaw }

// Read shows f one of the sockets.
func (r raw) Read(f func(uintptr) bool) error {
	fds, err := sockets()
	if err != nil {
		return err
	}
	r.c.mu.Lock()
	i := 0
	if r.c.fin || r.c.err != nil || r.c.closed || len(r.c.in) > 0 {
		i = 1
	}
	r.c.mu.Unlock()
	f(uintptr(fds[i]))
	return nil
}
