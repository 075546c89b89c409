package proxy

import (
	"bytes"
	"iter"
)

// same compares field names, which have no case.
func same(b []byte, name string) bool {
	if len(b) != len(name) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(name[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// hop tells whether a field concerns one connection only.
func hop(k []byte) bool {
	for _, n := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"} {
		if same(k, n) {
			return true
		}
	}
	return false
}

// tokens are the parts of a list with commas.
func tokens(v []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(v) > 0 {
			t, rest, _ := bytes.Cut(v, []byte{','})
			if t = bytes.Trim(t, " \t"); len(t) > 0 && !yield(t) {
				return
			}
			v = rest
		}
	}
}

// lists tells whether the list v holds name.
func lists(v []byte, name string) bool {
	for t := range tokens(v) {
		if same(t, name) {
			return true
		}
	}
	return false
}

// number reads digits alone.
func number(v []byte) (int, bool) {
	if len(v) == 0 || len(v) > 9 {
		return 0, false
	}
	n := 0
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// appendField adds one line.
func appendField[T, U ~[]byte | ~string](b []byte, k T, v U) []byte {
	b = append(b, k...)
	b = append(b, ": "...)
	b = append(b, v...)
	return append(b, "\r\n"...)
}
