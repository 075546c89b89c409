package http1test

import (
	"slices"
	"strings"
)

// WellFormed returns complete responses that conform to RFC 9112 and RFC 9110, among them unusual ones.
func WellFormed() []Sample {
	return slices.Concat(wellFormedStatusLines(), wellFormedFieldLines(), wellFormedInterim(), wellFormedFraming(), wellFormedChunks())
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

func wellFormedFieldLines() []Sample {
	lines := []string{
		"", "x: 1\r\n", "!#$%&'*+-.^_`|~09azAZ: 1\r\n", "X-Odd:\r\n", "X-Odd: \r\n", "X-Odd:1\r\n", "X-Odd: \t 1 2\t3 \t \r\n", "X-Odd: \x80\xff\xc3\x96\r\n", "X-Odd: a: b, \"c\"; d={}\r\n",
		"X-Odd: 1\r\nX-Odd: 2\r\n", "x-odd: 1\r\nX-ODD: 2\r\n", "Content-Type:\r\n", "Server:\r\n", "Set-Cookie: a=b\r\nSet-Cookie: c=d\r\n", "Content-Language: \xc3\x96\r\n",
		"Trailer: X-Odd\r\n", "Content-Length-Odd: x\r\n", "Transfer-Encodin: gzip\r\n", "Vary: *\r\n", "Connection: keep-alive\r\n", "Connection: x-odd\r\nX-Odd: 1\r\n",
	}
	return samples("field line", 200, lines, withFieldLine)
}

func wellFormedInterim() []Sample {
	heads := []string{
		"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 \r\n\r\n", "HTTP/1.1 102 Processing\r\nX-Odd:\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\nLink: </y>\r\n\r\n",
		"HTTP/1.1 199 Unknown\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 103 \xff\r\n!: 1\r\n\r\n",
	}
	return samples("after interim", 200, heads, func(h string) string { return h + fixedAnswer })
}

func wellFormedFraming() []Sample {
	lines := []string{"Content-Length:{length}\r\n", "Content-Length: \t{length} \t\r\n", "Content-Length: 000{length}\r\n", "CONTENT-LENGTH: {length}\r\n"}
	chunked := []string{"transfer-encoding:CHUNKED\r\n", "Transfer-Encoding: \tchunked \t\r\n"}
	return slices.Concat(
		samples("length", 200, lines, func(l string) string { return withFraming(l, "{body}") }),
		samples("coding", 200, chunked, func(l string) string { return withFraming(l, wholeChunk+"0\r\n\r\n") }),
	)
}

func wellFormedChunks() []Sample {
	bodies := []string{
		wholeChunk + "0\r\n\r\n", "000{chunk}\r\n{body}\r\n000\r\n\r\n", "{chunk};a\r\n{body}\r\n0\r\n\r\n", "{chunk};a=b;c=d\r\n{body}\r\n0;e\r\n\r\n", "{chunk};a=\"b; \\\"c\\\"\t\xff\"\r\n{body}\r\n0\r\n\r\n",
		"{chunk} ; a = b\t;\tc\r\n{body}\r\n0\r\n\r\n", wholeChunk + "0\r\nX-Odd: 1\r\n\r\n", wholeChunk + "0\r\nX-Odd:\r\n!#$%&'*+-.^_`|~: \x80\xff\r\n\r\n", wholeChunk + "0\r\nContent-Length: 3\r\n\r\n",
	}
	return samples("chunks", 200, bodies, func(b string) string { return chunkedStart + b })
}
