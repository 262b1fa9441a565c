package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/retrier"
)

// Guards against a process that ends, with the requests of all callers, because the handling of
// one request panics.
func TestAPanicEndsOnlyItsRequest(t *testing.T) {
	serve := func(conn net.Conn, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		load := "1,0,6,1"
		if r.URL.Path == "/x/panic" {
			load = "panic"
		}
		_, _ = io.WriteString(conn, okResponse(r, "body", "X-Load: "+load))
	}
	cases := []struct {
		name    string
		prepare func(h *harness)
	}{
		{"while an attempt is made", func(*harness) {}},
		{"before a server is chosen", func(h *harness) {
			h.carrier.config.NewBudget = func(verbenastand.ServiceName) *retrier.WindowBudget { panic("budget") }
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, nil, []*backend{{name: "s1", serve: serve}}, func(h *harness) {
				conn := h.connect()
				response, _ := h.callOn(conn, "GET", "/x/first", "")
				require.Equal(t, http.StatusOK, response.StatusCode)
				h.carrier.mu.Lock()
				clear(h.carrier.budgets)
				h.carrier.mu.Unlock()
				budget := h.carrier.config.NewBudget
				tc.prepare(h)
				_, err := fmt.Fprintf(conn, "GET /x/panic HTTP/1.1\r\nHost: a.example\r\nX-Id: p1\r\n\r\n")
				require.NoError(t, err)
				response, err = http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
				require.Equal(t, verbenastand.MayHaveRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
				h.mu.Lock()
				require.NotEmpty(t, h.panics)
				h.mu.Unlock()
				h.carrier.config.NewBudget = budget
				response, _ = h.callOn(conn, "GET", "/x/after", "")
				require.Equal(t, http.StatusOK, response.StatusCode, "the connection and the server stay in use")
			})
		})
	}
}
