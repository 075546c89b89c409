package route

import "testing"

func TestHostKey(t *testing.T) {
	for in, want := range map[string]string{
		"":                  "",
		"a.example":         "a.example",
		"A.eXample":         "a.example",
		"a.example:80":      "a.example",
		"A.example:":        "a.example",
		":80":               "",
		"a.example:http":    "a.example:http",
		"[::1]":             "[::1]",
		"[::1]:8080":        "[::1]",
		"[FE80::1]:8080":    "[fe80::1]",
		"::1":               "::1",
		"fe80::80":          "fe80::80",
		"[::1]x:80":         "[::1]x:80",
		"10.0.0.1:80":       "10.0.0.1",
		"Z\x5b\x40\x7bÄ.de": "z\x5b\x40\x7bÄ.de",
	} {
		if got := hostKey(in); got != want {
			t.Errorf("%q: %q, want %q", in, got, want)
		}
	}
}

func FuzzHostKey(f *testing.F) {
	f.Add("A.example:80")
	f.Add("[::1]:80")
	f.Fuzz(func(t *testing.T, h string) {
		k := hostKey(h)
		for _, c := range []byte(k) {
			if isUpper(c) {
				t.Errorf("%q: %q", h, k)
			}
		}
		if len(k) > len(h) {
			t.Errorf("%q: %q", h, k)
		}
	})
}
