package proxy

import (
	"bufio"
	"errors"
	"io"
	"slices"
)

var (
	errTooLarge = errors.New("the body is larger than allowed")
	errMemory   = errors.New("no memory for the body")
	errFraming  = errors.New("the body's framing is broken")
)

const (
	// step is how much of a body is made room for at once: a length that is only
	// claimed costs nothing.
	step = 64 << 10
	// maxTrailer bounds the trailer of a chunked body, which is read and dropped.
	maxTrailer = 8 << 10
	// chunked is how fasthttp tells that a body comes in chunks.
	chunked = -1
)

// readBody appends a body of n bytes, or in chunks, to dst. An end that comes before
// the framing's own is an error. room is asked before each growth.
func readBody(r *bufio.Reader, n, most int, dst []byte, room func(int) bool) ([]byte, error) {
	if n >= 0 {
		if n > most {
			return dst, errTooLarge
		}
		return readFixed(r, n, dst, room)
	}
	for {
		size, err := chunkSize(r)
		if err != nil {
			return dst, err
		}
		if size == 0 {
			return dst, readTrailer(r)
		}
		if size > most-len(dst) {
			return dst, errTooLarge
		}
		if dst, err = readFixed(r, size, dst, room); err != nil {
			return dst, err
		}
		if err := crlf(r); err != nil {
			return dst, err
		}
	}
}

func readFixed(r *bufio.Reader, n int, dst []byte, room func(int) bool) ([]byte, error) {
	for n > 0 {
		k := min(n, step)
		if !room(k) {
			return dst, errMemory
		}
		at := len(dst)
		dst = slices.Grow(dst, k)[:at+k]
		if m, err := io.ReadFull(r, dst[at:]); err != nil {
			return dst[:at+m], early(err)
		}
		n -= k
	}
	return dst, nil
}

// early turns a clean end in the middle of a message into what it is.
func early(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkSize reads the line before a chunk. It is strict: what two readers may take
// for two things would let one request hide in another.
func chunkSize(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return 0, errFraming
	}
	if err != nil {
		return 0, early(err)
	}
	n, digits := 0, 0
	for i, c := range line {
		var d byte
		switch {
		case c >= '0' && c <= '9':
			d = c - '0'
		case c >= 'a' && c <= 'f':
			d = c - 'a' + 10
		case c >= 'A' && c <= 'F':
			d = c - 'A' + 10
		case digits > 0 && (c == '\r' && i == len(line)-2 || c == ';' && len(line) >= 2 && line[len(line)-2] == '\r'):
			return n, nil
		default:
			return 0, errFraming
		}
		if digits++; digits > 7 {
			return 0, errTooLarge
		}
		n = n<<4 | int(d)
	}
	return 0, errFraming
}

func crlf(r *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		c, err := r.ReadByte()
		if err != nil {
			return early(err)
		}
		if c != want {
			return errFraming
		}
	}
	return nil
}

// readTrailer reads to the empty line that ends a chunked body.
func readTrailer(r *bufio.Reader) error {
	for n := 0; ; {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return errFraming
		}
		if err != nil {
			return early(err)
		}
		if len(line) < 2 || line[len(line)-2] != '\r' {
			return errFraming
		}
		if len(line) == 2 {
			return nil
		}
		if n += len(line); n > maxTrailer {
			return errFraming
		}
	}
}
