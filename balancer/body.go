package balancer

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// minLargeBody is the size from which a body may count as large. A server with 4 slots and a
	// queue of 8 holds 3 MB of smaller ones.
	minLargeBody = 256 << 10
	// largeBodyPart is the part of the largest body from which a body counts as large. A server
	// with a queue of twice its slots holds a fifth of its bound in smaller ones.
	largeBodyPart = 16
	// maxBodySlots bounds the slots of a server that count, whatever it reports.
	maxBodySlots = 1024
)

// ErrBodyLimited means that the bodies in flight leave no room for a large one at present, or that
// this host does not yet know the other hosts.
var ErrBodyLimited = errors.New("balancer: too many bytes of request bodies are in flight to the servers")

// ErrNoBodyShare means that this host may send no body of that size to any of the servers.
var ErrNoBodyShare = errors.New("balancer: this host may not send a body of that size to the servers")

// BodyShortage is reported when a request with a large body has to wait or is refused.
type BodyShortage struct {
	Service verbenastand.ServiceName
	// Bytes is the size of the body, that of the largest one if it is unknown.
	Bytes int64
	// Err is ErrBodyLimited or ErrNoBodyShare.
	Err error
}

// bodyCounts counts the large bodies of all services.
type bodyCounts struct {
	inFlight, waited, refused atomic.Int64
}

// BodyBytes returns the bytes of large request bodies in flight to servers.
func (b *Balancer) BodyBytes() int64 { return b.bodies.inFlight.Load() }

// BodiesWaited returns how many requests have waited for the end of other large bodies.
func (b *Balancer) BodiesWaited() int64 { return b.bodies.waited.Load() }

// BodiesRefused returns how many requests were refused because this host may not send their bodies.
func (b *Balancer) BodiesRefused() int64 { return b.bodies.refused.Load() }

// bodyCharge returns the bytes that a body counts, zero if it is not large. A body of unknown
// length counts as the largest one. Without a limiter, none counts.
func (b *Balancer) bodyCharge(q Query) int64 {
	if b.config.BodyLimiter == nil {
		return 0
	}
	largest := b.largestBody.Load()
	if q.BodyBytes == 0 || largest <= 0 {
		return 0
	}
	n := q.BodyBytes
	if n < 0 || n > largest {
		n = largest
	}
	if n <= max(minLargeBody, largest/largeBodyPart) {
		return 0
	}
	return n
}

// OwnBodies is the BodyLimiter of a host without others.
type OwnBodies struct{}

// BodyShare implements verbenastand.BodyLimiter.
func (OwnBodies) BodyShare(l verbenastand.BodyLimit) (int64, bool) {
	return int64(l.Slots) * l.Largest, true
}

// bodyRoomLocked returns an error if a body may not be sent to the server, or not now.
func (s *Server) bodyRoomLocked(charge int64, now time.Time) error {
	if charge == 0 {
		return nil
	}
	b := s.service.balancer
	share, known := b.config.BodyLimiter.BodyShare(verbenastand.BodyLimit{
		Process: s.registration.Process(), Slots: s.bodySlotsLocked(),
		Largest: b.largestBody.Load(), Zones: *s.service.zones.Load(),
	})
	switch {
	case !known:
		return ErrBodyLimited
	case charge > share:
		return ErrNoBodyShare
	case s.bodyBytes > 0 && (s.bodyBytes+charge > share || s.slowLocked(now)):
		return ErrBodyLimited
	}
	return nil
}

// bodySlotsLocked returns the slots by which the bodies in flight are bounded. The registration goes
// first, since it is the same for all hosts.
func (s *Server) bodySlotsLocked() int {
	return min(cmp.Or(max(0, s.registration.Slots()), max(0, s.report.Slots), 1), maxBodySlots)
}

// slowLocked reports whether the server holds bodies for longer than usual: requests wait there, or
// take longer.
func (s *Server) slowLocked(now time.Time) bool {
	return s.report.Waiting > 0 || slowdownOf(s.report) > slowdownThreshold || s.latencyRatioLocked(now) > degradedLatencyRatio
}

// takeBody counts the body of a request that is about to be sent, and reports whether there is room.
func (s *Server) takeBody(charge int64) bool {
	if charge == 0 {
		return true
	}
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bodyRoomLocked(charge, now) != nil {
		return false
	}
	s.addBodyLocked(charge)
	return true
}

// addBodyLocked changes the bytes in flight.
func (s *Server) addBodyLocked(charge int64) {
	s.bodyBytes += charge
	s.service.balancer.bodies.inFlight.Add(charge)
}

// returnBody gives back what takeBody counted.
func (s *Server) returnBody(charge int64) {
	if charge == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addBodyLocked(-charge)
}

// recordShortage counts and reports that a request finds no room for its body.
func (s *Service) recordShortage(q Query, err error) {
	b := s.balancer
	switch {
	case errors.Is(err, ErrBodyLimited):
		b.bodies.waited.Add(1)
	case errors.Is(err, ErrNoBodyShare):
		b.bodies.refused.Add(1)
	default:
		return
	}
	b.config.OnBodyShortage(BodyShortage{Service: s.name, Bytes: b.bodyCharge(q), Err: err})
}

// blockLocked marks the waiting requests with large bodies for which none of the servers has room.
// The other requests don't wait for them.
func (s *Service) blockLocked(servers ...*Server) {
	if s.balancer.config.BodyLimiter == nil {
		return
	}
	for _, w := range s.queue.waiters {
		charge := s.balancer.bodyCharge(w.query)
		w.blocked = charge > 0 && !slices.ContainsFunc(servers, func(server *Server) bool { return server.hasBodyRoom(charge) })
	}
}

func (s *Server) hasBodyRoom(charge int64) bool {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodyRoomLocked(charge, now) == nil
}

// bodyShortage returns the error of a server that has no room for the body of a request, which may
// have been taken by another one since the choice began.
func (s *Server) bodyShortage(q Query) error {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodyRoomLocked(s.service.balancer.bodyCharge(q), now)
}

// withoutBodyLocked returns the query without its body if some of the waiting requests that may be sent now
// have none that is large: checks for all of them are not confined to servers with room.
func (s *Service) withoutBodyLocked(q Query) Query {
	small := func(w *waiter) bool { return !w.blocked && s.balancer.bodyCharge(w.query) == 0 }
	if slices.ContainsFunc(s.queue.waiters, small) {
		q.BodyBytes = 0
	}
	return q
}

// zonesOf returns the availability zones of servers, in order.
func zonesOf(servers []*Server) []verbenastand.Zone {
	var zones []verbenastand.Zone
	for _, server := range servers {
		zones = append(zones, server.Registration().Zone())
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// refuseUnsharedLocked refuses the waiting requests with large bodies that this host may no longer
// send to any of the servers, for example since other hosts have joined.
func (s *Service) refuseUnsharedLocked() {
	if s.balancer.config.BodyLimiter == nil {
		return
	}
	now := s.clock.Now()
	for _, w := range slices.Clone(s.queue.waiters) {
		charge := s.balancer.bodyCharge(w.query)
		if charge == 0 {
			continue
		}
		err := ErrNoServer
		for _, server := range s.usable() {
			server.mu.Lock()
			err = decisive(err, cmp.Or(server.bodyRoomLocked(charge, now), ErrLimited))
			server.mu.Unlock()
		}
		if errors.Is(err, ErrNoBodyShare) {
			s.recordShortage(w.query, err)
			s.refuseLocked(w, err)
		}
	}
}
