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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// testHeaderFormat names the header fields of the servers under test.
type testHeaderFormat struct{}

func (testHeaderFormat) Names() verbenastand.HeaderNames {
	return verbenastand.HeaderNames{
		RequestID: "X-Id", Deadline: "X-Deadline", Signature: "X-Signature",
		ExpectedInstance: "X-Expected", Instance: "X-Instance", NotRun: "X-Not-Run", Load: "X-Load",
	}
}

func (testHeaderFormat) ParseLoad(field string) (verbenastand.LoadReport, bool) {
	running, err := strconv.Atoi(field)
	return verbenastand.LoadReport{Running: running, Slots: 6, Slowdown: 1}, err == nil
}

// scriptedServer is a server that calls a function for each request, with the number
// of the request on its connection.
type scriptedServer struct {
	target      Target
	connections atomic.Int32
	requests    atomic.Int32
}

func newScriptedServer(t *testing.T, script func(conn net.Conn, r *http.Request, number int) (keepOpen bool)) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{target: Target{Server: "s1", Address: l.Addr().String()}}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, script)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, script func(net.Conn, *http.Request, int) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if !script(conn, r, number) {
			return
		}
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// exchange sends a request and reads the complete response.
func exchange(s *Sender, t Target, r *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := s.Connect(ctx, t)
	if err != nil {
		return "", err
	}
	response, err := c.Exchange(ctx, r)
	if err != nil {
		c.Close()
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.Close()
		return "", err
	}
	s.PutIdle(c)
	return string(body), nil
}

func request(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/x", Host: "a.example", Header: http.Header{"X-Id": {id}}, ID: id}
}

func TestUnexpectedResponses(t *testing.T) {
	cases := []struct {
		name, sent string
		body       string
		cause      error
	}{
		{"late response to another request first", okResponse("old", "OLD") + okResponse("r1", "new"), "new", nil},
		{"interim response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("r1", "new"), "new", nil},
		{"only the response to another request", okResponse("old", "OLD"), "", ErrConnectionLost},
		{"without a request ID", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nOLD", "", ErrConnectionLost},
		{"not HTTP", "garbage that never ends\r\n\r\n", "", ErrUnexpectedResponse},
		{"truncated", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\nabc", "", ErrConnectionLost},
		{"truncated in a chunk", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", "", ErrConnectionLost},
		{"without a length, delimited by the end of the connection", "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall", "all", nil},
		{"no response", "", "", ErrConnectionLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tc.sent)
				return false
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			body, err := exchange(s, server.target, request("r1"))
			if tc.cause == nil {
				require.NoError(t, err)
				require.Equal(t, tc.body, body)
				return
			}
			require.ErrorIs(t, err, tc.cause)
			require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
		})
	}
}

func TestAResetResponseIsIncomplete(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		reset(conn)
		return false
	})
	_, err := exchange(NewSender(Config{HeaderFormat: testHeaderFormat{}}), server.target, request("r1"))
	require.ErrorIs(t, err, ErrConnectionLost)
}

func TestAConnectionIsReusedOnlyAfterACompleteExchange(t *testing.T) {
	cases := []struct {
		name        string
		first       string
		connections int32
	}{
		{"after a complete response", okResponse("r1", "a"), 1},
		{"not after unexpected data", okResponse("r1", "a") + okResponse("r1", "a"), 2},
		{"not after a skipped response", okResponse("old", "a") + okResponse("r1", "a"), 2},
		{"not after an announced close", strings.Replace(okResponse("r1", "a"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1), 2},
		{"after a refusal with a request ID", strings.Replace(okResponse("r1", "a"), "200 OK", "503 Full\r\nX-Not-Run: 1", 1), 1},
		{"not after a refusal without a request ID", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 1\r\n\r\na", 2},
		{"not after a misdirected request without a request ID", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", 2},
		{"not after the server's keep-alive timeout", strings.Replace(okResponse("r1", "a"), "\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n", 1), 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
				sent := tc.first
				if id := r.Header.Get("X-Id"); id != "r1" {
					sent = okResponse(id, "b")
				}
				_, _ = io.WriteString(conn, sent)
				return true
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			for _, id := range []string{"r1", "r2"} {
				_, err := exchange(s, server.target, request(id))
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, tc.connections, server.connections.Load())
		})
	}
}

// Guards against a late copy of the refusal of a health check, which has no request ID: it
// would be taken for the refusal of the next request (review/1).
func TestARefusedHealthCheckEndsItsConnection(t *testing.T) {
	cases := []struct {
		name, sent string
		reused     bool
	}{
		{"healthy", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"unhealthy", "HTTP/1.1 503 Draining\r\nContent-Length: 0\r\n\r\n", true},
		{"refused", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"another process", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tc.sent)
				return true
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			defer s.Close()
			c, err := s.Connect(t.Context(), server.target)
			require.NoError(t, err)
			_, err = c.Check(t.Context(), "/health")
			require.NoError(t, err)
			s.PutIdle(c)
			require.Equal(t, tc.reused, s.HasIdle(server.target))
		})
	}
}

