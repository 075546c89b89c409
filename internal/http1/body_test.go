package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
)

func noLimit(int) bool { return true }

func TestReadBody(t *testing.T) {
	big := strings.Repeat("b", 3*ReadStep+5)
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
		{"too large", "abc", 1 << 20, "", ErrTooLarge, "abc"},
		{"chunks", "2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\nnext", -1, "abcde", nil, "next"},
		{"trailer", "1\r\na\r\n0\r\nT: v\r\n\r\nnext", -1, "a", nil, "next"},
		{"zeros", "0002\r\nab\r\n000\r\n\r\n", -1, "ab", nil, ""},
		{"no last chunk", "2\r\nab\r\n", -1, "", io.ErrUnexpectedEOF, ""},
		{"no end of trailer", "2\r\nab\r\n0\r\n", -1, "", io.ErrUnexpectedEOF, ""},
		{"bare line end", "2\nab\r\n0\r\n\r\n", -1, "", ErrFraming, ""},
		{"chunk too long", "2\r\nabc\r\n0\r\n\r\n", -1, "", ErrFraming, ""},
		{"sign", "+2\r\nab\r\n0\r\n\r\n", -1, "", ErrFraming, ""},
		{"prefix", "0x2\r\nab\r\n0\r\n\r\n", -1, "", ErrFraming, ""},
		{"blank", " 2\r\nab\r\n0\r\n\r\n", -1, "", ErrFraming, ""},
		{"no digits", "\r\n", -1, "", ErrFraming, ""},
		{"huge chunk", "ffffffff\r\n", -1, "", ErrTooLarge, ""},
		{"huge sum", strings.Repeat("8000\r\n"+strings.Repeat("a", 0x8000)+"\r\n", 17), -1, "", ErrTooLarge, ""},
		{"long trailer", "0\r\n" + strings.Repeat("T: "+strings.Repeat("v", 100)+"\r\n", 100) + "\r\n", -1, "", ErrFraming, ""},
	} {
		r := bufio.NewReader(strings.NewReader(c.in))
		b, err := ReadBody(r, c.size, 512<<10, nil, noLimit)
		if !errors.Is(err, c.err) || err == nil && string(b) != c.want {
			t.Errorf("%s: %d bytes, %v", c.name, len(b), err)
		}
		if rest, _ := io.ReadAll(r); err == nil && string(rest) != c.rest {
			t.Errorf("%s: left %q", c.name, rest)
		}
	}
	reserved := 0
	_, err := ReadBody(bufio.NewReader(strings.NewReader(big)), len(big), 1<<20, nil, func(k int) bool { reserved += k; return reserved <= ReadStep })
	if err != ErrMemory || reserved > 2*ReadStep {
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
		b, err := ReadBody(bufio.NewReader(bytes.NewReader(in)), Chunked, 1<<20, nil, noLimit)
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(in)))
		if err != nil || !bytes.Equal(b, want) {
			t.Errorf("%q: read %q, the library %q, %v", in, b, want, err)
		}
	})
}
