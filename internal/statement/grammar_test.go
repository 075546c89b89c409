package statement

import (
	"strings"
	"testing"
)

func TestParseTellsPositionAndWhatWasExpected(t *testing.T) {
	for text, want := range map[string]string{
		"":                      "1:1",
		"show nods":             `1:6: unexpected token "nods", expected "nodes", "targets"`,
		"put binding x takes":   "1:20: unexpected end, expected",
		"drain Put":             `unexpected token "Put", expected "target" or "node"`,
		"remove x":              `expected "service" or "binding"`,
		"put service a and":     `expected "put", "remove" or "roll back"`,
		"hello":                 "1:1: unexpected token \"hello\", expected a query or a command",
		"show nodes and more":   "1:12",
		"put service \"a":       "1:13",
		"diff 1":                "<number>",
		"check":                 "expected",
		"show ledger last many": "1:",
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q in it", text, err, want)
		}
	}
}

func TestParseReadsOrders(t *testing.T) {
	x, err := Parse(`check put service files suspect 0.98 and put binding lease takes GET,HEAD /leases/* to files within 800 ms repeatable body 10 and remove binding old on 7 token t-1 by ann note "why not"`)
	if err != nil {
		t.Fatal(err)
	}
	o := x.Order
	if !o.Check || len(o.Edits) != 3 || *o.Base != 7 || o.Token != "t-1" || o.By != "ann" || o.Note != "why not" {
		t.Errorf("%+v", o)
	}
	b := o.Edits[1].Put.Binding
	if b.Name != "lease" || len(b.Methods) != 2 || b.Path != "/leases/*" || b.Service != "files" || b.Expiry != 800 || !b.Repeatable || b.MaxBody != 10 {
		t.Errorf("%+v", b)
	}
	for _, s := range strings.Split(Help, "\n") {
		if s = strings.TrimSpace(s); strings.HasPrefix(s, "roll back") {
			if _, err := Parse("roll back to 3"); err != nil {
				t.Error(err)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"show nodes", `put service a about "b"`, "drain target a/b", "diff 1 2", "wait for 3"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if x, err := Parse(s); err == nil && x == nil {
			t.Fatal("Parse returned neither a statement nor an error")
		}
	})
}
