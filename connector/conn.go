package connector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/tracker"
)

// serverConn is a connection to a server. It remembers whether a refusal without a request
// ID arrived over it: a late copy of that would pass for the response to a later request.
type serverConn struct {
	*tracker.Conn
	// requests counts the requests that used the connection.
	requests atomic.Int64
	refused  atomic.Bool
	// current is the last use.
	current atomic.Pointer[use]
}

// Read implements net.Conn. It charges the headers of responses before they are parsed.
func (c *serverConn) Read(p []byte) (int, error) {
	if u := c.current.Load(); u != nil && u.denied.Load() {
		return 0, ErrNoMemory
	}
	n, err := c.Conn.Read(p)
	if u := c.current.Load(); n > 0 && u != nil && !u.head.charge(p[:n]) {
		u.denied.Store(true)
		// The transport sends some requests again if it gets an error instead of the first
		// byte of a response.
		return 1, nil
	}
	return n, err
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialServer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &serverConn{Conn: tracker.NewConn(conn)}, nil
	}
}

// use is the use of a connection by one request.
type use struct {
	conn   *serverConn
	number int64
	// head is used by the reader of the connection only.
	head head
	// denied is set once there was no memory for the header of the response.
	denied atomic.Bool
}

// newUse starts the use of a connection. The memory for the header of the response comes from a
// source; if that is nil, it is not charged.
func newUse(conn net.Conn, memory bounder.Source) *use {
	c, ok := conn.(*serverConn)
	if !ok {
		return nil
	}
	u := &use{conn: c, number: c.requests.Add(1), head: head{memory: bounder.NewHead(memory)}}
	c.current.Store(u)
	return u
}

func (u *use) noMemory() bool { return u != nil && u.denied.Load() }

// classify joins ErrConnectionLost to err if the server has closed the connection, and
// ErrMalformedResponse if the connection was still open. A deadline and a caller that has
// left are neither.
func (u *use) classify(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil || u == nil:
		return err
	case u.conn.Lost():
		return errors.Join(ErrConnectionLost, err)
	case u.conn.Stalled():
		return err
	}
	return errors.Join(ErrMalformedResponse, err)
}

// responseBody classifies the errors of a response body.
type responseBody struct {
	io.ReadCloser
	ctx      context.Context
	response *http.Response
	use      *use
	// remaining is the number of bytes that may still be read.
	remaining int64
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	switch {
	case b.remaining < 0:
		err = errors.Join(ErrMalformedResponse, bounder.ErrExceeded)
	case err == nil:
	case !errors.Is(err, io.EOF):
		err = b.use.classify(b.ctx, err)
	default:
		if invalid := verbenastand.CheckFields(b.response.Trailer); invalid != nil {
			b.use.closeConn()
			err = errors.Join(ErrMalformedResponse, invalid)
		}
	}
	return n, err
}

// sourceBody is the body of a request. It remembers whether it could not be read, which is
// no failure of the server that it is sent to.
type sourceBody struct {
	io.ReadCloser
	err atomic.Bool
}

// Read implements io.Reader.
func (b *sourceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err.Store(true)
	}
	return n, err
}

func (b *sourceBody) failed() bool { return b != nil && b.err.Load() }

// acceptRefusal ends the connection after a refusal without a request ID, and reports
// whether that can only be the response to this request. A connection that carries the next
// request already stays open, and accepts no further such refusal.
func (u *use) acceptRefusal(response *http.Response) bool {
	if u == nil {
		return true
	}
	first := !u.conn.refused.Swap(true)
	u.end(response)
	return first
}

// end ends the connection after a response, unless it carries the next request already.
func (u *use) end(response *http.Response) {
	_ = response.Body.Close()
	response.Body = http.NoBody
	u.closeConn()
}

// closeConn closes the connection, unless it carries the next request already.
func (u *use) closeConn() {
	if u != nil && u.conn.requests.Load() == u.number {
		_ = u.conn.Close()
	}
}

// check returns an error and ends the connection if a response is invalid, although the transport accepts it. A connection that the server closes after it is not lost.
func (u *use) check(response *http.Response) error {
	err := verbenastand.CheckResponse(response)
	if err == nil && u != nil && u.head.lines.Malformed() {
		err = verbenastand.ErrInvalidField
	}
	if err == nil {
		return nil
	}
	u.end(response)
	return errors.Join(ErrMalformedResponse, err)
}

// anonymousRefusal reports whether a response states that the server did not run its
// request, but not which one that was.
func anonymousRefusal(response *http.Response) bool {
	return response.Header.Get(verbenastand.HeaderRequest) == "" &&
		response.Header.Get(verbenastand.HeaderVerdict) == verbenastand.NotRun.String()
}
