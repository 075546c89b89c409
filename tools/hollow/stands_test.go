package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/samber/lo"

	"walkrudder/internal/target"
)

func TestAStandInAnswersInTheCallersName(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	go (&StandsArgs{}).serve(t.Context(), b, "i-7", "body")
	r := bufio.NewReader(a)
	for _, x := range []struct{ ask, field, want, body string }{
		{"GET /part1/x HTTP/1.1\r\nHost: h\r\nx-id: q1\r\nX-Left: 50\r\n\r\n", dialect.RequestID, "q1", "body"},
		{"GET /health HTTP/1.1\r\nHost: h\r\n\r\n", dialect.Instance, "i-7", ""},
		{"GET /part2/x HTTP/1.1\r\nX-Id: q2\r\n\r\n", dialect.RequestID, "q2", "body"},
	} {
		go func() { _, _ = io.WriteString(a, x.ask) }()
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(p.Body)
		if err != nil || p.StatusCode != 200 || p.Header.Get(x.field) != x.want || string(got) != x.body {
			t.Errorf("%q: %v %q %v", x.ask, p.Header, got, err)
		}
	}
}

func TestEndlessHeadsAreGivenUp(t *testing.T) {
	_, _, err := head(bufio.NewReader(strings.NewReader(strings.Repeat("A: b\r\n", 1000))))
	if !errors.Is(err, errHead) {
		t.Error(err)
	}
}

func TestRunsAreSpreadOverServicesAndZones(t *testing.T) {
	rs := runsAt(strings.TrimSuffix(strings.Repeat("80,", 48), ","), 4)
	by := lo.GroupBy(rs, func(r target.Run) string { return r.Service })
	if len(rs) != 48 || len(by) != 4 {
		t.Fatalf("%d runs of %d services", len(rs), len(by))
	}
	for s, l := range by {
		if z := lo.CountValuesBy(l, func(r target.Run) string { return r.Zone }); len(l) != 12 || len(z) != zones || z[zoneName(0)] != 2 {
			t.Errorf("%s: %d runs, by zone %v", s, len(l), z)
		}
	}
	if len(runsAt("", 4)) != 0 {
		t.Error("runs of no ports")
	}
}
