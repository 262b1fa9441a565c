package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

const chunked = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

// malformedMessages are messages that are no valid requests, by the errors of the parsers of
// request lines, targets, header fields, bodies, chunks and trailers, and of the limits.
var malformedMessages = []struct {
	name, sent string
	status     int
}{
	{"escape of the target", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"control character in the target", "GET /a\x01b HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"empty target", "GET  HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"relative target", "GET a/b HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"target without a scheme", "GET :x HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"port of the target", "GET http://a:b/ HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"address of the target", "GET http://[::1/ HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"host of the target", "GET http://a%zz/ HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"zone of the target", "GET http://[::1%25%zz]/ HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"space in the host of the target", "GET http://a%20b/ HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"CONNECT to a path", "CONNECT /a HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", http.StatusBadRequest},
	{"CONNECT to a malformed port", "CONNECT a:b HTTP/1.1\r\nHost: a:1\r\n\r\n", http.StatusBadRequest},
	{"request line", "nonsense\r\n\r\n", http.StatusBadRequest},
	{"empty line", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"binary", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", http.StatusBadRequest},
	{"method", "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"version without numbers", "GET / HTTP/x\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"version of another protocol", "GET / FTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"later version", "GET / HTTP/3.0\r\nHost: a\r\n\r\n", http.StatusHTTPVersionNotSupported},
	{"preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", http.StatusHTTPVersionNotSupported},
	{"no Host field", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
	{"two Host fields", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", http.StatusBadRequest},
	{"Host", "GET / HTTP/1.1\r\nHost: a\x00b\r\n\r\n", http.StatusBadRequest},
	{"header field without a colon", "GET / HTTP/1.1\r\nHost: a\r\nx\r\n\r\n", http.StatusBadRequest},
	{"space in a header name", "GET / HTTP/1.1\r\nHost: a\r\nx : y\r\n\r\n", http.StatusBadRequest},
	{"empty header name", "GET / HTTP/1.1\r\nHost: a\r\n: y\r\n\r\n", http.StatusBadRequest},
	{"control character in a header name", "GET / HTTP/1.1\r\nHost: a\r\nx\x01: y\r\n\r\n", http.StatusBadRequest},
	{"control character in a header value", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", http.StatusBadRequest},
	{"first field continues a line", "GET / HTTP/1.1\r\n x: y\r\nHost: a\r\n\r\n", http.StatusBadRequest},
	{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	{"target too long", "GET /" + strings.Repeat("y", 16<<10) + " HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	{"two Content-Length fields", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
	{"Content-Length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", http.StatusBadRequest},
	{"negative Content-Length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", http.StatusBadRequest},
	{"Content-Length beyond all numbers", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", http.StatusBadRequest},
	{"Transfer-Encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
	{"two Transfer-Encoding fields", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusBadRequest},
	{"announced trailer", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n0\r\n\r\n", http.StatusBadRequest},
	{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
	{"length of a chunk", chunked + "x\r\na\r\n0\r\n\r\n", http.StatusBadRequest},
	{"empty length of a chunk", chunked + "\r\na\r\n0\r\n\r\n", http.StatusBadRequest},
	{"length of a chunk beyond all numbers", chunked + strings.Repeat("f", 17) + "\r\na\r\n", http.StatusBadRequest},
	{"chunk longer than its length", chunked + "1\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest},
	{"line of a chunk too long", chunked + "1;" + strings.Repeat("x", 16<<10) + "\r\na\r\n0\r\n\r\n", http.StatusBadRequest},
	{"extensions of chunks too long", chunked + strings.Repeat("1;"+strings.Repeat("x", 2<<10)+"\r\na\r\n", 20) + "0\r\n\r\n", http.StatusBadRequest},
	{"trailer", chunked + "1\r\na\r\n0\r\nx\r\n\r\n", http.StatusBadRequest},
	{"trailer too long", chunked + "1\r\na\r\n0\r\nx: " + strings.Repeat("y", 16<<10) + "\r\n\r\n", http.StatusBadRequest},
	{"half a header", "GET /a HTTP/1.1\r\nHost", http.StatusRequestTimeout},
	{"half a request line", "GE", http.StatusRequestTimeout},
	{"half a body", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\nabc", http.StatusRequestTimeout},
	{"half a chunk", chunked + "9\r\nabc", http.StatusRequestTimeout},
	{"no trailer", chunked + "1\r\na\r\n0\r\n", http.StatusRequestTimeout},
	{"half a trailer", chunked + "1\r\na\r\n0\r\nx: y", http.StatusRequestTimeout},
}

// pendingTimes are the working times of the requests before a malformed message.
var pendingTimes = []time.Duration{100 * time.Millisecond, 3 * time.Second, 100 * time.Millisecond}

// Guards against a malformed message that is taken for the caller's leaving, and costs the
// requests that are pending on its connection their responses (issue 41).
func TestAMalformedMessageCostsNoPendingRequest(t *testing.T) {
	cases := []struct {
		name string
		// pending is the number of requests before the malformed message.
		pending   int
		draining  bool
		delegated bool
	}{
		{"alone", 0, false, false},
		{"alone, draining", 0, true, false},
		{"behind three requests", len(pendingTimes), false, false},
		{"behind three requests, draining", len(pendingTimes), true, false},
		{"alone, from another host", 0, false, true},
		{"behind three requests, from another host", len(pendingTimes), false, true},
	}
	for _, tc := range cases {
		for _, m := range malformedMessages {
			t.Run(tc.name+"/"+m.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var cancelled atomic.Int32
					a, c := connect(t, workByPath(&cancelled))
					if tc.delegated {
						near, far := net.Pipe()
						defer func() { _ = near.Close() }()
						a.ServeDelegated(far, verbenastand.Origin{Caller: "10.0.0.1:1"})
						c = &caller{Conn: near, reader: bufio.NewReader(near)}
					}
					for i := range tc.pending {
						c.send(t, get(fmt.Sprint("/", i)))
					}
					time.Sleep(50 * time.Millisecond)
					if tc.draining {
						a.Drain()
					}
					go func() { _, _ = io.WriteString(c, m.sent) }()
					// The first response while draining ends the intake.
					unread := tc.draining && tc.pending > 0 && m.status == http.StatusRequestTimeout
					for i := range tc.pending {
						response, body := c.receive(t)
						require.Equal(t, http.StatusOK, response.StatusCode)
						require.Equal(t, fmt.Sprint("/", i), body)
						require.Equal(t, unread && i == tc.pending-1, response.Close)
					}
					if !unread {
						response, _ := c.receive(t)
						require.Equal(t, m.status, response.StatusCode)
						require.True(t, response.Close)
					}
					_, err := c.reader.ReadByte()
					require.ErrorIs(t, err, io.EOF)
					require.Zero(t, cancelled.Load())
				})
			})
		}
	}
}

// Guards against a request whose body stalls and whose caller hears nothing although its
// time limit has passed (issue 41).
func TestAStalledBodyIsRefusedAtTheTimeLimit(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		after   time.Duration
	}{
		{"none", 0, DefaultStallTimeout},
		{"shorter than the stall timeout", 2 * time.Second, 2 * time.Second},
		{"longer than the stall timeout", time.Minute, DefaultStallTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := connectTo(t, Config{Handler: HandlerFunc(echoPath), RequestTimeout: func(*http.Request) time.Duration { return tc.timeout }})
				started := time.Now()
				c.send(t, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\nabc")
				response, _ := c.receive(t)
				require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
				require.Equal(t, tc.after, time.Since(started))
			})
		})
	}
}

// workByPath works for the time of pendingTimes that the path names, and counts requests
// that are cancelled.
func workByPath(cancelled *atomic.Int32) HandlerFunc {
	return func(ctx context.Context, w *Response, r *Request) {
		var i int
		if _, err := fmt.Sscanf(r.URL.Path, "/%d", &i); err == nil && i < len(pendingTimes) {
			select {
			case <-time.After(pendingTimes[i]):
			case <-ctx.Done():
				cancelled.Add(1)
				w.Abort()
				return
			}
		}
		echoPath(ctx, w, r)
	}
}

// Checks that nothing that a caller sends behind a request passes for its leaving.
func FuzzBehindAPendingRequest(f *testing.F) {
	for _, m := range malformedMessages {
		f.Add([]byte(m.sent))
		f.Add([]byte(get("/next") + m.sent))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		synctest.Test(t, func(t *testing.T) {
			release := make(chan struct{})
			_, c := connect(t, func(ctx context.Context, w *Response, r *Request) {
				if r.URL.Path == "/pending" {
					select {
					case <-release:
					case <-ctx.Done():
						w.Abort()
						return
					}
				}
				echoPath(ctx, w, r)
			})
			c.send(t, get("/pending"))
			go func() { _, _ = c.Write(data) }()
			time.Sleep(2 * DefaultStallTimeout)
			close(release)
			response, body := c.receive(t)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "/pending", body)
			go func() { _, _ = io.Copy(io.Discard, c.reader) }()
			time.Sleep(2 * DefaultStallTimeout)
		})
	})
}

// Checks what docs/CALLERS.md says: a caller that closes only its sending side has left.
func TestAClosedSendingSideCountsAsLeaving(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"behind a request", get("/pending")},
		{"behind half of another one", get("/pending") + "GET /b HT"},
		{"behind the last one", "GET /pending HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var o observed
			cancelled := make(chan struct{})
			a := NewAcceptor(Config{
				Limits: func() verbenastand.CallerLimits { return testLimits }, Observer: &o,
				Handler: HandlerFunc(func(ctx context.Context, w *Response, _ *Request) {
					<-ctx.Done()
					close(cancelled)
					w.Abort()
				}),
			})
			go func() { _ = a.Serve(listener) }()
			defer a.Close()
			defer func() { _ = listener.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, tc.sent)
			require.NoError(t, err)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			<-cancelled
			_, err = conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
		})
	}
}
