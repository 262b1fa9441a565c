package acceptor

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout is how long a connection is still read after its write side was
	// closed, so that a reset does not discard a response in transit.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds what is read during that time.
	lingerBytes = 256 << 10
	// lingerBodyTimeout replaces lingerTimeout while the caller may still be sending a
	// body: most callers read the response only after that. What is read is bounded by
	// the limit for bodies.
	lingerBodyTimeout = 3 * time.Second
)

// detectDisconnect waits for the end of a connection from which no more requests are
// read, while responses are still pending.
func (c *connection) detectDisconnect() {
	c.mu.Lock()
	c.closing = true
	pending := c.pending
	c.mu.Unlock()
	if pending == 0 || c.ctx.Err() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		c.handlers.Wait()
		_ = c.conn.SetReadDeadline(time.Now())
	}()
	_, err := io.Copy(io.Discard, c.conn)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		c.cancelHandlers(errCallerDisconnected)
	}
}

// linger closes the connection in a way that lets the caller read the last response.
func (c *connection) linger() {
	defer func() { _ = c.conn.Close() }()
	halfCloser, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	timeout, limit := lingerTimeout, int64(lingerBytes)
	if c.bodyUnread {
		timeout, limit = lingerBodyTimeout, c.acceptor.config.Limits().BodyBytes
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, c.conn, limit)
}

// closeIfIdle closes the connection if no request is pending.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	idle := c.pending == 0
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// abort cancels the handlers and closes the connection at once.
func (c *connection) abort() {
	c.cancelHandlers(errCallerDisconnected)
	_ = c.conn.Close()
}
