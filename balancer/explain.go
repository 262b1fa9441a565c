package balancer

import (
	"errors"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
)

// Tier is the group of a candidate. Candidates of an earlier tier are chosen first.
type Tier int

const (
	// Preferred servers respond as expected.
	Preferred Tier = tierPreferred // preferred
	// Degraded servers fail often, are slower than expected, or are cold.
	Degraded Tier = tierDegraded // degraded
	// Ejected servers have just failed or refused a request.
	Ejected Tier = tierEjected // ejected
	// AvoidedServer is a server to which the request has lost a connection.
	AvoidedServer Tier = tierAvoided // avoided
)

// CandidateState is what is known of a server when a choice begins.
type CandidateState struct {
	Server    verbenastand.Registration
	Tier      Tier
	CrossZone bool
	// Connected is set if a health check needs no new connection.
	Connected bool
	// Reported is set if the server has reported its load. Report, Age and the estimate are
	// valid then.
	Reported      bool
	Report        verbenastand.LoadReport
	Age           time.Duration
	Estimate      time.Duration
	LightlyLoaded bool
	Saturated     bool
	Full          bool
	// Fresh is set if the report is recent enough to choose the server without a health check.
	Fresh bool
	// Limited is set if the server names a limit. Share is this host's share of it.
	Limited bool
	Share   verbenastand.RequestRate
	// Warming is set if the server is cold.
	Warming bool
	// Excluded is the reason why the server gets no request, nil if it may. Wait is the time
	// until that ends, if it is known.
	Excluded error
	Wait     time.Duration
}

// Explanation is what a choice would be based on now.
type Explanation struct {
	// Candidates holds the servers that may get the request in the order in which they would be
	// checked, then those that may not. The first one is drawn at random among those that
	// compare equal, so it may differ for each request.
	Candidates []CandidateState
	// Err is the reason why there is no candidate, nil if there is one.
	Err error
	// Expected is how long the request takes at a lightly loaded server. Waiting is the number of
	// requests that wait for the service at this host.
	Expected time.Duration
	Waiting  int
	// Waits is set if one of them goes before the request. NoCapacity is set if the request would
	// be refused then, and holds the expected wait.
	Waits      bool
	NoCapacity *NoCapacityError
	// MaxChecks is the number of servers that are checked at most. WithoutReports is set if the
	// servers report no load, so that they are chosen without checks.
	MaxChecks      int
	WithoutReports bool
}

// Explain returns what the choice of a server for a request would be based on now, by the
// functions that make the choice. It takes no tokens and makes no health checks.
func (s *Service) Explain(q Query) Explanation {
	list, err := s.candidates(q)
	e := Explanation{Expected: s.Expected(q.Route), Waiting: s.Waiting(), MaxChecks: MaxChecks, WithoutReports: s.choosesUnchecked()}
	if len(list) == 0 {
		e.Err = err
	}
	e.Waits, e.NoCapacity = s.explainWait(q)
	known := make(map[*Server]bool, len(list))
	for _, c := range list {
		known[c.server] = true
		state := c.server.explain(q)
		state.Tier, state.CrossZone, state.Connected = Tier(c.tier), c.crossZone, c.connected
		e.Candidates = append(e.Candidates, state)
	}
	now := s.clock.Now()
	for _, server := range s.Servers() {
		if known[server] {
			continue
		}
		state := server.explain(q)
		state.CrossZone = state.Server.Zone() != s.balancer.config.Zone
		_, state.Excluded = server.candidate(s.balancer.bodyCharge(q), now)
		if state.Excluded == nil && !server.Allowed(q.Route) {
			state.Excluded = errRegion
		}
		exclusion, _ := server.exclusion()
		state.Wait = max(exclusion.Wait, server.limiter().Wait(state.Server.Process()))
		e.Candidates = append(e.Candidates, state)
	}
	return e
}

// explainWait reports whether the request would wait for others, and whether it would be refused
// because of them. What is known of the waits of a class is not extended by the question.
func (s *Service) explainWait(q Query) (waits bool, refused *NoCapacityError) {
	now := s.clock.Now()
	w := &waiter{query: q, arrived: now}
	if s.isNext(w) {
		return false, nil
	}
	allowance := allowanceOf(s.usableFor(q.Route))
	s.mu.Lock()
	defer s.mu.Unlock()
	class := w.class(now)
	late := backlogClass{level: class.level, late: true}
	if s.queue.backlogs[class] == nil || s.queue.backlogs[late] == nil {
		return true, nil
	}
	_ = errors.As(s.expectLocked(w, s.queue.line(s.workOf, now), allowance), &refused)
	return true, refused
}

// explain returns what is known of the server, apart from its order.
func (s *Server) explain(q Query) CandidateState {
	now := s.service.clock.Now()
	state := CandidateState{Server: s.Registration()}
	state.Share, state.Limited = s.limiter().Share(state.Server.Process())
	s.mu.Lock()
	state.Warming = s.warmingLocked(now)
	s.mu.Unlock()
	choice, ok := s.estimate(q, time.Hour)
	if !ok {
		return state
	}
	state.Reported, state.Report, state.Age, state.Estimate = true, choice.Report, choice.Age, choice.Estimate
	state.LightlyLoaded, state.Saturated, state.Full = choice.LightlyLoaded, choice.Saturated, choice.Full
	state.Fresh = choice.Age <= maxReportAge
	return state
}

// ExclusionReason returns a short name of the reason why a server gets no request, empty for nil.
func ExclusionReason(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ErrLimited):
		return "limited"
	case errors.Is(err, ErrPaused):
		return "paused"
	case errors.Is(err, ErrBodyLimited):
		return "bodiesInFlight"
	case errors.Is(err, ErrNoBodyShare):
		return "noBodyShare"
	case errors.Is(err, errLeaving):
		return "leaving"
	case errors.Is(err, errEvacuated):
		return "evacuated"
	case errors.Is(err, errRegion):
		return "region"
	case errors.Is(err, ErrServerReplaced):
		return "replaced"
	}
	return err.Error()
}
