package balancer

import (
	"context"
	"slices"
	"time"
)

const (
	// checkInterval is the time between two rounds of checks while requests wait; the
	// load that other tenants put on a machine changes within tens of milliseconds.
	checkInterval = 15 * time.Millisecond
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 256
)

func (s *Service) grantLocked(w *waiter, c Choice, now time.Time) {
	class := w.class(now)
	s.queue.remove(w)
	s.recordUsageLocked(w, now)
	for other, b := range s.queue.backlogs {
		if class.compare(other) < 0 && len(s.queue.waiters) > 0 {
			b.recordOvertaken(now)
		} else {
			b.recordGrant(now)
		}
	}
	if c.LightlyLoaded {
		s.queue.lightlyLoadedAt = now
	}
	c.Waited = true
	w.granted <- grant{choice: c}
}

// grantCapacity assigns the free capacity of a server that has just reported its
// load to waiting requests. The first of them gets conn; without one it is released.
func (s *Service) grantCapacity(server *Server, conn Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blockLocked(server)
	for {
		now := s.clock.Now()
		w := s.queue.firstFor(server, now)
		if w == nil {
			break
		}
		choice, ok := server.reserve(w.query, Choice.lightlyLoaded)
		if !ok && !server.hasBodyRoom(s.balancer.bodyCharge(w.query)) {
			w.blocked = true
			continue
		}
		if !ok {
			break
		}
		choice.Conn, conn = conn, nil
		s.grantLocked(w, choice, now)
	}
	if conn != nil {
		conn.Release()
	}
}

func (c Choice) lightlyLoaded() bool { return c.LightlyLoaded }

// grantSlow assigns a server that is slower than usual to the first waiting request that takes
// it.
func (s *Service) grantSlow(server *Server, conn Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, e := range s.queue.line(s.workOf, now).entries {
		w := e.waiter
		if !server.Allowed(w.query.Route) {
			continue
		}
		choice, ok := server.reserve(w.query, func(c Choice) bool { return s.takesSlowLocked(w, c, now) })
		if ok {
			choice.Conn = conn
			s.grantLocked(w, choice, now)
			return
		}
	}
	if conn != nil {
		conn.Release()
	}
}

func (c Choice) unsaturated() bool { return !c.Saturated && !c.Full }

// takesSlowLocked reports whether a request is sent to a server that is slower than usual: it
// responds in time, and none that is lightly loaded was found for as long as the request can
// gain by waiting for one. Its slot is taken for longer, too.
func (s *Service) takesSlowLocked(w *waiter, offer Choice, now time.Time) bool {
	if offer.Cold {
		return offer.inTime(w.query, now)
	}
	extra := offer.Estimate - s.Expected(w.query.Route)
	return offer.unsaturated() && !now.Add(extra).After(w.query.StartBy) && now.Sub(s.queue.lightlyLoadedAt) >= extra
}

// checkServers checks servers until no request waits.
func (s *Service) checkServers() {
	for {
		s.refuseHopeless()
		s.mu.Lock()
		s.refuseUnsharedLocked()
		s.blockLocked(s.usable()...)
		if len(s.queue.waiters) == 0 {
			s.queue.checking = false
			s.mu.Unlock()
			return
		}
		queries := s.queue.firstQueries(s.clock.Now())
		for i, q := range queries {
			queries[i] = s.withoutBodyLocked(q)
		}
		s.mu.Unlock()
		for _, q := range queries {
			s.findCapacity(q)
		}
		time.Sleep(checkInterval)
	}
}

// findCapacity looks for a server for the requests that wait.
func (s *Service) findCapacity(q Query) {
	candidates, err := s.candidates(q)
	switch {
	case len(candidates) == 0:
		s.refuseExcludedLike(q, err)
	case s.balancer.config.Unreached(s.name):
		s.refuseExcluded(ErrNoServer)
	case s.choosesUnchecked():
		for _, c := range candidates {
			s.grantCapacity(c.server, nil)
		}
	case candidates[0].tier >= tierEjected:
		s.findReachable(q)
	default:
		s.checkCold(q, candidates)
		for _, crossZone := range []bool{false, true} {
			if server := stalestCandidate(candidates, crossZone); server != nil {
				s.checkAndGrant(q, server)
			}
		}
	}
}

// findReachable looks for a server while all are ejected. If none is reached, the requests that
// wait are refused.
func (s *Service) findReachable(q Query) {
	choice, err := s.Choose(context.Background(), q)
	if err != nil {
		s.refuseExcludedLike(q, err)
		return
	}
	conn := choice.Conn
	choice.Conn = nil
	choice.Release()
	if choice.LightlyLoaded {
		s.grantCapacity(choice.Server, conn)
		return
	}
	s.grantSlow(choice.Server, conn)
}

// stalestCandidate returns the candidate of the best tier with the oldest report, inside or
// outside of the local availability zone.
func stalestCandidate(candidates []candidate, crossZone bool) *Server {
	var oldest candidate
	first := slices.IndexFunc(candidates, func(c candidate) bool { return !c.cold && c.tier < tierEjected })
	for _, c := range candidates {
		// Candidates are ordered by tier.
		if first < 0 || c.cold || c.tier != candidates[first].tier || c.crossZone != crossZone {
			continue
		}
		if oldest.server == nil || c.lastReport.Before(oldest.lastReport) {
			oldest = c
		}
	}
	return oldest.server
}

// checkAndGrant checks a server and assigns its free capacity to the waiters.
func (s *Service) checkAndGrant(q Query, server *Server) {
	choice, _, ok := s.evaluate(context.Background(), q, server)
	switch {
	case !ok:
	case choice.LightlyLoaded:
		s.grantCapacity(server, choice.Conn)
	default:
		s.grantSlow(server, choice.Conn)
	}
}

// reserve counts a request as about to be sent, if its choice is accepted.
func (s *Server) reserve(q Query, accept func(Choice) bool) (Choice, bool) {
	choice, ok := s.estimate(q, checkInterval)
	if s.service.reportsNoLoad() {
		choice, ok = s.estimateWithoutReport(s.service.Expected(q.Route)), true
	}
	if !ok || !accept(choice) || !choice.count(q) {
		return Choice{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved++
	choice.reserved = true
	return choice, true
}

// Release gives up an unused choice.
func (c Choice) Release() {
	if c.Conn != nil {
		c.Conn.Release()
	}
	if c.bodyBytes > 0 {
		c.Server.returnBody(c.bodyBytes)
	}
	if c.counted {
		c.Server.limiter().Refund(c.Server.Registration().Process())
	}
	if c.reserved {
		c.Server.mu.Lock()
		defer c.Server.mu.Unlock()
		c.Server.reserved--
	}
}
