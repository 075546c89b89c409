package http1

import (
	"bufio"
	"bytes"
	"math"

	"github.com/valyala/fasthttp"
)

// Head is what the head of a response says about its status and its body.
type Head struct {
	Status int
	// Length is the body's length in bytes, Chunked or Unframed. It doesn't consider that some responses have no body.
	Length int
}

// Values of Head.Length for a body whose length the head does not give.
const (
	Chunked  = -1 // the body is in chunks
	Unframed = -2 // the body would end with the connection
)

// Bounds of the status.
const (
	minStatus       = 100
	switchProtocols = 101
	minFinalStatus  = 200
	maxStatus       = 599
)

// ReadHead reads the head of the next final response from r into h, after interim responses, which are checked and
// skipped. The head must fit into the buffer of r. An error means that there is no response; the connection can't be used
// again then.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) (Head, error) {
	for {
		head, size, err := checkHead(r)
		switch {
		case err != nil:
			return Head{}, err
		case head.Status == switchProtocols:
			return Head{}, ErrUpgrade
		case head.Status < minFinalStatus:
			if _, err := r.Discard(size); err != nil {
				return Head{}, err
			}
			continue
		}
		end := r.Buffered() - size
		if err := h.Read(r); err != nil {
			return Head{}, UnexpectedEOF(err)
		}
		if r.Buffered() != end {
			return Head{}, ErrFraming
		}
		return head, nil
	}
}

// checkHead checks the head at the start of r, without consuming it, and returns its size in bytes. It fails at the first
// malformed line, so that a target is not waited for in vain.
func checkHead(r *bufio.Reader) (head Head, size int, err error) {
	c := headChecker{head: Head{Length: Unframed}}
	for want := 1; ; want = r.Buffered() + 1 {
		_, peekErr := r.Peek(want)
		buffered, _ := r.Peek(r.Buffered())
		for {
			end := bytes.IndexByte(buffered[size:], '\n')
			if end < 0 {
				break
			}
			line := buffered[size : size+end]
			size += end + 1
			done, err := c.checkLine(line)
			if done || err != nil {
				return c.head, size, err
			}
		}
		if size == 0 && !startsLikeResponse(buffered) {
			return head, 0, ErrStatusLine
		}
		if peekErr != nil {
			return head, 0, UnexpectedEOF(peekErr)
		}
	}
}

// headChecker checks the lines of a head in turn.
type headChecker struct {
	head     Head // its Length is Unframed until a field gives it
	isHTTP10 bool
}

// checkLine checks a line, given without its LF, and reports whether it is the last of the head.
func (c *headChecker) checkLine(line []byte) (done bool, err error) {
	line, hasCR := bytes.CutSuffix(line, []byte{'\r'})
	switch {
	case c.head.Status == 0:
		if !hasCR {
			return false, ErrStatusLine
		}
		return false, c.checkStatusLine(line)
	case !hasCR:
		return false, ErrFieldLine
	case len(line) > 0:
		return false, c.checkFieldLine(line)
	}
	return true, nil
}

const (
	versionPrefix = "HTTP/1."
	// statusStart and statusEnd delimit the status in a status line.
	statusStart = len(versionPrefix) + len("1 ")
	statusEnd   = statusStart + 3
)

// startsLikeResponse reports whether b may be the start of a status line.
func startsLikeResponse(b []byte) bool {
	n := min(len(b), len(versionPrefix))
	return string(b[:n]) == versionPrefix[:n]
}

// checkStatusLine checks the first line. The blank after the status may be missing if there is no reason phrase: RFC
// 9112, section 4, allows to ignore blanks at the end of the line.
func (c *headChecker) checkStatusLine(line []byte) error {
	if len(line) < statusEnd || !startsLikeResponse(line) || !isDigit(line[statusStart-2]) || line[statusStart-1] != ' ' {
		return ErrStatusLine
	}
	status := 0
	for _, d := range line[statusStart:statusEnd] {
		if !isDigit(d) {
			return ErrStatusLine
		}
		status = status*10 + int(d-'0')
	}
	rest := line[statusEnd:]
	if status < minStatus || status > maxStatus || len(rest) > 0 && rest[0] != ' ' || !isText(rest) {
		return ErrStatusLine
	}
	c.head.Status = status
	c.isHTTP10 = line[statusStart-2] == '0'
	return nil
}

func (c *headChecker) checkFieldLine(line []byte) error {
	name, value, ok := splitField(line)
	switch {
	case !ok:
		return ErrFieldLine
	case EqualName(name, "Content-Length"):
		return c.checkLength(trimBlanks(value))
	case EqualName(name, "Transfer-Encoding"):
		return c.checkCoding(trimBlanks(value))
	}
	return nil
}

// checkLength reads a Content-Length. A second one or a Transfer-Encoding beside it is an error: other readers might go by
// either.
func (c *headChecker) checkLength(value []byte) error {
	if c.head.Length != Unframed || len(value) == 0 {
		return ErrFraming
	}
	length := 0
	for _, d := range value {
		if !isDigit(d) {
			return ErrFraming
		}
		if length > (math.MaxInt-9)/10 {
			return ErrTooLarge
		}
		length = length*10 + int(d-'0')
	}
	c.head.Length = length
	return nil
}

// checkCoding checks a Transfer-Encoding. Only chunks are understood, and none in HTTP/1.0.
func (c *headChecker) checkCoding(value []byte) error {
	if c.head.Length != Unframed || c.isHTTP10 || !EqualName(value, "chunked") {
		return ErrFraming
	}
	c.head.Length = Chunked
	return nil
}
