package http1test

// Malformed returns responses that do not conform to RFC 9112 and RFC 9110.
func Malformed() []Sample {
	return malformedStatusLines()
}

// malformedStatusLines returns responses whose first line is no status line of a final response.
func malformedStatusLines() []Sample {
	lines := []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 00200 OK", "HTTP/1.1 20 OK",
		"HTTP/1.1 2 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 700 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200;OK",
		"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 \t200 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1",
		"HTTP/1.10 200 OK", "HTTP/1. 200 OK", "HTTP/1 200 OK", "HTTP/1.x 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK",
		" HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK", "HTTP 200 OK", "200 OK",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x07K", "HTTP/1.1 200 O\x0bK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r",
		"HTTP/1.1 101 Switching Protocols",
	}
	out := samples("status line", 0, lines, withStatusLine)
	return append(out, Sample{Name: "status line without CR", text: okLine + "\n{fields}" + lengthLine + "\r\n{body}"})
}
