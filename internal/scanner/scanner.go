// Package scanner reads the headers of responses as their bytes arrive, before they are parsed.
package scanner

import "golang.org/x/net/http/httpguts"

// statusPosition is the position of the status code. Parsers accept further blanks before it.
const statusPosition = len("HTTP/1.1 ")

// lineState is a part of a line.
type lineState int

const (
	// lineContent is a status line or the value of a field.
	lineContent lineState = iota
	// lineStart is the start of a line, also after a carriage return.
	lineStart
	lineName
)

// Header is the header of a response, with the interim responses before it.
type Header struct {
	state lineState
	// position is the number of bytes of the current header that have been read.
	position int
	// statusKnown is set once the first digit of the status code has been read, and interim if the
	// current header is that of an interim response.
	statusKnown, interim bool
	// carriageReturn is set after one at the start of a line.
	carriageReturn   bool
	ended, malformed bool
}

// Scan reads a part of what is received, and returns how many bytes of it belong to the header.
func (h *Header) Scan(part []byte) int {
	if h.ended {
		return 0
	}
	for i, b := range part {
		if h.position++; h.position > statusPosition && !h.statusKnown && b != ' ' {
			h.statusKnown, h.interim = true, b == '1'
		}
		if h.scanByte(b); h.ended {
			return i + 1
		}
	}
	return len(part)
}

// scanByte reads a byte of a line.
func (h *Header) scanByte(b byte) {
	switch {
	case b == '\n':
		h.endLine()
	case h.state == lineStart && b == '\r' && !h.carriageReturn:
		h.carriageReturn = true
	case h.state == lineName && b == ':':
		h.state = lineContent
	case h.state == lineContent:
	case h.carriageReturn || !httpguts.IsTokenRune(rune(b)):
		h.malformed = true
		h.state = lineContent
	default:
		h.state = lineName
	}
}

// endLine ends a line, and with an empty one the header.
func (h *Header) endLine() {
	switch {
	case h.state == lineStart && h.interim:
		*h = Header{malformed: h.malformed}
		return
	case h.state == lineStart:
		h.ended = true
	case h.state == lineName:
		h.malformed = true
	}
	h.state, h.carriageReturn = lineStart, false
}

// Ended reports whether the whole header has been read.
func (h *Header) Ended() bool { return h.ended }

// Malformed reports whether a line of the header is invalid: the name of its field is no token (RFC 9110, 5.1), or
// it continues the line before it (RFC 9112, 5.2).
func (h *Header) Malformed() bool { return h.malformed }
