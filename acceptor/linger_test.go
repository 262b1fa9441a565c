package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a host that resets a connection while its caller still reads the last
// response, because the caller sends another request behind it (issue 40, LOST).
func TestALateRequestDoesNotCutOffTheLastResponse(t *testing.T) {
	cases := []struct {
		name string
		size int
		// idle is set if the connection is idle when the host stops, else the response is
		// the last one because the host stops.
		idle bool
		// sendAfter is when the further request is sent, and readAfter when the caller
		// reads, both from the first request on.
		sendAfter, readAfter time.Duration
	}{
		{"short, sent after the close", 1 << 10, false, 700 * time.Millisecond, time.Second},
		{"long, sent before the close", 1 << 20, false, 200 * time.Millisecond, time.Second},
		{"long, sent after the close", 1 << 20, false, 700 * time.Millisecond, time.Second},
		{"longer, sent after the close", 1200 << 10, false, 700 * time.Millisecond, 3 * time.Second},
		{"long, on an idle connection", 1 << 20, true, 700 * time.Millisecond, time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			a := NewAcceptor(Config{Limits: func() verbenastand.CallerLimits { return testLimits }, Handler: HandlerFunc(func(_ context.Context, w *Response, _ *Request) {
				_ = w.Write(http.StatusOK, http.Header{}, make([]byte, tc.size))
			})})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = a.Serve(l) }()
			t.Cleanup(func() {
				_ = l.Close()
				a.Close()
			})
			if tc.idle {
				time.AfterFunc(600*time.Millisecond, a.StopReading)
			} else {
				a.Drain()
			}
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			started := time.Now()
			_, err = io.WriteString(conn, get("/first"))
			require.NoError(t, err)
			time.Sleep(time.Until(started.Add(tc.sendAfter)))
			_, err = io.WriteString(conn, get("/second"))
			require.NoError(t, err)
			time.Sleep(time.Until(started.Add(tc.readAfter)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			n, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err, fmt.Sprintf("after %d of %d bytes", n, tc.size))
		})
	}
}

// halfClosable is a connection whose write side can be closed.
type halfClosable struct{ addressedConn }

func (halfClosable) CloseWrite() error { return nil }

// Guards against connections that linger and can't be closed for others: callers that never read
// their last response would keep a host from accepting connections.
func TestTheLongestLingeringConnectionIsClosedFirst(t *testing.T) {
	const delay = 50 * time.Millisecond
	cases := []struct {
		name string
		// lingering is set for the connections that linger, in the order in which they begin
		// to; the others are idle from then on.
		lingering []bool
		closed    int
	}{
		{"all linger", []bool{true, true, true}, 0},
		{"the longest is idle", []bool{false, true, true}, 0},
		{"the longest lingers", []bool{true, false, false}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := NewAcceptor(Config{MaxConnections: len(tc.lingering), Handler: HandlerFunc(echoPath), Limits: memoryLimits})
				var conns []net.Conn
				for i, lingers := range tc.lingering {
					near, far := net.Pipe()
					a.start(halfClosable{addressedConn{far, fmt.Sprintf("10.0.0.%d:1", i)}})
					header := ""
					if lingers {
						header = "Connection: close\r\n"
					}
					_, err := io.WriteString(near, "GET /a HTTP/1.1\r\nHost: a\r\n"+header+"\r\n")
					require.NoError(t, err)
					response, err := http.ReadResponse(bufio.NewReader(near), nil)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, response.StatusCode)
					conns = append(conns, near)
					time.Sleep(delay)
				}
				require.Equal(t, len(tc.lingering), a.Connections(), "lingering connections count")
				another := connectFrom(a, "10.0.0.9")
				synctest.Wait()
				require.Equal(t, len(tc.lingering), a.Connections())
				require.EqualValues(t, 1, a.Closed())
				for i, conn := range conns {
					_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
					_, err := conn.Read(make([]byte, 1))
					if i == tc.closed {
						require.ErrorIs(t, err, io.EOF)
					} else {
						require.ErrorIs(t, err, os.ErrDeadlineExceeded)
					}
				}
				_, err := io.WriteString(another, get("/a"))
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(another), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				for _, conn := range append(conns, another) {
					_ = conn.Close()
				}
				a.Close()
			})
		})
	}
}
