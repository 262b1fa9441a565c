package balancer

import (
	"errors"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// errRegion means that a server is in a region in which the requests of the route must not run.
var errRegion = errors.New("balancer: the route does not allow the region of the server")

// Allowed reports whether the server is in a region in which the requests of a route may run.
func (s *Server) Allowed(r verbenastand.Route) bool {
	return !r.Regions().Restricted() || r.Regions().Allows(s.service.balancer.config.Regions.Of(s.Registration().Zone()))
}

// usableFor returns the usable servers in the regions of a route.
func (s *Service) usableFor(r verbenastand.Route) []*Server {
	if !r.Regions().Restricted() {
		return s.usable()
	}
	return slices.DeleteFunc(slices.Clone(s.usable()), func(server *Server) bool { return !server.Allowed(r) })
}

// OutsideRegions reports whether the requests of a route may run in some regions only, and no
// server of the service is left there.
func (s *Service) OutsideRegions(r verbenastand.Route) bool {
	return r.Regions().Restricted() && len(s.usableFor(r)) == 0
}

// competes reports whether a request that waits may take a server from w: requests that may run
// in fewer regions, or other ones, leave servers that they can't use.
func (w *waiter) competes(other *waiter) bool {
	regions := other.query.Route.Regions()
	return !regions.Restricted() || regions == w.query.Route.Regions()
}

// firstFor returns the request that is to be sent next to a server, nil if there is none that can be sent.
func (q *queue) firstFor(server *Server, now time.Time) *waiter {
	return q.firstWhere(func(w *waiter) bool { return server.Allowed(w.query.Route) }, now)
}

// firstQueries returns the requests that are to be sent next, one of those of each set of regions, as far as
// they can be sent.
func (q *queue) firstQueries(now time.Time) (queries []Query) {
	known := make(map[verbenastand.Regions]bool)
	for _, w := range q.waiters {
		regions := w.query.Route.Regions()
		if known[regions] || w.blocked {
			continue
		}
		known[regions] = true
		first := q.firstWhere(func(other *waiter) bool { return other.query.Route.Regions() == regions }, now)
		queries = append(queries, first.query)
	}
	return queries
}
