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
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// addressedConn is a connection from a network address.
type addressedConn struct {
	net.Conn
	address string
}

func (c addressedConn) RemoteAddr() net.Addr { return address(c.address) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// connectFrom opens a connection from a network address.
func connectFrom(a *Acceptor, from string) net.Conn {
	near, far := net.Pipe()
	a.start(addressedConn{far, from + ":1"})
	return near
}

// memoryLimits returns the limits of the deployments for headers.
func memoryLimits() verbenastand.CallerLimits {
	limits := testLimits
	limits.HeaderBytes = 16 << 10
	return limits
}

func manyLines(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "a%x:\n", i)
	}
	return b.String()
}

// Guards against callers that take all memory, refusals that aren't true, connections that end
// without being counted, and memory that is not returned.
func TestACallerWithoutMemoryIsRefused(t *testing.T) {
	const size = 4 << 20
	send := func(conn net.Conn) {
		go func() {
			_, _ = io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: a.example\r\n"+manyLines(1500)+"\r\n")
		}()
	}
	cases := []struct {
		name        string
		connections int
		// connect opens the connections of one network address and sends a request on each.
		connect func(a *Acceptor, connections int) []net.Conn
		// closed reports whether connections are closed for others of the same address.
		closed bool
	}{
		{"requests on open connections", 20, func(a *Acceptor, connections int) (conns []net.Conn) {
			for range connections {
				conns = append(conns, connectFrom(a, "10.0.0.1"))
			}
			synctest.Wait()
			for _, conn := range conns {
				send(conn)
			}
			return conns
		}, false},
		{"connections that follow requests", 100, func(a *Acceptor, connections int) (conns []net.Conn) {
			for range connections {
				conn := connectFrom(a, "10.0.0.1")
				send(conn)
				synctest.Wait()
				conns = append(conns, conn)
			}
			return conns
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := bounder.NewShares(size)
				var shortages, served atomic.Int64
				release := make(chan struct{})
				a := NewAcceptor(Config{
					Memory: memory, Limits: memoryLimits,
					OnShortage: func(Shortage) { shortages.Add(1) },
					Handler: HandlerFunc(func(_ context.Context, w *Response, r *Request) {
						served.Add(1)
						if r.URL.Path == "/held" {
							<-release
						}
						_ = w.Write(http.StatusOK, http.Header{}, nil)
					}),
				})
				conns := tc.connect(a, tc.connections)
				synctest.Wait()
				held := served.Load()
				require.Positive(t, held)
				require.Less(t, held, int64(tc.connections))
				require.Positive(t, shortages.Load())
				require.GreaterOrEqual(t, memory.Left(), int64(size/3))

				ordinary := connectFrom(a, "10.0.0.2")
				_, _ = io.WriteString(ordinary, get("/a"))
				response, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)

				// Those that wait are refused once their headers would have to be complete.
				refused := 0
				for _, conn := range conns {
					_ = conn.SetReadDeadline(time.Now().Add(testLimits.HeaderTimeout + time.Second))
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						continue
					}
					refused++
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					require.Equal(t, "1", response.Header.Get("Retry-After"))
					require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
					require.True(t, response.Close)
				}
				require.Equal(t, tc.closed, a.Closed() > 0)
				require.EqualValues(t, tc.connections, int64(refused)+held+a.Closed())
				require.Equal(t, held+1, served.Load())
				close(release)
				for _, conn := range append(conns, ordinary) {
					_ = conn.Close()
				}
				a.Close()
				require.EqualValues(t, size, memory.Left())
				require.EqualValues(t, unlimited, a.requests.Left())
			})
		})
	}
}

// Guards against an upload that ends without a response because its network address opens more
// connections than its memory allows.
func TestAnUploadIsNotClosedForOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := bounder.NewShares(4 * (requestMemory + connectionMemory))
		a := NewAcceptor(Config{Memory: memory, Limits: memoryLimits, Handler: HandlerFunc(echoPath)})
		upload := connectFrom(a, "10.0.0.1")
		_, _ = io.WriteString(upload, "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nab")
		synctest.Wait()
		var others []net.Conn
		for range 20 {
			others = append(others, connectFrom(a, "10.0.0.1"))
			synctest.Wait()
		}
		require.Positive(t, a.Closed())
		_, err := io.WriteString(upload, "cd")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(upload), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		for _, conn := range append(others, upload) {
			_ = conn.Close()
		}
		a.Close()
	})
}

