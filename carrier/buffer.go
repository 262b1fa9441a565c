package carrier

import (
	"errors"
	"io"

	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/sender"
)

const (
	// maxBufferedBody bounds the part of a response that is buffered before the caller
	// receives any of it, so that another attempt can replace a response that ends
	// early.
	maxBufferedBody = 1 << 20
	// maxResponseMemory bounds the buffered responses of all requests together, since
	// the hosts may be small and servers in trouble may send without end. Responses
	// that find no memory left are delivered while they are read.
	maxResponseMemory = 8 << 20
	// firstBufferBytes is the initial size of the buffer for a response whose length is
	// unknown. It doubles as the response grows.
	firstBufferBytes = 16 << 10
)

// errOversizedFailure means that a server sent a failure or a refusal with a body
// that is too long to be buffered.
var errOversizedFailure = errors.New("carrier: the body of a failure is too long")

// bufferedBody is the beginning of a response body in memory.
type bufferedBody struct {
	data []byte
	// complete is set if data is the whole body.
	complete bool
	// taken is the number of bytes taken out of the budget.
	taken int64
}

// release returns the memory to the budget.
func (b *bufferedBody) release(budget *bounder.Budget) {
	budget.Return(b.taken)
	b.taken = 0
}

// grow makes room for size bytes, and reports whether the budget allows that.
func (b *bufferedBody) grow(size int64, budget *bounder.Budget) bool {
	if !budget.Take(size - b.taken) {
		return false
	}
	b.taken = size
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}

// readBuffered reads the beginning of a body of the given length, negative if it is
// unknown: all of it if that is at most maxBufferedBody and the budget allows it.
func readBuffered(r io.Reader, length int64, budget *bounder.Budget) (b bufferedBody, err error) {
	size := int64(firstBufferBytes)
	if length >= 0 {
		size = min(length, maxBufferedBody)
	}
	for {
		if !b.grow(size, budget) {
			return b, nil
		}
		n, ended, err := bounder.Fill(r, b.data[len(b.data):size])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err != nil:
			return b, err
		case ended && length >= 0 && int64(len(b.data)) < length:
			return b, io.ErrUnexpectedEOF
		case ended && length < 0:
			b.complete = true
			return b, nil
		case length == size:
			b.complete, err = true, expectEnd(r)
			return b, err
		case size >= maxBufferedBody:
			return b, nil
		}
		size = min(2*size, maxBufferedBody)
	}
}

// expectEnd reads the end of a body, after which its connection is reusable.
func expectEnd(r io.Reader) error {
	var end [1]byte
	if n, err := r.Read(end[:]); n != 0 || !errors.Is(err, io.EOF) {
		return errors.Join(sender.ErrUnexpectedResponse, err)
	}
	return nil
}
