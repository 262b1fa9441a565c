package balancer

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxLooks bounds the looks for one choice: each costs the server about as
	// much as a twentieth of a short request.
	MaxLooks = 5
	// lookTimeout bounds one look; a healthy server answers within the round trip
	// to another availability zone.
	lookTimeout = 80 * time.Millisecond
	// freshReport is the age up to which a report replaces a look. Neighbours'
	// noise changes within tens of milliseconds.
	freshReport = 8 * time.Millisecond
	// calmSlowdown is the slowdown up to which a machine counts as calm.
	calmSlowdown = 1.3
	// calmFactor is the expected crowding up to which a server counts as calm.
	calmFactor = 1.2
	// warmupFactor is how many times longer requests take at a server that has
	// just started.
	warmupFactor = 2
	// unreportedLimit is the number of looks without a report from which servers
	// of a service are no longer looked at.
	unreportedLimit = 6
	// queueShare is the part of its slots that may wait at a server: beyond it
	// a server is full, and may never answer what is sent to it.
	queueShare = 0.67
)

// ErrOtherProcess means that another process has the address of a server.
var ErrOtherProcess = errors.New("balancer: another process has the address of the server")

// ErrNoServer means that no server may take the request.
var ErrNoServer = errors.New("balancer: no server may take the request")

// Query describes the request that a server is chosen for.
type Query struct {
	Route verbenastand.Route
	// Tried are servers that are not to be chosen again.
	Tried []*Server
	// Looks bounds the looks, MaxLooks if zero.
	Looks int
}

// Choice is a server for a request.
type Choice struct {
	Server *Server
	// Held is the connection of the look, nil if there was none.
	Held Held
	// Estimate is how long the request is expected to take.
	Estimate time.Duration
	// Calm is set if the server works on it at once and at its usual speed.
	Calm bool
	// Crowded is set if the server runs or queues more than it takes well.
	Crowded bool
	// Full is set if the request would wait at the server, or not be taken at all.
	Full bool
	// Looks is the number of looks made; Age is that of the report.
	Looks  int
	Report verbenastand.LoadReport
	Age    time.Duration
	// reserved is set if the server counts the request already.
	reserved bool
}

// candidate is a server as it stands when a choice begins.
type candidate struct {
	server *Server
	// bucket orders candidates: usual ones, doubtful ones, ejected ones.
	bucket  int
	foreign bool
	// connected is set if a look at the server needs no new connection.
	connected bool
	// seenAt is the time of the server's last report.
	seenAt time.Time
	order  uint64
}

const (
	bucketUsual = iota
	bucketDoubtful
	bucketEjected
)

// Choose returns the first calm server, in the own availability zone first, or
// else the one of those looked at that is expected to answer soonest. The caller
// has to use or release the choice's connection.
func (s *Service) Choose(ctx context.Context, q Query) (Choice, error) {
	candidates := s.candidates(q)
	if len(candidates) == 0 {
		return Choice{}, ErrNoServer
	}
	if s.unreported.Load() >= unreportedLimit {
		return s.chooseBlind(q, candidates), nil
	}
	looks := cmp.Or(q.Looks, MaxLooks)
	var best Choice
	made := 0
	for _, c := range candidates {
		if made >= looks || ctx.Err() != nil {
			break
		}
		if c.bucket == bucketEjected && best.Server != nil {
			break
		}
		choice, looked, ok := s.inspect(ctx, q, c.server)
		if looked {
			made++
		}
		if !ok {
			continue
		}
		if choice.Calm {
			best.Release()
			choice.Looks = made
			return choice, nil
		}
		if best.Server == nil || choice.betterThan(best) {
			best.Release()
			best = choice
			continue
		}
		choice.Release()
	}
	if best.Server == nil {
		return Choice{}, ErrNoServer
	}
	best.Looks = made
	return best, nil
}

// betterThan reports whether a server that is not calm is preferred to another.
func (c Choice) betterThan(other Choice) bool {
	if c.Full != other.Full {
		return !c.Full
	}
	return c.Estimate < other.Estimate
}

// candidates returns the servers in the order in which they are looked at.
func (s *Service) candidates(q Query) []candidate {
	now := s.clock.Now()
	list := make([]candidate, 0, len(s.Servers()))
	for _, server := range s.Servers() {
		if slices.Contains(q.Tried, server) {
			continue
		}
		c, ok := server.candidate(now)
		if ok {
			c.connected = s.balancer.config.Looker.Connected(server)
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.bucket, b.bucket), compareBool(a.foreign, b.foreign),
			compareBool(b.connected, a.connected), cmp.Compare(a.order, b.order))
	})
	return list
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

