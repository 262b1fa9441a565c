package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

var testLimits = verbenastand.CallerLimits{
	HeaderBytes: 2048, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second,
}

// caller is the client side of a connection to an acceptor under test.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

// connect returns an acceptor and an in-memory connection to it.
func connect(t *testing.T, h HandlerFunc) (*Acceptor, *caller) {
	return connectTo(t, Config{Handler: h})
}

func connectTo(t *testing.T, config Config) (*Acceptor, *caller) {
	config.Limits = func() verbenastand.CallerLimits { return testLimits }
	a := NewAcceptor(config)
	client, conn := net.Pipe()
	a.start(conn)
	t.Cleanup(func() {
		_ = client.Close()
		a.Close()
	})
	return a, &caller{Conn: client, reader: bufio.NewReader(client)}
}

func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func (c *caller) receive(t *testing.T) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

func echoPath(_ context.Context, w *Response, r *Request) {
	_ = w.Write(http.StatusOK, http.Header{}, []byte(r.URL.Path))
}

func TestPipelinedRequestsRunConcurrentlyAndGetResponsesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := connect(t, func(_ context.Context, w *Response, r *Request) {
			time.Sleep(time.Second)
			_ = w.Write(http.StatusOK, http.Header{}, []byte(r.URL.Path))
		})
		go c.send(t, get("/first")+get("/second"))
		started := time.Now()
		for _, want := range []string{"/first", "/second"} {
			_, body := c.receive(t)
			require.Equal(t, want, body)
		}
		require.Equal(t, time.Second, time.Since(started), "sequential handling would take two seconds")
	})
}

func TestADisconnectIsDetectedBehindPipelinedRequests(t *testing.T) {
	cases := []struct {
		name string
		sent string
	}{
		{"one request", get("/a")},
		{"a second request behind it", get("/a") + get("/b")},
		{"half of a second request behind it", get("/a") + "GET /b HT"},
		{"the last of the connection", "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cancelled atomic.Int32
				_, c := connect(t, func(ctx context.Context, w *Response, _ *Request) {
					<-ctx.Done()
					cancelled.Add(1)
					w.Abort()
				})
				c.send(t, tc.sent)
				time.Sleep(time.Minute)
				require.Zero(t, cancelled.Load())
				_ = c.Close()
				synctest.Wait()
				require.EqualValues(t, strings.Count(tc.sent, "\r\n\r\n"), cancelled.Load())
			})
		})
	}
}

func TestRefusedMessages(t *testing.T) {
	cases := []struct {
		name, sent string
		status     int
	}{
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"no Host field", "GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"not a request", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"two Content-Length fields", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest},
		{"header with a control character", "GET / HTTP/1.1\r\nHost: a\r\nX: a\x01b\r\n\r\n", http.StatusBadRequest},
		{"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", http.StatusBadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served := false
				_, c := connect(t, func(_ context.Context, w *Response, _ *Request) {
					served = true
					_ = w.Write(http.StatusOK, http.Header{}, nil)
				})
				go func() { _, _ = io.WriteString(c, tc.sent) }()
				response, _ := c.receive(t)
				require.Equal(t, tc.status, response.StatusCode)
				require.True(t, response.Close)
				require.False(t, served)
			})
		})
	}
}

func TestARefusalWaitsForEarlierResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := connect(t, func(_ context.Context, w *Response, r *Request) {
			time.Sleep(time.Second)
			echoPath(context.Background(), w, r)
		})
		go c.send(t, get("/a")+"nonsense\r\n\r\n")
		_, body := c.receive(t)
		require.Equal(t, "/a", body)
		response, _ := c.receive(t)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	})
}

func TestBodiesArriveComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	cases := []struct {
		name, sent, body string
		buffered         bool
	}{
		{"with a length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", "abc", true},
		{"chunked", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "abc", true},
		{"long", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 307200\r\n\r\n" + long, long, false},
		{"long and chunked", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4b000\r\n" + long + "\r\n0\r\n\r\n", long, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := connect(t, func(_ context.Context, w *Response, r *Request) {
					body := r.Bytes()
					if !r.Buffered() {
						var err error
						body, err = io.ReadAll(r.Stream())
						require.NoError(t, err)
					}
					require.True(t, r.URL.Path == "/next" || tc.buffered == r.Buffered())
					_ = w.Write(http.StatusOK, http.Header{}, body)
				})
				go c.send(t, tc.sent+get("/next"))
				_, body := c.receive(t)
				require.Equal(t, tc.body, body)
				_, _ = c.receive(t)
			})
		})
	}
}

// Guards against a response that is cut off because its caller reads too slowly, and is
// followed by the next one on the same connection, in the middle of its body.
func TestAResponseThatStallsEndsTheConnection(t *testing.T) {
	for _, size := range []int{100, copyBuffer + 1} {
		synctest.Test(t, func(t *testing.T) {
			var handled atomic.Int32
			a, c := connect(t, func(_ context.Context, w *Response, r *Request) {
				handled.Add(1)
				_ = w.Write(http.StatusOK, http.Header{}, bytes.Repeat([]byte(r.URL.Path[1:]), size))
			})
			c.send(t, get("/a")+get("/b"))
			// The caller reads a part of the head, and then nothing for longer than allowed.
			head := make([]byte, 10)
			_, err := io.ReadFull(c, head)
			require.NoError(t, err)
			time.Sleep(2 * DefaultStallTimeout)
			rest, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Zero(t, bytes.Count(append(head, rest...), []byte("HTTP/1.1"))-1, "a second response follows")
			synctest.Wait()
			require.Zero(t, a.Connections())
			require.EqualValues(t, 2, handled.Load())
		})
	}
}

func TestATruncatedResponseIsNotComplete(t *testing.T) {
	for _, length := range []int64{100, -1} {
		synctest.Test(t, func(t *testing.T) {
			_, c := connect(t, func(_ context.Context, w *Response, _ *Request) {
				source := io.MultiReader(strings.NewReader("part"), failingReader{})
				_ = w.Copy(http.StatusOK, http.Header{}, length, source)
			})
			c.send(t, get("/"))
			response, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.Error(t, err)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func TestDrainClosesOnlyConnectionsWithoutPendingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := connect(t, func(_ context.Context, w *Response, r *Request) {
			time.Sleep(time.Second)
			echoPath(context.Background(), w, r)
		})
		c.send(t, get("/a")+get("/b"))
		synctest.Wait()
		a.Drain()
		a.StopReading()
		response, _ := c.receive(t)
		require.False(t, response.Close, "a pipelined request is still pending")
		response, body := c.receive(t)
		require.True(t, response.Close)
		require.Equal(t, "/b", body)
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		require.Zero(t, a.Connections())
	})
}

func TestStopReadingClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := connect(t, echoPath)
		c.send(t, get("/a"))
		_, _ = c.receive(t)
		synctest.Wait()
		a.StopReading()
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestIdleTimeoutRunsOnlyWithoutPendingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := connect(t, func(_ context.Context, w *Response, r *Request) {
			time.Sleep(3 * testLimits.IdleTimeout)
			echoPath(context.Background(), w, r)
		})
		c.send(t, get("/a"))
		_, body := c.receive(t)
		require.Equal(t, "/a", body)
		started := time.Now()
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.GreaterOrEqual(t, time.Since(started), testLimits.IdleTimeout*4/5, "callers reuse connections until four fifths of the timeout")
	})
}

