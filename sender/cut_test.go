package sender

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a response that a server cuts off, at any byte of its head or body, and that
// passes for a complete one (issue 36).
func TestAResponseThatIsCutAnywhereIsIncomplete(t *testing.T) {
	cases := []struct{ name, sent string }{
		{"with a length", okResponse("r1", "body")},
		{"without a body", okResponse("r1", "")},
		{"a length first", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Id: r1\r\n\r\n0123456789"},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: r1\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"chunked with a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: r1\r\n\r\n4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n"},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\nX-Id: r1\r\n\r\n" + okResponse("r1", "body")},
		{"no content", "HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var cut atomic.Int32
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, tc.sent[:cut.Load()])
				return false
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			for end := range tc.sent {
				cut.Store(int32(end))
				_, err := exchange(s, server.target, request("r1"))
				require.Error(t, err, "%q", tc.sent[:end])
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
			}
			cut.Store(int32(len(tc.sent)))
			_, err := exchange(s, server.target, request("r1"))
			require.NoError(t, err)
		})
	}
}
