package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against bodies that end only with the timeout of their request, while a caller reads them
// (issue 58). A body of just the largest length is delivered.
func TestBodiesWithoutEnd(t *testing.T) {
	const limit = 1 << 20
	cases := []struct{ name, head, filler, end string }{
		{"without a length", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<10), ""},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", "0\r\n\r\n"},
	}
	for _, tc := range cases {
		for _, endless := range []bool{false, true} {
			t.Run(tc.name, func(t *testing.T) {
				ended := make(chan struct{})
				address := listen(t, func(conn net.Conn) {
					defer close(ended)
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, err = io.WriteString(conn, tc.head)
					}
					for i := 0; err == nil && (endless || i < limit>>10); i++ {
						_, err = io.WriteString(conn, tc.filler)
					}
					_, _ = io.WriteString(conn, tc.end)
				})
				c := NewConnector(Config{MaxConnections: 1, MaxUnframedBody: limit})
				defer c.Close()
				response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, response.Body.Close())
				if !endless {
					require.NoError(t, err)
					require.Len(t, body, limit)
					return
				}
				require.ErrorIs(t, err, bounder.ErrExceeded)
				require.ErrorIs(t, err, ErrMalformedResponse)
				require.NotErrorIs(t, err, ErrConnectionLost)
				select {
				case <-ended:
				case <-time.After(5 * time.Second):
					require.Fail(t, "the connection is still open")
				}
			})
		}
	}
}
