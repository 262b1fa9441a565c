package bounder

import (
	"errors"
	"io"
)

// Fill reads until buffer is full or r ends, and reports whether r ended. Unlike
// io.ReadFull it does not confuse the end of r with an error of r that is
// io.ErrUnexpectedEOF, as truncated messages return it.
func Fill(r io.Reader, buffer []byte) (n int, ended bool, err error) {
	for n < len(buffer) {
		read, err := r.Read(buffer[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}