// Guards against memory that is not returned after messages that are no requests, or that are
// given up.
func TestMemoryIsReturned(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"requests", get("/1") + get("/2") + post("/3", "body")},
		{"many lines", "GET /1 HTTP/1.1\r\nHost: a.example\r\n" + manyLines(1500) + "\r\n" + get("/2")},
		{"malformed", "GET\r\n\r\n"},
		{"malformed behind a request", get("/1") + "GET\r\n\r\n" + get("/3")},
		{"incomplete header", "GET /1 HTTP/1.1\r\nHost: a.example\r\n"},
		{"too large", "GET /1 HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("a: b\r\n", 20_000)},
		{"no host", "GET /1 HTTP/1.1\r\n\r\n"},
		{"incomplete body", "POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\nabc"},
		{"malformed chunk", "POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n"},
		{"trailers", "POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nb: c\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := bounder.NewShares(16 << 20)
				a := NewAcceptor(Config{
					Memory: memory, MaxRequests: 100, Handler: HandlerFunc(echoPath), Limits: memoryLimits,
				})
				conn := connectFrom(a, "10.0.0.1")
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				go func() { _, _ = io.WriteString(conn, tc.sent) }()
				time.Sleep(time.Minute)
				_ = conn.Close()
				a.Close()
				require.EqualValues(t, 16<<20, memory.Left())
				require.EqualValues(t, 100, a.requests.Left())
				require.Zero(t, a.Connections())
			})
		})
	}
}

// Guards against one network address whose requests take all places of a host.
func TestRequestsOfACallerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var handled atomic.Int64
		release := make(chan struct{})
		a := NewAcceptor(Config{
			MaxRequests: 12, Limits: memoryLimits,
			Handler: HandlerFunc(func(_ context.Context, w *Response, _ *Request) {
				handled.Add(1)
				<-release
				_ = w.Write(http.StatusOK, http.Header{}, nil)
			}),
		})
		conn := connectFrom(a, "10.0.0.1")
		go func() { _, _ = io.WriteString(conn, strings.Repeat(get("/a"), 30)) }()
		// Pending requests of the same connection keep it waiting, not refused.
		time.Sleep(testLimits.HeaderTimeout * 3)
		require.EqualValues(t, 6, handled.Load())
		other := connectFrom(a, "10.0.0.2")
		go func() { _, _ = io.WriteString(other, strings.Repeat(get("/a"), 30)) }()
		synctest.Wait()
		require.EqualValues(t, 9, handled.Load())
		go func() { _, _ = io.Copy(io.Discard, other) }()
		close(release)
		reader := bufio.NewReader(conn)
		for range 30 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
		_, _ = conn.Close(), other.Close()
		a.Close()
	})
}

// Guards against more connections than the host has descriptors for.
func TestTheLongestIdleConnectionIsClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		a := NewAcceptor(Config{
			MaxConnections: 4, Limits: memoryLimits,
			Handler: HandlerFunc(func(_ context.Context, w *Response, _ *Request) {
				<-release
				_ = w.Write(http.StatusOK, http.Header{}, nil)
			}),
		})
		var conns []net.Conn
		for i := range 4 {
			conns = append(conns, connectFrom(a, fmt.Sprint("10.0.0.", i)))
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(conns[0], get("/a"))
		synctest.Wait()
		fifth := connectFrom(a, "10.0.0.9")
		synctest.Wait()
		require.Equal(t, 4, a.Connections())
		require.EqualValues(t, 1, a.Closed())
		_, err := conns[1].Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection that has been idle longest is open")
		close(release)
		response, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		for _, conn := range append(conns, fifth) {
			_ = conn.Close()
		}
		a.Close()
	})
}

// Guards against closing a connection over which another host is about to delegate a request: it
// would have to take that for a request that may have run.
func TestDelegatedConnectionsAreNotClosedForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAcceptor(Config{MaxConnections: 1, Handler: HandlerFunc(echoPath), Limits: memoryLimits})
		near, far := net.Pipe()
		a.ServeDelegated(far, verbenastand.Origin{Host: "other", Caller: "10.0.0.1:1"})
		rejected := connectFrom(a, "10.0.0.2")
		_, err := rejected.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.EqualValues(t, 1, a.Closed())
		second, far := net.Pipe()
		a.ServeDelegated(far, verbenastand.Origin{Host: "other", Caller: "10.0.0.1:1"})
		for _, conn := range []net.Conn{near, second} {
			_, _ = io.WriteString(conn, get("/a"))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			_ = conn.Close()
		}
		a.Close()
	})
}
