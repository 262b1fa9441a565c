package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

// Guards against a large upload whose caller breaks it off, and for which the server is
// taken for crashed and the request for what has crashed it.
func TestAnUploadThatBreaksOffIsNoEvidence(t *testing.T) {
	const part = "8000\r\n"
	cases := []struct {
		name, rest string
		leaves     bool
	}{
		{"a malformed chunk", "x\r\n", false},
		{"the caller stalls", "8000\r\nabc", false},
		{"the caller leaves", "8000\r\nabc", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, func(c *verbenastand.RouteConfig) { c.RetrySafety, c.Timeout = verbenastand.AtMostOnce, 30*time.Second }, []*backend{{serve: reply(0)}}, func(h *harness) {
				conn := h.connect()
				go func() {
					_, _ = fmt.Fprint(conn, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n")
					for range 10 {
						_, _ = fmt.Fprint(conn, part, strings.Repeat("x", 0x8000), "\r\n")
					}
					_, _ = io.WriteString(conn, tc.rest)
					if tc.leaves {
						_ = conn.Close()
					}
				}()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if tc.leaves {
					require.Error(h.t, err)
				} else {
					require.NoError(h.t, err)
					require.Equal(h.t, http.StatusBadGateway, response.StatusCode, "a part was sent to a server")
					require.Equal(h.t, verbenastand.ReasonBadRequest.String(), response.Header.Get(verbenastand.HeaderReason))
				}
				time.Sleep(time.Second)
				for _, e := range h.endedAttempts() {
					require.Equal(h.t, balancer.Abandoned, e.Result)
				}
				require.NotEmpty(h.t, h.endedAttempts())
				require.False(h.t, h.carrier.config.Quarantiner.PossiblySuspected(h.lastFingerprint()))
			})
		})
	}
}

// endedAttempts returns the events of attempts, which name a server and are no responses.
func (h *harness) endedAttempts() (ended []Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.Attempt > 0 && e.Delegate == "" {
			ended = append(ended, e)
		}
	}
	return ended
}
