package balancer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

const (
	// MaxChecks bounds the health checks for one choice: each costs the server about
	// as much as a twentieth of a short request.
	MaxChecks = 5
	// checkTimeout bounds one check; a healthy server responds within the round trip
	// to another availability zone.
	checkTimeout = 80 * time.Millisecond
	// maxReportAge is the age up to which a report makes a check unnecessary. The
	// load that other tenants put on a machine changes within tens of milliseconds.
	maxReportAge = 8 * time.Millisecond
	// slowdownThreshold is the highest reported slowdown at which a server counts as
	// lightly loaded.
	slowdownThreshold = 1.3
	// saturationThreshold is the saturation factor above which a server counts as
	// saturated.
	saturationThreshold = 1.2
	// warmupFactor is how many times longer requests take at a server that has
	// just started.
	warmupFactor = 2
	// maxMissingReports is the number of consecutive checks without a load report
	// after which the servers of a service are chosen without checks.
	maxMissingReports = 6
	// maxQueueShare is the number of requests waiting at a server, as a share of its
	// slots, above which the server counts as full: it may never respond to a
	// request that it can't queue.
	maxQueueShare = 0.67
)

// ErrServerReplaced means that another process is listening at the address of a
// server.
var ErrServerReplaced = errors.New("balancer: another process is listening at the address of the server")

// ErrLimited means that all servers that could take the request have reached the limits
// that they name.
var ErrLimited = errors.New("balancer: the servers have reached the limits that they name")

// ErrPaused means that the servers that could take the request have asked for a pause.
var ErrPaused = errors.New("balancer: the servers have asked for a pause")

// errLeaving means that a server has said that it is leaving.
var errLeaving = errors.New("balancer: the server is leaving")

// ErrNoServer means that no server is available for the request.
var ErrNoServer = errors.New("balancer: no server available for the request")

// Query describes the request that a server is chosen for.
type Query struct {
	Route verbenastand.Route
	// Caller is the network address of the caller. Used by Admit only.
	Caller string
	// InTimeBy is the latest time to send the request so that the response is expected
	// within the target latency of the route, StartBy so that it is expected before the
	// deadline. Both are used by Admit only.
	InTimeBy, StartBy time.Time
	// Tried holds servers that must not be chosen again.
	Tried []*Server
	// Avoided are losses of connections by the request on other hosts. Their servers are
	// chosen only if there are no others.
	Avoided []verbenastand.Loss
	// CheckLimit bounds the health checks, MaxChecks if zero.
	CheckLimit int
	// LightShare is the largest share of its slots that a server may have in use, with the request, to
	// count as lightly loaded; zero for the share up to which it runs requests at their usual speed.
	LightShare float64
	// LocalWithin is positive for a request that transfers much: a server of the local
	// availability zone that is expected to respond within this time then goes before
	// any server elsewhere, even if it is not lightly loaded.
	LocalWithin time.Duration
	// BodyBytes is the size of the body, negative if it is unknown.
	BodyBytes int64
}

// avoids reports whether a server is chosen only if there are no others.
func (q Query) avoids(s *Server) bool {
	r := s.Registration()
	return slices.ContainsFunc(q.Avoided, func(l verbenastand.Loss) bool { return l.From(r) })
}

// isLight reports whether a server that runs a number of requests has enough free slots.
func (q Query) isLight(running, slots int) bool {
	return q.LightShare == 0 || float64(running) <= max(1, q.LightShare*float64(slots))
}

