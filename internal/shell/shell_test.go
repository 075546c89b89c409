package shell

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"walkrudder/internal/startup"
)

func TestMainExitCodes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	good := []string{"--id", "f1", "--zone", "z", "--inner", ln.Addr().String(), "--door", "127.0.0.1:9", "--seed", "127.0.0.1:8"}
	for name, c := range map[string]struct {
		args []string
		run  func(s *startup.Gateway) error
		code int
		want string
	}{
		"bad flag":    {[]string{"--zonk"}, nil, ExitStartup, "--zonk"},
		"port in use": {good, func(s *startup.Gateway) error { _, err := Listen("inner", s.Inner); return err }, ExitStartup, "inner: "},
		"running":     {good, func(*startup.Gateway) error { return errors.New("disk failed") }, ExitRunning, `"err":"disk failed"`},
		"panic":       {good, func(*startup.Gateway) error { panic("boom") }, ExitRunning, `"panic":"boom"`},
		"fine":        {good, func(*startup.Gateway) error { return nil }, ExitOK, ""},
	} {
		var out, errw bytes.Buffer
		var s startup.Gateway
		code := Main(&s, "gateway", c.args, &out, &errw, func(context.Context, *log.Logger) error { return c.run(&s) })
		if code != c.code || !strings.Contains(errw.String(), c.want) {
			t.Errorf("%s: exit %d %q, want %d with %q", name, code, errw.String(), c.code, c.want)
		}
	}
}
