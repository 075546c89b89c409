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
	// readStep is how much memory is reserved for a body at once, so that a large claimed
	// length alone costs nothing.
	readStep = 64 << 10
	// maxTrailer bounds the trailer of a chunked body, which is read and discarded.
	maxTrailer = 8 << 10
	// chunkedLength is the ContentLength that fasthttp reports for a chunked body.
	chunkedLength = -1
)

// readBody appends a body of n bytes, or a chunked one, to dst. Input that ends before the
// framing does is an error. reserve is called before each growth.
func readBody(r *bufio.Reader, n, limit int, dst []byte, reserve func(int) bool) ([]byte, error) {
	if n >= 0 {
		if n > limit {
			return dst, errTooLarge
		}
		return readFixed(r, n, dst, reserve)
	}
	for {
		size, err := chunkSize(r)
		if err != nil {
			return dst, err
		}
		if size == 0 {
			return dst, readTrailer(r)
		}
		if size > limit-len(dst) {
			return dst, errTooLarge
		}
		if dst, err = readFixed(r, size, dst, reserve); err != nil {
			return dst, err
		}
		if err := readCRLF(r); err != nil {
			return dst, err
		}
	}
}

func readFixed(r *bufio.Reader, n int, dst []byte, reserve func(int) bool) ([]byte, error) {
	for n > 0 {
		k := min(n, readStep)
		if !reserve(k) {
			return dst, errMemory
		}
		at := len(dst)
		dst = slices.Grow(dst, k)[:at+k]
		if m, err := io.ReadFull(r, dst[at:]); err != nil {
			return dst[:at+m], unexpectedEOF(err)
		}
		n -= k
	}
	return dst, nil
}

// unexpectedEOF turns io.EOF in the middle of a message into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkSize reads the chunk-size line. It is strict: input that two parsers may read
// differently would allow request smuggling.
func chunkSize(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return 0, errFraming
	}
	if err != nil {
		return 0, unexpectedEOF(err)
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

func readCRLF(r *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		c, err := r.ReadByte()
		if err != nil {
			return unexpectedEOF(err)
		}
		if c != want {
			return errFraming
		}
	}
	return nil
}

// readTrailer reads up to the empty line that ends a chunked body.
func readTrailer(r *bufio.Reader) error {
	for n := 0; ; {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return errFraming
		}
		if err != nil {
			return unexpectedEOF(err)
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
