package startup

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var validArgs = []string{"--id", "m1", "--zone", "z1", "--inner", "127.0.0.1:1", "--door", "127.0.0.1:2", "--seed", "127.0.0.1:1"}

func writeSettings(t *testing.T, s string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(p, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestReadNamesWhatIsWrong(t *testing.T) {
	for want, args := range map[string][]string{
		"id: is missing":                   nil,
		"inner: \"host:1\" is not IP:port": append(validArgs[:4:4], "--inner", "host:1", "--door", "127.0.0.1:2", "--seed", "127.0.0.1:1"),
		"seeds[0]":                         append(validArgs[:8:8], "--seed", "127.0.0.1:99999"),
		"data: stat":                       append(validArgs[:10:10], "--data", "/nowhere/at/all"),
		"is no folder":                     append(validArgs[:10:10], "--data", os.Args[0]),
		"core: 2":                          append(validArgs[:10:10], "--core", "2"),
		"level: loud":                      append(validArgs[:10:10], "--level", "loud"),
		"unknown argument --what":          {"--what"},
		"startup file":                     {"--startup", "/nowhere.yaml"},
		"unknown field":                    {"--startup", writeSettings(t, "zonk: 1\n")},
		"cannot unmarshal":                 {"--startup", writeSettings(t, "core: [1]\n")},
		"bind: \"here\" is not IP:port":    append(validArgs[:10:10], "--bind", "here"),
		"door: 127.0.0.1:1 is also":        append(validArgs[:6:6], "--door", "127.0.0.1:1", "--seed", "127.0.0.1:1"),
	} {
		var m Controller
		err := Read(&m, "controller", args, &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q named", args, err, want)
		}
	}
}

func TestGatewayReadsItsMap(t *testing.T) {
	args := []string{"--id", "f", "--zone", "z1", "--inner", "127.0.0.1:1", "--door", "127.0.0.1:2", "--seed", "127.0.0.1:3", "--map"}
	p := filepath.Join(t.TempDir(), "zones.dot")
	if err := os.WriteFile(p, []byte("graph { z1 -- z2 [ms=1]; z1 -- z3 [ms=3] }"), 0o600); err != nil {
		t.Fatal(err)
	}
	var f Gateway
	if err := Read(&f, "gateway", append(args, p), &bytes.Buffer{}); err != nil || f.Chart.RelativeDistance("z1", "z3") != 3 {
		t.Errorf("%v %v", err, f.Chart)
	}
	for _, bad := range []string{"/nowhere.dot", writeSettings(t, "x: 1\n")} {
		if err := Read(&Gateway{}, "gateway", append(args, bad), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "map: ") {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

func TestFlagsGoBeforeTheFile(t *testing.T) {
	p := writeSettings(t, "id: m1\nzone: z1\ninner: 127.0.0.1:1\ndoor: 127.0.0.1:2\nseeds: [\"127.0.0.1:1\", \"127.0.0.1:3\"]\nlevel: warn\n")
	var m Controller
	if err := Read(&m, "controller", []string{"--startup", p, "--zone", "z9"}, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	if m.Zone != "z9" || m.Level != "warn" || len(m.Seeds) != 2 || m.Core != 3 {
		t.Errorf("%+v", m)
	}
	m = Controller{}
	if err := Read(&m, "controller", []string{"--startup", p, "--seed", "127.0.0.9:9"}, &bytes.Buffer{}); err != nil || len(m.Seeds) != 1 || m.Seeds[0] != "127.0.0.9:9" {
		t.Errorf("%v %v", err, m.Seeds)
	}
}

func TestHelpAndVersionRunNothing(t *testing.T) {
	for _, a := range []string{"--help", "--version"} {
		var out bytes.Buffer
		if err := Read(&Gateway{}, "gateway", []string{a}, &out); !errors.Is(err, ErrHelpShown) || !strings.Contains(out.String(), "gateway") {
			t.Errorf("%s: %v %q", a, err, out.String())
		}
	}
}
