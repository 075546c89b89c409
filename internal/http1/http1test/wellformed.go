package http1test

import (
	"slices"
	"strings"
)

// WellFormed returns complete responses that conform to RFC 9112 and RFC 9110, among them unusual ones.
func WellFormed() []Sample {
	return wellFormedStatusLines()
}

func wellFormedStatusLines() (out []Sample) {
	for status, lines := range map[int][]string{
		// Without the blank after the status: a recipient may ignore blanks at the end of the line (RFC 9112, section 4).
		200: {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 O\tK  \xc3\x96", "HTTP/1.1 200 000", "HTTP/1.0 200 OK", "HTTP/1.1 200  OK"},
		299: {"HTTP/1.1 299 Unknown"}, 203: {"HTTP/1.1 203 Non-Authoritative"}, 399: {"HTTP/1.1 399 "}, 404: {"HTTP/1.1 404 Not Found"}, 499: {"HTTP/1.1 499 Odd"},
		500: {"HTTP/1.1 500 Odd"}, 599: {"HTTP/1.1 599 "},
	} {
		out = append(out, samples("status line", status, lines, withStatusLine)...)
	}
	slices.SortFunc(out, func(a, b Sample) int { return strings.Compare(a.Name, b.Name) })
	return out
}
