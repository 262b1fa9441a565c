package admitter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/verbenastand/verbenastand/internal/bounder"
)

const size = 4 << 20

// serve starts a server with an admitter. /held is held until the test ends.
func serve(t *testing.T, c Config) (a *Admitter, address string) {
	if c.Memory == nil {
		c.Memory = bounder.NewShares(size)
	}
	c.MaxHeader = 32 << 10
	a = NewAdmitter(c)
	release := make(chan struct{})
	s := &http.Server{MaxHeaderBytes: c.MaxHeader, Protocols: new(http.Protocols), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = a.Serve(s, l) }()
	t.Cleanup(func() {
		close(release)
		_ = s.Close()
		require.Eventually(t, func() bool { return c.Memory.Left() == c.Memory.Size() && a.count() == 0 }, 10*time.Second, time.Millisecond,
			"memory is not returned")
	})
	return a, l.Addr().String()
}

func dial(t *testing.T, from, address string) net.Conn {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := d.Dial("tcp", address)
	require.NoError(t, err)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func request(path string, lines int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "a%x:\n", i)
	}
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + b.String() + "\r\n"
}

func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against a client that takes all memory with requests that are held, and against others
// that are not served then.
func TestAClientGetsAtMostItsShare(t *testing.T) {
	memory := bounder.NewShares(size)
	var shortages atomic.Int64
	a, address := serve(t, Config{Memory: memory, OnShortage: func(string) { shortages.Add(1) }})
	refused := make(chan int, 20)
	var conns []net.Conn
	for range 20 {
		conns = append(conns, dial(t, "127.0.0.2", address))
	}
	require.Eventually(t, func() bool { return a.count() == len(conns) }, 10*time.Second, time.Millisecond)
	for _, conn := range conns {
		_, _ = io.WriteString(conn, request("/held", 1500))
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && response.Header.Get("Retry-After") == "1" {
				refused <- response.StatusCode
			}
		}()
	}
	for range 5 {
		require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusRequestHeaderFieldsTooLarge}, <-refused)
	}
	require.Positive(t, shortages.Load())
	require.GreaterOrEqual(t, memory.Left(), int64(size/3))
	conn := dial(t, "127.0.0.3", address)
	_, _ = io.WriteString(conn, request("/", 10))
	code := status(t, conn)
	require.Equal(t, http.StatusOK, code)
}

// idleConns returns the number of connections that may be closed for others.
func idleConns(a *Admitter) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for c := range a.conns {
		if _, ok := c.idle(); ok {
			count++
		}
	}
	return count
}

// Guards against connections without a request that take the place of others, and against
// closing those with one.
func TestIdleConnectionsAreClosedForOthers(t *testing.T) {
	a, address := serve(t, Config{MaxConnections: 4})
	var conns []net.Conn
	for i := range 4 {
		conn := dial(t, "127.0.0.2", address)
		path := "/"
		if i == 0 {
			path = "/held"
		}
		_, _ = io.WriteString(conn, request(path, 1))
		if i > 0 {
			code := status(t, conn)
			require.Equal(t, http.StatusOK, code)
			// The server notes the end of a response only after the client has received it.
			require.Eventually(t, func() bool { return idleConns(a) == i }, 10*time.Second, time.Millisecond)
		}
		conns = append(conns, conn)
	}
	time.Sleep(50 * time.Millisecond)
	conn := dial(t, "127.0.0.3", address)
	_, _ = io.WriteString(conn, request("/", 1))
	code := status(t, conn)
	require.Equal(t, http.StatusOK, code)
	_, err := conns[1].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, a.Closed())
	require.Equal(t, 4, a.count())
}

// Guards against charges that bodies, pipelined requests or HTTP/2 leave behind, or that refuse
// them.
func TestMessagesAreServedAndMemoryIsReturned(t *testing.T) {
	newlines := strings.Repeat("\n", 1<<20)
	cases := []struct {
		name, sent string
		responses  int
	}{
		{"a body of line ends", fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(newlines), newlines), 1},
		{"pipelined", strings.Repeat(request("/", 20), 30), 30},
		{"many lines", request("/", 3000) + request("/", 1), 2},
		{"incomplete", "GET / HTTP/1.1\r\nHost", 0},
		{"malformed", "GET\r\n\r\n", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, address := serve(t, Config{})
			conn := dial(t, "127.0.0.2", address)
			go func() { _, _ = io.WriteString(conn, tc.sent) }()
			reader := bufio.NewReader(conn)
			for range tc.responses {
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
		})
	}
	t.Run("HTTP/2", func(t *testing.T) {
		_, address := serve(t, Config{})
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetUnencryptedHTTP2(true)
		defer transport.CloseIdleConnections()
		for range 3 {
			r, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(newlines))
			require.NoError(t, err)
			response, err := transport.RoundTrip(r)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NoError(t, response.Body.Close())
		}
	})
}
