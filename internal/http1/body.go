package http1

import (
	"bufio"
	"io"
	"slices"
)

const (
	// ReadStep is how much memory is reserved for a body at once, so that a large claimed length alone costs nothing.
	ReadStep = 64 << 10
	// maxTrailer bounds the trailer of a chunked body, which is read and discarded.
	maxTrailer = 8 << 10
	// maxChunkDigits bounds the size of a chunk.
	maxChunkDigits = 7
)

// lineSyntax checks the parts of a chunked body that are read and discarded.
type lineSyntax struct {
	isExtension func([]byte) bool // of a chunk, from the byte after its size
	isTrailer   func([]byte) bool // a line of the trailer
}

var (
	responseSyntax = lineSyntax{isExtension: isChunkExtension, isTrailer: isFieldLine}
	// requestSyntax leaves open what a request's extensions and trailers contain.
	requestSyntax = lineSyntax{
		isExtension: func(b []byte) bool { return len(b) == 0 || b[0] == ';' },
		isTrailer:   func([]byte) bool { return true },
	}
)

// ReadBody appends the body of a response, of the given length or Chunked, to dst. Input that ends before the framing does
// is an error. A trailer is checked and discarded. reserve is called before each growth; if it returns false, reading ends
// with ErrMemory.
func ReadBody(r *bufio.Reader, length, limit int, dst []byte, reserve func(int) bool) ([]byte, error) {
	return readBody(r, length, limit, dst, reserve, &responseSyntax)
}

// ReadRequestBody is ReadBody for requests.
func ReadRequestBody(r *bufio.Reader, length, limit int, dst []byte, reserve func(int) bool) ([]byte, error) {
	return readBody(r, length, limit, dst, reserve, &requestSyntax)
}

func readBody(r *bufio.Reader, length, limit int, dst []byte, reserve func(int) bool, syntax *lineSyntax) ([]byte, error) {
	if length >= 0 {
		if length > limit {
			return dst, ErrTooLarge
		}
		return readFixed(r, length, dst, reserve)
	}
	for {
		size, err := readChunkSize(r, syntax)
		if err != nil {
			return dst, err
		}
		if size == 0 {
			return dst, readTrailer(r, syntax)
		}
		if size > limit-len(dst) {
			return dst, ErrTooLarge
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
		k := min(n, ReadStep)
		if !reserve(k) {
			return dst, ErrMemory
		}
		at := len(dst)
		dst = slices.Grow(dst, k)[:at+k]
		if m, err := io.ReadFull(r, dst[at:]); err != nil {
			return dst[:at+m], UnexpectedEOF(err)
		}
		n -= k
	}
	return dst, nil
}

// readLine reads a line of a chunked body and returns it without its end, valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, ErrFraming
	}
	if err != nil {
		return nil, UnexpectedEOF(err)
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, ErrFraming
	}
	return line[:len(line)-2], nil
}

// readChunkSize reads the line before a chunk. It is strict: input that two parsers may read differently would allow
// request smuggling.
func readChunkSize(r *bufio.Reader, syntax *lineSyntax) (int, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	size, digits := 0, 0
	for _, c := range line {
		d, ok := hexDigit(c)
		if !ok {
			break
		}
		if digits++; digits > maxChunkDigits {
			return 0, ErrTooLarge
		}
		size = size<<4 | d
	}
	if digits == 0 || !syntax.isExtension(line[digits:]) {
		return 0, ErrFraming
	}
	return size, nil
}

func hexDigit(c byte) (value int, ok bool) {
	switch {
	case isDigit(c):
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}

func readCRLF(r *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		c, err := r.ReadByte()
		if err != nil {
			return UnexpectedEOF(err)
		}
		if c != want {
			return ErrFraming
		}
	}
	return nil
}

// readTrailer reads up to the empty line that ends a chunked body.
func readTrailer(r *bufio.Reader, syntax *lineSyntax) error {
	for n := 0; ; {
		line, err := readLine(r)
		if err != nil || len(line) == 0 {
			return err
		}
		if n += len(line) + len("\r\n"); n > maxTrailer || !syntax.isTrailer(line) {
			return ErrFraming
		}
	}
}

func isFieldLine(line []byte) bool {
	_, _, ok := splitField(line)
	return ok
}
