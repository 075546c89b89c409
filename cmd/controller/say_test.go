package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A script stops at the first line that fails, reports that line, and does not send the
// later ones; the exit code is that of the failed line.
func TestScriptStopsAtItsFirstFailure(t *testing.T) {
	var received []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		received = append(received, string(b))
		if strings.HasPrefix(string(b), "put") {
			w.WriteHeader(409)
			_, _ = w.Write([]byte(`{"kind":"result","data":{"outcome":"conflict","version":7}}`))
			return
		}
		_, _ = w.Write([]byte(`{"kind":"core","data":"fine"}`))
	}))
	defer srv.Close()
	at := "--at=" + strings.TrimPrefix(srv.URL, "http://")
	for script, want := range map[string]struct {
		code     int
		received int
		message  string
	}{
		"# first\n\nshow core\nput service a on 3\nshow nodes\n": {1, 2, "stopped at line 4: put service a on 3"},
		"show core\nshow core\n":                                 {0, 2, ""},
		strings.Repeat("x", 70<<10):                              {2, 0, "too long"},
	} {
		received = nil
		var out, errw bytes.Buffer
		if code := say([]string{at}, strings.NewReader(script), &out, &errw); code != want.code || len(received) != want.received || !strings.Contains(errw.String(), want.message) {
			t.Errorf("%.40q: exit %d, received %q, printed %q", script, code, received, errw.String())
		}
		if want.code == 1 && !strings.Contains(out.String(), "conflict") {
			t.Errorf("the response to the failed line is not printed: %q", out.String())
		}
	}
}
