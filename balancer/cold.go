package balancer

import "time"

const (
	// coldPosition is the number of warm servers of the same availability zone that are checked
	// before a cold one: if none of them is lightly loaded, the zone counts as saturated.
	coldPosition = 2
	// coldCheckInterval is the time between two checks of a cold server for requests that wait.
	// The load that other tenants put on a machine lasts longer.
	coldCheckInterval = 60 * time.Millisecond
)

// limitsCold reports whether cold servers of the service have a limit.
func (s *Service) limitsCold() bool { return s.settings.Load().WarmupRate > 0 }

// advanceCold moves the first cold candidate of the local availability zone forward, so that it
// is checked after a few warm ones. There is a cold candidate only while this host may send it a
// request.
func advanceCold(list []candidate) {
	for i, c := range list {
		if !c.cold || c.crossZone || c.tier != tierPreferred {
			continue
		}
		if i > coldPosition {
			copy(list[coldPosition+1:i+1], list[coldPosition:i])
			list[coldPosition] = c
		}
		return
	}
}

// inTime reports whether a server that is slower than usual responds within the target latency
// of a request, or within its deadline if the target can't be met any more.
func (c Choice) inTime(q Query, now time.Time) bool {
	latest := q.InTimeBy
	if now.After(latest) {
		latest = q.StartBy
	}
	extra := c.Estimate - c.Server.service.Expected(q.Route)
	return c.unsaturated() && !now.Add(extra).After(latest)
}

// unreported returns the choice of a server that reports no load.
func (s *Server) unreported(q Query, conn Conn) Choice {
	expected := s.service.Expected(q.Route)
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service.limitsCold() && s.warmingLocked(now) {
		return Choice{Server: s, Conn: conn, Estimate: warmupFactor * expected, Cold: true}
	}
	return Choice{Server: s, Conn: conn, Estimate: expected, LightlyLoaded: true}
}

// checkCold checks the cold server that was checked the longest time ago and assigns it to a
// request that waits.
func (s *Service) checkCold(q Query, candidates []candidate) {
	var oldest candidate
	for _, c := range candidates {
		if c.cold && c.tier == tierPreferred && (oldest.server == nil || c.lastReport.Before(oldest.lastReport)) {
			oldest = c
		}
	}
	if oldest.server != nil && s.clock.Now().Sub(oldest.lastReport) >= coldCheckInterval {
		s.checkAndGrant(q, oldest.server)
	}
}

// offerCapacity assigns the free capacity of a server that has just reported its load to
// waiting requests. If the server may have become cold since its last health check, it is
// checked again before.
func (s *Service) offerCapacity(server *Server) {
	if server.limiter().Current(server.Registration().Process()) {
		s.grantCapacity(server, nil)
		return
	}
	s.mu.Lock()
	first := s.queue.firstFor(server, s.clock.Now())
	s.mu.Unlock()
	if first != nil {
		go s.checkAndGrant(first.query, server)
	}
}