func TestAnAtMostOnceRequestWaitsForEarlierResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var order []string
		_, c := connect(t, func(ctx context.Context, w *Response, r *Request) {
			if r.URL.Path == "/once" {
				require.NoError(t, r.AwaitTurn(ctx))
				order = append(order, "once runs")
			} else {
				time.Sleep(time.Second)
				order = append(order, "first runs")
			}
			echoPath(ctx, w, r)
		})
		c.send(t, get("/first")+get("/once"))
		_, _ = c.receive(t)
		_, _ = c.receive(t)
		require.Equal(t, []string{"first runs", "once runs"}, order)
	})
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Guards against an upload that is broken off at the stall timeout although its caller sends
// without a stall, or before the handler begins to read.
func TestASlowUploadIsReadToItsEnd(t *testing.T) {
	const parts, size = 30, 10 << 10
	cases := []struct {
		name string
		// interval is the time between two parts, and turn how long the handler waits before
		// it reads.
		interval, turn time.Duration
	}{
		{"slow", DefaultStallTimeout / 10, 0},
		{"read late", 0, 2 * DefaultStallTimeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := connectTo(t, Config{BufferedBody: 4, Handler: HandlerFunc(func(_ context.Context, w *Response, r *Request) {
					time.Sleep(tc.turn)
					n, err := io.Copy(io.Discard, r.Stream())
					_ = w.Write(http.StatusOK, http.Header{}, fmt.Append(nil, n, err))
				})})
				go func() {
					_, _ = fmt.Fprintf(c, "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", parts*size)
					for range parts {
						time.Sleep(tc.interval)
						_, _ = c.Write(make([]byte, size))
					}
				}()
				_, body := c.receive(t)
				require.Equal(t, fmt.Sprint(parts*size, " <nil>"), body)
			})
		})
	}
}

// TestATruncatedBodyIsNotHandled: a request whose caller disconnects in the middle of
// its body must not reach a server as if it were complete.
func TestATruncatedBodyIsNotHandled(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"with a length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\nabc"},
		{"in a chunk", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc"},
		{"between chunks", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handled := false
				a, c := connect(t, func(_ context.Context, w *Response, _ *Request) {
					handled = true
					_ = w.Write(http.StatusOK, http.Header{}, nil)
				})
				c.send(t, tc.sent)
				require.NoError(t, c.Close())
				synctest.Wait()
				require.False(t, handled)
				require.EqualValues(t, DefaultRequestMemory, a.requestMemory.Left())
			})
		})
	}
}

// TestAnEarlyResponseEndsTheConnection: a request is refused before its body was read.
// What follows must never be taken for the next request, and the caller must learn
// that the connection is closed.
func TestAnEarlyResponseEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var paths []string
		_, c := connect(t, func(_ context.Context, w *Response, r *Request) {
			paths = append(paths, r.URL.Path)
			_ = w.Write(http.StatusServiceUnavailable, http.Header{}, nil)
		})
		go func() { _, _ = io.WriteString(c, post("/1", strings.Repeat(get("/inside"), 10_000))) }()
		response, _ := c.receive(t)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.True(t, response.Close)
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		require.Equal(t, []string{"/1"}, paths)
	})
}

// TestARefusalReachesACallerThatSendsItsBodyFirst: most callers read the response
// after they have sent the whole body. A reset because of unread data would discard a
// refusal that tells them to send an at-most-once request again.
func TestARefusalReachesACallerThatSendsItsBodyFirst(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		status int
	}{
		{"refused by the handler", 900_000, http.StatusServiceUnavailable},
		{"too large", 1<<20 + 1, http.StatusRequestEntityTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			a := NewAcceptor(Config{
				Limits: func() verbenastand.CallerLimits { return testLimits },
				Handler: HandlerFunc(func(_ context.Context, w *Response, _ *Request) {
					_ = w.Write(http.StatusServiceUnavailable, http.Header{}, nil)
				}),
			})
			go func() { _ = a.Serve(l) }()
			defer a.Close()
			defer func() { _ = l.Close() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			// The small buffer keeps a part of the body on the way while the response is
			// written.
			require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(16<<10))
			_, err = io.WriteString(conn, post("/1", strings.Repeat("x", tc.size)))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, tc.status, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

// TestMemoryForRequestBodiesIsBounded: many callers upload at once to a small host.
func TestMemoryForRequestBodiesIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, size, memory = 100, 200 << 10, 4 << 20
		var buffered, complete atomic.Int64
		release := make(chan struct{})
		a := NewAcceptor(Config{
			RequestMemory: memory, Limits: func() verbenastand.CallerLimits { return testLimits },
			Handler: HandlerFunc(func(_ context.Context, w *Response, r *Request) {
				if r.Buffered() {
					buffered.Add(int64(len(r.Bytes())))
				}
				<-release
				n := int64(len(r.Bytes()))
				if !r.Buffered() {
					n, _ = io.Copy(io.Discard, r.Stream())
				}
				if n == size {
					complete.Add(1)
				}
				_ = w.Write(http.StatusOK, http.Header{}, nil)
			}),
		})
		body := strings.Repeat("x", size)
		for i := range callers {
			client, conn := net.Pipe()
			defer func() { _ = client.Close() }()
			a.start(conn)
			text := post("/1", body)
			if i%2 == 1 {
				text = fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
			}
			go func() { _, _ = io.WriteString(client, text) }()
			go func() { _, _ = io.Copy(io.Discard, client) }()
		}
		synctest.Wait()
		require.Positive(t, buffered.Load())
		require.LessOrEqual(t, buffered.Load(), int64(memory))
		close(release)
		synctest.Wait()
		require.EqualValues(t, callers, complete.Load())
		require.EqualValues(t, memory, a.requestMemory.Left())
		a.Close()
	})
}

