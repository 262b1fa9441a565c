package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
)

// testRegions are the regions of the zones in the tests. The zone "nowhere" has none.
var testRegions = verbenastand.ZoneRegions{"here": "north", "near": "north", "far": "south"}

func inZone(zone verbenastand.Zone) func(*verbenastand.RegistrationConfig) {
	return func(c *verbenastand.RegistrationConfig) { c.Zone = zone }
}

// allowing returns a route whose requests may run in some regions only.
func allowing(regions ...verbenastand.Region) verbenastand.Route {
	return verbenastand.NewRoute(verbenastand.RouteConfig{
		Name: "r", Target: testRoute.Target(), MaxAttempts: 2, RetrySafety: verbenastand.Idempotent, Regions: verbenastand.NewRegions(regions),
	})
}

// Guards against servers outside of the regions of a route that are chosen or checked for its
// requests, whatever state the others are in.
func TestServersOutsideTheRegionsAreNotChosen(t *testing.T) {
	list := []verbenastand.Registration{
		registration("here", nil), registration("near", inZone("near")), registration("far", inZone("far")), registration("nowhere", inZone("nowhere")),
	}
	cases := []struct {
		name  string
		route verbenastand.Route
		want  []verbenastand.ServerID
	}{
		{"all regions", testRoute, []verbenastand.ServerID{"far", "here", "near", "nowhere"}},
		{"the host's region", allowing("north"), []verbenastand.ServerID{"here", "near"}},
		{"another region", allowing("south"), []verbenastand.ServerID{"far"}},
		{"two regions", allowing("south", "north"), []verbenastand.ServerID{"far", "here", "near"}},
		{"a region without servers", allowing("west"), nil},
		{"no region", allowing(), nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(list...)
			s := h.balancer.Service("s")
			var chosen []verbenastand.ServerID
			for range list {
				c, err := s.Choose(t.Context(), Query{Route: tc.route, Tried: triedOf(h, chosen)})
				if err != nil {
					require.ErrorIs(t, err, ErrNoServer)
					break
				}
				chosen = append(chosen, c.Server.Registration().Server())
				c.Release()
			}
			require.ElementsMatch(t, tc.want, chosen)
			require.Equal(t, len(tc.want) == 0, s.OutsideRegions(tc.route))
			for id, f := range h.fakeServers {
				if !slices.Contains(tc.want, id) {
					require.Zero(t, f.checks, id)
				}
			}
			reasons := make(map[string]int)
			for _, c := range s.Explain(Query{Route: tc.route}).Candidates {
				reasons[ExclusionReason(c.Excluded)]++
			}
			require.Equal(t, len(list)-len(tc.want), reasons["region"])
		})
	}
}

func triedOf(h *harness, ids []verbenastand.ServerID) (servers []*Server) {
	for _, id := range ids {
		servers = append(servers, h.server(id))
	}
	return servers
}

// Guards against a request that waits for a server in a region that is full, and is given one that is
// free elsewhere or holds up requests that may run there, and against requests that wait on while no
// server is left.
func TestWaitingRequestsKeepToTheirRegions(t *testing.T) {
	h := newHarness(registration("here", nil), registration("far", inZone("far")))
	s := h.balancer.Service("s")
	s.queue.checking = true
	later := h.clock.Now().Add(time.Hour)
	add := func(route verbenastand.Route) *waiter {
		w := &waiter{query: Query{Route: route, InTimeBy: later, StartBy: later}, arrived: h.clock.Now(), granted: make(chan grant, 1)}
		s.queue.waiters = append(s.queue.waiters, w)
		h.clock.Advance(time.Millisecond)
		return w
	}
	restricted, other, none := add(allowing("north")), add(testRoute), add(allowing("west"))
	far := h.server("far")
	far.setReport(lightLoad(), h.clock.Now())
	s.grantCapacity(far, nil)
	require.Equal(t, far, (<-other.granted).choice.Server)
	require.Equal(t, []*waiter{restricted, none}, s.queue.waiters)
	require.Len(t, s.queue.firstQueries(h.clock.Now()), 2)
	s.findCapacity(none.query)
	require.ErrorIs(t, (<-none.granted).err, ErrNoServer)
	require.Equal(t, []*waiter{restricted}, s.queue.waiters, "another request has no server")
	s.findCapacity(restricted.query)
	require.Equal(t, h.server("here"), (<-restricted.granted).choice.Server)
}

