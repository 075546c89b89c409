package http1test

import (
	"slices"
	"sync"
)

// Malformed returns responses that do not conform to RFC 9112 and RFC 9110.
func Malformed() []Sample {
	return slices.Concat(malformedStatusLines(), malformedFieldLines(), malformedInterim(), malformedFraming(), malformedChunks(), malformedTrailers())
}

var malformedOnce = sync.OnceValue(Malformed)

// DrawMalformed draws a malformed response; intN returns a random number in [0, n).
func DrawMalformed(intN func(n int) int) Sample {
	all := malformedOnce()
	return all[intN(len(all))]
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

// malformedFraming returns responses whose fields do not give the length of the body in one way.
func malformedFraming() []Sample {
	lengths := []string{"+{length}", "-{length}", "-1", "", "{length}, {length}", "{length},", "{length} {length}", "0x{chunk}", "{length}.0", "{length}x", "x",
		"99999999999999999999", "18446744073709551617", "\"{length}\""}
	out := samples("length", 0, lengths, func(v string) string { return withFraming("Content-Length: "+v+"\r\n", "{body}") })
	lines := []string{lengthLine + lengthLine, "Content-Length: 1\r\n" + lengthLine, lengthLine + "content-length: 0\r\n"}
	out = append(out, samples("lengths", 0, lines, func(l string) string { return withFraming(l, "{body}") })...)
	chunked := []string{
		chunkedLine + lengthLine, lengthLine + chunkedLine, chunkedLine + "Content-Length: 0\r\n", chunkedLine + chunkedLine,
		"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: identity\r\n",
		"Transfer-Encoding: identity\r\n" + chunkedLine, chunkedLine + "Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunkedx\r\n",
		"Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding:\r\n", "Transfer-Encoding: chunked;q=1\r\n", "Transfer-Encoding: gzip\r\n",
		"Transfer-Encoding: gzip\r\n" + lengthLine, "Transfer-Encoding: identity\r\n" + lengthLine,
	}
	out = append(out, samples("coding", 0, chunked, func(l string) string { return withFraming(l, wholeChunk+"0\r\n\r\n") })...)
	return append(out, Sample{Name: "chunks in HTTP/1.0", text: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n{fields}" + chunkedLine + "\r\n" + wholeChunk + "0\r\n\r\n"})
}

// malformedChunks returns responses with broken chunks.
func malformedChunks() []Sample {
	bodies := []string{
		"{chunk}\n{body}\r\n0\r\n\r\n", "{chunk}\r\n{body}\n0\r\n\r\n", "{chunk}\r\n{body}0\r\n\r\n", "{chunk}\r\n{body}x\r\n0\r\n\r\n", "{chunk}\r\n{body}\r\n0\n\r\n",
		" {chunk}\r\n{body}\r\n0\r\n\r\n", "{chunk} \r\n{body}\r\n0\r\n\r\n", "0x{chunk}\r\n{body}\r\n0\r\n\r\n", "+{chunk}\r\n{body}\r\n0\r\n\r\n", "-{chunk}\r\n{body}\r\n0\r\n\r\n",
		"\r\n{body}\r\n0\r\n\r\n", ";a\r\n{body}\r\n0\r\n\r\n", "{chunk}g\r\n{body}\r\n0\r\n\r\n", "{chunk}\r\r\n{body}\r\n0\r\n\r\n", "ffffffffffffffff1\r\n{body}\r\n0\r\n\r\n",
		"{chunk};\r\n{body}\r\n0\r\n\r\n", "{chunk};a=\r\n{body}\r\n0\r\n\r\n", "{chunk};=b\r\n{body}\r\n0\r\n\r\n", "{chunk};a b\r\n{body}\r\n0\r\n\r\n", "{chunk};a\rb\r\n{body}\r\n0\r\n\r\n",
		"{chunk};a\x00\r\n{body}\r\n0\r\n\r\n", "{chunk};a=\x01\r\n{body}\r\n0\r\n\r\n", "{chunk};a=\"b\r\n{body}\r\n0\r\n\r\n", "{chunk};a=\"b\x00\"\r\n{body}\r\n0\r\n\r\n",
		"{chunk};a=\"b\"c\r\n{body}\r\n0\r\n\r\n", "{chunk};a=b,c\r\n{body}\r\n0\r\n\r\n", "{chunk}\r\n{body}\r\n0;\r\n\r\n", "{chunk}\r\n{body}\r\n0 \r\n\r\n", "{chunk}\r\n{body}\r\n00x\r\n\r\n",
	}
	return samples("chunk", 0, bodies, func(b string) string { return chunkedStart + b })
}

// malformedTrailers returns responses whose last chunk is followed by a line that is no field line.
func malformedTrailers() []Sample {
	lines := []string{"X Odd: 1\r\n", "X-Odd : 1\r\n", "X\x00Odd: 1\r\n", "X\x01Odd: 1\r\n", "X-Odd: a\x00b\r\n", "X-Odd: a\x1fb\r\n", "X-Odd: a\x7fb\r\n", "X-Odd\r\n", ": 1\r\n",
		" folded: 1\r\n", "X-Odd: 1\r\n folded\r\n", "X-Odd: 1\n", "\n", "X-Odd: a\rb\r\n", "X-\xc3\x96dd: 1\r\n", "Content-Length : 3\r\n"}
	return samples("trailer", 0, lines, func(l string) string { return chunkedStart + wholeChunk + "0\r\n" + l + "\r\n" })
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
