package sender

import (
	"errors"
	"net/http"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/scanner"
)

// ErrNoMemory means that this host had no memory for the header of a response.
var ErrNoMemory = errors.New("sender: no memory for the header of the response")

// responseHead is the header of a response, with the interim responses before it, while it is read.
type responseHead struct {
	memory bounder.Head
	lines  scanner.Header
}

// charge charges a part of the header before it is parsed.
func (h *responseHead) charge(part []byte) error {
	n := h.lines.Scan(part)
	if n > 0 && !h.memory.Charge(part[:n]) {
		return ErrNoMemory
	}
	return nil
}

// check returns an error if what has been parsed is not a response.
func (h *responseHead) check(response *http.Response) error {
	err := verbenastand.CheckResponse(response)
	if err == nil && h.lines.Malformed() {
		err = verbenastand.ErrInvalidField
	}
	if err == nil {
		return nil
	}
	return errors.Join(ErrUnexpectedResponse, err)
}
