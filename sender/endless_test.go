package sender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// maxEndlessBytes is what may be read of data that never becomes a response. It is a
// small part of the memory of a host, and a fraction of a second of its link.
const maxEndlessBytes = 8 << 20

// countingConn counts the bytes that were read, and whether the connection was
// closed.
type countingConn struct {
	net.Conn
	bytes  *atomic.Int64
	closed *atomic.Bool
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// endlessServer sends the prefix and then repeats the filler until the connection is
// closed.
type endlessServer struct {
	*scriptedServer
	sender *Sender
	bytes  atomic.Int64
	closed atomic.Bool
}

func newEndlessServer(t *testing.T, prefix, filler string) *endlessServer {
	e := &endlessServer{}
	part := bytes.Repeat([]byte(filler), 1+32<<10/len(filler))
	e.scriptedServer = newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(conn, prefix)
		for err == nil {
			_, err = conn.Write(part)
		}
		return false
	})
	e.sender = NewSender(Config{HeaderFormat: testHeaderFormat{}, MaxUnframedBody: 1 << 20, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return countingConn{Conn: conn, bytes: &e.bytes, closed: &e.closed}, err
	}})
	return e
}

const (
	okHead    = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Instance: s1\r\n"
	otherHead = "HTTP/1.1 200 OK\r\nX-Id: old\r\n"
)

// TestResponsesWithoutEnd: a server in trouble sends bytes without end, in each place
// where a response is read. The exchange must end with a bounded number of bytes read,
// however long its time limit is.
func TestResponsesWithoutEnd(t *testing.T) {
	cases := []struct{ name, prefix, filler string }{
		{"no HTTP", "", "\x00\xff\x17"},
		{"an empty line", "", "\r\n"},
		{"a status line", "HTTP/1.1 200 ", "OK"},
		{"a header", okHead, "X-Fill: x\r\n"},
		{"a header field", okHead + "X-Fill: ", "x"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"responses to another request", "", okResponse("old", "a body of some length")},
		{"large responses to another request", "", okResponse("old", string(make([]byte, 1<<20)))},
		{"the body of a response to another request", otherHead + "\r\n", "x"},
		{"a chunked body of a response to another request", otherHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"a body that ends with the connection", okHead + "\r\n", "x"},
		{"a chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"},
		{"a chunk size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"a chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
		{"chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + string(bytes.Repeat([]byte("x"), 2000)) + "\r\nx\r\n"},
		{"trailers", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: x\r\n"},
		{"a trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Fill: ", "x"},
		{"the body of a failure", "HTTP/1.1 500 X\r\nX-Id: r1\r\n\r\n", "x"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newEndlessServer(t, tc.prefix, tc.filler)
			_, err := exchange(e.sender, e.target, request("r1"))
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "only the time limit ended the exchange")
			require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
			require.LessOrEqual(t, e.bytes.Load(), int64(maxEndlessBytes))
			require.True(t, e.closed.Load())
			require.Zero(t, e.sender.Idle())
		})
	}
}

// TestHealthChecksWithoutEnd is TestResponsesWithoutEnd for health checks.
func TestHealthChecksWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Instance: s1\r\nX-Load: 1\r\n"
	cases := []struct{ name, prefix, filler string }{
		{"no HTTP", "", "\x00\xff\x17"},
		{"a header", head, "X-Fill: x\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a body that ends with the connection", head + "\r\n", "x"},
		{"a chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: x\r\n"},
		{"an announced body", head + "Content-Length: 1000000000\r\n\r\n", "x"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e := newEndlessServer(t, tc.prefix, tc.filler)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c, err := e.sender.Connect(ctx, e.target)
			require.NoError(t, err)
			_, err = c.Check(ctx, "/health")
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded, "only the time limit ended the check")
			require.LessOrEqual(t, e.bytes.Load(), int64(1<<20))
			e.sender.PutIdle(c)
			require.True(t, e.closed.Load())
		})
	}
}

