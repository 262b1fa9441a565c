package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against malformed responses that count as closed connections: these are evidence that
// the request crashes servers, so it was refused although all servers run (issue 41).
func TestAMalformedResponseIsNoLostConnection(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	cases := []struct{ name, response string }{
		{"no status line", "garbage\r\n\r\n"},
		{"no status", "HTTP/1.1\r\n\r\n"},
		{"a status that is no number", "HTTP/1.1 2x0 OK\r\n\r\n"},
		{"a status of two digits", "HTTP/1.1 20 OK\r\n\r\n"},
		{"a negative status", "HTTP/1.1 -20 OK\r\n\r\n"},
		{"another protocol", "HTTZ/1.1 200 OK\r\n\r\n"},
		{"a malformed version", "HTTP/1.x 200 OK\r\n\r\n"},
		{"a header without a colon", ok + "Nothing\r\n\r\n"},
		{"an empty header name", ok + ": c\r\n\r\n"},
		{"a continued first header", ok + " a: b\r\n\r\n"},
		{"a length that is no number", ok + "Content-Length: x\r\n\r\n"},
		{"a negative length", ok + "Content-Length: -1\r\n\r\n"},
		{"a length that is too large", ok + "Content-Length: 99999999999999999999\r\n\r\n"},
		{"two lengths", ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"an unknown transfer encoding", ok + "Transfer-Encoding: other\r\n\r\n"},
		{"a chunk length that is no number", ok + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n"},
		{"a chunk length that is too large", ok + "Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\n"},
		{"a chunk that is longer than its length", ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n"},
		{"a malformed trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nno trailer\r\n\r\n"},
		{"a header without end", ok + strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 200)},
		{"a chunk line without end", ok + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("a", 100_000)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			err := exchange(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, tc.response)
				// The connection stays open until the other side closes it.
				_, _ = io.Copy(io.Discard, conn)
			})
			require.NotErrorIs(t, err, ErrConnectionLost)
			require.ErrorIs(t, err, ErrMalformedResponse)
		})
	}
}

// Checks that a server which ends still counts as one, at whichever byte of its response.
func TestACutResponseIsALostConnection(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for n := range len(response) {
		err := exchange(t, func(conn net.Conn) { _, _ = io.WriteString(conn, response[:n]) })
		require.ErrorIs(t, err, ErrConnectionLost, "%d bytes", n)
		require.NotErrorIs(t, err, ErrMalformedResponse, "%d bytes", n)
	}
}

// exchange returns the error of a request, or of its response's body, at a server that reads
// the request first.
func exchange(t *testing.T, respond func(net.Conn)) error {
	t.Helper()
	address := listen(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			respond(conn)
		}
	})
	c := NewConnector(Config{MaxConnections: 1})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address).WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Guards against a caller whose malformed or interrupted upload counts as a crash of the server
// that received it (issue 41).
func TestABodyThatCannotBeReadIsNoLostConnection(t *testing.T) {
	address := listen(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	broken := errors.New("malformed chunked encoding")
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/", io.MultiReader(strings.NewReader("first"), failingReader{broken}))
	require.NoError(t, err)
	r.ContentLength = -1
	_, err = NewConnector(Config{MaxConnections: 1}).RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), r)
	require.ErrorIs(t, err, broken)
	require.NotErrorIs(t, err, ErrConnectionLost)
	require.NotErrorIs(t, err, ErrMalformedResponse)
	require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
}

type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, fmt.Errorf("body: %w", r.err) }
