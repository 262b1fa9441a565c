package admitter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/closer"
)

const (
	// waitTimeout is how long a connection isn't read for lack of memory before its client is
	// refused, and refusalTimeout how long that may take.
	waitTimeout    = time.Second
	refusalTimeout = time.Second
	// lingerBytes bounds what is read of a client that is refused, so that it receives the
	// response.
	lingerBytes = 64 << 10
)

// tooLarge is the response to a header for which no memory is left. A status that promises
// that the request never ran would be wrong for one that repeats an idempotency key, which
// isn't known yet.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nRetry-After: " + retryAfter +
	"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// conn is an admitted connection.
type conn struct {
	net.Conn
	admitter *Admitter
	account  string
	share    *bounder.Share
	stop     chan struct{}

	mu sync.Mutex
	// idleSince is when the last response was complete.
	idleSince time.Time
	// requests is the number of requests that are being handled.
	requests int
	// body is set from the start of a request to its end: what is read then is no header.
	// http2 is set if the connection carries frames.
	body, http2, closed bool
	// lingers is set while the connection may linger, since it was closed at lingeringSince.
	lingers        bool
	lingeringSince time.Time
	// charged is the memory taken for the header that is being read, credit the part of it
	// for what has not arrived yet.
	charged, credit int64
	stopped, ended  sync.Once
}

func newConn(a *Admitter, nc net.Conn) *conn {
	account, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		account = nc.RemoteAddr().String()
	}
	return &conn{
		Conn: nc, admitter: a, account: account, share: a.config.Memory.Open(account), stop: make(chan struct{}), idleSince: time.Now(),
	}
}

// Read implements net.Conn. It charges the parts of headers before the server parses them.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.charge(p[:n]) {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, tooLarge)
		closer.Linger(c.Conn, closer.Config{Bytes: lingerBytes})
		// The server takes any other error for that of a malformed request, and responds.
		return 0, io.EOF
	}
	return n, err
}

// CloseWrite lets the server close the connection in a way that delivers its last response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn. A connection that lingers counts until it doesn't any more.
func (c *conn) Close() error {
	c.halt()
	lingerer, ok := c.Conn.(closer.Lingerer)
	if !ok {
		c.end()
		return c.Conn.Close()
	}
	c.mu.Lock()
	if c.lingeringSince.IsZero() {
		c.lingers, c.lingeringSince = true, time.Now()
	}
	c.mu.Unlock()
	return lingerer.CloseThen(c.end)
}

// charge charges a part of a header, and reports whether there is memory for it. The first part
// waits for memory, the others don't: connections with a part each would wait for each other.
func (c *conn) charge(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.charged == 0 && bytes.HasPrefix(part, http2Preface) {
		c.http2 = true
	}
	if c.body || c.http2 || c.closed {
		return true
	}
	cost := bounder.HeadCost(part)
	first := c.charged == 0
	if first && !bytes.Contains(part, headEnd) {
		c.credit = min(bounder.ExpectedCost(part, c.admitter.config.MaxHeader), c.admitter.config.Memory.Size()/maxExpectedPart)
		cost += c.credit
	} else {
		used := min(cost, c.credit)
		c.credit -= used
		cost -= used
	}
	if !c.share.Take(cost) {
		c.admitter.config.OnShortage(c.RemoteAddr().String())
		if !first || !c.await(cost) {
			return false
		}
		if c.closed {
			c.share.Return(cost)
			return false
		}
	}
	c.charged += cost
	return true
}

// await waits for memory without holding the lock.
func (c *conn) await(cost int64) bool {
	c.mu.Unlock()
	defer c.mu.Lock()
	return c.share.Await(c.stop, nil, waitTimeout, cost)
}

// maxExpectedPart bounds what a header is expected to cost to a part of all memory.
const maxExpectedPart = 8

var (
	http2Preface = []byte("PRI * HTTP/2.0")
	headEnd      = []byte("\r\n\r\n")
)

// beginRequest ends the charge for a header, which the handler replaces, and reports whether
// the connection is open.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.requests++
	c.body = true
	c.share.Return(c.charged)
	c.charged, c.credit = 0, 0
	return true
}

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests--
	c.idleSince = time.Now()
}

// setIdle notes that the next bytes are a header.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = false
	c.idleSince = time.Now()
}

// idle returns since when no request has been handled, unless one is, or since when a closed
// connection lingers.
func (c *conn) idle() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingers {
		return c.lingeringSince, true
	}
	return c.idleSince, !c.busyLocked() && !c.closed
}

// busyLocked reports whether a request is being handled, or its response written.
func (c *conn) busyLocked() bool { return c.requests > 0 || c.body }

// closeUnlessBusy closes the connection unless a request is being handled. One that is being
// read is not handled. The connection doesn't linger, or not any more: others wait for its place.
func (c *conn) closeUnlessBusy() bool {
	c.mu.Lock()
	lingered := c.lingers
	busy := c.busyLocked() || c.closed
	c.closed, c.lingers = c.closed || !busy, false
	c.mu.Unlock()
	if busy && !lingered {
		return false
	}
	_ = c.Close()
	if lingerer, ok := c.Conn.(closer.Lingerer); ok {
		lingerer.Abort()
	}
	return true
}

// halt wakes what waits for memory, and returns that of a header that is not complete.
func (c *conn) halt() {
	c.stopped.Do(func() {
		close(c.stop)
		c.mu.Lock()
		c.closed = true
		charged := c.charged
		c.charged = 0
		c.mu.Unlock()
		c.share.Return(charged)
	})
}

// end returns the memory of the connection.
func (c *conn) end() {
	c.halt()
	c.ended.Do(func() {
		c.share.Return(connectionMemory)
		c.share.Close()
		c.admitter.mu.Lock()
		delete(c.admitter.conns, c)
		c.admitter.mu.Unlock()
	})
}
