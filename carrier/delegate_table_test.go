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
)

// otherService has the second half of the servers in withTwoServices.
const otherService = "other"

// withTwoServices runs a test on hosts that know two services, of which the one given
// serves the route /x/ at version 1.
func withTwoServices(t *testing.T, test func(f *delegatingFleet)) {
	t.Helper()
	withDelegatingFleet(t, 14, nil, steadyBackends(24), func(f *delegatingFleet) {
		for i := range f.hosts {
			f.setTable(i, 1, "svc")
		}
		test(f)
	})
}

// setTable replaces the route table of a host. Each service also has a route of its own
// from version 2 on.
func (f *delegatingFleet) setTable(host int, version verbenastand.TableVersion, service verbenastand.ServiceName) {
	h := f.hosts[host]
	first := h.table.Routes()[0]
	route := func(name verbenastand.RouteName, prefix string, service verbenastand.ServiceName) verbenastand.Route {
		return verbenastand.NewRoute(verbenastand.RouteConfig{
			Name: name, HostName: first.HostName(), PathPrefix: prefix, RetrySafety: verbenastand.Idempotent, Timeout: first.Timeout(),
			Target: first.Target(), MaxAttempts: 2, Split: []verbenastand.WeightedService{verbenastand.NewWeightedService(service, 1)},
		})
	}
	routes := []verbenastand.Route{route("r", "/x/", service)}
	if version > 1 {
		routes = append(routes, route("added", "/added/", otherService))
	}
	table := verbenastand.NewRouteTable(verbenastand.RouteTableConfig{
		Version: version, Routes: routes, Limits: h.table.Limits(),
		Services: map[verbenastand.ServiceName]verbenastand.ServiceSettings{"svc": {HealthPath: "/health"}, otherService: {HealthPath: "/health"}},
	})
	servers := make(map[verbenastand.ServiceName][]verbenastand.Registration)
	for i := range len(h.servers) {
		s := verbenastand.ServiceName("svc")
		if i >= len(h.servers)/2 {
			s = otherService
		}
		servers[s] = append(servers[s], verbenastand.NewRegistration(verbenastand.RegistrationConfig{
			Server: verbenastand.ServerID(fmt.Sprintf("s%d", i)), Service: s, Zone: "z", Address: fmt.Sprintf("10.0.0.%d:80", i), Slots: 6,
		}))
	}
	h.table = table
	h.carrier.config.Router.Update(table)
	h.setView(verbenastand.NewView(verbenastand.ViewConfig{Table: table, Servers: servers}))
}

// sendTo sends a request for a path to a host and returns its status.
func (f *delegatingFleet) sendTo(host int, path, id string) int {
	conn := f.hosts[host].connect()
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Deadline: 1200\r\nContent-Length: 0\r\n\r\n", path, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// servicesOf returns the services whose servers received requests whose ID has the prefix.
func (f *delegatingFleet) servicesOf(prefix string) map[verbenastand.ServiceName]int {
	counts := make(map[verbenastand.ServiceName]int)
	for _, h := range f.hosts {
		for _, r := range h.requests() {
			if !strings.HasPrefix(r.Header.Get("X-Id"), prefix) {
				continue
			}
			service := verbenastand.ServiceName("svc")
			var number int
			if _, err := fmt.Sscanf(r.server, "s%d", &number); err == nil && number >= len(h.servers)/2 {
				service = otherService
			}
			counts[service]++
		}
	}
	return counts
}

// Guards against delegated requests that are routed by the table of the host that sends
// them, which may be older than the one that the caller's host has already used: a
// change seems undone, or an added route is unknown (issue 44, CONFIG).
func TestDelegatedRequestsFollowTheTableOfTheCallersHost(t *testing.T) {
	cases := []struct {
		name string
		// change gives the hosts other tables; host 0 is cut off from the servers.
		change  func(f *delegatingFleet)
		path    string
		service verbenastand.ServiceName
	}{
		{"the others have not received a moved route", func(f *delegatingFleet) { f.setTable(0, 2, otherService) }, "/x/1", otherService},
		{"the others have not received an added route", func(f *delegatingFleet) { f.setTable(0, 2, otherService) }, "/added/1", otherService},
		{"the others have received a moved route first", func(f *delegatingFleet) {
			for i := 1; i < len(f.hosts); i++ {
				f.setTable(i, 2, otherService)
			}
		}, "/x/1", "svc"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withTwoServices(t, func(f *delegatingFleet) {
				f.cut(cutReset, 0)
				for i := range 40 {
					f.sendTo(0, "/x/1", fmt.Sprintf("early-%d", i))
					time.Sleep(50 * time.Millisecond)
				}
				require.NotZero(t, f.delegated.Load())
				tc.change(f)
				for i := range 20 {
					require.Equal(t, http.StatusOK, f.sendTo(0, tc.path, fmt.Sprintf("late-%d", i)))
				}
				require.Equal(t, map[verbenastand.ServiceName]int{tc.service: 20}, f.servicesOf("late"))
			})
		})
	}
}
