// Package peer looks at the other side of a connection without reading from it.
package peer

import (
	"errors"
	"net"
	"syscall"
)

// closeTeller is a connection without a descriptor that knows whether its peer closed it.
type closeTeller interface{ Gone() bool }

// Closed tells, without reading and without waiting, whether the other side has closed or
// reset a connection. It does not see an end behind bytes that were not read yet.
func Closed(nc net.Conn) bool {
	if t, ok := nc.(closeTeller); ok {
		return t.Gone()
	}
	s, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// Control, for Read would wait for a reader that is under way.
	err = raw.Control(func(fd uintptr) {
		got, err := Peek(fd)
		closed = err == nil && got == 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
	})
	return err == nil && closed
}

// Peek tells how many bytes of one could be read now; 0 without an error is the end.
func Peek(fd uintptr) (int, error) {
	var b [1]byte
	got, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return got, err
}
