package prober

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/scheduler"
)

// maxSent bounds what a server can send of a header: what the client reads, and what the buffers hold.
const maxSent = 7 << 20

// endlessHeaders are headers without end.
var endlessHeaders = []struct{ name, prefix, filler string }{
	{"no HTTP", "", "\x00\xff"},
	{"a status line", "HTTP/1.1 200 ", "x"},
	{"lines", "HTTP/1.1 200 OK\r\n", "a:\r\n"},
	{"a line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
}

// sendUntilClosed returns the address of a server that sends a prefix and then a filler without end to each
// request, how many bytes it has sent, and a channel that gets a value once a connection has been closed.
func sendUntilClosed(t *testing.T, prefix, filler string) (address string, sent *atomic.Int64, closed <-chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent = &atomic.Int64{}
	ended := make(chan struct{}, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() {
			_ = conn.Close()
			ended <- struct{}{}
		}()
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		for part := prefix; err == nil; part = strings.Repeat(filler, 100) {
			var n int
			n, err = io.WriteString(conn, part)
			sent.Add(int64(n))
		}
	}()
	return l.Addr().String(), sent, ended
}

// Guards against the memory of health checks whose responses don't end (issue 58): 16 may be read at once.
func TestHeadersWithoutEnd(t *testing.T) {
	for _, tc := range endlessHeaders {
		t.Run(tc.name, func(t *testing.T) {
			address, sent, closed := sendUntilClosed(t, tc.prefix, tc.filler)
			began := time.Now()
			ok, report := getHealth(newClient(), verbenastand.NewServer(verbenastand.ServerConfig{Address: address, Slots: 6}))
			require.False(t, ok)
			require.Equal(t, scheduler.NoReport, report)
			<-closed
			require.Less(t, time.Since(began), 10*probeTimeout)
			require.Less(t, sent.Load(), int64(maxSent))
		})
	}
}
