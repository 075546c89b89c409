package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeReports writes a report for each size, with a figure that grows with it.
func writeReports(t *testing.T, names ...string) string {
	t.Helper()
	var b bytes.Buffer
	for i, name := range names {
		r := Report{Case: Case{Name: name}, Windows: []Window{{Name: "calm", Roles: map[string]PerNode{"controllers": {Core: 0.01 * float64(i+1)}}}}}
		if err := json.NewEncoder(&b).Encode(r); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(t.TempDir(), "r.json")
	if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestPlotDrawsFiguresOfThreeSizes(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "plots")
	var out, errw bytes.Buffer
	in := writeReports(t, "gateways 10", "gateways 20", "gateways 40")
	if code := run([]string{"plot", in, "--out", dir, "--only", "calm: controllers, % of a core"}, nil, &out, &errw); code != 0 {
		t.Fatal(errw.String())
	}
	b, err := os.ReadFile(filepath.Join(dir, "gateways-calm-controllers-part-of-a-core.svg"))
	if err != nil || !strings.Contains(string(b), "<svg") || !strings.Contains(string(b), "calm: controllers") {
		t.Fatalf("%v: %.80s", err, b)
	}
	if l, _ := os.ReadDir(dir); len(l) != 1 {
		t.Errorf("%d files", len(l))
	}
}

func TestPlotRefusesWhatHasNoLine(t *testing.T) {
	for name, argv := range map[string][]string{
		"two sizes":    {writeReports(t, "gateways 10", "gateways 20")},
		"no such file": {filepath.Join(t.TempDir(), "none.json")},
	} {
		var out, errw bytes.Buffer
		if code := run(append([]string{"plot", "--out", t.TempDir()}, argv...), nil, &out, &errw); code != 1 || errw.Len() == 0 {
			t.Errorf("%s: exit %d, %q", name, code, errw.String())
		}
	}
}
