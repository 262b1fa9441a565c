package carrier

import (
	"cmp"
	"errors"
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

// Step is what would happen first to a request.
type Step int

const (
	// RefusedStep means that the request would be refused.
	RefusedStep Step = iota // refused
	// DelegatedStep means that another host would send the request.
	DelegatedStep // delegated
	// WaitingStep means that the request would wait for others.
	WaitingStep // waiting
	// SentStep means that the request would be sent to the first candidate.
	SentStep // sent
	// CheckedStep means that the candidates would be checked in their order; the first lightly
	// loaded one would get the request. If there is none, it would wait.
	CheckedStep // checked
	// DrawnStep means that the less busy of the first two candidates would get the request, since
	// the servers report no load.
	DrawnStep // drawn
)

// RouteQuery describes a request.
type RouteQuery struct {
	HostName, Path string
	// Timeout is the time that the caller has, zero for that of the route.
	Timeout time.Duration
}

// Decision is where a request would be sent now, and why.
type Decision struct {
	Version verbenastand.TableVersion
	// Route is nil if no route was found.
	Route           *verbenastand.Route
	Service         verbenastand.ServiceName
	Timeout, Target time.Duration
	Step            Step
	// Reason is the reason of a refusal.
	Reason verbenastand.RefusalReason
	// Explanation is what the choice of a server would be based on. It is empty if the request
	// does not get that far.
	Explanation balancer.Explanation
}

// Explain returns where a request would be sent now, by the functions that make the decision. It
// takes no tokens, makes no health checks and does not advance the split of the route.
// The body of the request and evidence about it are not considered.
func (c *Carrier) Explain(q RouteQuery) Decision {
	table := c.config.Router.Table()
	if table == nil {
		return Decision{Reason: verbenastand.ReasonStarting}
	}
	d := Decision{Version: table.Version()}
	match, found := c.config.Router.Find(q.HostName, q.Path)
	if !found {
		d.Reason = verbenastand.ReasonNoRoute
		return d
	}
	route := match.Route()
	d.Route, d.Service = &route, match.PeekService()
	d.Timeout = shorter(route.Timeout(), q.Timeout)
	d.Target = min(cmp.Or(route.Target(), d.Timeout), d.Timeout)
	service := c.config.Balancer.Service(d.Service)
	unshared := service != nil && service.Unshared()
	if c.config.Delegator != nil && (unshared || c.config.Reachability.Cut(d.Service)) {
		d.Step = DelegatedStep
		return d
	}
	if service == nil {
		d.Reason = verbenastand.ReasonNoServer
		return d
	}
	now := c.config.Clock.Now()
	explained := &call{carrier: c, route: route, service: service, deadline: now.Add(d.Timeout), targetTime: now.Add(d.Target)}
	d.Explanation = service.Explain(explained.firstQuery())
	d.Step, d.Reason = explained.step(d.Explanation)
	return d
}

// shorter returns the shorter of two times, of which zero means none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// step returns what would happen first to the request.
func (c *call) step(e balancer.Explanation) (Step, verbenastand.RefusalReason) {
	switch {
	case e.NoCapacity != nil:
		return RefusedStep, verbenastand.ReasonOverload
	case e.Waits:
		return WaitingStep, 0
	case errors.Is(e.Err, balancer.ErrNoServer):
		return RefusedStep, verbenastand.ReasonNoServer
	case e.Err != nil:
		allowedSoon := c.carrier.config.Clock.Now().Add(c.service.WaitFor(c.route)).Before(c.firstQuery().StartBy)
		if allowedSoon {
			return WaitingStep, 0
		}
		return RefusedStep, verbenastand.ReasonOverload
	case e.WithoutReports:
		return DrawnStep, 0
	}
	if first := e.Candidates[0]; first.Fresh && first.LightlyLoaded {
		return SentStep, 0
	}
	return CheckedStep, 0
}