// Guards against waits that are predicted by requests and servers of other regions: a request would be
// refused although its servers are free.
func TestWaitsOfARegion(t *testing.T) {
	h := newHarness(registration("here", nil), registration("far", inZone("far")))
	s := h.balancer.Service("s")
	s.queue.checking = true
	now := h.clock.Now()
	newWaiter := func(route verbenastand.Route, within time.Duration) *waiter {
		return &waiter{query: Query{Route: route, InTimeBy: now.Add(within), StartBy: now.Add(within)}, arrived: now, granted: make(chan grant, 1)}
	}
	for range 100 {
		s.queue.waiters = append(s.queue.waiters, newWaiter(allowing("north"), base/2))
	}
	require.ErrorIs(t, s.enqueue(newWaiter(allowing("north"), base)), ErrNoCapacity)
	require.NoError(t, s.enqueue(newWaiter(allowing("south"), base)))
	require.NoError(t, s.enqueue(newWaiter(testRoute, base)))
	for range 100 {
		s.queue.waiters = append(s.queue.waiters, newWaiter(testRoute, base/2))
	}
	require.ErrorIs(t, s.enqueue(newWaiter(allowing("south"), base)), ErrNoCapacity)
	s.refuseHopeless()
	require.NotEmpty(t, s.queue.waiters)
}

// TestTheOrderOfUnrestrictedRequests: requests of routes that allow all regions are sent in the same
// order as before.
func TestTheOrderOfUnrestrictedRequests(t *testing.T) {
	h := newHarness(registration("here", nil))
	server := h.server("here")
	rapid.Check(t, func(t *rapid.T) {
		now := h.clock.Now()
		q := newQueue(true)
		for range rapid.IntRange(1, 20).Draw(t, "waiters") {
			q.waiters = append(q.waiters, drawWaiter(t, now))
		}
		first, firstFor := q.first(now), q.firstFor(server, now)
		a, b := q.entry(first, first.class(now), now), q.entry(firstFor, firstFor.class(now), now)
		require.Zero(t, a.compare(&b))
		queries := q.firstQueries(now)
		require.Len(t, queries, 1)
	})
}

// TestRegionsUnderLoad: pattern: as many requests as the servers of all regions can hold, of four routes
// with different regions, that come and end at random. No server gets a request of a route that does
// not allow its region, and no request waits while one of its servers is free.
func TestRegionsUnderLoad(t *testing.T) {
	var list []verbenastand.Registration
	for i, zone := range []verbenastand.Zone{"here", "near", "far", "nowhere", "here", "far"} {
		list = append(list, registration(fmt.Sprint("s", i), inZone(zone)))
	}
	routes := []verbenastand.Route{testRoute, allowing("north"), allowing("south"), allowing("north", "south")}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(list...)
		s := h.balancer.Service("s")
		s.queue.checking = true
		var granted []*waiter
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			h.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			now := h.clock.Now()
			if rapid.Bool().Draw(t, "arrives") {
				w := &waiter{query: Query{Route: rapid.SampledFrom(routes).Draw(t, "route"), InTimeBy: now.Add(time.Hour), StartBy: now.Add(time.Hour)}, arrived: now, granted: make(chan grant, 1)}
				s.queue.waiters = append(s.queue.waiters, w)
				granted = append(granted, w)
				continue
			}
			server := h.server(rapid.SampledFrom(list).Draw(t, "server").Server())
			server.setReport(lightLoad(), now)
			s.grantCapacity(server, nil)
			choice, free := server.estimate(Query{Route: testRoute}, time.Hour)
			for _, w := range s.queue.waiters {
				require.False(t, free && choice.LightlyLoaded && server.Allowed(w.query.Route), "a free server, and a request that waits")
			}
			for _, w := range granted {
				select {
				case g := <-w.granted:
					require.True(t, g.choice.Server.Allowed(w.query.Route))
					require.True(t, w.query.Route.Regions().Allows(testRegions.Of(g.choice.Server.Registration().Zone())))
					g.choice.Release()
				default:
				}
			}
		}
	})
}
