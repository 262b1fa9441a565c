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

// openEarly opens a connection to a server that responds to a request before it has read its body.
// The connections are in memory: a write to one that the server has closed fails as after a reset.
func openEarly(respond func(conn net.Conn, r *http.Request)) func(string) (net.Conn, error) {
	return func(string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			for reader := bufio.NewReader(far); ; {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if r.URL.Path != "/health" {
					respond(far, r)
					return
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nX-Load: 1,0,6,1\r\nContent-Length: 0\r\n\r\n")
			}
		}()
		return near, nil
	}
}

// sendEarly sends an upload and returns the status of the response, zero if there is none, and whether
// its body is complete.
func sendEarly(conn net.Conn, id string) (status int, header http.Header, body string, complete bool) {
	defer func() { _ = conn.Close() }()
	const size = 700_000
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /x/%s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, id, size, strings.Repeat("x", size))
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, "", false
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err == nil
}

// Guards against a part of a response that callers get as the whole, at the host that sends the request
// and at one that has let another host send it (issue 58).
func TestEarlyResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: signed\r\nX-Id: "
	cases := []struct {
		name    string
		respond func(conn net.Conn, r *http.Request)
		status  int
		body    string
	}{
		{"broken off", func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, head+r.Header.Get("X-Id")+"\r\n\r\npart")
			// The host writes the upload.
			time.Sleep(delay)
		}, http.StatusBadGateway, ""},
		{"with a length", func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, head+r.Header.Get("X-Id")+"\r\nContent-Length: 4\r\n\r\nbody")
			_, _ = io.Copy(io.Discard, r.Body)
		}, http.StatusOK, "body"},
		{"closed after the upload", func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, head+r.Header.Get("X-Id")+"\r\n\r\nbody")
			_, _ = io.Copy(io.Discard, r.Body)
		}, http.StatusOK, "body"},
	}
	for _, tc := range cases {
		check := func(t *testing.T, conn net.Conn, id string) {
			status, header, body, complete := sendEarly(conn, id)
			require.Equal(t, tc.status, status)
			require.Equal(t, tc.body, body)
			require.True(t, complete)
			if status != http.StatusOK {
				require.Equal(t, verbenastand.MayHaveRun.String(), header.Get(verbenastand.HeaderVerdict))
			}
		}
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, atMostOnce, []*backend{{}, {}}, func(h *harness) {
				h.open = openEarly(tc.respond)
				check(t, h.connect(), "direct")
			})
		})
		t.Run(tc.name+", sent by another host", func(t *testing.T) {
			withDelegatingFleet(t, 3, atMostOnce, steadyBackends(2), func(f *delegatingFleet) {
				f.cutOff(cutReset, 0)
				for _, h := range f.hosts[1:] {
					h.open = openEarly(tc.respond)
					h.carrier.config.Sender.CloseIdle()
				}
				before := f.delegated.Load()
				check(t, f.hosts[0].connect(), "delegated")
				require.Greater(t, f.delegated.Load(), before)
			})
		})
	}
}
