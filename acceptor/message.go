package acceptor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Request is one request of a caller.
type Request struct {
	*http.Request
	arrived time.Time
	remote  string
	// buffer holds the body, or its beginning if it is streamed.
	buffer bounder.Buffer
	stream *bodyStream
	turn   <-chan struct{}
	// ahead is the previous request of the connection, and own this one, as far as they
	// concern the requests behind them.
	ahead, own *precedence
	// origin is set if another host has delegated the request.
	origin *verbenastand.Origin
	// account is the connection from whose shares charged and a place among the requests were
	// taken, until released is set; nil if nothing was.
	account  *connection
	charged  int64
	released bool
	// last is set if no further request of the connection is read.
	last bool
	// late is set if the acceptor stopped before it took the request.
	late bool
}

// Arrived returns when the header of the request was read.
func (r *Request) Arrived() time.Time { return r.arrived }

// Remote returns the address of the caller.
func (r *Request) Remote() string { return r.remote }

// Late reports whether the acceptor has taken no more requests since before this one was
// read. It must be refused; its body may be incomplete.
func (r *Request) Late() bool { return r.late }

// Origin returns where a request comes from that another host has delegated, nil for one
// that a caller sent to this host.
func (r *Request) Origin() *verbenastand.Origin { return r.origin }

// Buffered reports whether the complete body is in memory.
func (r *Request) Buffered() bool { return r.stream == nil }

// Bytes returns a buffered body, nil if it is streamed.
func (r *Request) Bytes() []byte {
	if !r.Buffered() {
		return nil
	}
	return r.buffer.Bytes()
}

// Stream returns a body that is not buffered. It can be read only once.
func (r *Request) Stream() io.Reader { return r.stream }

