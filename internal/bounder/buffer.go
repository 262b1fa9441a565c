package bounder

import (
	"errors"
	"io"
)

// ErrExcess is returned for a body that is longer than announced.
var ErrExcess = errors.New("bounder: the body is longer than announced")

// firstBufferBytes is the initial size of the buffer for a body whose length is
// unknown. It doubles as the body grows.
const firstBufferBytes = 8 << 10

// BufferConfig describes a body to be buffered.
type BufferConfig struct {
	Reader io.Reader
	// Length is the announced length of the body, negative if it is unknown.
	Length int64
	// Limit bounds the part of the body that is buffered.
	Limit int64
	// Budget provides the memory.
	Budget Source
}

// Buffer is the beginning of a body in memory. Its zero value is empty.
type Buffer struct {
	config   BufferConfig
	data     []byte
	taken    int64
	complete bool
}

// ReadBuffer reads a body into memory: all of it, or as much as the limit and the
// budget allow. The rest can then be read from the reader. If it returns an error, the
// body is truncated or malformed.
func ReadBuffer(c BufferConfig) (Buffer, error) {
	b := Buffer{config: c}
	if err := b.read(); err != nil {
		b.Release()
		return Buffer{}, err
	}
	return b, nil
}

// Bytes returns what was read.
func (b *Buffer) Bytes() []byte { return b.data }

// Complete reports whether that is the whole body.
func (b *Buffer) Complete() bool { return b.complete }

// Release returns the memory to the budget. The bytes must not be used any more.
func (b *Buffer) Release() {
	if b.taken > 0 {
		b.config.Budget.Return(b.taken)
		b.taken = 0
	}
}

func (b *Buffer) read() error {
	length, limit := b.config.Length, b.config.Limit
	size := min(firstBufferBytes, limit)
	if length >= 0 {
		size = min(length, limit)
	}
	for b.grow(size) {
		n, ended, err := Fill(b.config.Reader, b.data[len(b.data):size])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err != nil:
			return err
		case ended && int64(len(b.data)) < length:
			return io.ErrUnexpectedEOF
		case ended && length < 0:
			b.complete = true
			return nil
		case length == size:
			b.complete = true
			return expectEnd(b.config.Reader)
		case size >= limit:
			return nil
		}
		size = min(2*size, limit)
	}
	return nil
}

// grow makes room for size bytes, and reports whether the budget allows that.
func (b *Buffer) grow(size int64) bool {
	if !b.config.Budget.Take(size - b.taken) {
		return false
	}
	b.taken = size
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return true
}

// expectEnd reads the end of a body. A connection is reusable only after that.
func expectEnd(r io.Reader) error {
	var end [1]byte
	n, ended, err := Fill(r, end[:])
	if err == nil && (n != 0 || !ended) {
		err = ErrExcess
	}
	return err
}
