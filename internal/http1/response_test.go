package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/http1/http1test"
)

// maxSampleHead is less than the buffer that a head must fit into.
const maxSampleHead = 4000

// readResponse reads a whole response as a gateway does, and returns what follows it.
func readResponse(in io.Reader, noBody bool) (response http1test.Response, rest []byte, err error) {
	var h fasthttp.ResponseHeader
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	r := bufio.NewReader(in)
	head, err := ReadHead(r, &h)
	if err != nil {
		return response, nil, err
	}
	response.Status = head.Status
	for k, v := range h.All() {
		response.Fields = append(response.Fields, [2]string{string(k), string(v)})
	}
	if !noBody && head.Status != 204 && head.Status != 304 {
		if head.Length == Unframed {
			return response, nil, ErrFraming
		}
		body, err := ReadBody(r, head.Length, 1<<20, nil, noLimit)
		if err != nil {
			return response, nil, err
		}
		response.Body = string(body)
	}
	rest, err = io.ReadAll(r)
	return response, rest, err
}

// TestSamples checks the samples, whole and byte by byte.
func TestSamples(t *testing.T) {
	const fields, body, behind = "X-Id: q1\r\n", "0123456789 body", "HTTP/1.1 200 OK\r\n"
	readers := map[string]func([]byte) io.Reader{
		"whole":        func(b []byte) io.Reader { return bytes.NewReader(b) },
		"byte by byte": func(b []byte) io.Reader { return iotest.OneByteReader(bytes.NewReader(b)) },
	}
	for name, reader := range readers {
		for _, s := range http1test.WellFormed() {
			got, rest, err := readResponse(reader([]byte(s.Response(fields, body)+behind)), false)
			if err != nil || got.Status != s.Status || got.Body != body || string(rest) != behind {
				t.Errorf("%s, %s: %+v with %q left, %v", s.Name, name, got, rest, err)
			}
		}
		for _, s := range http1test.Malformed() {
			if got, _, err := readResponse(reader([]byte(s.Response(fields, body))), false); err == nil {
				t.Errorf("%s, %s: read as %+v", s.Name, name, got)
			}
		}
	}
}

// TestMalformedLineIsNotWaitedBehind checks that a malformed line is refused as soon as it is there, so that a target that
// keeps its connection open is not waited for.
func TestMalformedLineIsNotWaitedBehind(t *testing.T) {
	const wait = "the reader waits for more"
	waiting := errors.New(wait)
	for in, want := range map[string]error{
		"\x16\x03\x01":                              ErrStatusLine,
		"HTTP/2":                                    ErrStatusLine,
		"HTTP/1.1 000 OK\r\n":                       ErrStatusLine,
		"HTTP/1.1 200 OK\n":                         ErrStatusLine,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n":           ErrFieldLine,
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\n":         ErrFieldLine,
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n":  ErrFraming,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 0":      waiting,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 0\r\n":  ErrStatusLine,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":  ErrUpgrade,
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n":           waiting,
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\nX Half: on": waiting,
	} {
		_, _, err := readResponse(io.MultiReader(bytes.NewReader([]byte(in)), iotest.ErrReader(waiting)), false)
		if !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", in, err, want)
		}
	}
}

// TestResponseEndsEarly checks that no part of a response that is cut off passes for a whole one.
func TestResponseEndsEarly(t *testing.T) {
	for _, s := range http1test.WellFormed() {
		whole := []byte(s.Response("X-Id: q1\r\n", "0123456789 body"))
		for n := range whole {
			if got, _, err := readResponse(bytes.NewReader(whole[:n]), false); err != io.ErrUnexpectedEOF {
				t.Errorf("%s, %d of %d bytes: %+v, %v", s.Name, n, len(whole), got, err)
			}
		}
	}
}

// FuzzResponse checks that the reader accepts what the strict reader of the tests accepts, with the same status, body and
// rest, and nothing else, and that each field that it hands on stands in the head.
func FuzzResponse(f *testing.F) {
	for _, s := range slices.Concat(http1test.WellFormed(), http1test.Malformed()) {
		f.Add([]byte(s.Response("X-Id: q1\r\n", "body")+"HTTP/1.1"), false)
	}
	f.Add([]byte("HTTP/1.1 204 \r\nContent-Length: 3\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nno length"), false)
	f.Fuzz(func(t *testing.T, in []byte, noBody bool) {
		if len(in) > maxSampleHead {
			return
		}
		want, wantRest, wantErr := http1test.ReadResponse(in, noBody)
		got, rest, err := readResponse(bytes.NewReader(in), noBody)
		if (err == nil) != (wantErr == nil) {
			t.Fatalf("%q: %v, the strict reader %v", in, err, wantErr)
		}
		if err != nil {
			return
		}
		if got.Status != want.Status || got.Body != want.Body || !bytes.Equal(rest, wantRest) {
			t.Fatalf("%q: %+v with %q left, want %+v with %q", in, got, rest, want, wantRest)
		}
		for _, field := range got.Fields {
			if field[0] == "Connection" || field[0] == "Transfer-Encoding" {
				// The library writes these anew; the gateways do not forward them.
				continue
			}
			if !slices.ContainsFunc(want.Fields, func(w [2]string) bool { return bytes.EqualFold([]byte(w[0]), []byte(field[0])) && w[1] == field[1] }) {
				t.Errorf("%q: the field %q is not in %q", in, field, want.Fields)
			}
		}
	})
}