// Choice is the server chosen for a request.
type Choice struct {
	Server *Server
	// Conn is the connection of the health check, nil if there was none.
	Conn Conn
	// Estimate is how long the request is expected to take.
	Estimate time.Duration
	// LightlyLoaded is set if the server would run the request at once and at its
	// usual speed.
	LightlyLoaded bool
	// Saturated is set if, with this request, the server queues requests or runs
	// more than it handles without slowing down.
	Saturated bool
	// Full is set if the request would wait long at the server, or not be accepted
	// at all.
	Full bool
	// Cold is set if the server is cold and has a limit for that time.
	Cold bool
	// Sufficient is set if the server was chosen because of Query.LocalWithin.
	Sufficient bool
	// Waited is set if the request waited for the server.
	Waited bool
	// Checks is the number of health checks made; Age is the age of Report.
	Checks int
	Report verbenastand.LoadReport
	Age    time.Duration
	// reserved is set if the request is already counted in Server.reserved, counted if
	// it is counted against the limit that the server names.
	reserved, counted bool
	// bodyBytes is what the body of the request counts in Server.bodyBytes.
	bodyBytes int64
}

// Choose returns the first lightly loaded server, starting with the local
// availability zone, or else the checked server that is expected to respond soonest.
// The caller must use or release the connection of the choice.
func (s *Service) Choose(ctx context.Context, q Query) (Choice, error) {
	candidates, err := s.candidates(q)
	if len(candidates) == 0 {
		return Choice{}, err
	}
	if s.choosesUnchecked() {
		return s.chooseWithoutReports(q, candidates)
	}
	limit := cmp.Or(q.CheckLimit, MaxChecks)
	var best Choice
	none := ErrNoServer
	checks := 0
	for _, c := range candidates {
		if checks >= limit || ctx.Err() != nil {
			break
		}
		if c.tier >= tierEjected && best.Server != nil {
			break
		}
		if c.crossZone && best.Server != nil && best.Estimate <= q.LocalWithin && !best.Full {
			best.Sufficient = true
			break
		}
		choice, checked, ok := s.evaluate(ctx, q, c.server)
		if checked {
			checks++
		}
		if !ok {
			continue
		}
		if !choice.count(q) {
			none = decisive(none, c.server.bodyShortage(q))
			continue
		}
		if choice.LightlyLoaded || (choice.Cold && choice.inTime(q, s.clock.Now())) {
			best.Release()
			choice.Checks = checks
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
		return Choice{}, none
	}
	best.Checks = checks
	return best, nil
}

// betterThan reports whether c is preferred to other when neither is lightly loaded.
func (c Choice) betterThan(other Choice) bool {
	if c.Full != other.Full {
		return !c.Full
	}
	return c.Estimate < other.Estimate
}

// count counts the request against the limit that the server names, and releases the
// choice if there is no room or the server has just said that it wants no requests, or its zone is evacuated.
// A large body is counted against the bytes in flight.
func (c *Choice) count(q Query) bool {
	if charge := c.Server.service.balancer.bodyCharge(q); charge > 0 {
		if !c.Server.takeBody(charge) {
			c.Release()
			return false
		}
		c.bodyBytes = charge
	}
	_, excluded := c.Server.exclusion()
	c.counted = !excluded && !c.Server.Evacuated() && c.Server.limiter().Take(c.Server.Registration().Process())
	if !c.counted {
		c.Release()
	}
	return c.counted
}

// evaluate estimates how long the request takes at a server: from the last load
// report if it is recent and shows the server lightly loaded, or else from a health
// check. checked reports whether there was a check, ok whether the server can be
// chosen.
func (s *Service) evaluate(ctx context.Context, q Query, server *Server) (choice Choice, checked, ok bool) {
	if server.Evacuated() {
		return Choice{}, false, false
	}
	if choice, ok := server.estimate(q, maxReportAge); ok && choice.LightlyLoaded && server.limiter().Current(server.Registration().Process()) {
		return choice, false, true
	}
	result, ok := s.check(ctx, server)
	if !ok {
		return Choice{}, true, false
	}
	if !result.Reported {
		return server.unreported(q, result.Conn), true, true
	}
	choice, _ = server.estimate(q, time.Hour)
	choice.Conn = result.Conn
	return choice, true, true
}

// check makes a health check of a server and stores the report. If ok is set, the server is healthy,
// and the caller must use or release the connection of the result.
func (s *Service) check(ctx context.Context, server *Server) (result CheckResult, ok bool) {
	began := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	result, err := s.balancer.config.HealthChecker.Check(ctx, server, s.settings.Load().HealthPath)
	if errors.Is(err, ErrServerReplaced) {
		server.MarkReplaced()
		return CheckResult{}, false
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			server.MarkUnreachable()
		}
		return CheckResult{}, false
	}
	s.recordReported(result.Reported)
	if !result.Healthy {
		server.markUnhealthy()
		result.Conn.Release()
		return CheckResult{}, false
	}
	server.confirmWarmth(began)
	if result.Reported {
		server.setReport(result.Report, s.clock.Now())
	}
	return result, true
}

