package prober

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/scheduler"
)

// respondOnce returns a server that sends the same bytes to each request.
func respondOnce(t *testing.T, sent string) verbenastand.Server {
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
	return verbenastand.NewServer(verbenastand.ServerConfig{Address: l.Addr().String(), Slots: 6})
}

// Guards against a load report that is taken from bytes that are no response.
func TestFieldsThatAreNone(t *testing.T) {
	for _, line := range []string{"Odd Name: x", "Odd-Name : x", "Odd-Name\t: x", "Odd\x01Name: x", ": x"} {
		server := respondOnce(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+verbenastand.HeaderLoad+": TEXT named_metrics.running=3\r\nContent-Length: 0\r\n\r\n")
		ok, report := getHealth(newClient(), server)
		require.False(t, ok, line)
		require.Equal(t, scheduler.NoReport, report, line)
	}
}
