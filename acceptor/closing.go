package acceptor

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/verbenastand/verbenastand/internal/closer"
)

const (
	// lingerTimeout is how long a connection is still read after its write side was
	// closed, so that a reset does not discard a response in transit. It is repeated while
	// the caller has not received the response, for the stall timeout at most.
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
	if !c.closing {
		c.closing = true
		close(c.closed)
	}
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
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cut(CutCallerLeft, err)
	}
}

// linger closes the connection in a way that lets the caller read the last response. A
// connection that was idle is closed at once, so that a request that arrives meanwhile stays
// unread, and so is one that makes room for others: the system still delivers what was written
// unless the caller sends more.
func (c *connection) linger() {
	defer func() { _ = c.conn.Close() }()
	c.mu.Lock()
	recent := c.responded && time.Since(c.idleSince) < lingerTimeout
	evicted := c.evicted
	c.mu.Unlock()
	if evicted || (!recent && closer.Undelivered(c.conn) == 0) {
		return
	}
	config := closer.Config{Timeout: lingerTimeout, Bytes: lingerBytes, Delivery: c.acceptor.config.StallTimeout}
	if c.bodyUnread {
		config.Timeout, config.Bytes = lingerBodyTimeout, c.acceptor.config.Limits().BodyBytes
	}
	c.mu.Lock()
	c.lingeringSince = time.Now()
	c.mu.Unlock()
	closer.Linger(c.conn, config)
}

// stopReading lets the reader take no further request. A body that a handler reads is
// read to its end.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.closeLocked()
}

// closeLocked lets the reader take no further request, and wakes it unless it waits for a
// handler that reads a body, or only for the caller to disconnect.
func (c *connection) closeLocked() {
	if c.closing {
		return
	}
	c.closing = true
	close(c.closed)
	if !c.streaming && !c.awaitsDelegated() {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// awaitsDelegated reports whether another host may just be sending the only request of a
// connection. It would have to take a close for a request that may have run.
func (c *connection) awaitsDelegated() bool {
	_, delegated := c.conn.(*delegatedConn)
	return c.stopped && delegated && !c.received
}

// allowReading sets the read deadline, unless no further request is taken.
func (c *connection) allowReading(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && !c.awaitsDelegated() {
		timeout = 0
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// interrupted reports whether a request could not be read completely because the acceptor
// takes no more requests, and no other response can announce the end of the connection.
func (c *connection) interrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped && c.pending == 0 && errors.Is(c.limited.Err(), os.ErrDeadlineExceeded)
}

// cut cancels the handlers of pending requests, whose responses can't be delivered. A response
// that is being written may have arrived: if it has not, writing it fails.
func (c *connection) cut(reason CutReason, cause error) {
	c.mu.Lock()
	pending := c.pending
	if c.writing && reason == CutCallerLeft {
		pending--
	}
	report := !c.wasCut && pending > 0
	c.wasCut = c.wasCut || report
	c.mu.Unlock()
	c.cancelHandlers(errCallerDisconnected)
	if report {
		c.acceptor.config.Observer.ConnectionCut(Cut{Caller: c.remote(), Reason: reason, Pending: pending, Err: cause})
	}
}

// abort cancels the handlers and closes the connection at once.
func (c *connection) abort(reason CutReason, cause error) {
	c.cut(reason, cause)
	_ = c.conn.Close()
}
