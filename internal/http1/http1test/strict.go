package http1test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Response is a response as the strict reader reads it.
type Response struct {
	Status int
	Fields [][2]string
	Body   string
}

// ErrNotStrict is wrapped by errors about input that does not conform to the grammar.
var ErrNotStrict = errors.New("not in the grammar of a response")

const (
	tokenPattern  = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	quotedPattern = `"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"`
	// maxChunkDigits is the longest chunk size that the gateways accept.
	maxChunkDigits = 7
)

var (
	statusLinePattern = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?$`)
	fieldLinePattern  = regexp.MustCompile(`^(` + tokenPattern + `):[ \t]*((?:[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?)?)[ \t]*$`)
	lengthPattern     = regexp.MustCompile(`^[0-9]+$`)
	chunkLinePattern  = regexp.MustCompile(`^([0-9A-Fa-f]{1,` + strconv.Itoa(maxChunkDigits) + `})(?:[ \t]*;[ \t]*` + tokenPattern + `(?:[ \t]*=[ \t]*(?:` + tokenPattern + `|` + quotedPattern + `))?)*$`)
)

type strictReader struct {
	rest []byte
}

// ReadResponse reads the first final response of raw, after interim ones, by the grammars of RFC 9112 and RFC 9110 and
// returns what follows it. noBody means that it answers HEAD. A response that ends with its connection is refused.
func ReadResponse(raw []byte, noBody bool) (response Response, rest []byte, err error) {
	s := &strictReader{rest: raw}
	for response.Status < 200 && err == nil {
		response, err = s.readResponse(noBody)
		if err == nil && response.Status == 101 {
			err = fmt.Errorf("%w: an unrequested change of protocol", ErrNotStrict)
		}
	}
	return response, s.rest, err
}

func (s *strictReader) readResponse(noBody bool) (response Response, err error) {
	head, err := s.readHead()
	response.Status, response.Fields = head.status, head.fields
	switch {
	case err != nil:
	case noBody || head.status < 200 || head.status == 204 || head.status == 304:
	case head.chunked:
		response.Body, err = s.readChunks()
	case head.length < 0:
		err = fmt.Errorf("%w: a body without a length", ErrNotStrict)
	default:
		response.Body, err = s.take(head.length)
	}
	return response, err
}

// head is the head of a response.
type head struct {
	status  int
	fields  [][2]string
	length  int // of the body; -1 if none is given
	chunked bool
}

func (s *strictReader) readHead() (h head, err error) {
	line, err := s.readLine()
	if err != nil {
		return h, err
	}
	parts := statusLinePattern.FindStringSubmatch(line)
	if parts == nil {
		return h, fmt.Errorf("%w: status line %q", ErrNotStrict, line)
	}
	h.status, _ = strconv.Atoi(parts[2])
	if h.fields, err = s.readFields(); err != nil {
		return h, err
	}
	isHTTP10 := parts[1] == "0"
	h.length, h.chunked, err = framing(fieldValues(h.fields, "Content-Length"), fieldValues(h.fields, "Transfer-Encoding"), isHTTP10)
	return h, err
}

// CheckHead checks the head of the response that r is at, without consuming it. What ends before its head does, or does
// not fit into the buffer of r, is not checked.
func CheckHead(r *bufio.Reader) error {
	for want := 1; ; want = r.Buffered() + 1 {
		if _, err := r.Peek(want); err != nil {
			return nil
		}
		buffered, _ := r.Peek(r.Buffered())
		_, err := (&strictReader{rest: buffered}).readHead()
		if err != io.ErrUnexpectedEOF {
			return err
		}
	}
}

// framing returns the length of a body, -1 if none is given, or that it is chunked.
func framing(lengths, codings []string, isHTTP10 bool) (length int, chunked bool, err error) {
	switch {
	case len(lengths)+len(codings) == 0:
		return -1, false, nil
	case len(lengths)+len(codings) > 1 || len(codings) == 1 && isHTTP10:
	case len(codings) == 1 && strings.EqualFold(codings[0], "chunked"):
		return -1, true, nil
	case len(lengths) == 1 && lengthPattern.MatchString(lengths[0]):
		length, err = strconv.Atoi(lengths[0])
		return length, false, err
	}
	return -1, false, fmt.Errorf("%w: lengths %q, codings %q", ErrNotStrict, lengths, codings)
}

func (s *strictReader) readChunks() (body string, err error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return "", err
		}
		parts := chunkLinePattern.FindStringSubmatch(line)
		if parts == nil {
			return "", fmt.Errorf("%w: chunk %q", ErrNotStrict, line)
		}
		size, _ := strconv.ParseInt(parts[1], 16, 64)
		if size == 0 {
			_, err = s.readFields() // the trailer
			return body, err
		}
		chunk, err := s.take(int(size))
		if err != nil {
			return "", err
		}
		body += chunk
		if end, err := s.take(2); err != nil || end != "\r\n" {
			return "", fmt.Errorf("%w: end of a chunk %q", ErrNotStrict, end)
		}
	}
}

// readFields reads field lines and the empty line that ends them.
func (s *strictReader) readFields() (fields [][2]string, err error) {
	for {
		line, err := s.readLine()
		if err != nil || line == "" {
			return fields, err
		}
		parts := fieldLinePattern.FindStringSubmatch(line)
		if parts == nil {
			return nil, fmt.Errorf("%w: field line %q", ErrNotStrict, line)
		}
		fields = append(fields, [2]string{parts[1], string(toBytes(parts[2]))})
	}
}

// readLine reads a line and returns it with each byte as a rune, so that patterns of characters match bytes.
func (s *strictReader) readLine() (string, error) {
	line, rest, ok := bytes.Cut(s.rest, []byte("\r\n"))
	if !ok {
		return "", io.ErrUnexpectedEOF
	}
	s.rest = rest
	runes := make([]rune, len(line))
	for i, b := range line {
		runes[i] = rune(b)
	}
	return string(runes), nil
}

// take reads n bytes of a body.
func (s *strictReader) take(n int) (string, error) {
	if n > len(s.rest) {
		return "", io.ErrUnexpectedEOF
	}
	taken := s.rest[:n]
	s.rest = s.rest[n:]
	return string(taken), nil
}

// fieldValues returns the values of all fields with a name.
func fieldValues(fields [][2]string, name string) (out []string) {
	for _, f := range fields {
		if strings.EqualFold(f[0], name) {
			out = append(out, f[1])
		}
	}
	return out
}

// toBytes reverses what readLine does.
func toBytes(text string) []byte {
	out := make([]byte, 0, len(text))
	for _, r := range text {
		out = append(out, byte(r))
	}
	return out
}
