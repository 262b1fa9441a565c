package carrier

import (
	"time"

	verbenastand "github.com/verbenastand/verbenastand"
	"github.com/verbenastand/verbenastand/balancer"
)

// Event describes a step of a request for logs and metrics.
type Event struct {
	// ID is the caller's identifier of the request.
	ID      string
	Route   verbenastand.RouteName
	Version verbenastand.TableVersion
	Service verbenastand.ServiceName
	// Server, Attempt, Report, Age and Looks describe one attempt: the server
	// and the report that decided.
	Server   verbenastand.ServerID
	Attempt  int
	Report   verbenastand.LoadReport
	Age      time.Duration
	Looks    int
	Estimate time.Duration
	Calm     bool
	At       time.Time
	// Took is the time of the attempt, or of the whole request.
	Took   time.Duration
	Result balancer.Result
	Err    error
	// Status is what the caller was answered, zero if it left.
	Status     int
	Verdict    verbenastand.Verdict
	Reason     verbenastand.RefusalReason
	Refused    bool
	RetryAfter time.Duration
	// Waiting is the number of requests that waited for the service at this host.
	Waiting int
	// RepeatDenied says why a failed request was not sent to another server.
	RepeatDenied string
	// Target and Deadline are when, after its arrival, the request is late and when
	// the caller gives it up.
	Target, Deadline time.Duration
	// Late is set if the answer came after the route's target latency.
	Late bool
}

func (l *call) event(choice balancer.Choice, number int) Event {
	return Event{
		ID: l.id, Route: l.route.Name(), Version: l.version, Service: l.name,
		Server: choice.Server.Registration().Server(), Attempt: number, Report: choice.Report,
		Age: choice.Age, Looks: choice.Checks, Estimate: choice.Estimate, Calm: choice.LightlyLoaded,
		At: l.carrier.config.Clock.Now(),
	}
}

// ended reports the outcome of the request.
func (l *call) ended(status int, change func(*Event)) {
	now := l.carrier.config.Clock.Now()
	e := Event{
		ID: l.id, Route: l.route.Name(), Version: l.version, Service: l.name, At: l.arrived,
		Took: now.Sub(l.arrived), Status: status, Verdict: verbenastand.Ran, Late: now.After(l.target),
	}
	if !l.deadline.IsZero() {
		e.Target, e.Deadline = l.target.Sub(l.arrived), l.deadline.Sub(l.arrived)
	}
	e.RepeatDenied = l.repeatDenied
	if l.service != nil {
		e.Waiting = l.service.Waiting()
	}
	if l.considered.Server != nil {
		c := l.considered
		e.Server, e.Report, e.Age, e.Looks = c.Server.Registration().Server(), c.Report, c.Age, c.Checks
		e.Estimate, e.Calm = c.Estimate, c.LightlyLoaded
	}
	if change != nil {
		change(&e)
	}
	l.carrier.config.Observer.Answered(e)
}
