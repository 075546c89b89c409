package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Invalid arguments are reported by name before anything is started.
func TestBadArgumentsAreNamed(t *testing.T) {
	bin := t.TempDir()
	for _, p := range []string{"gateway", "controller"} {
		if err := os.WriteFile(filepath.Join(bin, p), nil, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for want, args := range map[string][]string{
		"BIN is required":             {},
		"--bin: stat":                 {"--bin", "/nowhere"},
		"--plan: no deployment":       {"--bin", bin, "--plan", "atlantis"},
		"--how: \"flood\" is none of": {"--bin", bin, "--how", "flood"},
		"--out: 1ms":                  {"--bin", bin, "--out", "1ms"},
		"--zone: alcazar has no":      {"--bin", bin, "--zone", "z9"},
		"unknown argument --what":     {"--bin", bin, "--what"},
	} {
		var out, errw bytes.Buffer
		if code := run(args, &out, &errw); code != 2 || !strings.Contains(errw.String(), want) || out.Len() > 0 {
			t.Errorf("%v: exit %d, %q, want %q", args, code, errw.String(), want)
		}
	}
	var out bytes.Buffer
	if code := run([]string{"--help"}, &out, &out); code != 0 || !strings.Contains(out.String(), "takes a zone out") {
		t.Errorf("--help: exit %d, %q", code, out.String())
	}
}
