package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a response that a server cuts off, at any byte of its head or body, and that
// passes for a complete one (issue 36).
func TestAResponseThatIsCutAnywhereIsIncomplete(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"with a length", "HTTP/1.1 200 OK\r\nEtag: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{"a length first", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nEtag: 1\r\n\r\nbody"},
		{"without a body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nEtag: 1\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\nEtag: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var cut atomic.Int32
			address := listen(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, tc.sent[:cut.Load()])
				}
			})
			c := NewConnector(Config{MaxConnections: 4})
			defer c.Close()
			server := verbenastand.NewServer(verbenastand.ServerConfig{Address: address})
			for end := range len(tc.sent) + 1 {
				cut.Store(int32(end))
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address()+"/", strings.NewReader("tin"))
				require.NoError(t, err)
				response, err := c.RoundTrip(server, r)
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				} else {
					require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				}
				require.Equal(t, end == len(tc.sent), err == nil, "%q: %v", tc.sent[:end], err)
			}
		})
	}
}
