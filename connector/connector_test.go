package connector

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
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// droppingServer responds to the first request of each connection and closes the
// connection after reading the second. It counts the requests it reads.
func droppingServer(t *testing.T) (address string, read *atomic.Int32) {
	read = &atomic.Int32{}
	address = listen(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for i := range 2 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			read.Add(1)
			if i == 0 {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		}
	})
	return address, read
}

// listen calls serve for each connection to the returned address, and then closes the
// connection.
func listen(t *testing.T, serve func(net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func keyedRequest(t *testing.T, address string) *http.Request {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", nil)
	require.NoError(t, err)
	r.Header.Set(verbenastand.HeaderIdempotencyKey, "key")
	return r
}

// The transport of net/http retries a request with an idempotency key and without a
// body when a reused connection fails, which could run it twice. The test shows this
// with a plain transport; the connector must not retry.
func TestKeyedRequestIsNeverSentTwice(t *testing.T) {
	address, read := droppingServer(t)
	plainTransport := &http.Transport{}
	for range 2 {
		if response, err := plainTransport.RoundTrip(keyedRequest(t, address)); err == nil {
			_ = response.Body.Close()
		}
	}
	require.EqualValues(t, 3, read.Load(), "the plain transport sends the second request twice")

	read.Store(0)
	c := NewConnector(Config{MaxConnections: 1})
	server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
	response, err := c.RoundTrip(server, keyedRequest(t, address))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	_, err = c.RoundTrip(server, keyedRequest(t, address))
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	require.ErrorIs(t, err, ErrConnectionLost)
	require.EqualValues(t, 2, read.Load())
}

func TestUnreachableServerHasNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	c := NewConnector(Config{MaxConnections: 1})
	_, err = c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
	require.Equal(t, verbenastand.NotRun, verbenastand.VerdictOf(err))
}

func TestDeadlineIsNotAClosedConnection(t *testing.T) {
	address := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := NewConnector(Config{MaxConnections: 1}).RoundTrip(
		verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address).WithContext(ctx))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NotErrorIs(t, err, ErrConnectionLost)
	require.NotErrorIs(t, err, ErrMalformedResponse)
}

// TestALateCopyOfAResponseIsDiscarded: a server sends a second copy of a response on a
// connection that carries the next request already.
func TestALateCopyOfAResponseIsDiscarded(t *testing.T) {
	for _, body := range []string{"", "first"} {
		respond := func(conn net.Conn, id, body string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", verbenastand.HeaderRequest, id, len(body), body)
		}
		address := listen(t, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			first := ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				id := r.Header.Get(verbenastand.HeaderRequest)
				if first == "" {
					first = id
					respond(conn, id, body)
					continue
				}
				respond(conn, first, body)
				respond(conn, id, "own")
			}
		})
		c := NewConnector(Config{MaxConnections: 1})
		defer c.Close()
		server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
		wrong := 0
		for range 20 {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address()+"/", nil)
			require.NoError(t, err)
			response, err := c.RoundTrip(server, r)
			if err != nil {
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				wrong++
				continue
			}
			data, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Empty(t, response.Header.Get(verbenastand.HeaderRequest))
			require.Contains(t, []string{"own", body}, string(data))
		}
		require.Positive(t, wrong, "no copy arrived")
	}
}

// Guards against a late copy of a refusal without an ID that is taken for the answer to the
// next request of its connection (review/1): the request would run at another server too.
func TestALateCopyOfARefusalIsNoAnswer(t *testing.T) {
	for _, body := range []string{"", "full"} {
		refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: notRun\r\nContent-Length: %d\r\n\r\n%s", verbenastand.HeaderVerdict, len(body), body)
		var runs atomic.Int32
		var refuse atomic.Bool
		address := listen(t, func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			copies := ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if refuse.Swap(false) {
					copies = refusal
					_, _ = io.WriteString(conn, refusal)
					continue
				}
				runs.Add(1)
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nown", copies, verbenastand.HeaderRequest, r.Header.Get(verbenastand.HeaderRequest))
				copies = ""
			}
		})
		c := NewConnector(Config{MaxConnections: 1})
		defer c.Close()
		server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
		send := func() (*http.Response, error) {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address()+"/", strings.NewReader("tin"))
			require.NoError(t, err)
			return c.RoundTrip(server, r)
		}
		refused := 0
		for range 20 {
			refuse.Store(true)
			response, err := send()
			require.NoError(t, err)
			require.Equal(t, "notRun", response.Header.Get(verbenastand.HeaderVerdict))
			_, _ = io.Copy(io.Discard, response.Body)
			require.NoError(t, response.Body.Close())
			refused++
			before := runs.Load()
			response, err = send()
			if err != nil {
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				continue
			}
			ran := runs.Load() - before
			require.False(t, ran > 0 && response.Header.Get(verbenastand.HeaderVerdict) == "notRun", "a request that ran was reported as not run")
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		require.Equal(t, 20, refused)
	}
}

// TestEndlessResponsesAreBounded: a server sends bytes without end; the connection must
// be closed once the response is rejected or no longer needed.
func TestEndlessResponsesAreBounded(t *testing.T) {
	cases := []struct {
		name, prefix, filler string
		rejected             bool
	}{
		{"no HTTP", "", "\x00\xff", true},
		{"a header", "HTTP/1.1 200 OK\r\n", "X-Fill: x\r\n", true},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", true},
		{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x", false},
		{"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			closed := make(chan struct{})
			address := listen(t, func(conn net.Conn) {
				defer close(closed)
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := io.WriteString(conn, tc.prefix)
				part := strings.Repeat(tc.filler, 1000)
				for err == nil {
					_, err = io.WriteString(conn, part)
				}
			})
			c := NewConnector(Config{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address()+"/", nil)
			require.NoError(t, err)
			response, err := c.RoundTrip(server, r)
			require.Equal(t, tc.rejected, err != nil)
			if err == nil {
				_, err = io.CopyN(io.Discard, response.Body, 1<<20)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			} else {
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
			}
			<-closed
			require.NoError(t, ctx.Err())
		})
	}
}
