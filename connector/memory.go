package connector

import (
	"errors"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// ErrNoMemory means that this host had no memory for the header of a response.
var ErrNoMemory = errors.New("connector: no memory for the header of the response")

// head is the header of a response, with the interim responses before it, while it is read.
type head struct {
	memory bounder.Head
	// position is the number of bytes of the current header that have been read.
	position int
	// interim is set if the current header is that of an interim response, blank if the current
	// line is empty so far, and ended once the last header has been read.
	interim, blank, ended bool
}

// statusPosition is the position of the first digit of the status code.
const statusPosition = len("HTTP/1.1 ")

// charge charges that part of what was read from a connection that belongs to the header,
// before it is parsed, and reports whether there is memory for it.
func (h *head) charge(part []byte) bool {
	return h.ended || h.memory.Charge(part[:h.scan(part)])
}

// scan returns how many bytes belong to the header.
func (h *head) scan(part []byte) int {
	for i, b := range part {
		if h.position == statusPosition {
			h.interim = b == '1'
		}
		h.position++
		switch {
		case b == '\n' && h.blank && !h.interim:
			h.ended = true
			return i + 1
		case b == '\n' && h.blank:
			h.position, h.blank, h.interim = 0, false, false
		case b == '\n':
			h.blank = true
		case b != '\r':
			h.blank = false
		}
	}
	return len(part)
}
