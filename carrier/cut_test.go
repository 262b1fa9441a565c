package carrier

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a success with an empty or short body, framed as whole, for a response whose
// server stopped in the middle of it (issue 36).
func TestACutResponseIsNoSuccess(t *testing.T) {
	framings := []string{
		"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: id1\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	}
	for _, whole := range framings {
		for end := range whole {
			serve := func(conn net.Conn, _ *http.Request) {
				_, _ = io.WriteString(conn, whole[:end])
				_ = conn.Close()
			}
			withHarness(t, atMostOnce, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
				response, body := h.call("POST", "/x/1", "")
				require.NotNil(t, response)
				require.Equal(t, http.StatusBadGateway, response.StatusCode, "%q: %q", whole[:end], body)
				require.Len(t, h.requests(), 1)
			})
		}
	}
}