func (s *Service) recordReported(reported bool) {
	if reported {
		s.missingReports.Store(0)
		return
	}
	s.missingReports.Add(1)
}

// markUnhealthy ejects a server that reported itself unhealthy. It is then checked
// only if no other server can be chosen.
func (s *Server) markUnhealthy() {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejectedUntil = now.Add(baseEjection)
}

// estimate predicts how long a request takes at the server from its last load
// report, unless there is none or it is older than maxAge.
func (s *Server) estimate(q Query, maxAge time.Duration) (Choice, bool) {
	now := s.service.clock.Now()
	base := s.service.Expected(q.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > maxAge {
		return Choice{}, false
	}
	r := s.report
	slots := cmp.Or(r.Slots, s.registration.Slots(), 1)
	running := max(0, r.Running+s.sentSinceReport+s.reserved)
	level := running + 1
	saturation, saturated := s.service.profile.saturation(min(level, slots), slots)
	warm := 1.0
	if s.coldLocked(now) {
		warm = warmupFactor
	}
	latencyRatio := max(1, s.latencyRatioLocked(now))
	work := float64(base) * slowdownOf(r) * saturation * warm * latencyRatio
	waiting := r.Waiting + max(0, level-slots)
	saturated = saturated || waiting > 0
	queueTime := work * float64(waiting) / float64(slots)
	return Choice{
		Server: s, Estimate: time.Duration(work + queueTime), Report: r, Age: age,
		LightlyLoaded: !saturated && slowdownOf(r) <= slowdownThreshold && warm == 1 && latencyRatio <= degradedLatencyRatio && q.isLight(level, slots),
		Saturated:     saturated, Cold: warm > 1 && s.service.limitsCold(),
		Full: float64(waiting) > maxQueueShare*float64(slots),
	}, true
}

// reportsNoLoad reports whether the servers do not report their load.
func (s *Service) reportsNoLoad() bool { return s.missingReports.Load() >= maxMissingReports }

// choosesUnchecked reports whether servers are chosen without checks: they report no load, and
// have no limit while they are cold.
func (s *Service) choosesUnchecked() bool { return s.reportsNoLoad() && !s.limitsCold() }

// chooseWithoutReports returns the less busy of the first two candidates, for
// servers that report no load (power of two choices, Mitzenmacher 2001).
func (s *Service) chooseWithoutReports(q Query, candidates []candidate) (Choice, error) {
	best := Choice{}
	for _, c := range candidates[:min(2, len(candidates))] {
		if c.tier == tierAvoided && best.Server != nil {
			break
		}
		choice := c.server.estimateWithoutReport(s.Expected(q.Route))
		if best.Server == nil || choice.Estimate < best.Estimate {
			best = choice
		}
	}
	if !best.count(q) {
		return Choice{}, ErrLimited
	}
	return best, nil
}

func (s *Server) estimateWithoutReport(base time.Duration) Choice {
	now := s.service.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := max(1, s.registration.Slots())
	running := len(s.inFlight) + s.reserved
	load := 1 + float64(running)/float64(slots)
	if s.service.limitsCold() && s.warmingLocked(now) {
		return Choice{Server: s, Estimate: time.Duration(warmupFactor * float64(base) * load), Cold: true, Saturated: running >= slots}
	}
	return Choice{
		Server: s, Estimate: time.Duration(float64(base) * load * max(1, s.latencyRatioLocked(now))),
		LightlyLoaded: running < slots, Saturated: running >= slots, Full: running >= 2*slots,
	}
}
