package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a stopping host that breaks off a response which it is delivering (issue 40,
// LOST).
func TestStopInterruptsNoDelivery(t *testing.T) {
	const size = 4 << 20
	for _, safety := range []verbenastand.RetrySafety{verbenastand.Bulk, verbenastand.AtMostOnce} {
		t.Run(safety.String(), func(t *testing.T) {
			serve := func(conn net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), size)
				_, _ = conn.Write(make([]byte, size))
			}
			withHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety, c.Timeout = safety, 20*time.Second }, []*backend{{serve: serve}}, func(h *harness) {
				conn := h.connect()
				_, err := io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n")
				require.NoError(h.t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(h.t, err)
				_, err = io.CopyN(io.Discard, response.Body, 2<<20)
				require.NoError(h.t, err)
				h.carrier.Stop()
				time.Sleep(50 * time.Millisecond)
				n, err := io.Copy(io.Discard, response.Body)
				require.NoError(h.t, err, "after %d bytes", 2<<20+n)
				require.EqualValues(h.t, 2<<20, n)
			})
		})
	}
}
