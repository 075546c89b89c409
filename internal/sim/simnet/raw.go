package simnet

import (
	"errors"
	"sync"
	"syscall"
)

// probeSockets are two real sockets: the first has nothing to read, the second has. Code that
// peeks at the descriptor of a simulated connection, to see whether the connection is idle,
// is given one of them. Nothing is ever read from either.
var probeSockets = sync.OnceValues(func() (fds [2]int, err error) {
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

// rawConn is the syscall.RawConn of a simulated connection.
type rawConn struct{ c *Conn }

// SyscallConn returns a descriptor that may only be peeked at.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConn{c}, nil }

var errRawUnsupported = errors.New("operation not supported on the descriptor of a simulated connection")

// Control is not supported.
func (rawConn) Control(func(uintptr)) error { return errRawUnsupported }

// Write is not supported.
func (rawConn) Write(func(uintptr) bool) error { return errRawUnsupported }

// Read passes one of the probe sockets to f.
func (r rawConn) Read(f func(uintptr) bool) error {
	fds, err := probeSockets()
	if err != nil {
		return err
	}
	r.c.mu.Lock()
	i := 0
	if r.c.fin || r.c.err != nil || r.c.closed || len(r.c.recvBuf) > 0 {
		i = 1
	}
	r.c.mu.Unlock()
	f(uintptr(fds[i]))
	return nil
}
