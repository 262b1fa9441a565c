package sender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

const (
	readBuffer = 8 << 10
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
	// asideBody is the size from which a request body is written beside the
	// reading of the response, for a server may answer before it has read it.
	asideBody = 8 << 10
	// maxForeign bounds the responses to other requests that are skipped.
	maxForeign = 3
	// maxForeignBytes bounds the body of a skipped response.
	maxForeignBytes = 4 << 20
	// lookBytes bounds the body of a response to a look.
	lookBytes = 64 << 10
)

// Errors of an exchange, as the cause of a RequestError.
var (
	// ErrLost means that the server closed or reset the connection.
	ErrLost = errors.New("sender: the server closed the connection")
	// ErrForeign means that the server's bytes are not the response to the request.
	ErrForeign = errors.New("sender: not the response to this request")
	// ErrOtherInstance means that another process responds at the address.
	ErrOtherInstance = errors.New("sender: another server process has the address")
)

// Request is what is sent to a server.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body if Stream is nil.
	Body []byte
	// Stream is a body that can be sent once; Length is its length, or below
	// zero if unknown.
	Stream io.Reader
	Length int64
	// ID identifies the request in the response.
	ID string
}

// Response is the answer of a server. Its body has to be read to the end or
// closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, below zero if unknown.
	Length int64
	Body   io.Reader
	// NotRun is set if the server says that it did not run the request.
	NotRun bool
	// Signed is set if the response bears a signature.
	Signed bool
}

// Connection is one connection to a server. It carries one exchange at a time.
type Connection struct {
	sender *Sender
	target Target
	conn   net.Conn
	limit  *bounder.Reader
	reader *bufio.Reader

	usableUntil time.Time
	keepFor     time.Duration
	reused      bool
	// sound is set while the connection stands between two whole messages.
	sound bool
	// written is closed once a body that is written aside has been sent.
	written chan error
}

func newConnection(s *Sender, t Target, conn net.Conn) *Connection {
	limit := bounder.NewReader(conn, maxHeaderBytes)
	return &Connection{
		sender: s, target: t, conn: conn, limit: limit, reader: bufio.NewReaderSize(limit, readBuffer),
		keepFor: s.config.IdleTimeout, sound: true,
	}
}

// Reused reports whether the connection carried an exchange before.
func (c *Connection) Reused() bool { return c.reused }

// Target returns the server process that the connection leads to.
func (c *Connection) Target() Target { return c.target }

// Close closes the connection. Most servers stop work on the request then.
func (c *Connection) Close() {
	c.sound = false
	_ = c.conn.Close()
}

// quiet reports whether nothing has arrived since the last exchange: neither the
// end of the connection nor bytes that belong to no request.
func (c *Connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, readErr := syscall.Read(int(fd), b[:])
		quiet = errors.Is(readErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// guard ends the connection's reads and writes when ctx ends.
// release reports whether ctx left the connection alone until then.
func (c *Connection) guard(ctx context.Context) (release func() bool) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.conn.SetDeadline(deadline)
	} else {
		_ = c.conn.SetDeadline(time.Time{})
	}
	return context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
}

// Look asks the server for its health and load. healthy is what the server says.
func (c *Connection) Look(ctx context.Context, path string) (report verbenastand.LoadReport, reported, healthy bool, err error) {
	release := c.guard(ctx)
	defer func() {
		if release() {
			return
		}
		// The end of ctx may set its deadline later, while a request is under way.
		c.sound = false
		if err == nil {
			err = lost(ctx, nil)
		}
	}()
	c.sound = false
	head := "GET " + path + " HTTP/1.1\r\nHost: " + c.target.Address + "\r\n\r\n"
	if _, err := io.WriteString(c.conn, head); err != nil {
		return report, false, false, lost(ctx, err)
	}
	c.limit.Allow(maxHeaderBytes)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return report, false, false, lost(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	c.limit.Allow(bounder.Unlimited)
	_, err = io.CopyN(io.Discard, response.Body, lookBytes)
	if !errors.Is(err, io.EOF) {
		return report, false, false, fmt.Errorf("%w: %w", ErrForeign, errors.Join(err))
	}
	if id := response.Header.Get(c.sender.names.Instance); id != "" && id != string(c.target.Server) {
		return report, false, false, ErrOtherInstance
	}
	report, reported = c.sender.config.Dialect.ParseLoad(response.Header.Get(c.sender.names.Load))
	c.settle(response)
	return report, reported, response.StatusCode == http.StatusOK, nil
}

// settle decides whether the connection may carry another exchange.
func (c *Connection) settle(response *http.Response) {
	c.sound = !response.Close && c.reader.Buffered() == 0
	if seconds, found := keepAliveTimeout(response.Header.Get("Keep-Alive")); found {
		c.keepFor = time.Duration(float64(seconds) * idleShare * float64(time.Second))
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
