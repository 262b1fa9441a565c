package reader

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxSent bounds what a server can send of a header: what the client reads, and what the buffers hold.
const maxSent = 7 << 20

// endlessHeaders are headers without end.
var endlessHeaders = []struct{ name, prefix, filler string }{
	{"no HTTP", "", "\x00\xff"},
	{"a status line", "HTTP/1.1 200 ", "x"},
	{"lines", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
	{"a line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
}

// sendUntilClosed returns the address of a server that sends a prefix and then a filler without end to each
// request, how many bytes it has sent, and a channel that gets a value once a connection has been closed.
func sendUntilClosed(t *testing.T, prefix, filler string) (address string, sent *atomic.Int64, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent = &atomic.Int64{}
	ended := make(chan struct{}, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() {
			_ = conn.Close()
			ended <- struct{}{}
		}()
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		for part := prefix; err == nil; part = strings.Repeat(filler, 100) {
			var n int
			n, err = io.WriteString(conn, part)
			sent.Add(int64(n))
		}
	}()
	return l.Addr().String(), sent, ended
}

// Guards against the memory of responses of the platform that don't end (issue 58).
func TestResponsesWithoutEnd(t *testing.T) {
	cases := append(slices.Clone(endlessHeaders), []struct{ name, prefix, filler string }{
		{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "[]"},
		{"a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "[]"},
		{"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\n[]\r\n"},
	}...)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, sent, closed := sendUntilClosed(t, tc.prefix, tc.filler)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := NewReader(Config{URL: "http://" + address, MaxBytes: 100 << 10}).Hosts(ctx)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "only the time limit has ended it")
			<-closed
			require.Less(t, sent.Load(), int64(maxSent))
		})
	}
}

// TestTheLongestResponse: a response of just the largest length is accepted.
func TestTheLongestResponse(t *testing.T) {
	for _, head := range []string{"", "Content-Length: 100\r\n"} {
		body := "[" + strings.Repeat(" ", 98) + "]"
		_, err := NewReader(Config{URL: respondOnce(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body), MaxBytes: 100}).Hosts(t.Context())
		require.NoError(t, err)
		_, err = NewReader(Config{URL: respondOnce(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body), MaxBytes: 99}).Hosts(t.Context())
		require.ErrorIs(t, err, ErrTooLong)
	}
}
