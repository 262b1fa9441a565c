package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/scanner"
	"github.com/verbenastand/verbenastand/internal/tracker"
)

// Exchange sends a request and returns the status and header of the response. The
// body is read from the connection, so ctx must not end before that. The verdict of
// an error indicates whether the request may have run.
func (c *Connection) Exchange(ctx context.Context, r *Request) (*Response, error) {
	release := c.bindContext(ctx)
	c.reusable = false
	if err := c.write(r); err != nil {
		release()
		return nil, mayHaveRun(verbenastand.ReasonServerFailed, classifyError(ctx, err, err))
	}
	r.head = responseHead{memory: bounder.NewHead(r.Memory)}
	response, err := c.readResponse(ctx, r)
	if err != nil {
		r.head.memory.Release()
		release()
		return nil, err
	}
	names := c.sender.names
	header := response.Header
	return &Response{
		Status: response.StatusCode, Header: header, Length: response.ContentLength, head: &r.head,
		Body:   &responseBody{connection: c, response: response, release: release, ctx: ctx},
		NotRun: c.sender.refused(response),
		Signed: header.Get(names.Signature) != "",
	}, nil
}

func (c *Connection) write(r *Request) error {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head)
	switch {
	case r.Stream == nil && (len(r.Body) > 0 || bodyExpected(r.Method)):
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	case r.Stream != nil && r.Length >= 0:
		head.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case r.Stream != nil:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	}
	head.WriteString("\r\n")
	c.bodyWritten = nil
	if r.Stream == nil && len(r.Body) <= asyncBodySize {
		head.Write(r.Body)
		_, err := c.conn.Write(head.Bytes())
		return err
	}
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return err
	}
	c.bodyWritten = make(chan error, 1)
	go func() { c.bodyWritten <- c.writeBody(r) }()
	return nil
}

// bodyExpected reports whether requests with the method usually have a body, so that
// Content-Length is sent even for an empty one (RFC 9110, 8.6).
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (c *Connection) writeBody(r *Request) error {
	if r.Stream == nil {
		_, err := c.conn.Write(r.Body)
		return err
	}
	source := &sourceReader{reader: r.Stream}
	err := c.writeStream(source, r.Length)
	if source.err != nil {
		// The body will never be complete, so the server must not wait for it.
		c.bodyBroken.Store(true)
		_ = c.conn.Close()
	}
	return err
}

func (c *Connection) writeStream(body io.Reader, length int64) error {
	if length >= 0 {
		_, err := io.CopyN(c.conn, body, length)
		return err
	}
	chunks := newChunkWriter(c.conn)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	return chunks.close()
}

// sourceReader keeps the error with which a body ended early, as distinct from an
// error of the connection that it is written to.
type sourceReader struct {
	reader io.Reader
	err    error
}

// Read implements io.Reader.
func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
	}
	return n, err
}

// bodySent reports whether the complete request body has been sent.
func (c *Connection) bodySent() bool {
	if c.bodyWritten == nil {
		return true
	}
	select {
	case err := <-c.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// readResponse skips late responses to other requests until it finds the one to this
// request.
func (c *Connection) readResponse(ctx context.Context, r *Request) (*http.Response, error) {
	skipped, interim := 0, 0
	skippable := int64(maxSkippedBytes)
	for {
		response, err := c.readHead(ctx, r.Method, &r.head)
		if err != nil {
			reason := verbenastand.ReasonServerFailed
			if errors.Is(err, verbenastand.ErrInvalidResponse) {
				reason = verbenastand.ReasonInvalidResponse
			}
			return nil, mayHaveRun(reason, err)
		}
		c.limit.Allow(bounder.Unlimited)
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			interim++
			if interim > maxInterim {
				return nil, mayHaveRun(verbenastand.ReasonInvalidResponse, ErrUnexpectedResponse)
			}
			continue
		}
		if c.matches(response, r) {
			if skipped > 0 {
				response.Close = true
			}
			if response.ContentLength < 0 {
				c.limit.Allow(c.sender.config.MaxUnframedBody)
			}
			return response, nil
		}
		skipped++
		c.limit.Allow(skippable)
		_, err = io.Copy(io.Discard, response.Body)
		skippable = c.limit.Remaining()
		if skipped > maxSkipped || err != nil || response.Close {
			return nil, mayHaveRun(verbenastand.ReasonInvalidResponse, ErrUnexpectedResponse)
		}
		if err := c.expectNext(&r.head); err != nil {
			return nil, mayHaveRun(verbenastand.ReasonServerFailed, err)
		}
	}
}

// readHead reads the header of a response, or of an interim response.
func (c *Connection) readHead(ctx context.Context, method string, h *responseHead) (*http.Response, error) {
	c.limit.Allow(maxHeaderBytes)
	c.limit.Charge(h.charge)
	defer c.limit.Charge(nil)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, c.readError(ctx, err)
	}
	return response, h.check(response)
}

