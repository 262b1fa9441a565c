package connector

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against bytes that pass for a response because their status code has three digits. The
// host's server panics if it is to send a status below 100.
func TestStatusCodesThatAreNone(t *testing.T) {
	const refusal = verbenastand.HeaderVerdict + ": notRun\r\n"
	for _, status := range []string{"000", "020", "099", "+20", "600", "999"} {
		for _, field := range []string{"", refusal} {
			for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbody"} {
				t.Run(status+field+body, func(t *testing.T) {
					ended := make(chan struct{})
					address := listen(t, func(conn net.Conn) {
						defer close(ended)
						reader := bufio.NewReader(conn)
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\n"+field+body)
						_, _ = io.Copy(io.Discard, reader)
					})
					var reported error
					c := NewConnector(Config{MaxConnections: 1, OnResult: func(_ verbenastand.Server, _ bool, err error) { reported = err }})
					defer c.Close()
					response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: address}), keyedRequest(t, address))
					if err == nil {
						_ = response.Body.Close()
					}
					require.ErrorIs(t, err, ErrMalformedResponse)
					require.NotErrorIs(t, err, ErrConnectionLost)
					require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
					require.ErrorIs(t, reported, verbenastand.ErrInvalidStatus)
					select {
					case <-ended:
					case <-time.After(5 * time.Second):
						require.Fail(t, "the connection is still open")
					}
				})
			}
		}
	}
}
