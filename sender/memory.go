package sender

import "errors"

// ErrNoMemory means that this host had no memory for the header of a response.
var ErrNoMemory = errors.New("sender: no memory for the header of the response")

// charge charges a part of the header of the response before it is parsed.
func (r *Request) charge(part []byte) error {
	if !r.memory.Charge(part) {
		return ErrNoMemory
	}
	return nil
}
