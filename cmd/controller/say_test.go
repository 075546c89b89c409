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
	var heard []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		heard = append(heard, string(b))
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
		code  int
		heard int
		told  string
	}{
		"# first\n\nshow core\nput service a on 3\nshow nodes\n": {1, 2, "stopped at line 4: put service a on 3"},
		"show core\nshow core\n":                                 {0, 2, ""},
		strings.Repeat("x", 70<<10):                              {2, 0, "too long"},
	} {
		heard = nil
		var out, errw bytes.Buffer
		if code := say([]string{at}, strings.NewReader(script), &out, &errw); code != want.code || len(heard) != want.heard || !strings.Contains(errw.String(), want.told) {
			t.Errorf("%.40q: exit %d, received %q, printed %q", script, code, heard, errw.String())
		}
		if want.code == 1 && !strings.Contains(out.String(), "conflict") {
			t.Errorf("the response to the failed line is not printed: %q", out.String())
		}
	}
}
