package connector

import (
	"errors"

	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/scanner"
)

// ErrNoMemory means that this host had no memory for the header of a response.
var ErrNoMemory = errors.New("connector: no memory for the header of the response")

// head is the header of a response, with the interim responses before it, while it is read.
type head struct {
	memory bounder.Head
	lines  scanner.Header
}

// charge charges that part of what was read from a connection that belongs to the header,
// before it is parsed, and reports whether there is memory for it.
func (h *head) charge(part []byte) bool {
	n := h.lines.Scan(part)
	return n == 0 || h.memory.Charge(part[:n])
}
