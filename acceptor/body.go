package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

// bodyTimeout returns how long a caller may take to send a body that is buffered: a request
// that is complete only after its time limit can't be served.
func (c *connection) bodyTimeout(r *http.Request) time.Duration {
	stall := c.acceptor.config.StallTimeout
	if timeout := c.acceptor.config.RequestTimeout(r); timeout > 0 {
		return min(timeout, stall)
	}
	return stall
}

// readBody reads a body into memory, or leaves it to be streamed if it is large.
func (c *connection) readBody(r *Request, limit int64) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > limit {
		return &messageError{FaultBodyTooLarge, "the body is too large"}
	}
	if httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
		if err := c.writeContinue(); err != nil {
			return errors.Join(errCallerDisconnected, err)
		}
	}
	if r.ContentLength > c.acceptor.config.BufferedBody {
		r.stream = newBodyStream(r.Body, limit, c.allowPart)
		return nil
	}
	buffer, err := bounder.ReadBuffer(bounder.BufferConfig{
		Reader: r.Body, Length: r.ContentLength, Limit: c.acceptor.config.BufferedBody, Budget: c.bodyMemory,
	})
	if err != nil {
		return c.readError(err)
	}
	r.buffer = buffer
	if buffer.Complete() {
		// Trailers are not passed on.
		r.Trailer = nil
	} else {
		r.stream = newBodyStream(io.MultiReader(bytes.NewReader(buffer.Bytes()), r.Body), limit, c.allowPart)
	}
	return nil
}

// writeContinue instructs the caller to send the body, unless an earlier response is
// still pending.
func (c *connection) writeContinue() error {
	c.mu.Lock()
	idle := c.pending == 0
	c.mu.Unlock()
	if !idle {
		return nil
	}
	c.allowWriting()
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// allowPart sets the read deadline for the next part of a body that a handler reads, also on
// a connection that takes no further request.
func (c *connection) allowPart() {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.acceptor.config.StallTimeout))
}

// awaitBody waits until a streamed body has been read, and reports whether the next
// request can be read after it.
func (c *connection) awaitBody(r *Request) bool {
	if r.stream == nil {
		return true
	}
	select {
	case <-r.stream.done:
		c.mu.Lock()
		c.streaming = false
		c.mu.Unlock()
		return r.stream.complete.Load()
	case <-c.ctx.Done():
		return false
	}
}
