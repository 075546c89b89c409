package http1

import (
	"bytes"
	"strings"
)

// byteClass is a set of the roles in which a byte may occur.
type byteClass uint8

const (
	tokenByte byteClass = 1 << iota // in a token, such as a field name
	textByte                        // in a field value or a reason phrase
)

// byteClasses holds the class of each byte.
var byteClasses = func() (classes [256]byteClass) {
	const tokenPunctuation = "!#$%&'*+-.^_`|~"
	for i := range classes {
		c := byte(i)
		isVisible := c > ' ' && c != 0x7f
		if isVisible || c == ' ' || c == '\t' {
			classes[i] |= textByte
		}
		if isDigit(c) || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || strings.IndexByte(tokenPunctuation, c) >= 0 {
			classes[i] |= tokenByte
		}
	}
	return classes
}()

// EqualName compares names, such as those of fields, which are case-insensitive.
func EqualName(b []byte, name string) bool {
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

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// tokenLength returns the length of the token at the start of b.
func tokenLength(b []byte) int {
	for i, c := range b {
		if byteClasses[c]&tokenByte == 0 {
			return i
		}
	}
	return len(b)
}

// isText reports whether b contains no control bytes other than tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if byteClasses[c]&textByte == 0 {
			return false
		}
	}
	return true
}

// trimBlanks removes the blanks and tabs around a value.
func trimBlanks(b []byte) []byte { return bytes.Trim(b, " \t") }

// splitField splits a field line, given without its end, into name and value. ok is false if it is malformed. A folded
// line starts with a blank, so it has no name.
func splitField(line []byte) (name, value []byte, ok bool) {
	n := tokenLength(line)
	if n == 0 || n == len(line) || line[n] != ':' || !isText(line[n+1:]) {
		return nil, nil, false
	}
	return line[:n], line[n+1:], true
}
