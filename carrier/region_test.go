package carrier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/acceptor"
)

// testRegions are the regions of the zones of servers. That of "z2" is not known.
var testRegions = verbenastand.ZoneRegions{"z0": "north", "z1": "south"}

func allow(regions ...verbenastand.Region) func(*verbenastand.RouteConfig) {
	return func(c *verbenastand.RouteConfig) {
		c.MaxAttempts, c.Regions = 6, verbenastand.NewRegions(regions)
	}
}

// requestsIn returns the number of requests that the servers of a zone have received.
func (h *harness) requestsIn(z verbenastand.Zone) (n int) {
	for _, r := range h.requests() {
		if zoneOfServer(r.server) == z {
			n++
		}
	}
	return n
}

// Guards against first attempts, retries and hedged requests outside of the regions of their route, in
// zones whose region is not known among them.
func TestServersOutsideTheRegionsReceiveNothing(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(net.Conn, *http.Request)
		status int
	}{
		{"first attempts", reply(delay), http.StatusOK},
		{"retries of refused requests", replyWith("HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusServiceUnavailable},
		{"retries of failed requests", replyWith("HTTP/1.1 500 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"), http.StatusInternalServerError},
		{"retries of lost connections", func(conn net.Conn, _ *http.Request) { _ = conn.Close() }, http.StatusBadGateway},
		{"hedged requests", reply(700 * time.Millisecond), http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, allow("north"), newBackends(9, tc.serve), func(h *harness) {
				h.evacuate()
				for i := range 30 {
					h.changeCaller(i)
					response, _ := h.call("GET", fmt.Sprint("/x/", i), "")
					require.NotNil(t, response)
					require.Equal(t, tc.status, response.StatusCode)
				}
				require.Positive(t, h.requestsIn("z0"))
				require.Zero(t, h.requestsIn("z1")+h.requestsIn("z2"))
			})
		})
	}
}

// Guards against requests that wait, are delegated, are sent elsewhere or get a false verdict if no
// server is left in the regions of their route.
func TestRequestsOutsideOfAllRegionsAreRefused(t *testing.T) {
	cases := []struct {
		name      string
		regions   []verbenastand.Region
		evacuated []verbenastand.Zone
	}{
		{"no region", nil, nil},
		{"a region without servers", []verbenastand.Region{"west"}, nil},
		{"the zones of the region are evacuated", []verbenastand.Region{"north"}, []verbenastand.Zone{"z0"}},
	}
	for _, tc := range cases {
		for _, method := range []string{"GET", "POST"} {
			t.Run(tc.name+", "+method, func(t *testing.T) {
				withHarness(t, allow(tc.regions...), newBackends(6, reply(delay)), func(h *harness) {
					h.carrier.config.Delegator = noDelegator{t}
					h.evacuate(tc.evacuated...)
					began := time.Now()
					response, _ := h.call(method, "/x/1", "body")
					require.Zero(t, time.Since(began))
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					require.NotEmpty(t, response.Header.Get("Retry-After"))
					require.Equal(t, verbenastand.NotRun.String(), response.Header.Get(verbenastand.HeaderVerdict))
					synctest.Wait()
					require.ErrorIs(t, h.events[len(h.events)-1].Err, errOutsideRegions)
					require.Empty(t, h.requests())
					require.Equal(t, RefusedStep, h.carrier.Explain(RouteQuery{HostName: "a.example", Path: "/x/1"}).Step)
				})
			})
		}
	}
}

// Guards against a host that sends a request which another one has delegated to a server outside of
// the regions that the other one knows for its route, although its own table allows all.
func TestDelegatedRequestsKeepToTheirRegions(t *testing.T) {
	for _, regions := range []verbenastand.Regions{verbenastand.NewRegions([]verbenastand.Region{"south"}), verbenastand.NewRegions(nil)} {
		withHarness(t, nil, newBackends(9, reply(delay)), func(h *harness) {
			h.evacuate()
			route := verbenastand.NewRoute(verbenastand.RouteConfig{
				Name: "r", HostName: "a.example", PathPrefix: "/x/", RetrySafety: verbenastand.Idempotent, Timeout: time.Second, Target: target, MaxAttempts: 2, Regions: regions,
			})
			for i := range 20 {
				near, far := net.Pipe()
				h.t.Cleanup(func() { _ = near.Close() })
				go h.acceptor.ServeDelegated(far, verbenastand.Origin{Host: "other", Caller: fmt.Sprintf("10.2.0.%d:1", i), Service: "svc", Route: &route, Table: 9})
				response, _ := h.callOn(near, "GET", fmt.Sprint("/x/", i), "")
				want := http.StatusOK
				if len(regions.Names()) == 0 {
					want = http.StatusServiceUnavailable
				}
				require.Equal(t, want, response.StatusCode)
			}
			require.Zero(t, h.requestsIn("z0")+h.requestsIn("z2"))
		})
	}
}

// regionalDelegator records the regions for which hosts are selected.
type regionalDelegator struct{ selected []verbenastand.Regions }

func (d *regionalDelegator) Select(_ []verbenastand.HostID, r verbenastand.Regions) (verbenastand.Host, error) {
	d.selected = append(d.selected, r)
	return verbenastand.Host{}, errors.New("no host in the region")
}
func (d *regionalDelegator) Release(verbenastand.Host) {}
func (d *regionalDelegator) Connect(context.Context, verbenastand.Host, verbenastand.Origin) (net.Conn, error) {
	return nil, errors.New("not selected")
}

// Guards against a body that is sent to any host while this one reaches no server, and against other
// routes of a service that are refused because no host in the regions of one reaches it.
func TestHostsAreSelectedByTheRegionsOfARoute(t *testing.T) {
	withHarness(t, allow("north"), newBackends(9, reply(delay)), func(h *harness) {
		d := h.detect()
		h.evacuate()
		h.link = &link{}
		h.link.set(cutRefuse)
		hosts := &regionalDelegator{}
		for range 30 {
			_, _ = h.call("GET", "/x/1", "")
			d.Tick(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		require.True(t, d.Cut("svc"))
		h.carrier.config.Delegator = hosts
		response, _ := h.call("POST", "/x/1", "body")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, hosts.selected)
		for _, r := range hosts.selected {
			require.Equal(t, verbenastand.NewRegions([]verbenastand.Region{"north"}), r)
		}
		now := h.carrier.config.Clock.Now()
		r := &runner{call: &call{carrier: h.carrier, request: &acceptor.Request{}, serviceName: "svc", route: h.table.Routes()[0]}}
		r.delegates = make([]verbenastand.HostID, maxDelegations)
		require.False(t, r.delegate())
		require.False(t, h.carrier.unserved.includes("svc", now))
	})
}