// lateRefusal echoes the path of a request, or refuses a late one.
func lateRefusal(_ context.Context, w *Response, r *Request) {
	if r.Late() {
		_ = w.Write(http.StatusServiceUnavailable, http.Header{}, nil)
		return
	}
	if !r.Buffered() {
		if _, err := io.Copy(io.Discard, r.Stream()); err != nil {
			w.Abort()
			return
		}
	}
	time.Sleep(time.Second)
	_ = w.Write(http.StatusOK, http.Header{}, []byte(r.URL.Path))
}

// Guards against a stopping host that takes requests which callers pipeline until it
// answers them 504 (review/2), and against other requests that arrive too late.
func TestAStoppedAcceptorTakesNoFurtherRequests(t *testing.T) {
	upload := post("/upload", strings.Repeat("x", 100))
	large := post("/upload", strings.Repeat("x", 300<<10))
	cases := []struct {
		name string
		// before and after are what the caller sends before and after the stop.
		before, after string
		// statuses are those of the responses; the last one announces the close.
		statuses  []int
		took      time.Duration
		delegated bool
	}{
		{"a pipelined request", get("/a"), get("/b") + get("/c"), []int{http.StatusOK}, time.Second, false},
		{"requests pipelined before", get("/a") + get("/b"), get("/c"), []int{http.StatusOK, http.StatusOK}, time.Second, false},
		{"half of a pipelined request", get("/a") + "GET /b HT", "TP/1.1\r\nHost: a.example\r\n\r\n", []int{http.StatusOK}, time.Second, false},
		{"half of a pipelined body", get("/a") + upload[:len(upload)-50], upload[len(upload)-50:], []int{http.StatusOK}, time.Second, false},
		{"an idle connection", "", get("/a"), nil, 0, false},
		{"half of a header", "GET /a HT", "TP/1.1\r\nHost: a.example\r\n\r\n", nil, 0, false},
		{"half of a body", upload[:len(upload)-50], upload[len(upload)-50:], []int{http.StatusServiceUnavailable}, 0, false},
		{"half of a body that a handler reads", large[:len(large)-50], large[len(large)-50:], []int{http.StatusOK}, time.Second, false},
		{"a delegated request", "", get("/a"), []int{http.StatusServiceUnavailable}, 0, true},
		{"half of a delegated request", "GET /a HT", "TP/1.1\r\nHost: a.example\r\n\r\n", []int{http.StatusServiceUnavailable}, 0, true},
		{"half of a delegated body", upload[:len(upload)-50], upload[len(upload)-50:], []int{http.StatusServiceUnavailable}, 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, c := connect(t, lateRefusal)
				if tc.delegated {
					near, far := net.Pipe()
					defer func() { _ = near.Close() }()
					a.ServeDelegated(far, verbenastand.Origin{Caller: "10.0.0.1:1"})
					c = &caller{Conn: near, reader: bufio.NewReader(near)}
				}
				c.send(t, tc.before)
				synctest.Wait()
				a.Drain()
				a.StopReading()
				started := time.Now()
				go func() { _, _ = io.WriteString(c, tc.after) }()
				for i, status := range tc.statuses {
					response, _ := c.receive(t)
					require.Equal(t, status, response.StatusCode)
					require.Equal(t, i == len(tc.statuses)-1, response.Close)
				}
				_, err := c.reader.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				require.Equal(t, tc.took, time.Since(started))
				_ = c.Close()
				synctest.Wait()
				require.LessOrEqual(t, a.Connections(), 1, "the first connection of a delegated case")
				require.EqualValues(t, DefaultRequestMemory, a.requestMemory.Left())
			})
		})
	}
}

