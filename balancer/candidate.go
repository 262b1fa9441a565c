package balancer

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// candidate is the state of a server when a choice begins.
type candidate struct {
	server *Server
	// tier orders candidates: preferred, degraded, ejected, avoided.
	tier int
	// refusing is set if the server has refused a request although it reported a free slot.
	refusing bool
	// crossZone is set if the server is in another availability zone than this host.
	crossZone bool
	// cold is set if the server has a limit because it is cold.
	cold bool
	// connected is set if checking the server needs no new connection.
	connected bool
	// lastReport is the time of the server's last load report.
	lastReport time.Time
	tiebreak   uint64
}

const (
	tierPreferred = iota
	tierDegraded
	tierEjected
	tierAvoided
)

// candidates returns the servers in the order in which they are checked. If there are none,
// the error tells why.
func (s *Service) candidates(q Query) (list []candidate, err error) {
	now := s.clock.Now()
	charge := s.balancer.bodyCharge(q)
	usable := s.usableFor(q.Route)
	list = make([]candidate, 0, len(usable))
	err = ErrNoServer
	for _, server := range usable {
		if slices.Contains(q.Tried, server) {
			continue
		}
		c, candidateErr := server.candidate(charge, now)
		if candidateErr != nil {
			err = decisive(err, candidateErr)
			continue
		}
		if q.avoids(server) {
			c.tier = tierAvoided
		}
		c.connected = s.balancer.config.HealthChecker.Connected(server)
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(a.compareGroup(b), compareBool(b.connected, a.connected), cmp.Compare(a.tiebreak, b.tiebreak))
	})
	drawFirst(list)
	advanceCold(list)
	return list, err
}

// compareGroup orders candidates by what matters to the request.
func (c candidate) compareGroup(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.tier, other.tier), compareBool(c.refusing, other.refusing), compareBool(c.crossZone, other.crossZone), compareBool(c.cold, other.cold),
	)
}

// drawFirst moves a random candidate of the first group to the front: each server gets its share
// of the requests, whether or not this host is connected to it, for example after it has started.
// If it is busy, the others follow, those with a connection first.
func drawFirst(list []candidate) {
	group := 0
	for group < len(list) && list[group].compareGroup(list[0]) == 0 {
		group++
	}
	if group == 0 {
		return
	}
	drawn := list[rand.IntN(group)]
	i := slices.IndexFunc(list, func(c candidate) bool { return c.server == drawn.server })
	copy(list[1:i+1], list[:i])
	list[0] = drawn
}

// Wait returns the time until one of the servers may get a request, zero if one may now or
// none ever will.
func (s *Service) Wait() time.Duration { return waitOf(s.usable()) }

// WaitFor returns the same for a request of a route.
func (s *Service) WaitFor(r verbenastand.Route) time.Duration { return waitOf(s.usableFor(r)) }

func waitOf(servers []*Server) time.Duration {
	var shortest time.Duration
	found := false
	for _, server := range servers {
		e, excluded := server.exclusion()
		if excluded && e.Leaving {
			continue
		}
		wait := max(e.Wait, server.limiter().Wait(server.Registration().Process()))
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
}

// allowance tells when the servers of a service may get requests.
type allowance struct {
	// wait is the time until one of them may get a request.
	wait time.Duration
	// interval is the time between two requests after that, zero unless all servers name limits.
	interval time.Duration
	// warmIn is the time until one of the servers is warm, zero unless all name limits or are
	// cold, and some are cold.
	warmIn time.Duration
}

// after returns the time until a request may be sent after a number of others.
func (a allowance) after(others int) time.Duration {
	t := a.wait + time.Duration(others)*a.interval
	if a.warmIn > 0 {
		return min(t, a.warmIn)
	}
	return t
}

// longestLimitInterval bounds the time between two requests while all servers name limits.
const longestLimitInterval = time.Minute

func (s *Service) allowance() allowance { return allowanceOf(s.usable()) }

func allowanceOf(servers []*Server) allowance {
	a := allowance{wait: waitOf(servers)}
	var rate verbenastand.RequestRate
	var warmIn time.Duration
	for _, server := range servers {
		if e, excluded := server.exclusion(); excluded && e.Leaving {
			continue
		}
		share, limited := server.limiter().Share(server.Registration().Process())
		if !limited {
			return a
		}
		rate += share
		if remaining := server.limiter().Remaining(server.Registration().Process()); remaining > 0 && (warmIn == 0 || remaining < warmIn) {
			warmIn = remaining
		}
	}
	a.warmIn = warmIn
	a.interval = rate.Interval(longestLimitInterval)
	return a
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

// errorRank orders the errors of servers: a higher one decides what becomes of the request if there
// is no candidate.
func errorRank(err error) int {
	switch {
	case errors.Is(err, ErrLimited), errors.Is(err, ErrPaused):
		return 3
	case errors.Is(err, ErrBodyLimited):
		return 2
	case errors.Is(err, ErrNoBodyShare):
		return 1
	}
	return 0
}

// decisive returns the error that decides: that of another server, unless the known one ranks higher.
func decisive(known, other error) error {
	if rank := errorRank(other); rank > 0 && rank >= errorRank(known) {
		return other
	}
	return known
}

// candidate returns an error if the server must not get a request whose body counts charge bytes.
func (s *Server) candidate(charge int64, now time.Time) (candidate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced {
		return candidate{}, ErrServerReplaced
	}
	if s.evacuation.inForce {
		return candidate{}, errEvacuated
	}
	if e, excluded := s.exclusionLocked(); excluded {
		if e.Leaving {
			return candidate{}, errLeaving
		}
		return candidate{}, ErrPaused
	}
	if !s.limiter().Available(s.registration.Process()) {
		return candidate{}, ErrLimited
	}
	if err := s.bodyRoomLocked(charge, now); err != nil {
		return candidate{}, err
	}
	s.decayLocked(now)
	c := candidate{server: s, tiebreak: rand.Uint64(), lastReport: s.reportedAt, crossZone: s.registration.Zone() != s.service.balancer.config.Zone}
	c.refusing = now.Before(s.refusingUntil)
	warming := s.warmingLocked(now)
	c.cold = warming && s.service.limitsCold()
	switch {
	case now.Before(s.ejectedUntil):
		c.tier = tierEjected
	case s.failureRate > degradedFailureRate || s.latencyRatioLocked(now) > degradedLatencyRatio || (warming && !c.cold):
		c.tier = tierDegraded
	}
	return c, nil
}
