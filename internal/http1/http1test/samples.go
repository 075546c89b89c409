package http1test

import (
	"fmt"
	"strings"
)

// Sample is a form of response. Its variable parts are the field lines that identify the request and the body.
type Sample struct {
	Name   string
	Status int // the status that it carries; 0 if it is malformed
	text   string
}

// Placeholders in the text of a sample.
const (
	fieldsPlaceholder = "{fields}"
	bodyPlaceholder   = "{body}"
	lengthPlaceholder = "{length}" // of the body, in decimal
	chunkPlaceholder  = "{chunk}"  // the length of the body, in hexadecimal
)

// Response returns the bytes of the response. fields are complete field lines.
func (s Sample) Response(fields, body string) string {
	return strings.NewReplacer(
		fieldsPlaceholder, fields,
		bodyPlaceholder, body,
		lengthPlaceholder, fmt.Sprintf("%d", len(body)),
		chunkPlaceholder, fmt.Sprintf("%x", len(body)),
	).Replace(s.text)
}

const (
	okLine       = "HTTP/1.1 200 OK"
	lengthLine   = "Content-Length: {length}\r\n"
	chunkedLine  = "Transfer-Encoding: chunked\r\n"
	wholeChunk   = "{chunk}\r\n{body}\r\n"
	fixedAnswer  = okLine + "\r\n{fields}" + lengthLine + "\r\n{body}"
	chunkedStart = okLine + "\r\n{fields}" + chunkedLine + "\r\n"
)

func withStatusLine(line string) string {
	return line + "\r\n{fields}" + lengthLine + "\r\n{body}"
}

// withFieldLine adds a line, given with its end, before the other field lines.
func withFieldLine(line string) string {
	return okLine + "\r\n" + line + "{fields}" + lengthLine + "\r\n{body}"
}

// withFraming replaces the line that gives the length.
func withFraming(lines, body string) string {
	return okLine + "\r\n{fields}" + lines + "\r\n" + body
}

func samples(prefix string, status int, texts []string, text func(string) string) []Sample {
	out := make([]Sample, len(texts))
	for i, t := range texts {
		out[i] = Sample{Name: fmt.Sprintf("%s %q", prefix, t), Status: status, text: text(t)}
	}
	return out
}