// AwaitTurn waits until all earlier requests of the connection have been responded
// to.
func (r *Request) AwaitTurn(ctx context.Context) error {
	select {
	case <-r.turn:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// precedence tells whether the requests behind one may be handled before its response is
// complete.
type precedence struct {
	once   sync.Once
	known  chan struct{}
	waited bool
}

func newPrecedence() *precedence { return &precedence{known: make(chan struct{})} }

func (p *precedence) set(waited bool) {
	p.once.Do(func() {
		p.waited = waited
		close(p.known)
	})
}

// AwaitAhead waits until the earlier requests of the connection that ask for it have been
// responded to. waited lets the next requests wait for this one: if its response may break
// off while it is delivered, the connection ends, and with it the requests behind. They also
// wait for this one if ctx ends, since theirs may end a moment later.
func (r *Request) AwaitAhead(ctx context.Context, waited bool) (err error) {
	defer func() { r.own.set(waited || err != nil) }()
	if r.ahead == nil {
		return nil
	}
	select {
	case <-r.ahead.known:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if !r.ahead.waited {
		return nil
	}
	return r.AwaitTurn(ctx)
}

// bodyStream is a body that the handler reads while the connection's reader waits.
type bodyStream struct {
	reader io.Reader
	// allow sets the read deadline of the connection for the next part.
	allow     func()
	remaining int64
	complete  atomic.Bool
	once      sync.Once
	done      chan struct{}

	mu sync.Mutex
	// closed is set once the request has been handled.
	closed bool
}

func newBodyStream(r io.Reader, limit int64, allow func()) *bodyStream {
	return &bodyStream{reader: r, remaining: limit, allow: allow, done: make(chan struct{})}
}

var (
	errBodyTooLarge = errors.New("acceptor: the body is too large")
	errBodyClosed   = errors.New("acceptor: the request has been handled")
)

// Read implements io.Reader. It fails once the request has been handled: the rest of the body
// is discarded, and a part of it may be already.
func (b *bodyStream) Read(p []byte) (int, error) {
	if !b.begin() {
		return 0, errBodyClosed
	}
	n, err := b.reader.Read(p)
	if b.isClosed() {
		return 0, errBodyClosed
	}
	b.remaining -= int64(n)
	if b.remaining < 0 {
		b.finish()
		return n, errBodyTooLarge
	}
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	if err != nil {
		b.finish()
	}
	return n, err
}

// begin sets the read deadline for the next part, unless the stream is closed.
func (b *bodyStream) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.allow()
	return true
}

func (b *bodyStream) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// close ends reading by attempts that outlast the request.
func (b *bodyStream) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.finish()
}

func (b *bodyStream) finish() { b.once.Do(func() { close(b.done) }) }

// Response writes the response to one request.
type Response struct {
	connection *connection
	request    *Request
	turn       <-chan struct{}
	next       chan struct{}
	written    bool
}

// Write sends a complete response when it is its turn. The header must not contain
// fields that concern the connection or the length of the body.
func (w *Response) Write(status int, header http.Header, body []byte) error {
	last, err := w.begin()
	if err != nil {
		return err
	}
	conn := w.connection.conn
	headOnly := w.request.Method == http.MethodHead
	if headOnly || len(body) <= copyBuffer {
		err = writeMessage(conn, status, header, body, last, headOnly)
	} else {
		err = w.writeParts(status, header, body, last)
	}
	if err != nil {
		w.fail(err)
	}
	return err
}

// fail ends the connection after a failed write: a part may have been sent, behind which the
// next response would follow.
func (w *Response) fail(err error) {
	w.connection.setWriting(false)
	w.connection.abort(cutReason(err), err)
}

// cutReason returns why a response could not be delivered.
func cutReason(err error) CutReason {
	switch {
	case errors.Is(err, errTruncated):
		return CutTruncated
	case errors.Is(err, os.ErrDeadlineExceeded):
		return CutCallerStalled
	}
	return CutCallerLeft
}

// errTruncated means that a response ended early.
var errTruncated = errors.New("acceptor: the response is truncated")

// writeParts sends a long body in parts, each of which may take the stall timeout.
func (w *Response) writeParts(status int, header http.Header, body []byte, last bool) error {
	conn := w.connection.conn
	if err := writeHead(conn, status, header, int64(len(body)), last); err != nil {
		return err
	}
	for part := range slices.Chunk(body, maxPart) {
		w.connection.allowWriting()
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// Copy streams a response from body when it is its turn. A negative length means
// that it is unknown. If body ends early or fails, the connection is closed so that
// the caller can't mistake the response for a complete one.
func (w *Response) Copy(status int, header http.Header, length int64, body io.Reader) error {
	last, err := w.begin()
	if err != nil {
		return err
	}
	conn := w.connection.conn
	err = writeHead(conn, status, header, length, last)
	if err == nil {
		err = w.copyBody(conn, length, body)
	}
	if err != nil {
		w.fail(err)
	}
	return err
}

const (
	// copyBuffer is the size of the buffer for copying a response body.
	copyBuffer = 32 << 10
	// maxPart bounds the part of a body that a caller has to accept within the stall
	// timeout.
	maxPart = 256 << 10
)

func (w *Response) copyBody(conn net.Conn, length int64, body io.Reader) error {
	buffer := make([]byte, copyBuffer)
	var total int64
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			total += int64(n)
			w.connection.allowWriting()
			if werr := writePart(conn, buffer[:n], length < 0); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errors.Join(errTruncated, err)
		}
	}
	if length < 0 {
		w.connection.allowWriting()
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	if total != length {
		return errors.Join(errTruncated, io.ErrUnexpectedEOF)
	}
	return nil
}

func writePart(conn net.Conn, part []byte, chunked bool) error {
	if !chunked {
		_, err := conn.Write(part)
		return err
	}
	buffers := net.Buffers{fmt.Appendf(nil, "%x\r\n", len(part)), part, []byte("\r\n")}
	_, err := buffers.WriteTo(conn)
	return err
}

// Written reports whether a method that responds was called and has reached its turn.
func (w *Response) Written() bool { return w.written }

// Abort closes the connection without a response.
func (w *Response) Abort() {
	w.written = true
	w.connection.abort(CutUnanswered, nil)
}

// begin waits for the turn of the response and reports whether it is the last one on
// its connection.
func (w *Response) begin() (last bool, err error) {
	select {
	case <-w.turn:
	case <-w.connection.ctx.Done():
		w.written = true
		return false, errCallerDisconnected
	}
	w.written = true
	c := w.connection
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	onlyPending := c.pending == 1
	// What is left of a body must not be taken for the next request.
	bodyUnread := w.request.stream != nil && !w.request.stream.complete.Load()
	last = w.request.last || bodyUnread || (onlyPending && (c.closing || c.acceptor.draining.Load()))
	if last || c.acceptor.draining.Load() {
		c.closeLocked()
	}
	c.allowWriting()
	return last, nil
}

func writeHead(conn io.Writer, status int, header http.Header, length int64, last bool) error {
	var head bytes.Buffer
	appendHead(&head, status, header, length, last)
	_, err := conn.Write(head.Bytes())
	return err
}

// writeMessage sends the header and a small body in a single write.
func writeMessage(conn io.Writer, status int, header http.Header, body []byte, last, headOnly bool) error {
	var message bytes.Buffer
	appendHead(&message, status, header, int64(len(body)), last)
	if !headOnly {
		message.Write(body)
	}
	_, err := conn.Write(message.Bytes())
	return err
}

func appendHead(b *bytes.Buffer, status int, header http.Header, length int64, last bool) {
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = header.Write(b)
	switch {
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}