// expectNext makes h that of the next response, whose beginning may be in the buffer.
func (c *Connection) expectNext(h *responseHead) error {
	h.lines = scanner.Header{}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return h.charge(buffered)
}

// matches reports whether a response belongs to the request. A refusal may lack the
// request ID.
func (c *Connection) matches(response *http.Response, r *Request) bool {
	id := response.Header.Get(c.sender.names.RequestID)
	if id == "" {
		return c.sender.refused(response) || r.ID == ""
	}
	return id == r.ID
}

// refused reports whether a response states that the server did not run its request.
func (s *Sender) refused(response *http.Response) bool {
	return response.Header.Get(s.names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

func mayHaveRun(reason verbenastand.RefusalReason, cause error) error {
	return verbenastand.NewRequestError(verbenastand.MayHaveRun, reason, cause)
}

// readError describes an error that ends the reading of a response. Only the connection
// tells whether it is lost: servers choose the bytes that errors of the parsers depend on.
func (c *Connection) readError(ctx context.Context, err error) error {
	if c.bodyBroken.Load() && ctx.Err() == nil {
		return errors.Join(ErrIncompleteRequest, err)
	}
	return classifyError(ctx, err, c.limit.Err())
}

// classifyError joins the meaning of an error to it, given the error of the connection, nil
// if that has none.
func classifyError(ctx context.Context, err, connection error) error {
	switch {
	case ctx.Err() != nil:
		return errors.Join(context.Cause(ctx), err)
	case connection == nil:
		return errors.Join(ErrUnexpectedResponse, err)
	case errors.Is(connection, ErrNoMemory):
		// The server has responded.
		return err
	case errors.Is(connection, os.ErrDeadlineExceeded):
		return errors.Join(context.DeadlineExceeded, err)
	}
	return errors.Join(ErrConnectionLost, err)
}

// responseBody is the body of a response. At its end it decides whether the
// connection is reusable.
type responseBody struct {
	connection *Connection
	response   *http.Response
	release    func() bool
	ctx        context.Context
	ended      bool
}

// Read implements io.Reader. An error other than io.EOF means that the body is
// incomplete.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.response.Body.Read(p)
	if err == nil {
		return n, nil
	}
	b.ended = true
	ctxActive := b.release()
	if !errors.Is(err, io.EOF) {
		return n, mayHaveRun(verbenastand.ReasonInvalidResponse, b.connection.readError(b.ctx, err))
	}
	if err := verbenastand.CheckFields(b.response.Trailer); err != nil {
		return n, mayHaveRun(verbenastand.ReasonInvalidResponse, errors.Join(ErrUnexpectedResponse, err))
	}
	if ctxActive && b.connection.bodySent() {
		b.connection.updateReuse(b.response)
	}
	return n, io.EOF
}

// chunkWriter writes a body in chunked transfer encoding.
type chunkWriter struct{ conn *tracker.Conn }

func newChunkWriter(conn *tracker.Conn) *chunkWriter { return &chunkWriter{conn: conn} }

// Write implements io.Writer.
func (c *chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := c.conn.WriteBuffers(net.Buffers{fmt.Appendf(nil, "%x\r\n", len(p)), p, []byte("\r\n")}); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *chunkWriter) close() error {
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err
}
