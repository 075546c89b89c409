package proxy

import (
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"walkrudder/internal/http1/http1test"
)

// fuzzedID is the request to which a fuzzed answer belongs.
const fuzzedID = "q1"

// FuzzTargetAnswer lets the only target answer a request with the fuzzed bytes. The caller, who reads strictly, gets what a
// strict reader makes of them if that is a valid answer to the request, and otherwise an answer of the node itself, which
// says that the request did not run only if the target says so.
func FuzzTargetAnswer(f *testing.F) {
	for _, s := range slices.Concat(http1test.WellFormed(), http1test.Malformed()) {
		f.Add([]byte(s.Response("X-Id: q1\r\nX-Seal: s\r\n", "body")), true)
	}
	for _, head := range []string{"503 Full\r\nX-Not-Run: 1", "421 Odd", "503 Full", "200 OK\r\nX-Not-Run: 1\r\nX-Seal: s", "200 OK", "200 OK\r\nX-Seal: s\r\nContent-Encoding: gzip", "429 \r\nX-Not-Run:"} {
		f.Add([]byte("HTTP/1.1 "+head+"\r\nX-Id: q1\r\nContent-Length: 1\r\n\r\nx"), false)
	}
	f.Fuzz(func(t *testing.T, answer []byte, once bool) {
		if len(answer) > readBufferSize/2 {
			return
		}
		synctest.Test(t, func(t *testing.T) {
			l := newHarness(t, newPipes(), nil)
			l.routes(1)
			l.startTarget("one", nil, func(_ *harness, c net.Conn, _ *receivedRequest) bool { return write(c, string(answer)) })
			path := "/idem/x"
			if once {
				path = "/once/x"
			}
			got := l.strictCall(path, fuzzedID)
			sent, _, err := http1test.ReadResponse(answer, false)
			if err != nil {
				sent = http1test.Response{}
			}
			checkFuzzedAnswer(t, sent, got)
		})
	})
}

// checkFuzzedAnswer checks what a caller got, given the target's answer as read strictly, which has no status if it is
// malformed.
func checkFuzzedAnswer(t *testing.T, sent, got http1test.Response) {
	t.Helper()
	notRun := sent.Status == 421 || sent.Status >= 300 && len(values(sent, testHeaders.NotRun)) > 0
	switch {
	case !isValidAnswer(sent):
		if got.Status != 502 && got.Status != 504 {
			t.Errorf("got %+v for an answer that is not valid, read as %+v", got, sent)
		}
	case notRun:
		if got.Status != 503 {
			t.Errorf("got %+v, the target says that it did not run: %+v", got, sent)
		}
	case got.Status != sent.Status || got.Body != sent.Body:
		t.Errorf("got %+v, sent was %+v", got, sent)
	}
}

// isValidAnswer reports whether a well-formed answer belongs to the fuzzed request, is sealed if it is a success, and does
// not imply without a word that the request did not run.
func isValidAnswer(sent http1test.Response) bool {
	ids, seals := values(sent, testHeaders.RequestID), values(sent, testHeaders.Seal)
	isSealed := slices.ContainsFunc(seals, func(v string) bool { return v != "" })
	saysNotRun := sent.Status == 421 || len(values(sent, testHeaders.NotRun)) > 0
	switch {
	case sent.Status == 0, len(ids) != 1 || ids[0] != fuzzedID, len(values(sent, "Content-Encoding")) > 0, sent.Status < 300 && !isSealed:
		return false
	}
	return saysNotRun || !impliesNotRun(sent.Status)
}

func values(r http1test.Response, name string) (out []string) {
	for _, f := range r.Fields {
		if strings.EqualFold(f[0], name) {
			out = append(out, f[1])
		}
	}
	return out
}
