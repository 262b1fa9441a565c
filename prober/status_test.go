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

// Guards against a load report that is taken from bytes that are no response.
func TestStatusCodesThatAreNone(t *testing.T) {
	for _, tc := range []struct {
		status           string
		healthy, reports bool
	}{{"000", false, false}, {"099", false, false}, {"+20", false, false}, {"600", false, false}, {"999", false, false}, {"200", true, true}, {"503", false, true}} {
		t.Run(tc.status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+tc.status+" X\r\n"+verbenastand.HeaderServerDraining+": true\r\n"+
					verbenastand.HeaderLoad+": TEXT named_metrics.running=3\r\nContent-Length: 0\r\n\r\n")
			}()
			ok, report := getHealth(&http.Client{}, verbenastand.NewServer(verbenastand.ServerConfig{Address: l.Addr().String(), Slots: 6}))
			require.Equal(t, tc.healthy, ok)
			require.Equal(t, tc.reports, report != scheduler.NoReport)
		})
	}
}
