package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against bytes of a server that pass for the loss of its connection, which is
// evidence that the request has crashed it (the class of issue 41).
func TestMalformedResponsesAreNoLostConnections(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, sent string }{
		{"no HTTP", "garbage\r\n\r\n"},
		{"binary", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"},
		{"an empty line", "\r\n\r\n"},
		{"version", "HTTP/x 200 OK\r\n\r\n"},
		{"status", "HTTP/1.1 abc OK\r\n\r\n"},
		{"negative status", "HTTP/1.1 -20 OK\r\n\r\n"},
		{"long status", "HTTP/1.1 2000 OK\r\n\r\n"},
		{"field without a colon", head + "x\r\n\r\n"},
		{"empty field name", head + ": y\r\n\r\n"},
		{"first field continues a line", "HTTP/1.1 200 OK\r\n x: y\r\n\r\n"},
		{"length", head + "Content-Length: x\r\n\r\n"},
		{"negative length", head + "Content-Length: -1\r\n\r\n"},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"transfer coding", head + "Transfer-Encoding: gzip\r\n\r\n"},
		{"length of a chunk", chunked + "x\r\n"},
		{"length of a chunk beyond all numbers", chunked + strings.Repeat("f", 17) + "\r\n"},
		{"chunk longer than its length", chunked + "1\r\nabc\r\n0\r\n\r\n"},
		{"line of a chunk too long", chunked + "1;" + strings.Repeat("x", 16<<10) + "\r\na\r\n"},
		{"trailer", chunked + "1\r\na\r\n0\r\nx\r\n\r\n"},
		{"header too large", head + "X: " + strings.Repeat("y", 1<<20) + "\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			end := make(chan struct{})
			defer close(end)
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tc.sent)
				<-end
				return false
			})
			_, err := exchange(NewSender(Config{HeaderFormat: testHeaderFormat{}}), server.target, request("r1"))
			require.ErrorIs(t, err, ErrUnexpectedResponse)
			require.NotErrorIs(t, err, ErrConnectionLost)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
		})
	}
}

// Guards against a request whose caller breaks off its body, and that counts as the loss of
// the server's connection, which is evidence that the request has crashed it.
func TestABodyThatBreaksOffIsNoLostConnection(t *testing.T) {
	cases := []struct {
		name  string
		cause error
	}{
		{"the caller stalls", os.ErrDeadlineExceeded},
		{"the caller leaves", io.ErrUnexpectedEOF},
		{"a malformed chunk", errors.New("malformed chunked encoding")},
	}
	for _, tc := range cases {
		for _, length := range []int64{-1, 1 << 20} {
			t.Run(tc.name, func(t *testing.T) {
				server := newScriptedServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
					_, _ = io.Copy(io.Discard, r.Body)
					return false
				})
				r := request("r1")
				r.Method, r.Length = http.MethodPost, length
				r.Stream = io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(tc.cause))
				started := time.Now()
				_, err := exchange(NewSender(Config{HeaderFormat: testHeaderFormat{}}), server.target, r)
				require.ErrorIs(t, err, ErrIncompleteRequest)
				require.NotErrorIs(t, err, ErrConnectionLost)
				require.NotErrorIs(t, err, context.DeadlineExceeded)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				require.Less(t, time.Since(started), time.Second)
			})
		}
	}
}
