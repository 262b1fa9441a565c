// Package bounder limits the number of bytes read for each message header, and the
// memory that several messages share.
package bounder

import (
	"errors"
	"io"
)

// ErrExceeded is returned by Read once the limit is reached.
var ErrExceeded = errors.New("bounder: read limit reached")

const (
	// Unlimited is a limit that is never reached.
	Unlimited = 1 << 62
	// DefaultMaxUnframedBody bounds the response bodies of servers whose length is not announced.
	DefaultMaxUnframedBody = 256 << 20
)

// Reader reads up to a number of bytes, which Allow sets anew for each message. It is
// not safe for concurrent use.
type Reader struct {
	reader    io.Reader
	remaining int64
	err       error
	// charge is called with what was read; nil if nothing is charged.
	charge func([]byte) error
}

// NewReader returns a reader that reads up to limit bytes from r.
func NewReader(r io.Reader, limit int64) *Reader { return &Reader{reader: r, remaining: limit} }

// Allow sets how many bytes may be read from now on.
func (r *Reader) Allow(bytes int64) { r.remaining = bytes }

// Charge makes the reader pass what it reads to f before the caller gets it. An error of f
// becomes that of Read, and of Err. Nil ends that.
func (r *Reader) Charge(f func([]byte) error) { r.charge = f }

// Remaining returns how many bytes may still be read.
func (r *Reader) Remaining() int64 { return r.remaining }

// Exceeded reports whether the limit is reached.
func (r *Reader) Exceeded() bool { return r.remaining <= 0 }

// Err returns the error of the last read from the underlying reader, nil if that succeeded.
// Unlike an error of a parser it does not depend on what was read.
func (r *Reader) Err() error { return r.err }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrExceeded
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.reader.Read(p)
	r.remaining -= int64(n)
	r.err = err
	if r.charge != nil && n > 0 {
		if err := r.charge(p[:n]); err != nil {
			r.err = err
			return 0, err
		}
	}
	return n, err
}
