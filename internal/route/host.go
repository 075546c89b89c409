package route

import "strings"

// bareHost cuts the port off a host. Of an address in the sixth version of IP only the
// part behind the bracket can be a port.
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

func upper(c byte) bool { return 'A' <= c && c <= 'Z' }

// lowerInto writes h to buf in lower case; hosts are compared as ASCII. It returns h
// itself where nothing has to change.
func lowerInto(buf []byte, h string) ([]byte, bool) {
	for i := range len(h) {
		if upper(h[i]) {
			buf = append(buf, h...)
			for j := i; j < len(buf); j++ {
				if upper(buf[j]) {
					buf[j] += 'a' - 'A'
				}
			}
			return buf, true
		}
	}
	return nil, false
}

// hostKey is the form under which hosts are kept.
func hostKey(h string) string {
	h = bareHost(h)
	if b, changed := lowerInto(nil, h); changed {
		return string(b)
	}
	return h
}
