// Package tracker tracks how connections end.
package tracker

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrLost means that the connection was lost before an end of file was read: the peer has reset it, or is no
// longer reached.
var ErrLost = errors.New("tracker: the connection was lost")

// Conn is a connection that may be read while it is written. The system reports the loss of a connection only
// once: if a write gets that error, reads find an end of file, with which a response may end. Conn returns
// ErrLost instead.
type Conn struct {
	net.Conn
	lost, stalled atomic.Bool
	// interrupted is set before a write is interrupted.
	interrupted atomic.Bool
	// writing is held while data is written. writeErr is the first error of a write that was not due to this
	// host.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a connection that tracks its end.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection that is tracked.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Lost reports whether the peer has closed or reset the connection.
func (c *Conn) Lost() bool { return c.lost.Load() }

// Stalled reports whether a read or a write has timed out.
func (c *Conn) Stalled() bool { return c.stalled.Load() }

// Read implements net.Conn. The end of file interrupts a write that is under way.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// The writer that is interrupted must find the connection lost.
	c.observe(err)
	if errors.Is(err, io.EOF) {
		if writeErr := c.endWriting(); writeErr != nil {
			err = errors.Join(ErrLost, writeErr)
		}
	}
	return n, err
}

// endWriting interrupts a write that is under way and returns the error of the one that found the
// connection lost, if any.
func (c *Conn) endWriting() error {
	if !c.writing.TryLock() {
		c.interrupted.Store(true)
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeErr
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes several buffers at once.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

// recordWrite records the error of a write. The timeout of a connection whose peer is no longer reached is
// an error of the system, unlike a deadline.
func (c *Conn) recordWrite(err error) {
	c.observe(err)
	if c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
	}
}

// observe records an error of the connection. Errors of parsers, whose bytes the peer chooses, may look the
// same.
func (c *Conn) observe(err error) {
	var netErr net.Error
	switch {
	case err == nil, errors.Is(err, net.ErrClosed):
	case errors.As(err, &netErr) && netErr.Timeout():
		if !c.interrupted.Load() {
			c.stalled.Store(true)
		}
	default:
		c.lost.Store(true)
	}
}
