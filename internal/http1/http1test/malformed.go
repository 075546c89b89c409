package http1test

import "slices"

// Malformed returns responses that do not conform to RFC 9112 and RFC 9110.
func Malformed() []Sample {
	return slices.Concat(malformedStatusLines(), malformedFieldLines(), malformedInterim())
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

// malformedFieldLines returns responses with a line in the head that is no field line.
func malformedFieldLines() []Sample {
	lines := []string{
		"X Odd: 1\r\n", "X-Odd : 1\r\n", "X-Odd\t: 1\r\n", "X\tOdd: 1\r\n", "Content-Type : text/html\r\n", "Set Cookie: a=b\r\n", "Date : x\r\n",
		"X-Odd 1: 2: 3\r\n", ": 1\r\n", ":\r\n", " : 1\r\n", "X-Odd\r\n", "X-Odd 1\r\n", "X(Odd): 1\r\n", "X/Odd: 1\r\n", "X@Odd: 1\r\n", "[X]: 1\r\n", "{X}: 1\r\n",
		"\"X\": 1\r\n", "X,Y: 1\r\n", "X;Y: 1\r\n", "X=Y: 1\r\n", "X\\Y: 1\r\n", "X-\xc3\x96dd: 1\r\n", "X\x80: 1\r\n", "X\xff: 1\r\n", "X\x7f: 1\r\n",
		"Content-Length : 3\r\n", "Content-Length\x0b: 3\r\n", "Content-Length\x00: 3\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding\x0c: chunked\r\n",
		"Transfer-Encoding\x00: chunked\r\n", "Connection : close\r\n",
		" X-Odd: 1\r\n", "\tX-Odd: 1\r\n", "X-Odd: 1\r\n 2\r\n", "X-Odd: 1\r\n\t2\r\n", "X-Odd:\r\n \r\n", "X-Odd: 1\r\n Content-Length: 3\r\n",
		"X-Odd: 1\n", "X-Odd: 1\r\r\n", "X-Odd: 1\rX-Other: 2\r\n", "X-Odd: 1\nX-Other: 2\r\n", "\n", "X-Odd: \x00\r\n",
		"X-Odd: a\x7fb\r\n", "Content-Type: a\x00b\r\n", "Set-Cookie: a\x01b\r\n",
	}
	lines = append(lines, fieldLinesWithControls()...)
	out := samples("field line", 0, lines, withFieldLine)
	// The same as the last line, after the one that gives the length.
	last := func(line string) string { return okLine + "\r\n{fields}" + lengthLine + line + "\r\n{body}" }
	lines = []string{"X Odd: 1\r\n", "X\x01Odd: 1\r\n", "X-Odd: a\x00b\r\n", " folded\r\n", "no colon\r\n", "X-Odd: 1\n", "\nX-Odd: 1\r\n", "\nContent-Length: 3\r\n", "\rX-Odd: 1\r\n", "\tX-Odd: 1\r\n"}
	return append(out, samples("last field line", 0, lines, last)...)
}

// fieldLinesWithControls returns field lines with each control byte before, in and after the name, and in the value.
func fieldLinesWithControls() (lines []string) {
	const del = 0x7f
	for c := range byte(del + 1) {
		if c >= ' ' && c != del {
			continue
		}
		control := string(rune(c))
		lines = append(lines, control+"X-Odd: 1\r\n", "X-"+control+"Odd: 1\r\n", "X-Odd"+control+": 1\r\n")
		if c != '\t' {
			lines = append(lines, "X-Odd: a"+control+"b\r\n")
		}
	}
	return lines
}

// malformedInterim returns sound responses that follow a malformed interim response, or one that switches protocols.
func malformedInterim() []Sample {
	heads := []string{
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 0103 Odd\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 103 Hints\r\nX-Odd : 1\r\n\r\n", "HTTP/1.1 103 Hints\r\nX\x00Odd: 1\r\n\r\n", "HTTP/1.1 103 Hints\r\nX-Odd: a\x00b\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nX-Odd\r\n\r\n", "HTTP/1.1 103 Hints\r\n folded: 1\r\n\r\n", "HTTP/1.1 103 Hints\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 103 Hints\r\nLink: </x>\n\r\n",
		"HTTP/1.1 100 Con\x00tinue\r\n\r\n", "HTTP/1.1 100 Continue\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n\r\n", "\r\n",
	}
	return samples("after interim", 0, heads, func(h string) string { return h + fixedAnswer })
}
