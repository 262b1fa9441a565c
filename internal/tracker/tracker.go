// Package tracker tracks how connections end.
package tracker

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrReset means that the peer has reset the connection.
var ErrReset = errors.New("tracker: the peer has reset the connection")

// Conn is a connection that may be read while it is written. The system reports a reset only once: if
// a write gets that error, reads find an end of file, with which a response may end. Conn returns
// ErrReset instead.
type Conn struct {
	net.Conn
	lost, stalled atomic.Bool
	// interrupted is set before a write is interrupted.
	interrupted atomic.Bool
	// writing is held while data is written. writeLost is set once a write has failed because the
	// connection was lost.
	writing   sync.Mutex
	writeLost bool
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
	if errors.Is(err, io.EOF) && c.endWriting() {
		err = ErrReset
	}
	return n, err
}

// endWriting interrupts a write that is under way and reports whether one has failed because the
// connection was lost.
func (c *Conn) endWriting() (lost bool) {
	if !c.writing.TryLock() {
		c.interrupted.Store(true)
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeLost
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeLost = c.observe(err) || c.writeLost
	return n, err
}

// WriteBuffers writes several buffers at once.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.writeLost = c.observe(err) || c.writeLost
	return n, err
}

// observe records an error, and reports whether it means that the connection is lost. Errors of
// parsers, whose bytes the peer chooses, may look the same.
func (c *Conn) observe(err error) (lost bool) {
	var netErr net.Error
	switch {
	case err == nil, errors.Is(err, net.ErrClosed):
	case errors.As(err, &netErr) && netErr.Timeout():
		if !c.interrupted.Load() {
			c.stalled.Store(true)
		}
	default:
		c.lost.Store(true)
		return true
	}
	return false
}
