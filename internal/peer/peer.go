// Package peer examines the remote end of a connection without reading from the connection.
package peer

import (
	"errors"
	"net"
	"syscall"
)

// closeReporter is a connection without a file descriptor that can report a close by its peer.
type closeReporter interface{ Closed() bool }

// Closed reports, without reading or blocking, whether the remote end has closed or reset the
// connection. It does not detect a close that comes after unread bytes.
func Closed(nc net.Conn) bool {
	if reporter, ok := nc.(closeReporter); ok {
		return reporter.Closed()
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
	// Use Control, because Read would wait for a read that is in progress.
	err = raw.Control(func(fd uintptr) {
		got, err := Peek(fd)
		closed = err == nil && got == 0 || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT)
	})
	return err == nil && closed
}

// Peek returns how many bytes, at most one, can be read now; 0 without an error means end of file.
func Peek(fd uintptr) (int, error) {
	var b [1]byte
	got, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return got, err
}
