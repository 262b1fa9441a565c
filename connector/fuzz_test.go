package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// FuzzRoundTrip reads an arbitrary stream as the response to a request. What it returns as a response must
// have a valid status and valid names, and a body of the length that is announced.
func FuzzRoundTrip(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nOdd Name: x\r\nContent-Length : 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nA: b\r\n c: d\r\n\r\nHTTP/1.1 503 X\r\nVerbenastand-Verdict: notRun\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 OK\r\n\r\nuntil the end"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := NewConnector(Config{MaxConnections: 1, MaxUnframedBody: 1 << 20})
		defer c.Close()
		c.transport.DialContext = dialServer(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				_ = far.SetDeadline(time.Now().Add(5 * time.Second))
				if r, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = far.Write(stream)
				}
			}()
			return near, nil
		})
		r := keyedRequest(t, "10.0.0.1:80")
		response, err := c.RoundTrip(verbenastand.NewServer(verbenastand.ServerConfig{Address: "10.0.0.1:80"}), r)
		if err != nil {
			require.Equal(t, verbenastand.MayHaveRun, verbenastand.VerdictOf(err))
			return
		}
		require.NoError(t, verbenastand.CheckResponse(response))
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.ContentLength > 0 {
			require.Len(t, body, int(response.ContentLength))
		}
		if err == nil {
			require.NoError(t, verbenastand.CheckFields(response.Trailer))
		}
	})
}
