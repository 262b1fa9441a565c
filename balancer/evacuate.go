package balancer

import (
	"errors"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// errEvacuated means that the availability zone of a server is evacuated.
var errEvacuated = errors.New("balancer: the availability zone of the server is evacuated")

// evacuation is what the evacuations of an availability zone mean for one of its servers.
type evacuation struct {
	// inForce is set while the server must get nothing.
	inForce bool
	// endedAt is when the last evacuation ended. It is zero again once a health check or a
	// registration from after that shows whether the server is cold.
	endedAt time.Time
	// ended is the registration that was known at that time.
	ended verbenastand.Registration
}

// Evacuated reports whether the server must get neither requests nor health checks, since its
// availability zone is evacuated.
func (s *Server) Evacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuation.inForce
}

// Cold reports whether the server counts as cold: it has said so, or the evacuation of its zone
// has ended and no health check or registration has said so since.
func (s *Server) Cold() bool {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldLocked(now)
}

func (s *Server) coldLocked(now time.Time) bool {
	return s.warmingLocked(now) || !s.evacuation.endedAt.IsZero()
}

// setEvacuated stores whether the zone of the server is evacuated. was reports whether it was in
// the previous view, which a server that has just been registered does not know.
func (s *Server) setEvacuated(evacuated, was bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.evacuation
	switch {
	case evacuated:
		s.evacuation = evacuation{inForce: true}
	case e.inForce || was:
		s.evacuation = evacuation{endedAt: now, ended: s.registration}
	case !e.endedAt.IsZero() && s.registration != e.ended:
		// Views follow the order of the changes, so this registration is newer than the end.
		e.endedAt = time.Time{}
	}
}

// confirmWarmth records that a health check which began at the given time has succeeded. What
// its response states about the server replaces the assumption that the server is cold.
func (s *Server) confirmWarmth(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmWarmthLocked(began)
}

func (s *Server) confirmWarmthLocked(began time.Time) {
	if !began.Before(s.evacuation.endedAt) {
		s.evacuation.endedAt = time.Time{}
	}
}

// Evacuated reports whether the service has servers, and the zones of all of them are
// evacuated.
func (s *Service) Evacuated() bool { return len(s.Servers()) > 0 && len(s.usable()) == 0 }

// Unshared reports whether this host is in an evacuated zone and has no share of the limits of
// the servers elsewhere, which all have limits: hosts of the servers' zones share them.
func (s *Service) Unshared() bool {
	if !s.balancer.zoneEvacuated.Load() {
		return false
	}
	for _, server := range s.usable() {
		share, limited := s.balancer.config.Limiter.Share(server.Registration().Process())
		if !limited || share > 0 {
			return false
		}
	}
	return len(s.usable()) > 0
}

// usable returns the servers whose zones are not evacuated.
func (s *Service) usable() []*Server { return *s.usableServers.Load() }

// storeServers makes the servers those of the service, and refuses the requests that wait if
// the zones of all of them are evacuated.
func (s *Service) storeServers(servers []*Server) {
	usable := slices.DeleteFunc(slices.Clone(servers), (*Server).Evacuated)
	s.usableServers.Store(&usable)
	zones := zonesOf(usable)
	s.zones.Store(&zones)
	s.servers.Store(&servers)
	if s.Evacuated() {
		s.refuseExcluded(ErrNoServer)
	}
}
