package http1test

import (
	"bufio"
	"strings"
	"testing"
	"testing/iotest"
)

// The strict reader accepts the well-formed samples with their status and body, and refuses the malformed ones.
func TestStrictReaderKnowsTheSamples(t *testing.T) {
	const fields, body, behind = "X-Id: q1\r\n", "0123456789 body", "HTTP/1.1 200 OK\r\n"
	for _, s := range WellFormed() {
		got, rest, err := ReadResponse([]byte(s.Response(fields, body)+behind), false)
		if err != nil || got.Status != s.Status || got.Body != body || string(rest) != behind {
			t.Errorf("%s: %+v with %q left, %v", s.Name, got, rest, err)
		}
	}
	for _, s := range Malformed() {
		if got, _, err := ReadResponse([]byte(s.Response(fields, body)), false); err == nil {
			t.Errorf("%s: read as %+v", s.Name, got)
		}
	}
}

// CheckHead judges the first head alone and consumes nothing of it, also where it comes byte by byte.
func TestCheckHead(t *testing.T) {
	for in, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\r\nbody":             true,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":   true,
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n":                     true, // cut off
		"":                                                    true,
		"HTTP/1.1 000 OK\r\nX-Odd: 1\r\n\r\n":                 false,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n":                 false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nbody": false,
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\nX-Other: 2\r\n\r\n": false,
	} {
		r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(in)))
		if err := CheckHead(r); (err == nil) != sound {
			t.Errorf("%q: %v", in, err)
		}
		if rest, _ := r.Peek(len(in)); string(rest) != in {
			t.Errorf("%q: only %q is left", in, rest)
		}
	}
}
