package proxy

import (
	"bytes"
	"iter"

	"walkrudder/internal/http1"
)

// isHopByHop reports whether a field applies to one connection only.
func isHopByHop(k []byte) bool {
	for _, n := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"} {
		if http1.EqualName(k, n) {
			return true
		}
	}
	return false
}

// listTokens iterates over the elements of a comma-separated list.
func listTokens(v []byte) iter.Seq[[]byte] {
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

// listContains reports whether the list v contains name.
func listContains(v []byte, name string) bool {
	for t := range listTokens(v) {
		if http1.EqualName(t, name) {
			return true
		}
	}
	return false
}

// parseDigits parses a number that consists of digits only.
func parseDigits(v []byte) (int, bool) {
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

// appendField appends one field line.
func appendField[T, U ~[]byte | ~string](b []byte, k T, v U) []byte {
	b = append(b, k...)
	b = append(b, ": "...)
	b = append(b, v...)
	return append(b, "\r\n"...)
}
