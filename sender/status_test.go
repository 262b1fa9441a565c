package sender

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// invalidStatuses are accepted by the parser of net/http, but are no status codes.
var invalidStatuses = []string{"000", "001", "020", "099", "+20", "+99", "600", "999"}

// Guards against bytes that pass for a response because their status code has three digits: a caller
// received a response with status 000, which counted as a success of the server.
func TestStatusCodesThatAreNone(t *testing.T) {
	fields := map[string]string{
		"a response":                   "X-Id: r1\r\n",
		"a refusal":                    "X-Id: r1\r\nX-Not-Run: 1\r\n",
		"a refusal without request ID": "X-Not-Run: 1\r\n",
		"a late response":              "X-Id: r0\r\n",
	}
	for _, status := range invalidStatuses {
		for name, field := range fields {
			t.Run(status+" "+name, func(t *testing.T) {
				server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\n"+field+"Content-Length: 0\r\n\r\n"+okResponse("r1", "body"))
					return true
				})
				s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
				c, err := s.Connect(t.Context(), server.target)
				require.NoError(t, err)
				_, err = c.Exchange(t.Context(), request("r1"))
				require.ErrorIs(t, err, ErrUnexpectedResponse)
				require.NotErrorIs(t, err, ErrConnectionLost)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				s.PutIdle(c)
				require.False(t, s.HasIdle(server.target), "the connection is not used again")
			})
		}
	}
}

// TestStatusCodesOfResponses: all others are status codes, whether or not they are registered.
func TestStatusCodesOfResponses(t *testing.T) {
	for _, status := range []string{"200", "299", "399", "418", "499", "500", "599"} {
		server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 "+status+" X\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody")
			return true
		})
		body, err := exchange(NewSender(Config{HeaderFormat: testHeaderFormat{}}), server.target, request("r1"))
		require.NoError(t, err, status)
		require.Equal(t, "body", body)
	}
}

// Guards against a health check whose response is none and that counts as an unhealthy server's report, or
// as a pause or a limit that the server names.
func TestStatusCodesOfHealthChecksThatAreNone(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nX-Instance: s1\r\nX-Load: 4\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			c, err := s.Connect(t.Context(), server.target)
			require.NoError(t, err)
			health, err := c.Check(t.Context(), "/health")
			require.ErrorIs(t, err, ErrUnexpectedResponse)
			require.Nil(t, health.Header)
			s.PutIdle(c)
			require.False(t, s.HasIdle(server.target), "the connection is not used again")
		})
	}
}