func TestAConnectionClosedByTheServerIsNotReused(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, okResponse(r.Header.Get("X-Id"), "a"))
		return false
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	for _, id := range []string{"r1", "r2", "r3"} {
		_, err := exchange(s, server.target, request(id))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 3, server.connections.Load())
}

// TestARequestIsNeverSentTwice: a request on an idle connection that is reset may
// have run, so the sender must not resend it by itself as the transport of net/http
// does.
func TestARequestIsNeverSentTwice(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, r *http.Request, number int) bool {
		if number == 1 {
			_, _ = io.WriteString(conn, okResponse(r.Header.Get("X-Id"), "a"))
			return true
		}
		reset(conn)
		return false
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	_, err := exchange(s, server.target, request("r1"))
	require.NoError(t, err)
	_, err = exchange(s, server.target, request("r2"))
	require.ErrorIs(t, err, ErrConnectionLost)
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	require.EqualValues(t, 2, server.requests.Load())
}

func TestAnEarlyResponseToALongBodyEndsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	var connections atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 512))
				_, _ = io.WriteString(conn, strings.Replace(okResponse("r1", "no"), "200 OK", "413 Too Large", 1))
			}()
		}
	}()
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	target := Target{Server: "s1", Address: l.Addr().String()}
	r := request("r1")
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	body, err := exchange(s, target, r)
	require.NoError(t, err)
	require.Equal(t, "no", body)
	require.Zero(t, s.Idle(), "the server would read the rest of the body as the next request")
}

func TestHealthChecks(t *testing.T) {
	cases := []struct {
		name, sent string
		healthy    bool
		err        error
	}{
		{"healthy", "HTTP/1.1 200 OK\r\nX-Instance: s1\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n", true, nil},
		{"draining", "HTTP/1.1 503 No\r\nX-Instance: s1\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n", false, nil},
		{"another process", "HTTP/1.1 200 OK\r\nX-Instance: s2\r\nContent-Length: 0\r\n\r\n", false, ErrInstanceMismatch},
		{"closed by the server", "", false, ErrConnectionLost},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tc.sent)
				return tc.sent != ""
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			c, err := s.Connect(t.Context(), server.target)
			require.NoError(t, err)
			health, err := c.Check(t.Context(), "/health")
			if tc.err != nil {
				require.ErrorIs(t, err, tc.err)
				return
			}
			require.NoError(t, err)
			require.True(t, health.Reported)
			require.Equal(t, 4, health.Report.Running)
			require.Equal(t, tc.healthy, health.Healthy)
		})
	}
}

// delayedDeadlineConn cancels the context of its user while a response is read, and
// delays the setting of the deadline that follows, as on a host that is short of CPU
// time.
type delayedDeadlineConn struct {
	net.Conn
	cancel context.CancelFunc
	hold   chan struct{}
}

func (c *delayedDeadlineConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.cancel()
	return n, err
}

func (c *delayedDeadlineConn) SetDeadline(at time.Time) error {
	if !at.IsZero() {
		<-c.hold
	}
	return c.Conn.SetDeadline(at)
}

// TestACheckEndedByItsContextIsNotReused guards against a request that fails because
// the deadline that ends the previous health check on its connection is set late.
func TestACheckEndedByItsContextIsNotReused(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Instance: s1\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	hold := make(chan struct{})
	defer close(hold)
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return &delayedDeadlineConn{Conn: conn, cancel: cancel, hold: hold}, err
	}})
	c, err := s.Connect(t.Context(), server.target)
	require.NoError(t, err)
	_, err = c.Check(ctx, "/health")
	require.ErrorIs(t, err, context.Canceled)
}

func TestARefusalWithoutARequestIDIsAccepted(t *testing.T) {
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	c, err := s.Connect(t.Context(), server.target)
	require.NoError(t, err)
	response, err := c.Exchange(t.Context(), request("r1"))
	require.NoError(t, err)
	require.True(t, response.NotRun)
}

func TestACancelledExchangeEndsAtOnce(t *testing.T) {
	closed := make(chan struct{})
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	c, err := s.Connect(t.Context(), server.target)
	require.NoError(t, err)
	ctx, cancel := context.WithCancelCause(t.Context())
	errDisconnected := errors.New("the caller disconnected")
	time.AfterFunc(20*time.Millisecond, func() { cancel(errDisconnected) })
	_, err = c.Exchange(ctx, request("r1"))
	require.ErrorIs(t, err, errDisconnected)
	c.Close()
	<-closed
}

func TestUnreachableServerMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := Target{Server: "s1", Address: l.Addr().String()}
	_ = l.Close()
	_, err = NewSender(Config{HeaderFormat: testHeaderFormat{}}).Connect(t.Context(), target)
	require.ErrorIs(t, err, ErrUnreachable)
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
}
