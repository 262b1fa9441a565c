package sender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
	"github.com/verbenastand/verbenastand/internal/tracker"
)

const (
	readBuffer = 8 << 10
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// asyncBodySize is the size above which a request body is written while the
	// response is read, since a server may respond before it has read the body.
	asyncBodySize = 8 << 10
	// maxSkipped bounds the responses to other requests that are skipped, and
	// maxSkippedBytes their bodies together.
	maxSkipped      = 3
	maxSkippedBytes = 4 << 20
	// maxInterim bounds the interim responses (status 1xx) before a response.
	maxInterim = 8
	// maxCheckBody bounds the body of a health check response.
	maxCheckBody = 64 << 10
)

// Errors of an exchange, used as the cause of a RequestError.
var (
	// ErrConnectionLost means that the server closed or reset the connection.
	ErrConnectionLost = errors.New("sender: the server closed the connection")
	// ErrUnexpectedResponse means that the data from the server is not the response
	// to the request.
	ErrUnexpectedResponse = errors.New("sender: data is not the response to this request")
	// ErrIncompleteRequest means that the body of the request ended early.
	ErrIncompleteRequest = errors.New("sender: the body of the request ended early")
	// ErrInstanceMismatch means that another process responded at the address.
	ErrInstanceMismatch = errors.New("sender: another process is listening at the address of the server")
)

// Request is a request to a server.
type Request struct {
	Method string
	// URI is the path and query as sent by the caller.
	URI    string
	Host   string
	Header http.Header
	// Body is the complete body if Stream is nil.
	Body []byte
	// Stream is a body that can be sent only once; Length is its length, negative if
	// unknown.
	Stream io.Reader
	Length int64
	// ID identifies the request in the response.
	ID string
	// Memory provides the memory for the header of the response; nil if it isn't bounded.
	Memory bounder.Source
	head   responseHead
}

// Response is the response of a server. Its body must be read to the end, or the
// connection closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, negative if unknown.
	Length int64
	Body   io.Reader
	// NotRun is set if the server reported that it did not run the request.
	NotRun bool
	// Signed is set if the response has a signature.
	Signed bool
	head   *responseHead
}

// Release returns the memory of the header. It may be called more than once.
func (r *Response) Release() {
	if r.head != nil {
		r.head.memory.Release()
	}
}

// Connection is one connection to a server. It carries one exchange at a time.
type Connection struct {
	sender *Sender
	target Target
	conn   *tracker.Conn
	limit  *bounder.Reader
	reader *bufio.Reader

	openedAt    time.Time
	idleUntil   time.Time
	idleTimeout time.Duration
	reused      bool
	// reusable is set while no exchange is under way and the last one was complete.
	reusable bool
	// bodyWritten receives the result of writing a body asynchronously.
	bodyWritten chan error
	// bodyBroken is set once the source of a body has failed.
	bodyBroken atomic.Bool
}

func newConnection(s *Sender, t Target, conn net.Conn) *Connection {
	tracked := tracker.NewConn(conn)
	limit := bounder.NewReader(tracked, maxHeaderBytes)
	return &Connection{
		sender: s, target: t, conn: tracked, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer),
		idleTimeout: s.config.IdleTimeout, reusable: true, openedAt: time.Now(),
	}
}

// Reused reports whether the connection carried an exchange before.
func (c *Connection) Reused() bool { return c.reused }

// OpenedAt returns when the connection was opened.
func (c *Connection) OpenedAt() time.Time { return c.openedAt }

// Target returns the server process to which the connection was opened.
func (c *Connection) Target() Target { return c.target }

// Close closes the connection. Most servers then stop working on the request.
func (c *Connection) Close() {
	c.reusable = false
	_ = c.conn.Close()
}

// Interrupt makes the reads and writes of an exchange fail. It may be called by another goroutine
// than the one that uses the connection, until the exchange has ended.
func (c *Connection) Interrupt() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }

// stillIdle reports whether nothing has arrived since the last exchange: neither
// EOF nor unexpected data.
func (c *Connection) stillIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.conn.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		idle = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// bindContext makes the connection's reads and writes fail when ctx ends. release
// undoes that and reports whether ctx was still active.
func (c *Connection) bindContext(ctx context.Context) (release func() bool) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(deadline)
	} else {
		_ = c.conn.SetDeadline(time.Time{})
	}
	return context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
}

// Health is the response to a health check.
type Health struct {
	// Report is valid if Reported is set.
	Report   verbenastand.LoadReport
	Reported bool
	// Healthy is the health status that the server reported.
	Healthy bool
	Status  int
	Header  http.Header
}

// Check asks the server for its health and load.
func (c *Connection) Check(ctx context.Context, path string) (health Health, err error) {
	release := c.bindContext(ctx)
	defer func() {
		if release() {
			return
		}
		// The function that runs when ctx ends may set its deadline only after the
		// next request has begun to use the connection.
		c.reusable = false
		if err == nil {
			err = context.Cause(ctx)
		}
	}()
	c.reusable = false
	head := "GET " + path + " HTTP/1.1\r\nHost: " + c.target.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.conn, head); err != nil {
		return Health{}, classifyError(ctx, err, err)
	}
	response, err := c.readHead(ctx, http.MethodGet, &responseHead{})
	if err != nil {
		return Health{}, err
	}
	if response.StatusCode < http.StatusOK || response.Header.Get(c.sender.names.RequestID) != "" {
		// A late response to an earlier request of the connection.
		return Health{}, ErrUnexpectedResponse
	}
	c.limit.Allow(maxCheckBody)
	// Closing the body would read all of it.
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return Health{}, c.readError(ctx, err)
	}
	if err = verbenastand.CheckFields(response.Trailer); err != nil {
		return Health{}, errors.Join(ErrUnexpectedResponse, err)
	}
	if id := response.Header.Get(c.sender.names.Instance); id != "" && id != string(c.target.Server) {
		return Health{}, ErrInstanceMismatch
	}
	health = Health{Healthy: response.StatusCode == http.StatusOK, Status: response.StatusCode, Header: response.Header}
	health.Report, health.Reported = c.sender.config.HeaderFormat.ParseLoad(response.Header.Get(c.sender.names.Load))
	c.updateReuse(response)
	return health, nil
}

// updateReuse decides whether the connection can carry another exchange. It can't after a
// refusal without a request ID, since a late copy of that would pass for the next response.
func (c *Connection) updateReuse(response *http.Response) {
	anonymousRefusal := c.sender.refused(response) && response.Header.Get(c.sender.names.RequestID) == ""
	c.reusable = !response.Close && c.reader.Buffered() == 0 && !anonymousRefusal
	if seconds, found := keepAliveTimeout(response.Header.Get("Keep-Alive")); found {
		c.idleTimeout = time.Duration(float64(seconds) * keepAliveShare * float64(time.Second))
	}
}

func keepAliveTimeout(field string) (seconds int, found bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		return n, err == nil && n >= 0
	}
	return 0, false
}
