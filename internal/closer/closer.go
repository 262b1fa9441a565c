// Package closer closes connections without losing what their peers have not received yet:
// data that arrives at a closed connection resets it, and the system discards what it still
// holds for the peer.
package closer

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// lingerTimeout is how long a connection is read after its write side was closed, and how
// often it is examined whether the peer has received everything.
const lingerTimeout = 500 * time.Millisecond

// Config is the configuration of the end of a connection.
type Config struct {
	// Timeout is how long the connection is read first; if zero, half a second.
	Timeout time.Duration
	// Bytes bounds what is read in that time.
	Bytes int64
	// Delivery bounds how long the peer may take to receive what was written.
	Delivery time.Duration
}

// Linger closes the write side of a connection and reads until the peer closes it, or until
// the timeout has passed and the peer has received everything. The connection still has to be
// closed.
func Linger(conn net.Conn, c Config) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = lingerTimeout
	}
	latest := time.Now().Add(max(timeout, c.Delivery))
	for discard(conn, timeout, c.Bytes) && Undelivered(conn) > 0 && time.Now().Before(latest) {
		timeout = lingerTimeout
	}
}

// discard reads for a time, or up to a number of bytes, and reports whether the peer may
// still be there.
func discard(conn net.Conn, timeout time.Duration, limit int64) bool {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.CopyN(io.Discard, conn, limit)
	return n == limit || errors.Is(err, os.ErrDeadlineExceeded)
}
