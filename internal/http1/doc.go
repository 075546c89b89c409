// Package http1 reads the HTTP/1.1 responses of targets. A target is untrusted: what counts as a response is decided by
// the grammars of RFC 9112 (status line, field lines, framing, chunks, trailers) and RFC 9110 (field names and values),
// before a library that reads leniently interprets it (design 13.15).
package http1
