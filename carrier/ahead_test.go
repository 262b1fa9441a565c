package carrier

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/internal/bounder"
)

// Guards against a server that is held by a caller that reads slowly, until it aborts the
// response, while the host has memory; and against more memory than there is, gaps, and memory
// that is not returned.
func TestAResponseIsReadAheadIntoMemory(t *testing.T) {
	const size = 3 << 20
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	cases := []struct {
		name   string
		memory int64
		freed  bool
		// leaves is set if the caller leaves before it reads.
		leaves bool
	}{
		{"memory for all", 8 << 20, true, false},
		{"memory for a part", 2 << 20, false, false},
		{"no memory", 0, false, false},
		{"the caller leaves", 8 << 20, true, true},
		{"the caller leaves, memory for a part", 2 << 20, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var sent atomic.Bool
			ended := make(chan struct{})
			serve := func(conn net.Conn, r *http.Request) {
				defer close(ended)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), size)
				_, err := conn.Write(body)
				sent.Store(err == nil)
			}
			long := func(c *verbenastand.RouteConfig) { c.Timeout = time.Minute }
			withHarness(t, long, []*backend{{serve: serve}}, func(h *harness) {
				h.carrier.responseMemory = bounder.NewBudget(tc.memory)
				conn := h.connect()
				_, err := io.WriteString(conn, "GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n")
				require.NoError(t, err)
				synctest.Wait()
				require.Equal(t, tc.freed, sent.Load())
				if tc.leaves {
					require.NoError(t, conn.Close())
				} else {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					require.NoError(t, err)
					got, err := io.ReadAll(response.Body)
					require.NoError(t, err)
					require.True(t, bytes.Equal(body, got))
				}
				synctest.Wait()
				<-ended
				require.Equal(t, tc.memory, h.carrier.responseMemory.Left())
				require.Zero(t, h.carrier.InFlight())
			})
		})
	}
}
