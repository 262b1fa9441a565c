package carrier

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	verbenastand "github.com/verbenastand/verbenastand"
)

// replyWithLoad responds after the given time with a load report.
func replyWithLoad(took time.Duration, report func() string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		time.Sleep(took)
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: "+report()))
	}
}

// TestRequestsWaitForTheirTime: pattern: all slots are taken for a while, then free. A request
// whose caller still has the time is served, in time if that is possible and late otherwise.
func TestRequestsWaitForTheirTime(t *testing.T) {
	const work, left = 50 * time.Millisecond, 1500 * time.Millisecond
	cases := []struct {
		taken  time.Duration
		served bool
	}{
		{100 * time.Millisecond, true},
		{300 * time.Millisecond, true},
		{600 * time.Millisecond, true},
		{900 * time.Millisecond, true},
		{1300 * time.Millisecond, true},
		{1600 * time.Millisecond, false},
	}
	for _, tc := range cases {
		t.Run(tc.taken.String(), func(t *testing.T) {
			began := time.Time{}
			report := func() string {
				if time.Since(began) < tc.taken {
					return "6,0,6,1"
				}
				return "0,0,6,1"
			}
			server := func() *backend { return &backend{serve: replyWithLoad(work, report), report: report} }
			withHarness(t, func(c *verbenastand.RouteConfig) { c.Timeout = 2 * time.Second }, []*backend{server(), server()}, func(h *harness) {
				began = time.Now()
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						response, _ := h.call("GET", "/x/1", "", fmt.Sprintf("X-Deadline: %d", left.Milliseconds()))
						took := time.Since(began)
						if tc.served {
							assert.Equal(t, http.StatusOK, response.StatusCode)
							assert.Less(t, took, tc.taken+work+50*time.Millisecond)
							return
						}
						assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
						assert.Less(t, took, left, "refused before the time of the caller is over")
					})
				}
				callers.Wait()
			})
		})
	}
}
