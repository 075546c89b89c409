package route

import "strings"

// bareHost removes the port from a host. In an IPv6 address only the part after the
// closing bracket can be a port.
func bareHost(h string) string {
	i := strings.LastIndexByte(h, ':')
	if i < 0 {
		return h
	}
	for _, c := range []byte(h[i+1:]) {
		if c < '0' || c > '9' {
			return h
		}
	}
	if h[0] == '[' && h[i-1] != ']' || h[0] != '[' && strings.IndexByte(h, ':') < i {
		return h
	}
	return h[:i]
}

func isUpper(c byte) bool { return 'A' <= c && c <= 'Z' }

// lowerInto appends h in lower case to buf; hosts are compared as ASCII. It returns false, and
// leaves buf unused, if h has no upper case letters.
func lowerInto(buf []byte, h string) ([]byte, bool) {
	for i := range len(h) {
		if isUpper(h[i]) {
			buf = append(buf, h...)
			for j := i; j < len(buf); j++ {
				if isUpper(buf[j]) {
					buf[j] += 'a' - 'A'
				}
			}
			return buf, true
		}
	}
	return nil, false
}

// hostKey is the normalized form of a host under which it is stored.
func hostKey(h string) string {
	h = bareHost(h)
	if b, changed := lowerInto(nil, h); changed {
		return string(b)
	}
	return h
}
