package http1

// isChunkExtension reports whether b, which follows the size of a chunk, is a list of extensions (RFC 9112, section 7.1.1).
func isChunkExtension(b []byte) bool {
	for len(b) > 0 {
		var ok bool
		if b, ok = cutDelimiter(b, ';'); !ok {
			return false
		}
		n := tokenLength(b)
		if n == 0 {
			return false
		}
		b = b[n:]
		rest, hasValue := cutDelimiter(b, '=')
		if !hasValue {
			continue
		}
		if n = extensionValueLength(rest); n == 0 {
			return false
		}
		b = rest[n:]
	}
	return true
}

// cutDelimiter removes a delimiter and the blanks around it from the start of b.
func cutDelimiter(b []byte, delimiter byte) (rest []byte, ok bool) {
	b = skipBlanks(b)
	if len(b) == 0 || b[0] != delimiter {
		return nil, false
	}
	return skipBlanks(b[1:]), true
}

func skipBlanks(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	return b
}

// extensionValueLength returns the length of the token or quoted string at the start of b, 0 if there is none.
func extensionValueLength(b []byte) int {
	if len(b) == 0 || b[0] != '"' {
		return tokenLength(b)
	}
	for i := 1; i < len(b); i++ {
		switch c := b[i]; {
		case byteClasses[c]&textByte == 0:
			return 0
		case c == '"':
			return i + 1
		case c == '\\':
			// The next byte is quoted.
			if i++; i == len(b) || byteClasses[b[i]]&textByte == 0 {
				return 0
			}
		}
	}
	return 0
}
