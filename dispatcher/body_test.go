package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a caller that gets no response because the body of its request is malformed or
// stalls: its connection was taken for closed (issue 41).
func TestABodyThatCannotBeReadIsRefused(t *testing.T) {
	cases := []struct {
		name, framing, body string
		status              int
		keyed               bool
	}{
		{"a malformed chunk", "Transfer-Encoding: chunked", "x\r\n", http.StatusBadRequest, true},
		{"a chunk that is longer than its length", "Transfer-Encoding: chunked", "1\r\nabc\r\n0\r\n\r\n", http.StatusBadRequest, true},
		{"a malformed trailer", "Transfer-Encoding: chunked", "0\r\nno trailer\r\n\r\n", http.StatusBadRequest, true},
		{"a body that stalls", "Content-Length: 4", "ha", http.StatusGatewayTimeout, false},
		{"chunks that stall", "Transfer-Encoding: chunked", "4\r\nha", http.StatusGatewayTimeout, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(1, false)
			p.server = func(verbenastand.Server, *http.Request) (*http.Response, error) { return okResponse("tin"), nil }
			server := httptest.NewServer(p.Dispatcher)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			key, verdict := "", verbenastand.NotRun
			if tc.keyed {
				verdict = verbenastand.MayHaveRun
				key = verbenastand.HeaderIdempotencyKey + ": " + p.keys.IssuePrefix() + "a\r\n"
			}
			_, err = fmt.Fprintf(conn, "POST /tin HTTP/1.1\r\nHost: tins\r\n%s%s\r\n\r\n%s", key, tc.framing, tc.body)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Equal(t, tc.status, response.StatusCode)
			require.Equal(t, verdict.String(), response.Header.Get(verbenastand.HeaderVerdict))
			require.True(t, response.Close)
			require.Zero(t, p.sent.Load())
		})
	}
}
