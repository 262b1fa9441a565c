package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/fake"
)

// Guards against responses with an invalid line in their header that are delivered (issue 58).
func TestFieldsThatAreNone(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, line := range fake.InvalidFields() {
		for name, sent := range map[string]string{
			"first":                     ok + line + "\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody",
			"last":                      ok + "X-Id: r1\r\nContent-Length: 4\r\nX-Signature: s\r\n" + line + "\r\n\r\nbody",
			"without another length":    ok + "X-Id: r1\r\nX-Signature: s\r\n" + line + "\r\n\r\nbody and more",
			"a refusal":                 "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n",
			"an interim response":       "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\n" + okResponse("r1", "body"),
			"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "X-Id: r1\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
			"a late response":           ok + "X-Id: r0\r\n" + line + "\r\nContent-Length: 4\r\n\r\nlate" + okResponse("r1", "body"),
			"after a late response":     okResponse("r0", "late") + ok + "X-Id: r1\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody",
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					_, _ = io.WriteString(conn, sent)
					return name != "without another length"
				})
				s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				c, err := s.Connect(ctx, server.target)
				require.NoError(t, err)
				_, err = c.Exchange(ctx, request("r1"))
				require.ErrorIs(t, err, ErrUnexpectedResponse)
				require.NotErrorIs(t, err, ErrConnectionLost)
				require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
				s.PutIdle(c)
				require.False(t, s.HasIdle(server.target), "the connection is not used again")
			})
		}
	}
}

// Guards against trailers with such a line.
func TestTrailersThatAreNone(t *testing.T) {
	for _, tc := range []struct {
		trailers string
		valid    bool
	}{{"", true}, {"X-T: 1\r\n", true}, {"Odd Name: x\r\n", false}, {"X-T: 1\r\nOdd-Name : x\r\n", false}, {"Odd\x01Name: x\r\n", false}} {
		server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, okHead+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+tc.trailers+"\r\n")
			return true
		})
		s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
		body, err := exchange(s, server.target, request("r1"))
		require.Equal(t, tc.valid, s.HasIdle(server.target))
		if tc.valid {
			require.NoError(t, err)
			require.Equal(t, "body", body)
			continue
		}
		require.ErrorIs(t, err, ErrUnexpectedResponse, "%q", tc.trailers)
		require.NotErrorIs(t, err, ErrConnectionLost)
		require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
	}
}

// Guards against a report of health or load in such a header.
func TestFieldsOfHealthChecksThatAreNone(t *testing.T) {
	for _, line := range fake.InvalidFields() {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Instance: s1\r\nX-Load: 4\r\nContent-Length: 0\r\nDate: today\r\n"+line+"\r\n\r\n")
				return true
			})
			s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c, err := s.Connect(ctx, server.target)
			require.NoError(t, err)
			health, err := c.Check(ctx, "/health")
			require.ErrorIs(t, err, ErrUnexpectedResponse)
			require.Nil(t, health.Header)
			s.PutIdle(c)
			require.False(t, s.HasIdle(server.target), "the connection is not used again")
		})
	}
}

// TestFieldsOfSoundServers: unusual names and values are still delivered.
func TestFieldsOfSoundServers(t *testing.T) {
	const fields = "x!#$%&'*+-.^_`|~09: a : b\tc \r\nEmpty:\r\nLATIN: \xe9\r\n"
	server := newScriptedServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n"+"HTTP/1.1 200\r\n"+fields+"X-Id: r1\r\nContent-Length: 4\r\n\r\nbody")
		return true
	})
	s := NewSender(Config{HeaderFormat: testHeaderFormat{}})
	for range 3 {
		body, err := exchange(s, server.target, request("r1"))
		require.NoError(t, err)
		require.Equal(t, "body", body)
	}
	require.EqualValues(t, 1, server.connections.Load())
}
