package carrier

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Guards against a host that panics at a request, or does not say that it has not run, if it
// knows the service of the route but no servers of it yet, since its table or that of the host
// that delegates the request has just changed (issue 44, CONFIG).
func TestRequestsOfUnknownServicesAreRefused(t *testing.T) {
	unknown := verbenastand.NewRoute(verbenastand.RouteConfig{
		Name: "new", HostName: "a.example", PathPrefix: "/new/", Timeout: target, Target: target, MaxAttempts: 2,
		Split: []verbenastand.WeightedService{verbenastand.NewWeightedService("new", 1)},
	})
	cases := []struct {
		name   string
		origin *verbenastand.Origin
	}{
		{"a new table of this host", nil},
		{"a route of another host", &verbenastand.Origin{Host: "h9", Caller: "10.0.0.1:1", Service: "new", Route: &unknown, Table: 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, nil, steadyBackends(2), func(h *harness) {
				var conn net.Conn
				if tc.origin == nil {
					h.carrier.config.Router.Update(verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
						Version: 2, Routes: append(h.table.Routes(), unknown), Services: h.table.Services(), Limits: h.table.Limits(),
					}))
					conn = h.connect()
				} else {
					near, far := net.Pipe()
					h.acceptor.ServeDelegated(far, *tc.origin)
					conn = near
				}
				defer func() { _ = conn.Close() }()
				_, _ = fmt.Fprintf(conn, "GET /new/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: early\r\nContent-Length: 0\r\n\r\n")
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
				require.Equal(t, verbenastand.ReasonNoServer.String(), response.Header.Get(verbenastand.HeaderReason))
				require.NotEmpty(t, response.Header.Get("Retry-After"))
				require.Empty(t, h.panics)
			})
		})
	}
}
