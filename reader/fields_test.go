package reader

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// respondOnce returns the URL of a platform that sends the same bytes to each request.
func respondOnce(t *testing.T, sent string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, sent)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against lists of the platform that are taken from bytes that are no response.
func TestInvalidResponses(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 200 OK\r\nOdd Name: x\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"HTTP/1.1 200 OK\r\nOdd\x01Name: x\r\n", "HTTP/1.1 200 OK\r\nOdd-Name\t: x\r\n",
	} {
		_, err := NewReader(Config{URL: respondOnce(t, head+"\r\n[]")}).Hosts(t.Context())
		require.Error(t, err, "%q", head)
	}
	_, err := NewReader(Config{URL: respondOnce(t, "HTTP/1.1 200 OK\r\n\r\n[]")}).Hosts(t.Context())
	require.NoError(t, err)
}
