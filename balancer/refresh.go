package balancer

import (
	"context"
	"time"
)

// Refresh makes a health check of a server that runs a request, unless its last load report is at
// most as old as the given time, and reports whether the check succeeded or none was made. None is made
// if the servers report no load, or if the server must get nothing for now.
func (s *Service) Refresh(ctx context.Context, server *Server, maxAge time.Duration) bool {
	if s.reportsNoLoad() || server.Evacuated() || server.reportedWithin(maxAge) {
		return true
	}
	if _, excluded := server.exclusion(); excluded {
		return true
	}
	result, ok := s.check(ctx, server)
	if ok {
		result.Conn.Release()
	}
	return ok
}

func (s *Server) reportedWithin(maxAge time.Duration) bool {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxAge
}
