package http1

import (
	"errors"
	"io"
)

// Errors about input that is no response. Input that ends early is io.ErrUnexpectedEOF.
var (
	ErrStatusLine = errors.New("the status line is malformed")
	ErrUpgrade    = errors.New("the protocol is changed without a request")
	ErrFieldLine  = errors.New("a field line is malformed")
	ErrFraming    = errors.New("the body's framing is broken")
	ErrTooLarge   = errors.New("the body is larger than allowed")
	ErrMemory     = errors.New("no memory for the body")
)

// UnexpectedEOF turns io.EOF in the middle of a message into io.ErrUnexpectedEOF.
func UnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
