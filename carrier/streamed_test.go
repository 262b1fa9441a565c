package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against requests that are passed on behind a long response, and lost with the
// connection when its server breaks it off (review/3).
func TestRequestsBehindALongResponseAreNotLost(t *testing.T) {
	const length, sent = 2 << 20, 3 << 19
	serve := func(conn net.Conn, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/long/") {
			time.Sleep(delay)
			_, _ = io.WriteString(conn, okResponse(r, "short"))
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("X-Id"), length)
		_, _ = conn.Write(make([]byte, sent))
		if strings.HasSuffix(r.URL.Path, "/cut") {
			time.Sleep(delay)
			_ = conn.Close()
			return
		}
		_, _ = conn.Write(make([]byte, length-sent))
	}
	for _, safety := range []verbenastand.RetrySafety{verbenastand.Idempotent, verbenastand.Bulk} {
		withHarness(t, nil, []*backend{{serve: serve}, {serve: serve}}, func(h *harness) {
			h.addRoute(verbenastand.RouteConfig{Name: "long", PathPrefix: "/long/", RetrySafety: safety, Timeout: 10 * time.Second, Target: time.Second, MaxAttempts: 1})
			answered, passedOn := make(map[string]bool), 0
			for round := range 6 {
				ending := "/cut"
				if round%2 == 0 {
					ending = ""
				}
				paths := []string{fmt.Sprint("/long/", round, ending), fmt.Sprint("/x/a", round), fmt.Sprint("/x/b", round), fmt.Sprint("/x/c", round)}
				conn := h.connect()
				go func() {
					for _, path := range paths {
						_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\n\r\n", path, path)
					}
				}()
				reader := bufio.NewReader(conn)
				for _, path := range paths {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					if _, err := io.Copy(io.Discard, response.Body); err != nil {
						break
					}
					require.Equal(t, http.StatusOK, response.StatusCode)
					answered[path] = true
				}
				require.Equal(t, ending == "", answered[paths[3]], "round %d", round)
				_ = conn.Close()
				time.Sleep(time.Second)
			}
			for _, r := range h.requests() {
				if strings.HasPrefix(r.URL.Path, "/x/") {
					passedOn++
					require.True(t, answered[r.URL.Path], "%s was passed on and lost", r.URL.Path)
				}
			}
			require.Equal(t, 9, passedOn)
		})
	}
}
