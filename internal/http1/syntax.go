package http1

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether b contains no control bytes other than tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