// Guards against a connection that stays open on a stopping host as long as its caller
// pipelines requests (review/2).
func TestTheFirstResponseWhileDrainingEndsTheIntake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, c := connect(t, lateRefusal)
		var sending sync.WaitGroup
		sending.Go(func() {
			for i := range 20 {
				if _, err := io.WriteString(c, get(fmt.Sprint("/", i))); err != nil {
					return
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
		started := time.Now()
		time.AfterFunc(1900*time.Millisecond, a.Drain)
		var paths []string
		for {
			response, path := c.receive(t)
			paths = append(paths, path)
			if response.Close {
				break
			}
		}
		require.Equal(t, []string{"/0", "/1", "/2", "/3", "/4", "/5"}, paths, "the first response after the signal is that to /3, at 2.2 s")
		require.Equal(t, 3*time.Second, time.Since(started))
		_ = c.Close()
		sending.Wait()
		synctest.Wait()
		require.Zero(t, a.Connections())
	})
}

// Guards against a stopping host that no longer notices that a caller has left, and whose
// servers go on working for it.
func TestADisconnectIsDetectedWhileDraining(t *testing.T) {
	cases := []struct {
		name string
		stop func(a *Acceptor)
	}{
		{"no response yet", func(*Acceptor) {}},
		{"after a response", func(a *Acceptor) { a.Drain() }},
		{"after the end of the intake", func(a *Acceptor) { a.StopReading() }},
		{"after both", func(a *Acceptor) {
			a.Drain()
			time.Sleep(2 * time.Second)
			a.StopReading()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cancelled atomic.Int32
				a, c := connect(t, func(ctx context.Context, w *Response, r *Request) {
					if r.URL.Path == "/short" {
						time.Sleep(time.Second)
						echoPath(ctx, w, r)
						return
					}
					<-ctx.Done()
					cancelled.Add(1)
					w.Abort()
				})
				c.send(t, get("/short")+get("/long1")+get("/long2"))
				go func() { _, _ = io.Copy(io.Discard, c.reader) }()
				synctest.Wait()
				tc.stop(a)
				time.Sleep(5 * time.Second)
				require.Zero(t, cancelled.Load())
				_ = c.Close()
				time.Sleep(100 * time.Millisecond)
				require.EqualValues(t, 2, cancelled.Load())
			})
		})
	}
}

// Checks that connections which are accepted while the acceptor stops are closed unread.
func TestAStoppedAcceptorClosesNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := connect(t, lateRefusal)
		a.StopReading()
		near, far := net.Pipe()
		a.start(far)
		go func() { _, _ = io.WriteString(near, get("/a")) }()
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		require.Zero(t, a.Connections())
	})
}

func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("/a") + get("/b")))
	f.Add([]byte("POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nG"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a := NewAcceptor(Config{
			Handler: HandlerFunc(echoPath),
			Limits:  func() verbenastand.CallerLimits { return testLimits },
		})
		client, conn := net.Pipe()
		a.start(conn)
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = io.Copy(client, bytes.NewReader(data))
		_ = client.Close()
		a.Close()
	})
}
