package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

func noLimit(int) bool { return true }

func TestReadBody(t *testing.T) {
	big := strings.Repeat("b", 3*readStep+5)
	for _, c := range []struct {
		name, in string
		size     int
		want     string
		err      error
		rest     string
	}{
		{"fixed", "abcdef", 4, "abcd", nil, "ef"},
		{"empty", "x", 0, "", nil, "x"},
		{"big", big + "r", len(big), big, nil, "r"},
		{"short", "abc", 4, "", io.ErrUnexpectedEOF, ""},
		{"none", "", 4, "", io.ErrUnexpectedEOF, ""},
		{"too large", "abc", 1 << 20, "", errTooLarge, "abc"},
		{"chunks", "2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\nnext", -1, "abcde", nil, "next"},
		{"trailer", "1\r\na\r\n0\r\nT: v\r\n\r\nnext", -1, "a", nil, "next"},
		{"zeros", "0002\r\nab\r\n000\r\n\r\n", -1, "ab", nil, ""},
		{"no last chunk", "2\r\nab\r\n", -1, "", io.ErrUnexpectedEOF, ""},
		{"no end of trailer", "2\r\nab\r\n0\r\n", -1, "", io.ErrUnexpectedEOF, ""},
		{"bare line end", "2\nab\r\n0\r\n\r\n", -1, "", errFraming, ""},
		{"chunk too long", "2\r\nabc\r\n0\r\n\r\n", -1, "", errFraming, ""},
		{"sign", "+2\r\nab\r\n0\r\n\r\n", -1, "", errFraming, ""},
		{"prefix", "0x2\r\nab\r\n0\r\n\r\n", -1, "", errFraming, ""},
		{"blank", " 2\r\nab\r\n0\r\n\r\n", -1, "", errFraming, ""},
		{"no digits", "\r\n", -1, "", errFraming, ""},
		{"huge chunk", "ffffffff\r\n", -1, "", errTooLarge, ""},
		{"huge sum", strings.Repeat("8000\r\n"+strings.Repeat("a", 0x8000)+"\r\n", 17), -1, "", errTooLarge, ""},
		{"long trailer", "0\r\n" + strings.Repeat("T: "+strings.Repeat("v", 100)+"\r\n", 100) + "\r\n", -1, "", errFraming, ""},
	} {
		r := bufio.NewReader(strings.NewReader(c.in))
		b, err := readBody(r, c.size, 512<<10, nil, noLimit)
		if !errors.Is(err, c.err) || err == nil && string(b) != c.want {
			t.Errorf("%s: %d bytes, %v", c.name, len(b), err)
		}
		if rest, _ := io.ReadAll(r); err == nil && string(rest) != c.rest {
			t.Errorf("%s: left %q", c.name, rest)
		}
	}
	reserved := 0
	_, err := readBody(bufio.NewReader(strings.NewReader(big)), len(big), 1<<20, nil, func(k int) bool { reserved += k; return reserved <= readStep })
	if err != errMemory || reserved > 2*readStep {
		t.Errorf("%v after %d", err, reserved)
	}
}

// FuzzChunks checks that what is read as complete is read the same way by the standard library,
// and that nothing after it is consumed.
func FuzzChunks(f *testing.F) {
	for _, s := range []string{"2\r\nab\r\n0\r\n\r\n", "a;b\r\n0123456789\r\n0\r\nT: v\r\n\r\n", "0\r\n\r\nGET", "1\r\n\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := readBody(bufio.NewReader(bytes.NewReader(in)), chunkedLength, 1<<20, nil, noLimit)
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(in)))
		if err != nil || !bytes.Equal(b, want) {
			t.Errorf("%q: read %q, the library %q, %v", in, b, want, err)
		}
	})
}

func TestKeepAlive(t *testing.T) {
	for v, want := range map[string]string{"timeout=10": "9s", "timeout=1": "700ms", "max=5, timeout=2": "1.7s", "": "5s", "timeout=x": "5s", "timeout=0": "0s", "Timeout = 4": "3.6s"} {
		if got := keepAliveTimeout([]byte(v)); fmt.Sprint(got) != want {
			t.Errorf("%q: %v, want %v", v, got, want)
		}
	}
}