// TestIdleConnectionsWithoutEnd: the bytes that a server sends after a response pile
// up in the receive buffers of idle connections until these are closed.
func TestIdleConnectionsWithoutEnd(t *testing.T) {
	sent := make(chan struct{})
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, okResponse("r1", "body"))
		<-sent
		for {
			if _, err := io.WriteString(conn, "garbage"); err != nil {
				return false
			}
		}
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}, IdleTimeout: time.Hour})
	_, err := exchange(s, server.target, request("r1"))
	require.NoError(t, err)
	require.Equal(t, 1, s.Idle())
	s.Sweep(func(Target) bool { return true })
	require.Equal(t, 1, s.Idle(), "a connection without data is kept")
	close(sent)
	require.Eventually(t, func() bool {
		s.Sweep(func(Target) bool { return true })
		return s.Idle() == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// TestALateResponseIsNoHealthCheck: a second copy of a response arrives on an idle
// connection after it was taken out of the pool, in place of the response to a health
// check.
func TestALateResponseIsNoHealthCheck(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(conn, okResponse("r1", "body")+"HTTP/1.1 200 OK\r\nX-Instance: s1\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, _ = io.WriteString(conn, okResponse(r.Header.Get("X-Id"), "body"))
		return true
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	_, err := exchange(s, server.target, request("r1"))
	require.NoError(t, err)
	c, err := s.Connect(t.Context(), server.target)
	require.NoError(t, err)
	_, err = c.Check(t.Context(), "/health")
	require.ErrorIs(t, err, ErrUnexpectedResponse)
	s.PutIdle(c)
	require.Zero(t, s.Idle())
}

// TestAnInterruptedUploadEndsTheConnection: a caller disconnects in the middle of a
// body. The server must not wait for the rest of it until the deadline.
func TestAnInterruptedUploadEndsTheConnection(t *testing.T) {
	ended := make(chan struct{})
	server := newScriptedServer(t, func(_ net.Conn, r *http.Request, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		close(ended)
		return false
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	r := request("r1")
	r.Method, r.Length = http.MethodPost, 1<<20
	errDisconnected := errors.New("the caller disconnected")
	reader, writer := io.Pipe()
	r.Stream = reader
	go func() {
		_, _ = writer.Write(make([]byte, 100<<10))
		_ = writer.CloseWithError(errDisconnected)
	}()
	c, err := s.Connect(t.Context(), server.target)
	require.NoError(t, err)
	_, err = c.Exchange(t.Context(), r)
	require.Error(t, err)
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	<-ended
}

// scriptedConn is a connection on which a fixed stream of bytes arrives.
type scriptedConn struct {
	net.Conn
	stream *bytes.Reader
}

func (c scriptedConn) Read(p []byte) (int, error)  { return c.stream.Read(p) }
func (c scriptedConn) Write(p []byte) (int, error) { return len(p), nil }
func (c scriptedConn) Close() error                { return nil }
func (c scriptedConn) SetDeadline(time.Time) error { return nil }

// FuzzExchange reads an arbitrary stream as the response to a request. What it returns
// as a response must carry the ID of the request or be a refusal, with a valid status and valid names, and a
// connection on which anything is left must not be reused.
func FuzzExchange(f *testing.F) {
	f.Add([]byte(okResponse("r1", "body")))
	f.Add([]byte(okResponse("old", "late") + okResponse("r1", "body") + "rest"))
	f.Add([]byte(okHead + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r1\r\nOdd Name: x\r\nContent-Length : 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 000 OK\r\nX-Id: r1\r\nA: b\r\n c: d\r\n\r\n"))
	f.Add([]byte(okHead + "Transfer-Encoding: chunked\r\nTrailer: Odd Name\r\n\r\n0\r\nOdd Name: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		s := NewSender(Config{HeaderFormat: testHeaderFormat{}, MaxUnframedBody: 1 << 20, Dial: func(context.Context, string) (net.Conn, error) {
			return scriptedConn{stream: bytes.NewReader(stream)}, nil
		}})
		c, err := s.Connect(t.Context(), Target{Server: "s1"})
		require.NoError(t, err)
		response, err := c.Exchange(t.Context(), request("r1"))
		if err != nil {
			require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
			s.PutIdle(c)
			require.Zero(t, s.Idle())
			return
		}
		require.True(t, response.NotRun || response.Header.Get("X-Id") == "r1")
		require.NoError(t, verbenastand.CheckStatus(response.Status))
		require.NoError(t, verbenastand.CheckFields(response.Header))
		body, err := io.ReadAll(response.Body)
		s.PutIdle(c)
		if err != nil || c.reader.Buffered() > 0 {
			require.Zero(t, s.Idle())
		}
		if err == nil && response.Length >= 0 {
			require.Len(t, body, int(response.Length))
		}
	})
}
