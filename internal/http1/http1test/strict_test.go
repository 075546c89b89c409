package http1test

import "testing"

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