func (s *Server) candidate(now time.Time) (candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return candidate{}, false
	}
	s.fadeLocked(now)
	c := candidate{server: s, order: rand.Uint64(), seenAt: s.reportedAt, foreign: s.registration.Zone() != s.service.balancer.config.Zone}
	switch {
	case now.Before(s.ejectedUntil):
		c.bucket = bucketEjected
	case s.failureRate > suspectRate || s.paceLocked(now) > slowPace || s.warmingLocked(now):
		c.bucket = bucketDoubtful
	}
	return c, true
}

// inspect judges a server by a report that is fresh enough, or by a look.
func (s *Service) inspect(ctx context.Context, q Query, server *Server) (choice Choice, looked, ok bool) {
	if choice, ok := server.judge(q, freshReport); ok && choice.Calm {
		return choice, false, true
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	sight, err := s.balancer.config.Looker.Look(ctx, server, s.settings.Load().HealthPath)
	if errors.Is(err, ErrOtherProcess) {
		server.Gone()
		return Choice{}, true, false
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			server.Unreachable()
		}
		return Choice{}, true, false
	}
	s.noteReported(sight.Reported)
	if !sight.Healthy {
		server.notHealthy()
		sight.Held.Release()
		return Choice{}, true, false
	}
	if !sight.Reported {
		return Choice{Server: server, Held: sight.Held, Estimate: s.Expected(q.Route), Calm: true}, true, true
	}
	server.sight(sight.Report, s.clock.Now())
	choice, _ = server.judge(q, time.Hour)
	choice.Held = sight.Held
	return choice, true, true
}

func (s *Service) noteReported(reported bool) {
	if reported {
		s.unreported.Store(0)
		return
	}
	s.unreported.Add(1)
}

// notHealthy leaves a server alone that calls itself unhealthy, so that others go
// first; if all do, they are used all the same.
func (s *Server) notHealthy() {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejectedUntil = now.Add(firstEjection)
}

// judge estimates how long a request takes at the server by its last report, if
// that is not older than oldest.
func (s *Server) judge(q Query, oldest time.Duration) (Choice, bool) {
	now := s.service.clock.Now()
	base := s.service.Expected(q.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > oldest {
		return Choice{}, false
	}
	r := s.report
	slots := cmp.Or(r.Slots, s.registration.Slots(), 1)
	running := max(0, r.Running+s.sinceReport+s.reserved)
	level := running + 1
	crowding, crowded := s.service.profile.crowding(min(level, slots), slots)
	warm := 1.0
	if s.warmingLocked(now) {
		warm = warmupFactor
	}
	pace := max(1, s.paceLocked(now))
	work := float64(base) * slowdownOf(r) * crowding * warm * pace
	waiting := r.Waiting + max(0, level-slots)
	crowded = crowded || waiting > 0
	queue := work * float64(waiting) / float64(slots)
	return Choice{
		Server: s, Estimate: time.Duration(work + queue), Report: r, Age: age,
		Calm:    !crowded && slowdownOf(r) <= calmSlowdown && warm == 1 && pace <= slowPace,
		Crowded: crowded,
		Full:    float64(waiting) > queueShare*float64(slots),
	}, true
}

// chooseBlind takes the less busy one of the first two candidates, for servers
// that report no load (power of two choices, Mitzenmacher 2001).
func (s *Service) chooseBlind(q Query, candidates []candidate) Choice {
	best := Choice{}
	for _, c := range candidates[:min(2, len(candidates))] {
		choice := c.server.blind(s.Expected(q.Route))
		if best.Server == nil || choice.Estimate < best.Estimate {
			best = choice
		}
	}
	return best
}

func (s *Server) blind(base time.Duration) Choice {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := max(1, s.registration.Slots())
	load := 1 + float64(len(s.inFlight))/float64(slots)
	return Choice{
		Server: s, Estimate: time.Duration(float64(base) * load * max(1, s.paceLocked(now))),
		Calm: len(s.inFlight) < slots, Crowded: len(s.inFlight) >= slots, Full: len(s.inFlight) >= 2*slots,
	}
}
